"""A scheduling pass on copies of the leader's state, which changes nothing.

The pass is that of `Planner`, with all waiting steps in their order, so that its answer takes into account what the more
urgent ones would take, reserve or be refused.
"""

import copy
import itertools
import math
from collections.abc import Iterable, Mapping, Sequence

from marigoldlift.orders.session import WorkerSession
from marigoldlift.scheduling.pending import PendingSteps
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.service_order import ServiceClass, service_rank
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.step_queue import StepKey
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.scheduling.trial_parts import (
    FrozenTimes,
    TrialStarter,
    TrialTickets,
    copy_job,
    copy_sessions,
    copy_step,
)
from marigoldlift.scheduling.worker_rulings import count_rulings
from marigoldlift.scheduling.workspace_caps import WorkspaceCaps
from marigoldlift.scheduling.workspace_usage import WorkspaceUsage
from marigoldlift.submissions.records import StepProgress
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('MAX_STEPS', 'TrialPlanner')

#: Steps of the submission that are described.
MAX_STEPS = 100

#: Submissions and their copies.
Copies = Mapping[JobRun, JobRun]


class TrialPlanner(Planner):
    """Planner whose sessions, steps, caps and limits are copies.

    Attributes:
        explained: copy of the submission to explain.
        described: its first steps.
        trial_starter: records where tasks would be started.
        trial_tickets: records which questions the advice would be asked.
        ranked: steps that may be placed now, the most urgent first.
        classes: classes in the order of service of those steps of the submission that may be placed now.
        rulings: what rules workers out for each step of the submission, as it was when the step was tried.
    """

    def __init__(self, planner: Planner, job: JobRun) -> None:
        """Copy what a pass changes.

        Args:
            planner: planner of the tenure.
            job: the submission to explain, open or not handed in.
        """
        sessions = copy_sessions(planner.session_manager)
        copies = copy_jobs((job, *(step.job for step in planner.waiting)))
        self.trial_starter = TrialStarter(planner.starter, sessions)
        self.trial_tickets = TrialTickets(planner.tickets, self.trial_starter)
        placer = copy.copy(planner.placer)
        placer.health_of = sessions.health
        placer.times = FrozenTimes(planner.placer.times)
        self.trial_tickets.placer = placer
        faults = FaultBoundary(planner.clock, Metrics())
        faults.set_aside = dict(planner.faults.set_aside)
        super().__init__(
            sessions,
            placer,
            self.trial_tickets,
            self.trial_starter,
            planner.clock,
            0,
            copy_pending(planner, sessions, copies),
            faults,
        )
        self.gang_limit_s = planner.gang_limit_s
        self.order.turns_s = math.inf
        self.wait_report.reported_at = self.clock()
        for step in planner.waiting:
            if step.todo:
                self.waiting.add(copy_of(step, copies))
        self.explained = copies[job]
        self.explained.refresh_times(placer.times)
        self.described = first_steps(self.explained, job)
        for step in self.described:
            self.waiting.add(step)
        self.ranked: list[StepRun] = []
        self.classes: dict[StepRun, ServiceClass] = {}
        self.rulings: dict[StepRun, dict[str, int]] = {}

    def ready_steps(self, now: float, wall_ms: float) -> list[StepRun]:
        """Return the steps that may be placed now, and keep their order."""
        self.ranked = super().ready_steps(now, wall_ms)
        for step in self.ranked:
            if step.job is self.explained:
                self.classes[step] = ServiceClass(service_rank(step, now, wall_ms)[0])
        return self.ranked

    def place(self, step: StepRun) -> None:
        """Place a step; keep what rules workers out before later steps take room."""
        super().place(step)
        if step.job is self.explained:
            self.rulings[step] = self.count_rulings(step)

    def count_rulings(self, step: StepRun) -> dict[str, int]:
        """Return what rules workers out that would get no tasks of a step."""
        return count_rulings(self, step, self.placed(step))

    def placed(self, step: StepRun) -> Sequence[WorkerSession]:
        """Return the workers of the tasks of a step that would be started."""
        return self.trial_starter.placed.get(step, ())


def copy_jobs(jobs: Iterable[JobRun]) -> Copies:
    """Return copies of submissions, each once."""
    return {job: copy_job(job) for job in dict.fromkeys(jobs)}


def first_steps(copied: JobRun, job: JobRun) -> list[StepRun]:
    """Return the first steps of a copied submission.

    Those that are not open yet are opened, also before their turn; a complete step is returned without being opened.

    Args:
        copied: copy of the submission.
        job: the submission.
    """
    numbers = range(len(job.submission.steps))
    keys = itertools.product(range(job.submission.occurrences), numbers)
    return [find_step(copied, job, key) for key in itertools.islice(keys, MAX_STEPS)]


def find_step(copied: JobRun, job: JobRun, key: StepKey) -> StepRun:
    """Return a step of a copied submission, which is opened if it is neither open nor complete."""
    found = copied.steps.get(key)
    if found is not None:
        return found
    running = job.steps.get(key)
    if running is not None:
        copied.steps[key] = copy_step(running, copied)
        return copied.steps[key]
    if key not in job.complete:
        return copied.open_step(key)
    occurrence, number = key
    every = list(range(job.submission.steps[number].count))
    return StepRun(copied, number, occurrence, StepProgress(occurrence, number, done=every))


def copy_of(step: StepRun, copies: Copies) -> StepRun:
    """Return the copy of a step."""
    return copies[step.job].steps[step.occurrence, step.number]


def copy_pending(planner: Planner, sessions: SessionManager, copies: Copies) -> PendingSteps:
    """Return the idle times of the copied steps, with caps of their own.

    Args:
        planner: planner of the tenure.
        sessions: copy of its sessions.
        copies: copies of the submissions.
    """
    usage = WorkspaceUsage(planner.caps.usage.state, sessions)
    usage.earlier_runs.runs = planner.caps.usage.earlier_runs.runs
    pending = copy.copy(planner.pending)
    pending.session_manager = sessions
    pending.caps = WorkspaceCaps(planner.caps.directory, usage, planner.clock)
    pending.reasons = {}
    pending.spans = {
        copy_of(step, copies): span
        for step, span in planner.pending.spans.items()
        if step.job in copies and step.key in copies[step.job].steps
    }
    return pending
