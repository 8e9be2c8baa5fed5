"""What each workspace has running over all workers, derived from the runs at the workers."""

from collections.abc import Iterable

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.orders.runs import RunTable
from marigoldlift.scheduling.earlier_runs import EarlierRuns
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.state import CellState
from marigoldlift.workspaces.model import NO_WORKSPACE, ResourceCap

__all__ = ('ResourceUse', 'UsageByWorkspace', 'WorkspaceUsage', 'fitting_in_cap')


class ResourceUse:
    """Resources that runs occupy; the processor time of tasks that fill counts as well.

    Attributes:
        cpu_m: processor time, in thousandths of a core.
        mem_mb: memory, in MB.
        gpus: accelerators.
        tasks: number of runs.
    """

    __slots__ = ('cpu_m', 'gpus', 'mem_mb', 'tasks')

    def __init__(self) -> None:
        """Start without runs."""
        self.cpu_m = 0
        self.mem_mb = 0
        self.gpus = 0
        self.tasks = 0

    def add_tasks(self, step: Step, tasks: int) -> None:
        """Add tasks of a step."""
        self.cpu_m += step.cpu_m * tasks
        self.mem_mb += step.mem_mb * tasks
        self.gpus += step.gpus * tasks
        self.tasks += tasks

    def add(self, other: 'ResourceUse', sign: int = 1) -> None:
        """Add (sign 1) or subtract (sign -1) what other runs occupy."""
        self.cpu_m += sign * other.cpu_m
        self.mem_mb += sign * other.mem_mb
        self.gpus += sign * other.gpus
        self.tasks += sign * other.tasks

    def plus(self, other: 'ResourceUse') -> 'ResourceUse':
        """Return the sum of this and what other runs occupy."""
        total = ResourceUse()
        total.add(self)
        total.add(other)
        return total

    def share(self, cap: ResourceCap) -> float:
        """Return the largest share of a cap that is in use over its resources, 0 if the cap limits nothing."""
        limits = (
            (cap.cpu_m, self.cpu_m),
            (cap.mem_mb, self.mem_mb),
            (cap.gpus, self.gpus),
        )
        return max((used / limit for limit, used in limits if limit), default=0)


UsageByWorkspace = dict[WorkspaceId, ResourceUse]


def fitting_in_cap(cap: ResourceCap, used: ResourceUse, step: Step) -> int:
    """Return how many tasks of a step fit into a cap beside what runs; none while any resource is above the cap.

    A single task that is larger than the cap fits while nothing else of its workspace runs; otherwise it could never
    run.
    """
    limits = (
        (cap.cpu_m, used.cpu_m, step.cpu_m),
        (cap.mem_mb, used.mem_mb, step.mem_mb),
        (cap.gpus, used.gpus, step.gpus),
    )
    fitting = step.count
    for limit, taken, demand in limits:
        if limit and taken > limit:
            return 0
        if limit and demand:
            fitting = min(fitting, (limit - taken) // demand)
    return fitting if used.tasks else max(1, fitting)


class TableUsage(msgspec.Struct, frozen=True):
    """What the runs of one run table occupy, by workspace.

    Attributes:
        changes: number of changes of the table up to which this is valid.
    """

    changes: int
    by_workspace: UsageByWorkspace


class WorkspaceUsage:
    """Derives what each workspace has running.

    Every run that a worker may hold counts: starts without an answer, runs that are being stopped, runs of submissions
    that have ended, and what earlier leaders may have left on workers that have not listed their runs yet. A run whose
    submission is not known counts for no workspace.

    Attributes:
        earlier_runs: what earlier leaders may have left on workers that have not listed their runs yet.
        tables: sums of each run table; those of tables that have changed are derived anew.
        total: sum over all run tables.
    """

    def __init__(self, state: CellState, session_manager: SessionManager) -> None:
        """Start without sums."""
        self.state = state
        self.session_manager = session_manager
        self.earlier_runs = EarlierRuns(state, session_manager)
        self.tables: dict[RunTable, TableUsage] = {}
        self.total: UsageByWorkspace = {}

    def derive(self, starting: Iterable[StepRun]) -> UsageByWorkspace:
        """Return what each workspace has running; workspaces without runs are left out.

        Args:
            starting: gangs of which some members have been started; those that they still lack count as running.
        """
        self.update_tables()
        total: UsageByWorkspace = {}
        for name, used in self.total.items():
            use_of(total, name).add(used)
        for left in self.earlier_runs.remaining():
            use_of(total, left.workspace).add_tasks(left.step, 1)
        for step in starting:
            workspace = step.job.submission.workspace
            use_of(total, workspace).add_tasks(step.step, len(step.todo))
        return total

    def update_tables(self) -> None:
        """Derive the sums of the run tables that have changed, and forget those of closed sessions."""
        listed = [session.run_table for session in self.session_manager.sessions.values()]
        for table in listed:
            sums = self.tables.get(table)
            if sums is None or sums.changes != table.changes:
                self.forget(table)
                self.tables[table] = TableUsage(table.changes, self.sum_runs(table))
                for name, used in self.tables[table].by_workspace.items():
                    use_of(self.total, name).add(used)
        if len(self.tables) > len(listed):
            for closed in self.tables.keys() - set(listed):
                self.forget(closed)

    def forget(self, table: RunTable) -> None:
        """Remove the sums of a run table, if there are any."""
        sums = self.tables.pop(table, None)
        if sums is None:
            return
        for name, used in sums.by_workspace.items():
            self.total[name].add(used, -1)
            if not self.total[name].tasks:
                self.total.pop(name)

    def sum_runs(self, table: RunTable) -> UsageByWorkspace:
        """Return what the runs of a table occupy, by workspace."""
        sums: UsageByWorkspace = {}
        for run in table.runs.values():
            job = self.state.jobs.get(run.task.submission)
            workspace = job.submission.workspace if job else NO_WORKSPACE
            if workspace != NO_WORKSPACE:
                use_of(sums, workspace).add_tasks(run.step, 1)
        return sums


def use_of(sums: UsageByWorkspace, workspace: WorkspaceId) -> ResourceUse:
    """Return the sum of a workspace, which is created on first use."""
    used = sums.get(workspace)
    if used is None:
        used = ResourceUse()
        sums[workspace] = used
    return used
