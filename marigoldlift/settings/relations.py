"""Relations that must hold between settings."""

from collections.abc import Callable, Iterable
from operator import attrgetter, contains, lt
from typing import Any

import msgspec

from marigoldlift.settings.reader import InvalidOption
from marigoldlift.settings.settings import Settings

__all__ = ('RELATIONS', 'Relation', 'check_relations')

#: A lease survives two lost renewals.
RENEWALS_PER_LEASE = 3

#: A takeover, after one lease and one renewal interval, renews the task leases in time.
LEASES_PER_TASK_LEASE = 2

#: One lost heartbeat does not make an entry suspect.
HEARTBEATS_PER_SUSPICION = 2

#: A new snapshot is complete before the log forgets the previous one.
SNAPSHOTS_PER_RETENTION = 2

#: The record made of a body, which is longer than the body, fits into one append.
BODIES_PER_BATCH = 2


class Relation(msgspec.Struct, frozen=True):
    """A rule between two options.

    Attributes:
        path: option that is reported.
        other: option that it is compared with.
        rule: what must hold, for a person.
        holds: check of the two values in this order.
    """

    path: str
    other: str
    rule: str
    holds: Callable[[Any, Any], bool]

    def find_error(self, given: Settings) -> InvalidOption | None:
        """Return the fault if the rule does not hold."""
        own = attrgetter(self.path)(given)
        other = attrgetter(self.other)(given)
        if self.holds(own, other):
            return None
        return InvalidOption(self.path, f'given {own}, {self.rule} {self.other}, which is {other}')


def at_most_fraction(parts: int) -> Callable[[int, int], bool]:
    """Return a check that the first value fits into the second this many times."""
    return lambda own, other: own * parts <= other


def is_in(own: object, other: Iterable[object]) -> bool:
    """Check that the first value is contained in the second."""
    return contains(other, own)


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


def check_relations(given: Settings, faulty_paths: Iterable[str]) -> list[InvalidOption]:
    """Return the faults between options that are each valid by themselves."""
    faulty = {path.partition('[')[0] for path in faulty_paths}
    errors = [
        relation.find_error(given)
        for relation in RELATIONS
        if not faulty.intersection((relation.path, relation.other))
    ]
    return [fault for fault in errors if fault]
