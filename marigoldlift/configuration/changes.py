"""Validation of change sets; deterministic, so that all replicas reach the same verdicts."""

from collections.abc import Mapping

import msgspec

from marigoldlift.configuration.names import NAME_RULE, is_name
from marigoldlift.configuration.objects import VALUE_TYPES, ConfigurationValue, decode_value
from marigoldlift.errors import ConflictError, InvalidInputError
from marigoldlift.ids import Offset
from marigoldlift.journal.messages import ConfigurationChanged, ObjectChange, ObjectKind

__all__ = (
    'MAX_CHANGES',
    'MAX_OBJECTS',
    'ConfigurationObject',
    'ObjectKey',
    'check_change_set',
    'check_successors',
    'check_versions',
)

#: Maximum changes of one change set, which must also fit into one append.
MAX_CHANGES = 64

#: Maximum objects in force, about 8 MB of memory; twice the workers of the design target.
MAX_OBJECTS = 16_384

MAX_CHANGE_ID_LENGTH = 64
MAX_AUTHOR_LENGTH = 100

ObjectKey = tuple[ObjectKind, str]


class ConfigurationObject(msgspec.Struct, frozen=True):
    """One configuration object in force.

    Attributes:
        kind: kind of the object.
        name: name of the object, unique within its kind.
        version: offset of the record that created or last changed the object.
        value: decoded content.
    """

    kind: ObjectKind
    name: str
    version: Offset
    value: ConfigurationValue


def check_change_set(record: ConfigurationChanged) -> list[ConfigurationValue | None]:
    """Check everything that does not depend on the configuration in force; decode the values.

    Returns:
        The value of each change; None removes the object.

    Raises:
        InvalidInputError: with the path of the first error.
    """
    check_length(record.change_id, MAX_CHANGE_ID_LENGTH, 'change_id')
    check_length(record.author, MAX_AUTHOR_LENGTH, 'author')
    if not 1 <= len(record.changes) <= MAX_CHANGES:
        raise InvalidInputError(
            f'given {len(record.changes)} changes, allowed is 1 to {MAX_CHANGES}',
            'changes',
        )
    check_distinct(record.changes)
    return [
        check_change(change, f'changes[{index}]') for index, change in enumerate(record.changes)
    ]


def check_versions(
    record: ConfigurationChanged,
    in_force: Mapping[ObjectKey, ConfigurationObject],
) -> None:
    """Check the base versions of the changes, and the number of objects that would result.

    Raises:
        ConflictError: with the path of the first base version that is not current.
        InvalidInputError: an object to remove does not exist, or there would be more objects than
            `MAX_OBJECTS`.
    """
    created = 0
    for index, change in enumerate(record.changes):
        existing = in_force.get((change.kind, change.name))
        check_base_version(change, existing, f'changes[{index}]')
        created += (existing is None) - (change.value is None)
    if len(in_force) + created > MAX_OBJECTS:
        raise InvalidInputError(f'at most {MAX_OBJECTS} objects are allowed', 'changes')


def check_successors(
    record: ConfigurationChanged,
    decoded: list[ConfigurationValue | None],
    in_force: Mapping[ObjectKey, ConfigurationObject],
) -> None:
    """Check that each new value may replace the one in force.

    Raises:
        InvalidInputError: with the path of the first error.
    """
    for index, (change, successor) in enumerate(zip(record.changes, decoded, strict=True)):
        existing = in_force.get((change.kind, change.name))
        if existing is None or successor is None:
            continue
        try:
            existing.value.check_successor(successor)
        except InvalidInputError as fault:
            raise InvalidInputError(
                fault.reason,
                f'changes[{index}].value.{fault.path}',
            ) from None


def check_base_version(
    change: ObjectChange,
    existing: ConfigurationObject | None,
    path: str,
) -> None:
    """Check the base version of one change against the version in force.

    Raises:
        ConflictError: the base version is not current.
        InvalidInputError: the object to remove does not exist.
    """
    current = existing.version if existing else 0
    given = change.base_version
    if given != current:
        raise ConflictError(
            f'given {given}, current version is {current}',
            f'{path}.base_version',
        )
    if change.value is None and existing is None:
        raise InvalidInputError('there is nothing to remove', f'{path}.value')


def check_change(change: ObjectChange, path: str) -> ConfigurationValue | None:
    """Check the name, base version and removability of one change, and decode its value."""
    if not is_name(change.name):
        raise InvalidInputError(f'given {change.name!r}; {NAME_RULE}', f'{path}.name')
    if change.base_version < 0:
        raise InvalidInputError('must not be negative', f'{path}.base_version')
    value_path = f'{path}.value'
    if change.value is not None:
        return decode_at(change.kind, change.value, value_path)
    if not VALUE_TYPES[change.kind].removable:
        raise InvalidInputError(
            'an object of this kind cannot be removed',
            value_path,
        )
    return None


def decode_at(kind: ObjectKind, text: str, path: str) -> ConfigurationValue:
    """Decode a value, prefixing the path of an error with the path of the value."""
    try:
        return decode_value(kind, text)
    except InvalidInputError as fault:
        inner = f'{path}.{fault.path}' if fault.path else path
        raise InvalidInputError(fault.reason, inner) from None


def check_distinct(changes: tuple[ObjectChange, ...]) -> None:
    """Check that no object is changed twice, as it would be ambiguous which change wins."""
    first: dict[ObjectKey, int] = {}
    for index, change in enumerate(changes):
        earlier = first.setdefault((change.kind, change.name), index)
        if earlier != index:
            raise InvalidInputError(
                f'{change.name!r} is changed by changes[{earlier}] too',
                f'changes[{index}].name',
            )


def check_length(text: str, longest: int, path: str) -> None:
    """Check that a text is neither empty nor too long."""
    if not 1 <= len(text) <= longest:
        raise InvalidInputError(f'{len(text)} characters, allowed is 1 to {longest}', path)
