"""Copies of the leader's parts on which a scheduling pass can be tried without an effect."""

import copy
from collections.abc import Sequence

from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import HeldTasks, Phase, Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.runtimes.api import ExpectedTimes, Factors, WorkKey
from marigoldlift.runtimes.quantiles import RatioDistribution
from marigoldlift.scheduling.placements import Placements
from marigoldlift.scheduling.session_manager import SessionManager
from marigoldlift.scheduling.start_limits import StartLimits
from marigoldlift.scheduling.starter import Starter
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.scheduling.tickets import TicketManager

__all__ = ('FrozenTimes', 'TrialStarter', 'TrialTickets', 'copy_job', 'copy_sessions', 'copy_step')


class FrozenTimes:
    """Expected run times that a trial does not renew."""

    def __init__(self, times: ExpectedTimes) -> None:
        """Answer as the given times do now."""
        self.times = times
        self.version = times.version

    def ratios(self, key: WorkKey) -> RatioDistribution:
        """Return the distribution of run time to estimate."""
        return self.times.ratios(key)

    def factors(self, key: WorkKey) -> Factors:
        """Return the factors of a step."""
        return self.times.factors(key)

    def slowness(self, worker: Worker) -> float:
        """Return how many times as long a worker takes as one of the common speed."""
        return self.times.slowness(worker)

    def speed_class(self, worker: Worker) -> int:
        """Return the class of speed of a worker."""
        return self.times.speed_class(worker)

    def refresh(self) -> None:
        """Keep the answers."""


class TrialStarter(Starter):
    """Records where tasks would be started, and sends nothing.

    Attributes:
        placed: workers of the tasks that would be started, by step.
    """

    def __init__(self, starter: Starter, sessions: SessionManager) -> None:
        """Begin with the starts that are under way.

        Args:
            starter: starter of the tenure.
            sessions: copy of its sessions.
        """
        super().__init__(sessions, starter.progress, starter.events)
        self.placed: dict[StepRun, list[WorkerSession]] = {}
        self.limits = StartLimits(do_nothing)
        self.limits.total = starter.limits.total
        # An answer says where tasks go, not how many starts the leader sends at once.
        self.limits.start_s = 0
        for session, count in starter.limits.counts.items():
            self.limits.counts[sessions.sessions.get(session.worker.id, session)] += count

    def start(self, step: StepRun, index: int, session: WorkerSession, run: int) -> bool:
        """Take the room of a task at the copy of a worker, unless a worker holds a run of it."""
        ref = step.task(index)
        if self.is_held(ref):
            return False
        session.run_table.take(Run(ref, run, step.step, Phase.sent, self.clock()))
        step.begin(index, session, run)
        self.limits.total += 1
        self.limits.counts[session] += 1
        self.placed.setdefault(step, []).append(session)
        return True

    def stop_step(self, step: StepRun) -> None:
        """Send no stops."""

    def log_placed(self, step: StepRun) -> None:
        """Log nothing."""


class TrialTickets(TicketManager):
    """Records which questions would be asked, and asks none.

    Attributes:
        questions: workers that a question would name, by step.
    """

    def __init__(self, tickets: TicketManager, starter: TrialStarter) -> None:
        """Use the tickets that steps hold, and what is known of earlier answers."""
        super().__init__(tickets.broker, tickets.placer, starter, tickets.clock, do_nothing)
        self.shares = tickets.shares
        self.questions: dict[StepRun, Sequence[str]] = {}

    def begin_question(self, step: StepRun, asked: Sequence[str]) -> None:
        """Record a question instead of booking its calls."""
        self.questions[step] = asked


def copy_sessions(sessions: SessionManager) -> SessionManager:
    """Return a copy of all sessions whose run tables may be changed; it must not be started."""
    held = HeldTasks()
    held.holders = dict(sessions.held_tasks.holders)
    copied = copy.copy(sessions)
    copied.held_tasks = held
    copied.health_records = dict(sessions.health_records)
    copied.sessions = {
        name: copy_session(session, held) for name, session in sessions.sessions.items()
    }
    return copied


def copy_session(session: WorkerSession, held: HeldTasks) -> WorkerSession:
    """Return a copy of a session with a run table of its own."""
    copied = copy.copy(session)
    copied.run_table = copy.copy(session.run_table)
    copied.run_table.runs = dict(session.run_table.runs)
    copied.run_table.held_tasks = held
    return copied


def copy_job(job: JobRun) -> JobRun:
    """Return a copy of an open submission with copies of the steps that wait, which a pass may change."""
    copied = copy.copy(job)
    copied.steps = {key: copy_step(step, copied) for key, step in job.steps.items() if step.todo}
    copied.running = {}
    copied.waiting = {}
    copied.complete = job.complete.copy()
    copied.queue = job.queue.copy()
    copied.queue.complete = copied.complete
    return copied


def copy_step(step: StepRun, job: JobRun) -> StepRun:
    """Return a copy of a step with collections of its own."""
    copied = copy.copy(step)
    copied.job = job
    for name, field in step.__dict__.items():
        if isinstance(field, dict | set | Placements):
            setattr(copied, name, copy.copy(field))
    return copied


def do_nothing() -> None:
    """Ignore a request for a scheduling pass."""
