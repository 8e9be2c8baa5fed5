"""What a tenure of the leader works with."""

from collections.abc import Callable

import msgspec

from marigoldlift.leadership.election import Election
from marigoldlift.orders.api import WorkerCalls
from marigoldlift.replication.api import KeyedLog
from marigoldlift.replication.replica import Replica
from marigoldlift.scheduling.advice import AdviceBroker
from marigoldlift.scheduling.registry import Registry
from marigoldlift.submissions.state import CellState
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('DispatcherParts',)


class DispatcherParts(msgspec.Struct):
    """What a tenure works with.

    Attributes:
        listing: follows the registry's topic; its snapshot is taken as the tenure begins.
        clock: steady time in seconds.
        lease_s: longest lease that workers take.
        gang_wait_s: how long a gang's member waits for the others.
        outcome_kept_s: how long the outcome of a submission is told at least.
    """

    state: CellState
    replica: Replica
    registry: Registry
    listing: Replica
    calls: WorkerCalls
    log: KeyedLog
    broker: AdviceBroker
    election: Election
    clock: Callable[[], float]
    lease_s: float
    gang_wait_s: float
    outcome_kept_s: float
    metrics: Metrics
