"""Rules between two settings, which must hold for the settings to be valid."""

from collections.abc import Callable, Iterable
from operator import attrgetter, contains, lt
from typing import Any

import msgspec

from marigoldlift.settings.reader import InvalidOption
from marigoldlift.settings.settings import Settings

__all__ = ('RELATIONS', 'Relation', 'check_relations')

#: A lease remains valid when two renewals in a row are lost.
RENEWALS_PER_LEASE = 3

#: A takeover, one lease and one renewal interval after the last renewal, still renews the task
#: leases in time.
LEASES_PER_TASK_LEASE = 2

#: One lost heartbeat does not make an entry suspect.
HEARTBEATS_PER_SUSPICION = 2

#: A new snapshot is complete before the log drops the previous one.
SNAPSHOTS_PER_RETENTION = 2

#: The record of a request body, which is longer than the body itself, fits into one append.
BODIES_PER_BATCH = 2


class Relation(msgspec.Struct, frozen=True):
    """A rule between two options.

    Attributes:
        path: first option, which the error names.
        other: second option.
        rule: relation of the two in words, for the error message.
        holds: predicate of the values of the first and the second option.
    """

    path: str
    other: str
    rule: str
    holds: Callable[[Any, Any], bool]

    def find_error(self, given: Settings) -> InvalidOption | None:
        """Return an error if the rule does not hold, else None."""
        first = attrgetter(self.path)(given)
        second = attrgetter(self.other)(given)
        if self.holds(first, second):
            return None
        return InvalidOption(
            self.path, f'given {first}, {self.rule} {self.other}, which is {second}'
        )


def at_most_fraction(parts: int) -> Callable[[int, int], bool]:
    """Return a predicate that the first value is at most the second divided by `parts`."""
    return lambda first, second: first * parts <= second


def is_in(first: object, second: Iterable[object]) -> bool:
    """Return whether the second value contains the first."""
    return contains(second, first)


RELATIONS = (
    Relation('failure_domain', 'failure_domains', 'must be one of', is_in),
    Relation(
        'lease.renew_ms',
        'lease.ttl_ms',
        'must be at most a third of',
        at_most_fraction(RENEWALS_PER_LEASE),
    ),
    Relation(
        'lease.ttl_ms',
        'lease.task_lease_ms',
        'must be at most half of',
        at_most_fraction(LEASES_PER_TASK_LEASE),
    ),
    Relation(
        'membership.heartbeat_ms',
        'membership.suspect_ms',
        'must be at most half of',
        at_most_fraction(HEARTBEATS_PER_SUSPICION),
    ),
    Relation(
        'membership.remote_heartbeat_ms',
        'membership.remote_suspect_ms',
        'must be at most half of',
        at_most_fraction(HEARTBEATS_PER_SUSPICION),
    ),
    Relation('membership.suspect_ms', 'membership.remove_ms', 'must be below', lt),
    Relation('membership.remote_suspect_ms', 'membership.remote_remove_ms', 'must be below', lt),
    Relation(
        'journal.max_batch_records',
        'journal.max_pending_records',
        'must be at most',
        at_most_fraction(1),
    ),
    Relation(
        'limits.max_body_bytes',
        'journal.max_batch_bytes',
        'must be at most half of',
        at_most_fraction(BODIES_PER_BATCH),
    ),
    Relation(
        'journal.snapshot_records',
        'journal.retention_records',
        'must be at most half of',
        at_most_fraction(SNAPSHOTS_PER_RETENTION),
    ),
)


def check_relations(given: Settings, invalid_paths: Iterable[str]) -> list[InvalidOption]:
    """Return the errors of all relations except those with an option that is invalid itself."""
    invalid_options = {path.partition('[')[0] for path in invalid_paths}
    errors = [
        relation.find_error(given)
        for relation in RELATIONS
        if not invalid_options.intersection((relation.path, relation.other))
    ]
    return [error for error in errors if error]
