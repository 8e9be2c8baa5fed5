"""Typed values of configuration objects.

Whether a change is accepted depends on the bounds in this module, and all entries must decide
alike. A later version may therefore widen them only once all entries run it, and must never
narrow them.
"""

from enum import Enum
from types import MappingProxyType
from typing import Annotated, ClassVar

import msgspec

from marigoldlift.configuration.decoding import decode_json
from marigoldlift.configuration.selectors import check_labels, check_selector
from marigoldlift.errors import InvalidInputError
from marigoldlift.journal.messages import ObjectKind
from marigoldlift.resources import Resources

__all__ = (
    'FAILURE_DOMAIN_LABEL',
    'MAX_REASON_LENGTH',
    'MAX_VALUE_BYTES',
    'RESERVED_LABELS',
    'VALUE_TYPES',
    'ConfigurationValue',
    'Drain',
    'Policy',
    'Service',
    'VmLabels',
    'Workspace',
    'WorkspaceState',
    'decode_value',
    'encode_value',
)

#: Maximum size of the JSON text of one value in bytes.
MAX_VALUE_BYTES = 16384

#: Labels set by the platform; the homes of keys and the spread of jobs depend on them.
FAILURE_DOMAIN_LABEL = 'failure_domain'
RESERVED_LABELS = frozenset((FAILURE_DOMAIN_LABEL, 'rack'))

#: Maximum of one dimension of a quota, far above a failure domain of the design target.
MAX_AMOUNT = 1_000_000_000_000

MAX_WEIGHT = 1000
MAX_QUEUE = 100_000
MAX_DEADLINE_MS = 3_600_000
MAX_SLOTS = 1024
MAX_SPREAD = 10_000
MAX_PRIORITY = 1000
MAX_REASON_LENGTH = 200

Selector = dict[str, str]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_QUEUE)]


class ConfigurationValue(
    msgspec.Struct,
    frozen=True,
    kw_only=True,
    forbid_unknown_fields=True,
):
    """Base of the values of all kinds; `decode_value` decodes a value and calls its `check`."""

    #: Whether an object of this kind may be removed.
    removable: ClassVar[bool] = True

    def check(self) -> None:
        """Check rules that the field types cannot express.

        Raises:
            InvalidInputError: with the path of the first error within the value.
        """

    def check_successor(self, successor: 'ConfigurationValue') -> None:
        """Check that another value may replace this one.

        Raises:
            InvalidInputError: with the path of the first error within the successor.
        """


class WorkspaceState(Enum):
    """Whether a workspace may start new work."""

    active = 'active'
    departed = 'departed'


class Workspace(ConfigurationValue, frozen=True, kw_only=True):
    """A tenant of the cell.

    A workspace cannot be removed, only set to departed: its accepted work is completed under the
    quota that it had, and stays readable.

    Attributes:
        state: whether the workspace may start new work.
        quota: maximum resources that its jobs may hold in one failure domain; None for no limit.
        weight: share of requests relative to other workspaces.
    """

    removable: ClassVar[bool] = False

    state: WorkspaceState = WorkspaceState.active
    quota: Resources | None = None
    weight: Annotated[int, msgspec.Meta(ge=1, le=MAX_WEIGHT)] = 1

    def check(self) -> None:
        """Check that the amounts of the quota are within bounds."""
        if self.quota is None:
            return
        for dimension, amount in msgspec.structs.asdict(self.quota).items():
            if not 0 <= amount <= MAX_AMOUNT:
                raise InvalidInputError(
                    f'given {amount}, allowed is 0 to {MAX_AMOUNT}',
                    f'quota.{dimension}',
                )


