"""Publishing of change sets, and waiting until they are in force at all entries."""

import asyncio
from collections.abc import Callable, Sequence

from marigoldlift.configuration.changes import check_change_set
from marigoldlift.configuration.names import NAME_RULE, is_name
from marigoldlift.configuration.objects import Drain, decode_value, encode_value
from marigoldlift.configuration.state import CONFIGURATION_STREAM
from marigoldlift.errors import AppendOutcomeUnknownError, InvalidInputError, LogUnavailableError
from marigoldlift.ids import Offset, VmId
from marigoldlift.journal.messages import ConfigurationChanged, ObjectChange, ObjectKind
from marigoldlift.operators import messages
from marigoldlift.operators.backend import OperatorBackend
from marigoldlift.util import loop_now

__all__ = ('IN_FORCE_LIMIT_S', 'POLL_INTERVAL_S', 'PROPOSE_TIMEOUT_S', 'Publisher')

#: Time within which an accepted change set comes into force at each reachable entry.
IN_FORCE_LIMIT_S = 4

#: Interval between two checks of the offsets from heartbeats.
POLL_INTERVAL_S = 0.05

#: Time limit for append and read-back, after which the outcome is unknown.
PROPOSE_TIMEOUT_S = 5

NULL = b'null'


class Publisher:
    """Publishes change sets of operators.

    Attributes:
        backend: the daemon.
        new_id: generates change ids.
    """

    def __init__(self, backend: OperatorBackend, new_id: Callable[[], str]) -> None:
        """Store the backend and the generator of change ids."""
        self.backend = backend
        self.new_id = new_id

    async def apply(self, given: messages.ApplyInput) -> messages.ApplyReply:
        """Publish a change set.

        Raises:
            InvalidInputError: nothing was appended.
        """
        changes = tuple(
            to_change(change, f'changes[{index}].value')
            for index, change in enumerate(given.changes)
        )
        return await self.publish(given.change_id, given.author, changes)

    async def drain(self, vm_id: VmId, given: messages.DrainInput) -> messages.ApplyReply:
        """Publish that a VM gets no new work; has no further effect if the VM is already draining.

        Raises:
            InvalidInputError: nothing was appended.
        """
        if not is_name(vm_id):
            raise InvalidInputError(f'given {vm_id!r}; {NAME_RULE}', 'vm_id')
        existing = self.backend.configuration().get(ObjectKind.drain, vm_id)
        if existing is not None:
            return await self.accepted(given.change_id, existing.version)
        text = encode_value(Drain(reason=given.reason))
        change = ObjectChange(ObjectKind.drain, vm_id, 0, text)
        return await self.publish(given.change_id, given.author, (change,))

    async def publish(
        self,
        change_id: str,
        author: str,
        changes: tuple[ObjectChange, ...],
    ) -> messages.ApplyReply:
        """Check, append and read back a change set, then wait for the entries to apply it."""
        record = ConfigurationChanged(change_id or self.new_id(), author, changes)
        check_change_set(record)
        try:
            outcome = await self.backend.propose(record, PROPOSE_TIMEOUT_S)
        except AppendOutcomeUnknownError as error:
            return failed(record, messages.ApplyStatus.unknown, error)
        except LogUnavailableError as fault:
            return failed(record, messages.ApplyStatus.unavailable, fault)
        if not outcome.verdict.accepted:
            return self.refused(record, outcome.verdict.reason)
        earlier = self.backend.configuration().offset_of_change(record.change_id)
        return await self.accepted(record.change_id, earlier or outcome.offset)

    async def accepted(self, change_id: str, version: Offset) -> messages.ApplyReply:
        """Wait for the entries to apply the version, and return the reply with the progress of each."""
        progress = await wait_in_force(self.backend.entries, version)
        return messages.ApplyReply(
            messages.ApplyStatus.accepted,
            change_id,
            version=version,
            in_force=all(entry.in_force for entry in progress),
            entries=progress,
        )

    def refused(self, record: ConfigurationChanged, verdict_reason: str) -> messages.ApplyReply:
        """Return the reply to a refused change set: the reason and the versions that are in force."""
        path, _, reason = verdict_reason.partition(': ')
        versions = self.backend.configuration().current_versions(record.changes)
        return messages.ApplyReply(
            messages.ApplyStatus.refused,
            record.change_id,
            current=[
                messages.ObjectVersion(change.kind, change.name, version)
                for change, version in zip(record.changes, versions, strict=True)
            ],
            code='conflict',
            reason=reason,
            path=path,
        )


async def wait_in_force(
    read_entries: Callable[[], Sequence[messages.EntryStatus]],
    version: Offset,
) -> list[messages.EntryProgress]:
    """Wait until every entry that is not suspect has applied the version, for at most `IN_FORCE_LIMIT_S`.

    Returns:
        The progress of all entries, including suspect ones.
    """
    deadline_s = loop_now() + IN_FORCE_LIMIT_S
    while loop_now() < deadline_s:
        responsive = [entry for entry in read_entries() if not entry.suspect]
        if all(applied_offset(entry) >= version for entry in responsive):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return [progress_of(entry, version) for entry in read_entries()]


def progress_of(entry: messages.EntryStatus, version: Offset) -> messages.EntryProgress:
    """Return whether an entry has applied the version, and the offset that it has applied."""
    applied = applied_offset(entry)
    return messages.EntryProgress(entry.vm_id, entry.failure_domain, applied, applied >= version)


def applied_offset(entry: messages.EntryStatus) -> int:
    """Return the offset up to which an entry has applied the configuration stream."""
    return entry.applied.get(CONFIGURATION_STREAM, 0)


def to_change(given: messages.ChangeInput, path: str) -> ObjectChange:
    """Convert the input to a change with normalized JSON.

    The text of the change does not depend on the whitespace that the operator used.
    """
    raw = bytes(given.value)
    if raw == NULL:
        return ObjectChange(given.kind, given.name, given.base_version, None)
    try:
        text = encode_value(decode_value(given.kind, raw.decode()))
    except InvalidInputError as fault:
        inner = f'{path}.{fault.path}' if fault.path else path
        raise InvalidInputError(fault.reason, inner) from None
    except UnicodeDecodeError:
        raise InvalidInputError('is not UTF-8', path) from None
    return ObjectChange(given.kind, given.name, given.base_version, text)


def failed(
    record: ConfigurationChanged,
    status: messages.ApplyStatus,
    fault: LogUnavailableError,
) -> messages.ApplyReply:
    """Return the reply to a change set that the log did not confirm."""
    return messages.ApplyReply(status, record.change_id, code=fault.code, reason=fault.reason)
