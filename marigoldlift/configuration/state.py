"""State machine that applies the records of the configuration stream."""

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

#: Accepted change sets kept for duplicate detection; about 15 h at 3,300 changes a day.
MAX_REMEMBERED_CHANGES = 2048

ValueT = TypeVar('ValueT', bound=ConfigurationValue)


class AcceptedChange(msgspec.Struct, frozen=True):
    """Data kept of an accepted change set to recognize a repeated submission.

    Attributes:
        offset: offset of the accepted record.
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
    """Body of a snapshot.

    Attributes:
        version: offset of the last accepted change set.
        entries: objects in force, in order of kind and name.
        accepted: recent accepted change sets by change id, in order of acceptance.
    """

    version: Offset
    entries: list[DumpedObject]
    accepted: list[tuple[str, AcceptedChange]]


class ConfigurationState:
    """Configuration in force, derived only from the stream; it never reverts to an older state.

    Attributes:
        applied: offset of the last record applied, whether it was accepted or not.
        version: offset of the last accepted change set; 0 for none.
        in_force: objects in force; each accepted change set replaces the whole dict.
        policies: policies in force, in order of name.
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
        """Apply the record at this offset; it is ignored if the offset is not above `applied`.

        A change set that was already accepted with the same change id is accepted again without
        effect, so that an operator can repeat one whose outcome is unknown.
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
        """Encode the state as of `applied`; equal states result in equal bytes."""
        return msgspec.msgpack.encode(
            DumpedState(
                self.version,
                [dump_object(config_object) for config_object in self.all_objects()],
                list(self.accepted.items()),
            ),
        )

    def restore(self, as_of: Offset, body: bytes) -> None:
        """Replace the state by a snapshot; one that is not newer than the state is ignored.

        Raises:
            InvalidInputError: the body cannot be decoded by this version; the state is unchanged.
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
            key=lambda config_object: (config_object.kind.value, config_object.name),
        )

    def current_versions(self, changes: Iterable[ObjectChange]) -> list[Offset]:
        """Return the version in force of the object of each change; 0 if there is none."""
        found = (self.get(change.kind, change.name) for change in changes)
        return [config_object.version if config_object else Offset(0) for config_object in found]

    def offset_of_change(self, change_id: str) -> Offset | None:
        """Return the offset at which a change set was accepted, or None if it is not kept."""
        accepted = self.accepted.get(change_id)
        return accepted.offset if accepted else None

    def workspace(self, workspace_id: WorkspaceId) -> Workspace | None:
        """Return the workspace, active or departed, or None if it does not exist."""
        return self.typed_value(ObjectKind.workspace, workspace_id, Workspace)

    def service(self, name: str) -> Service | None:
        """Return the service, or None if it does not exist."""
        return self.typed_value(ObjectKind.service, name, Service)

    def quota(self, workspace_id: WorkspaceId) -> Resources | None:
        """Return the quota of jobs in one failure domain, or None for no limit.

        The quota of an unknown workspace is zero, since this replica may lag behind the stream.
        """
        workspace = self.workspace(workspace_id)
        return workspace.quota if workspace else ZERO_RESOURCES

    def labels_of(self, vm_id: VmId, base: Mapping[str, str]) -> dict[str, str]:
        """Return the labels of a VM: those of the VM list, overridden by those of operators."""
        config_value = self.typed_value(ObjectKind.vm_labels, vm_id, VmLabels)
        return {**base, **(config_value.labels if config_value else {})}

    def is_draining(self, vm_id: VmId) -> bool:
        """Return whether operators have excluded the VM from new work."""
        return (ObjectKind.drain, vm_id) in self.in_force

    def policies_for(self, labels: Mapping[str, str]) -> list[Policy]:
        """Return the policies whose unit selector matches the labels, in order of name."""
        return [policy for policy in self.policies if matches(policy.unit_selector, labels)]

    def typed_value(
        self,
        kind: ObjectKind,
        name: str,
        value_type: type[ValueT],
    ) -> ValueT | None:
        """Return the value of an object, or None if it does not exist or has another type."""
        config_object = self.get(kind, name)
        if config_object is None or not isinstance(config_object.value, value_type):
            return None
        return config_object.value

    def change(self, offset: Offset, record: ConfigurationChanged) -> None:
        """Apply a change set atomically.

        Raises:
            MarigoldliftError: the change set is refused; nothing was changed.
        """
        content_digest = digest_content(record)
        if self.is_repeated(record.change_id, content_digest):
            return
        decoded = check_change_set(record)
        check_versions(record, self.in_force)
        check_successors(record, decoded, self.in_force)
        in_force = dict(self.in_force)
        for change, config_value in zip(record.changes, decoded, strict=True):
            put_object(in_force, offset, change, config_value)
        self.replace(in_force)
        self.version = offset
        self.remember(record.change_id, AcceptedChange(offset, content_digest))

    def replace(self, in_force: dict[ObjectKey, ConfigurationObject]) -> None:
        """Replace the objects in force and cache their policies, which are read per placement."""
        self.in_force = in_force
        values = (config_object.value for config_object in self.all_objects())
        self.policies = tuple(found for found in values if isinstance(found, Policy))

    def is_repeated(self, change_id: str, content_digest: str) -> bool:
        """Return whether this change set was already accepted.

        Raises:
            ConflictError: the change id was used with other content.
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
        """Keep an accepted change set; drop the oldest one above the limit."""
        self.accepted[change_id] = accepted
        if len(self.accepted) > MAX_REMEMBERED_CHANGES:
            self.accepted.pop(next(iter(self.accepted)))


def put_object(
    in_force: dict[ObjectKey, ConfigurationObject],
    offset: Offset,
    change: ObjectChange,
    config_value: ConfigurationValue | None,
) -> None:
    """Apply one checked change: set the object, or remove it if the value is None."""
    key = (change.kind, change.name)
    if config_value is None:
        in_force.pop(key)
    else:
        in_force[key] = ConfigurationObject(change.kind, change.name, offset, config_value)


def digest_content(record: ConfigurationChanged) -> str:
    """Return a digest of the author and changes of a change set."""
    return digest(record.author, msgspec.json.encode(record.changes).decode())


def dump_object(config_object: ConfigurationObject) -> DumpedObject:
    """Convert an object to its form in a snapshot."""
    return DumpedObject(
        config_object.kind,
        config_object.name,
        config_object.version,
        encode_value(config_object.value),
    )


def load_object(entry: DumpedObject) -> ConfigurationObject:
    """Convert an object from its form in a snapshot."""
    return ConfigurationObject(
        entry.kind,
        entry.name,
        entry.version,
        decode_value(entry.kind, entry.text),
    )