class Service(ConfigurationValue, frozen=True, kw_only=True):
    """A kind of interactive request.

    A service cannot be removed. A non-repeatable service cannot be made repeatable, nor change the
    failure domains that its selector accepts, on which the homes of its keys depend: entries apply
    such a change at different times, so one could repeat a request that another runs at most once.

    Attributes:
        selector: selector of the workers that may run it.
        repeatable: whether a request may run more than once; false is the safe choice.
        queue_limit: maximum requests of one workspace queued at one entry.
        deadline_ms: maximum duration of one request in milliseconds.
        slots: slots of a worker that one request occupies.
    """

    removable: ClassVar[bool] = False

    selector: Selector = {}
    repeatable: bool = False
    queue_limit: Count = 1000
    deadline_ms: Annotated[int, msgspec.Meta(ge=1, le=MAX_DEADLINE_MS)] = 5000
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1

    def check(self) -> None:
        """Check the selector."""
        check_selector(self.selector)

    def check_successor(self, successor: ConfigurationValue) -> None:
        """Reject changes that would break at-most-once execution of a non-repeatable service."""
        if self.repeatable or not isinstance(successor, Service):
            return
        if successor.repeatable:
            raise InvalidInputError('a non-repeatable service stays so', 'repeatable')
        given = successor.selector.get(FAILURE_DOMAIN_LABEL)
        kept = self.selector.get(FAILURE_DOMAIN_LABEL)
        if given != kept:
            raise InvalidInputError(
                f'given {given}, a non-repeatable service keeps {kept}',
                f'selector.{FAILURE_DOMAIN_LABEL}',
            )


class Policy(ConfigurationValue, frozen=True, kw_only=True):
    """Placement rule for the units of work whose labels match.

    Attributes:
        unit_selector: selector of the units of work to which the policy applies.
        vm_selector: selector of the workers that may run them.
        spread: maximum tasks of one job in one rack; 0 for no limit.
        priority: units with a larger one start first; 100 and above is urgent.
    """

    unit_selector: Selector = {}
    vm_selector: Selector = {}
    spread: Annotated[int, msgspec.Meta(ge=0, le=MAX_SPREAD)] = 0
    priority: Annotated[int, msgspec.Meta(ge=0, le=MAX_PRIORITY)] = 0

    def check(self) -> None:
        """Check both selectors."""
        check_selector(self.unit_selector, 'unit_selector')
        check_selector(self.vm_selector, 'vm_selector')


class VmLabels(ConfigurationValue, frozen=True, kw_only=True):
    """Labels of the VM whose id is the name of the object.

    They are added to the labels of the VM list, and override those of the same name.
    """

    labels: dict[str, str]

    def check(self) -> None:
        """Check the labels, none of which may be reserved for the platform."""
        check_labels(self.labels)
        reserved = RESERVED_LABELS.intersection(self.labels)
        if reserved:
            raise InvalidInputError(
                f'the platform sets {sorted(reserved)}; it cannot be changed here',
                'labels',
            )


class Drain(ConfigurationValue, frozen=True, kw_only=True):
    """Excludes the VM whose id is the name of the object from new work."""

    reason: Annotated[str, msgspec.Meta(max_length=MAX_REASON_LENGTH)] = ''


#: Value type of each kind of object.
VALUE_TYPES: MappingProxyType[ObjectKind, type[ConfigurationValue]] = MappingProxyType(
    {
        ObjectKind.workspace: Workspace,
        ObjectKind.service: Service,
        ObjectKind.policy: Policy,
        ObjectKind.vm_labels: VmLabels,
        ObjectKind.drain: Drain,
    }
)


def decode_value(kind: ObjectKind, text: str) -> ConfigurationValue:
    """Decode and check the JSON text of a value.

    Raises:
        InvalidInputError: with the path of the first error within the value.
    """
    encoded = text.encode()
    if len(encoded) > MAX_VALUE_BYTES:
        raise InvalidInputError(f'{len(encoded)} bytes, allowed are {MAX_VALUE_BYTES}')
    decoded = decode_json(encoded, VALUE_TYPES[kind])
    decoded.check()
    return decoded


def encode_value(config_value: ConfigurationValue) -> str:
    """Encode a value as the JSON text that `decode_value` reads."""
    return msgspec.json.encode(config_value).decode()
