"""How many tasks of a step fit into the cap of its workspace.

Answers the load of a workspace that hands in more than its cap holds: its own work waits, and neither holds up that of
others nor takes room, questions to the advice, or reservations from them.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from marigoldlift.ids import WorkspaceId
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.workspace_usage import (
    ResourceUse,
    UsageByWorkspace,
    WorkspaceUsage,
    fitting_in_cap,
    use_of,
)
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.model import NO_CAP, NO_WORKSPACE, ResourceCap

__all__ = ('WorkspaceCaps',)

#: Age of the last read of the configuration above which caps count as unknown, in s; reads wait for up to 1 s. The
#: platform's rules let an older version be used for 3 s.
MAX_CONFIGURATION_AGE_S = 2.5

#: How long after the acceptance of a submission the configuration must have been read to include its workspace, in s; a
#: read that was answered earlier may have been on its way since before. The platform's rules count a submission as lost
#: after 3 s.
CONFIGURATION_LAG_S = 1.0

#: How long after a change of the configuration starts are checked once more before they are ordered, in s; a placement
#: waits for the store before that, and an outage takes 5 s.
RECHECK_S = 10

#: Share of its cap above which a workspace may be what keeps a step waiting, by the platform's rules.
BUSY_SHARE = 0.5

#: Steps of a workspace that its cap may refuse in one pass before the others are left to later passes, so that the waiting
#: work of one workspace does not make the pass slow for all.
MAX_REFUSED = 20


class WorkspaceCaps:
    """Decides how many tasks of a step may be started in the current pass.

    Attributes:
        used: what each workspace has running, with what the pass has placed; None until it is needed.
        reserved: the most urgent step of each workspace that waits for room in the cap, or gang that waits for workers or
            for an answer of the advice; its room is kept from less urgent steps of the same workspace.
        refused: number of steps that the cap of each workspace has refused in this pass.
        claimed: what the tasks of each workspace need whose questions to the advice are under way.
        starting: gangs of which some members were started before the pass.
        version: version of the configuration in the last pass.
        changed_at: when the first pass with that version began, in seconds of the monotonic clock.
    """

    def __init__(
        self,
        directory: WorkspaceDirectory,
        usage: WorkspaceUsage,
        clock: Callable[[], float],
    ) -> None:
        """Start before the first pass.

        Args:
            directory: holds the caps.
            usage: derives what each workspace has running.
            clock: monotonic clock in seconds.
        """
        self.directory = directory
        self.usage = usage
        self.clock = clock
        self.used: UsageByWorkspace | None = None
        self.reserved: dict[WorkspaceId, StepRun] = {}
        self.refused: Counter[WorkspaceId] = Counter()
        self.claimed: UsageByWorkspace = {}
        self.starting: set[StepRun] = set()
        self.version = directory.version
        self.changed_at = clock()

    def begin_pass(self, waiting: Iterable[StepRun]) -> None:
        """Begin a pass; what runs is derived anew once a step of a workspace asks.

        Args:
            waiting: steps with tasks to start.
        """
        if self.version != self.directory.version:
            self.version = self.directory.version
            self.changed_at = self.clock()
        self.used = None
        self.reserved = {}
        self.refused.clear()
        self.claimed = {}
        self.starting = {step for step in waiting if is_starting(step)}

    def admit(self, step: StepRun) -> int:
        """Return how many waiting tasks of a step may be started now.

        A gang is admitted whole or not at all; members that a started gang lacks always are, since their room is kept.
        """
        workspace = step.job.submission.workspace
        if workspace == NO_WORKSPACE or step.gang_started_at is not None:
            return len(step.todo)
        cap = self.find_cap(step)
        if cap is None:
            return 0
        if cap == NO_CAP:
            return len(step.todo)
        return tasks_to_start(step, fitting_in_cap(cap, self.used_beside(step), step.step))

    def still_admits(self, step: StepRun) -> bool:
        """Return whether a start that the pass has placed may still be ordered: its cap may have been lowered since.

        Members of a gang are ordered all the same, since those that were ordered already wait for them.
        """
        if step.job.submission.workspace == NO_WORKSPACE or step.step.gang:
            return True
        is_settled = self.clock() - self.changed_at > RECHECK_S
        cap = self.find_cap(step)
        if cap is None or (is_settled and self.version == self.directory.version):
            return cap is not None
        used = self.usage.derive(self.starting).get(step.job.submission.workspace)
        return used is None or used.tasks == 1 or used.share(cap) <= 1

    def room_to_ask(self, step: StepRun, admitted: int) -> int:
        """Return for how many of its admitted tasks a step without tickets may ask the advice.

        The more urgent steps of its workspace whose questions are under way count as if they ran: asking for more tasks
        than the cap has room for would use up calls for tickets that expire.
        """
        workspace = step.job.submission.workspace
        cap = self.find_cap(step)
        if workspace not in self.claimed or cap is None or self.reserved.get(workspace) is step:
            return admitted
        total = self.used_beside(step).plus(self.claimed[workspace])
        return min(tasks_to_start(step, fitting_in_cap(cap, total, step.step)), admitted)

    def note_question(self, step: StepRun, tasks: int) -> None:
        """Count the tasks of a step whose question to the advice is under way; a gang keeps its room meanwhile."""
        workspace = step.job.submission.workspace
        if workspace == NO_WORKSPACE or not step.is_asking:
            return
        if is_waiting_gang(step):
            self.reserve(step)
        if self.reserved.get(workspace) is not step:
            use_of(self.claimed, workspace).add_tasks(step.step, tasks)

    def is_exhausted(self, step: StepRun) -> bool:
        """Return whether the cap has refused so many steps of the workspace that the step is left to a later pass."""
        return self.refused[step.job.submission.workspace] >= MAX_REFUSED

    def refuse(self, step: StepRun) -> PendingReason:
        """Keep room for a step that is not admitted, and return why it is not."""
        self.refused[step.job.submission.workspace] += 1
        self.reserve(step)
        return self.pending_reason(step)

    def hold(self, step: StepRun) -> None:
        """Keep the room of a gang that is admitted but finds no workers, until its objective has passed."""
        if is_waiting_gang(step) and self.clock() - step.job.since < step.job.objective_s:
            self.reserve(step)

    def pending_reason(self, step: StepRun) -> PendingReason:
        """Return why a step is not admitted."""
        return PendingReason.cap_unknown if self.find_cap(step) is None else PendingReason.cap

    def reserve(self, step: StepRun) -> None:
        """Keep room for a waiting step from less urgent ones of its workspace, whose smaller tasks might fill it for ever.

        A gang gets room for all of its tasks, another step for one. Only the first step of a workspace in a pass gets a
        reservation, and no gang that is larger than the cap: it cannot run until the cap is raised, and must not hold up
        others.
        """
        workspace = step.job.submission.workspace
        if workspace == NO_WORKSPACE or workspace in self.reserved or is_starting(step):
            return
        if not self.is_too_wide(step):
            self.reserved[workspace] = step

    def is_too_wide(self, step: StepRun) -> bool:
        """Return whether a step is a gang that does not fit into its cap, or whose cap is not known."""
        if not step.step.gang:
            return False
        cap = self.find_cap(step)
        return cap is None or fitting_in_cap(cap, ResourceUse(), step.step) < step.step.count

    def note_placed(self, step: StepRun, tasks: int) -> None:
        """Count tasks that the pass has placed."""
        workspace = step.job.submission.workspace
        if self.used is None or step in self.starting or not tasks:
            return
        use_of(self.used, workspace).add_tasks(step.step, tasks)
        if self.reserved.get(workspace) is step:
            self.reserved.pop(workspace)

    def may_wait(self, step: StepRun) -> bool:
        """Return whether a step may wait because of its cap.

        By the platform's rules it may while half of the cap or more is in use. A gang that is larger than the cap must wait.
        """
        cap = self.find_cap(step)
        if cap is None or self.is_too_wide(step):
            return True
        return cap != NO_CAP and self.used_by(step).share(cap) >= BUSY_SHARE

    def find_cap(self, step: StepRun) -> ResourceCap | None:
        """Return the cap of a step's workspace, None if it is not known.

        A withdrawn workspace keeps its last cap, so that what it has handed in is done as before. One that no version read
        since the acceptance names was withdrawn before this process began, and has none.
        """
        workspace = step.job.submission.workspace
        if workspace == NO_WORKSPACE:
            return NO_CAP
        read_at = self.directory.read_at()
        if self.directory.version < 0 or self.clock() - read_at > MAX_CONFIGURATION_AGE_S:
            return None
        known = self.directory.find_last(workspace)
        if known is not None:
            return known.cap
        return NO_CAP if read_at > step.job.since + CONFIGURATION_LAG_S else None

    def in_use(self) -> UsageByWorkspace:
        """Return what each workspace has running."""
        if self.used is None:
            self.used = self.usage.derive(self.starting)
        return self.used

    def used_by(self, step: StepRun) -> ResourceUse:
        """Return what the workspace of a step has running."""
        return self.in_use().get(step.job.submission.workspace) or ResourceUse()

    def used_beside(self, step: StepRun) -> ResourceUse:
        """Return what the workspace of a step has running, with the room reserved for another step."""
        used = self.used_by(step)
        holder = self.reserved.get(step.job.submission.workspace)
        if holder is None or holder is step:
            return used
        total = used.plus(ResourceUse())
        total.add_tasks(holder.step, holder.step.count if holder.step.gang else 1)
        return total


def tasks_to_start(step: StepRun, fitting: int) -> int:
    """Return how many waiting tasks of a step may be started if so many fit into its cap: a gang whole or not at all."""
    if step.step.gang and fitting < step.step.count:
        return 0
    return min(fitting, len(step.todo))


def is_starting(step: StepRun) -> bool:
    """Return whether some members of a gang were started and the others are still to join them."""
    return step.gang_started_at is not None and not step.gang_broken


def is_waiting_gang(step: StepRun) -> bool:
    """Return whether a step is a gang of which no member was started."""
    return step.step.gang and step.gang_started_at is None
