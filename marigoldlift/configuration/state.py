"""State machine of the configuration stream."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

import msgspec

from marigoldlift.configuration.changes import (
    ConfigurationObject,
    ObjectKey,
    check_change_set,
    check_successors,
    check_versions,
)
from marigoldlift.configuration.objects import (
    ConfigurationValue,
    Policy,
    Service,
    VmLabels,
    Workspace,
    decode_value,
    encode_value,
)
from marigoldlift.configuration.selectors import matches
from marigoldlift.errors import ConflictError, InvalidInputError, MarigoldliftError
from marigoldlift.ids import Offset, StreamId, VmId, WorkspaceId
from marigoldlift.journal.messages import ConfigurationChanged, ObjectChange, ObjectKind, Record
from marigoldlift.journal.state import Verdict
from marigoldlift.resources import ZERO_RESOURCES, Resources
from marigoldlift.util import digest

__all__ = (
    'CONFIGURATION_STREAM',
    'MAX_REMEMBERED_CHANGES',
    'AcceptedChange',
    'ConfigurationState',
)

CONFIGURATION_STREAM = StreamId('configuration')

#: Accepted change sets whose ids are remembered; about 15 h at 3,300 changes a day.
MAX_REMEMBERED_CHANGES = 2048

ValueT = TypeVar('ValueT', bound=ConfigurationValue)


class AcceptedChange(msgspec.Struct, frozen=True):
    """What is remembered of an accepted change set, so that it can be asked for again.

    Attributes:
        offset: offset of the record that was accepted.
        content_digest: digest of author and changes.
    """

    offset: Offset
    content_digest: str


class DumpedObject(msgspec.Struct, frozen=True, array_like=True):
    """One object in a snapshot, with its value as JSON text."""

    kind: ObjectKind
    name: str
    version: Offset
    text: str


class DumpedState(msgspec.Struct, frozen=True):
    """Body of a snapshot; objects in order of their keys, changes in order of acceptance."""

    version: Offset
    entries: list[DumpedObject]
    accepted: list[tuple[str, AcceptedChange]]


class ConfigurationState:
    """Configuration in force, computed from the stream alone; it never goes back.

    Attributes:
        applied: offset of the last record seen, accepted or not.
        version: offset of the last accepted change set; 0 for none.
        in_force: objects in force; replaced as a whole by each accepted change set.
        policies: policies in force in order of their names.
        accepted: recent accepted change sets by change id, oldest first.
    """

    def __init__(self) -> None:
        """Start without any configuration."""
        self.applied = Offset(0)
        self.version = Offset(0)
        self.in_force: dict[ObjectKey, ConfigurationObject] = {}
        self.policies: tuple[Policy, ...] = ()
        self.accepted: dict[str, AcceptedChange] = {}

    def apply(self, offset: Offset, record: Record) -> Verdict:
        """Apply the record at this offset; an offset not above `applied` changes nothing.

        A change set that was accepted before under the same change id is accepted again without
        any effect, so an operator may repeat one whose outcome is unknown.
        """
        if offset <= self.applied:
            return Verdict(accepted=False, reason=f'offset: {offset} is applied already')
        self.applied = offset
        if not isinstance(record, ConfigurationChanged):
            return Verdict(accepted=False, reason='record: changes no configuration')
        try:
            self.change(offset, record)
        except MarigoldliftError as fault:
            return Verdict(accepted=False, reason=f'{fault.path}: {fault.reason}')
        return Verdict(accepted=True)

    def dump(self) -> bytes:
        """Encode the state as of `applied`; equal states give equal bytes."""
        return msgspec.msgpack.encode(
            DumpedState(
                self.version,
                [dump_object(configured) for configured in self.all_objects()],
                list(self.accepted.items()),
            ),
        )

    def restore(self, as_of: Offset, body: bytes) -> None:
        """Take over a snapshot; one that is not newer than the state is ignored.

        Raises:
            InvalidInputError: the body is no snapshot of this version; nothing was changed.
        """
        if as_of <= self.applied:
            return
        try:
            dumped = msgspec.msgpack.decode(body, type=DumpedState)
        except msgspec.MsgspecError as fault:
            raise InvalidInputError(f'no snapshot of the configuration: {fault}') from None
        in_force = {(entry.kind, entry.name): load_object(entry) for entry in dumped.entries}
        self.applied = as_of
        self.version = dumped.version
        self.replace(in_force)
        self.accepted = dict(dumped.accepted)

    def get(self, kind: ObjectKind, name: str) -> ConfigurationObject | None:
        """Return the object in force, or None."""
        return self.in_force.get((kind, name))

    def all_objects(self) -> list[ConfigurationObject]:
        """Return all objects in order of kind and name."""
        return sorted(
            self.in_force.values(),
            key=lambda configured: (configured.kind.value, configured.name),
        )

    def current_versions(self, changes: Iterable[ObjectChange]) -> list[Offset]:
        """Return the version in force of each object that the changes name; 0 for none."""
        found = (self.get(change.kind, change.name) for change in changes)
        return [configured.version if configured else Offset(0) for configured in found]

    def offset_of_change(self, change_id: str) -> Offset | None:
        """Return the offset at which a recent change set was accepted, or None."""
        accepted = self.accepted.get(change_id)
        return accepted.offset if accepted else None

    def workspace(self, workspace_id: WorkspaceId) -> Workspace | None:
        """Return the workspace, departed or not, or None."""
        return self.typed_value(ObjectKind.workspace, workspace_id, Workspace)

    def service(self, name: str) -> Service | None:
        """Return the service, or None."""
        return self.typed_value(ObjectKind.service, name, Service)

    def quota(self, workspace_id: WorkspaceId) -> Resources | None:
        """Return the most that jobs may hold in one failure domain, or None for no limit.

        A workspace that is not known holds nothing, since this reader may lag behind the stream.
        """
        workspace = self.workspace(workspace_id)
        return workspace.quota if workspace else ZERO_RESOURCES

    def labels_of(self, vm_id: VmId, base: Mapping[str, str]) -> dict[str, str]:
        """Return the labels of a VM: those of the VM list, and over them the operators'."""
        configured = self.typed_value(ObjectKind.vm_labels, vm_id, VmLabels)
        return {**base, **(configured.labels if configured else {})}

    def is_draining(self, vm_id: VmId) -> bool:
        """Tell whether the VM shall take no new work."""
        return (ObjectKind.drain, vm_id) in self.in_force

    def policies_for(self, labels: Mapping[str, str]) -> list[Policy]:
        """Return the policies whose unit selector matches, in order of their names."""
        return [policy for policy in self.policies if matches(policy.unit_selector, labels)]

    def typed_value(
        self,
        kind: ObjectKind,
        name: str,
        value_type: type[ValueT],
    ) -> ValueT | None:
        """Return the typed value of an object, or None."""
        configured = self.get(kind, name)
        if configured is None or not isinstance(configured.value, value_type):
            return None
        return configured.value

    def change(self, offset: Offset, record: ConfigurationChanged) -> None:
        """Apply a change set whole, or raise the reason for which it is refused."""
        content_digest = digest_content(record)
        if self.is_repeated(record.change_id, content_digest):
            return
        decoded = check_change_set(record)
        check_versions(record, self.in_force)
        check_successors(record, decoded, self.in_force)
        in_force = dict(self.in_force)
        for change, configured in zip(record.changes, decoded, strict=True):
            put_object(in_force, offset, change, configured)
        self.replace(in_force)
        self.version = offset
        self.remember(record.change_id, AcceptedChange(offset, content_digest))

    def replace(self, in_force: dict[ObjectKey, ConfigurationObject]) -> None:
        """Put other objects in force, and collect the policies, which are read per placement."""
        self.in_force = in_force
        values = (configured.value for configured in self.all_objects())
        self.policies = tuple(found for found in values if isinstance(found, Policy))

    def is_repeated(self, change_id: str, content_digest: str) -> bool:
        """Tell whether this change set was accepted before.

        Raises:
            ConflictError: the id was used for other content.
        """
        earlier = self.accepted.get(change_id)
        if earlier is None:
            return False
        if earlier.content_digest != content_digest:
            raise ConflictError(
                f'{change_id!r} was accepted with other content as version {earlier.offset}',
                'change_id',
            )
        return True

    def remember(self, change_id: str, accepted: AcceptedChange) -> None:
        """Remember an accepted change set and forget the oldest beyond the limit."""
        self.accepted[change_id] = accepted
        if len(self.accepted) > MAX_REMEMBERED_CHANGES:
            self.accepted.pop(next(iter(self.accepted)))


def put_object(
    in_force: dict[ObjectKey, ConfigurationObject],
    offset: Offset,
    change: ObjectChange,
    configured: ConfigurationValue | None,
) -> None:
    """Set or remove one object of a checked change."""
    key = (change.kind, change.name)
    if configured is None:
        in_force.pop(key)
    else:
        in_force[key] = ConfigurationObject(change.kind, change.name, offset, configured)


def digest_content(record: ConfigurationChanged) -> str:
    """Return a digest of what a change set asks for."""
    return digest(record.author, msgspec.json.encode(record.changes).decode())


def dump_object(configured: ConfigurationObject) -> DumpedObject:
    """Prepare an object for a snapshot."""
    return DumpedObject(
        configured.kind,
        configured.name,
        configured.version,
        encode_value(configured.value),
    )


def load_object(entry: DumpedObject) -> ConfigurationObject:
    """Take an object out of a snapshot."""
    return ConfigurationObject(
        entry.kind,
        entry.name,
        entry.version,
        decode_value(entry.kind, entry.text),
    )
