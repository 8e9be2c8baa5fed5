"""Dependencies of the dispatcher, which runs for one tenure of the leader."""

from collections.abc import Callable

import msgspec

from marigoldlift.leadership.election import Election
from marigoldlift.orders.api import WorkerCalls
from marigoldlift.replication.api import KeyedLog
from marigoldlift.replication.replica import Replica
from marigoldlift.scheduling.advice import AdviceBroker
from marigoldlift.scheduling.registry import Registry
from marigoldlift.submissions.state import CellState
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.directory import WorkspaceDirectory

__all__ = ('DispatcherParts',)


class DispatcherParts(msgspec.Struct):
    """Dependencies and limits that a dispatcher is built with.

    Attributes:
        state: state of the cell, built from the log.
        replica: follows the log that holds the state of the cell.
        registry: workers that the platform lists.
        listing: follows the registry's topic; it reads a snapshot as the tenure begins, for which the takeover waits.
        calls: calls to workers.
        log: log to which the leader appends.
        broker: calls to the placement advice.
        election: election in which this entry became the leader.
        clock: monotonic clock in seconds.
        lease_s: longest lease that workers accept, in seconds.
        gang_wait_s: how long a member of a gang waits at its worker for the others, in seconds.
        outcome_kept_s: minimum time for which the outcome of a submission can be queried, in seconds.
        metrics: metrics of this entry.
        faults: sets aside items whose handling raises.
        workspaces: workspaces of the newest configuration.
        learns_run_times: whether run times and speeds of workers are learned and used.
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
    faults: FaultBoundary
    workspaces: WorkspaceDirectory
    learns_run_times: bool = False
