"""Watches that no task whose turn has come stands still, and that the counted room is what runs take."""

import asyncio
import contextlib
import math
from collections.abc import Iterator

from marigoldlift.leadership.election import LEADER_LEASE_S
from marigoldlift.orders.api import EndKind
from marigoldlift.orders.session import UNLEASED_EXPIRY_S
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Submission, TaskRef
from tests.cell.model import ModelCell

__all__ = ('LOST_WORKER_IDLE_S', 'IDLE_S', 'StandstillChecker')

#: How long a task may run nowhere while the cell is calm, in s.
IDLE_S = 3.0

#: How long it may after its worker is gone, in s: a lease of 6 s on a clock that is 2% slow, and a second of margins.
LOST_WORKER_IDLE_S = 7.1

#: Pause between two looks, in s.
POLL_S = 0.05

#: Age of a start after which a look has listed it, in s.
UNLISTED_S = 1.0

MAX_VIOLATIONS = 10


class StandstillChecker:
    """Looks at all tasks and all counts of room.

    Attributes:
        violations: what stood still or was counted wrongly, one line each.
        longest_s: longest time that a task ran nowhere beyond what the cell's troubles excuse.
        lasting_faults: faults that last now.
        faults_ended_at: when the last fault ended.
        leader_silent_at: when the last leader that was killed gives no more orders even if it was only paused.
        late_until: when the last order that is carried out late has been.
        wait_limits: time until which the tasks of a worker that is gone may wait, by worker.
        restarted: when a worker started again that went down before it had answered, and until when starts may wait of which
            it may carry a late copy out, by worker.
        known_done: tasks that a leader has known as done.
        places: worker that a task was ordered to last and when, by task.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Start to look."""
        self.cell = cell
        self.violations: list[str] = []
        self.longest_s: float = 0
        self.lasting_faults = 0
        self.leader_silent_at: float = 0
        self.late_until = cell.loop.time()
        self.faults_ended_at = cell.loop.time()
        self.ran_at: dict[TaskRef, float] = {}
        self.known_done: set[TaskRef] = set()
        self.places: dict[TaskRef, tuple[str, float]] = {}
        self.wait_limits: dict[str, float] = {}
        self.restarted: dict[str, tuple[float, float]] = {}
        self.polling = cell.loop.create_task(self.poll())

    @contextlib.contextmanager
    def lasting_fault(self) -> Iterator[None]:
        """Count a fault as lasting."""
        self.lasting_faults += 1
        try:
            yield
        finally:
            self.lasting_faults -= 1
            self.faults_ended_at = self.cell.loop.time()

    def worker_lost(self, name: str) -> None:
        """Note that a worker is gone; what it held may wait for the end of its lease."""
        self.restarted.pop(name, None)
        self.faults_ended_at = self.cell.loop.time()
        self.wait_limits[name] = (
            max(self.faults_ended_at, self.leader_silent_at) + LOST_WORKER_IDLE_S
        )

    def worker_restarted(self, name: str) -> None:
        """Note that a worker went down soon after it had started again."""
        self.worker_lost(name)
        self.restarted[name] = (self.faults_ended_at, self.faults_ended_at + UNLEASED_EXPIRY_S + 1)

    def leader_retired(self) -> None:
        """Note a handover: a new leader knows only that the one before gave no orders after it."""
        self.extend_wait_limits(self.cell.loop.time())

    def leader_killed(self) -> None:
        """Note that a leader was killed; others have to allow for orders of a paused one."""
        self.faults_ended_at = self.cell.loop.time()
        self.extend_wait_limits(self.faults_ended_at + LEADER_LEASE_S)

    def extend_wait_limits(self, leader_silent_at: float) -> None:
        """Let tasks of workers that are gone wait for leases that were given until a time."""
        now = self.cell.loop.time()
        self.leader_silent_at = leader_silent_at
        for name, until in self.wait_limits.items():
            if until > now:
                self.wait_limits[name] = max(until, leader_silent_at + LOST_WORKER_IDLE_S)
        for young, (restarted_at, young_until) in self.restarted.items():
            if young_until > now:
                self.restarted[young] = (
                    restarted_at,
                    max(young_until, leader_silent_at + LOST_WORKER_IDLE_S),
                )

    async def poll(self) -> None:
        """Look until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now = self.cell.loop.time()
            if self.lasting_faults:
                self.faults_ended_at = now
            for name, submission in self.cell.checker.submissions.items():
                if f's/{name}' in self.cell.log.newest:
                    self.check(submission, now)
            self.check_room()

    def check(self, submission: Submission, now: float) -> None:
        """Check the tasks of one submission; ends that are lost with their worker take a later step's turn back."""
        for number, step in enumerate(submission.steps):
            has_turn = all(self.is_done(submission, before) for before in step.after)
            for index in range(step.count):
                task = TaskRef(submission.id, 0, number, index)
                if not has_turn:
                    self.ran_at.pop(task, None)
                elif not self.has_ended(task):
                    self.check_task(task, now)

    def is_done(self, submission: Submission, number: int) -> bool:
        """Tell whether all tasks of a step have ended as done."""
        return all(
            self.has_ended(TaskRef(submission.id, 0, number, index))
            for index in range(submission.steps[number].count)
        )

    def has_ended(self, task: TaskRef) -> bool:
        """Tell whether a task has ended as done and that is not lost with its worker."""
        if task not in self.cell.checker.ended_done:
            return False
        if task in self.cell.checker.done or self.is_known_done(task):
            return True
        return any(
            ended.task == task and ended.kind is EndKind.done
            for worker in self.cell.workers.values()
            if worker.up
            for ended in worker.ends
        )

    def is_known_done(self, task: TaskRef) -> bool:
        """Tell whether a leader has taken in that a task is done."""
        step = self.step_of(task)
        if step is not None and task.index in step.done:
            self.known_done.add(task)
        leader = self.cell.leader()
        dispatcher = leader.node.dispatcher if leader else None
        if dispatcher is not None and task.submission in dispatcher.open_submissions.closed:
            self.known_done.add(task)
        return task in self.known_done

    def check_task(self, task: TaskRef, now: float) -> None:
        """Check one task that is to run."""
        self.follow_place(task, now)
        if self.runs(task):
            self.ran_at[task] = now
            return
        since = max(self.ran_at.setdefault(task, now), self.faults_ended_at)
        idle_s = now - max(since, self.may_wait_until(task) - IDLE_S)
        self.longest_s = max(self.longest_s, idle_s)
        if idle_s > IDLE_S:
            self.record_violation(
                f'STANDSTILL: task={task.name} idle_s={now - since:.2f} at={now:.2f}'
                f' known={self.known(task)}'
            )

    def runs(self, task: TaskRef) -> bool:
        """Tell whether a sound worker runs a task."""
        return any(
            worker.up and not worker.hangs and task in worker.held
            for worker in self.cell.workers.values()
        )

    def follow_place(self, task: TaskRef, now: float) -> None:
        """Note where a task was ordered to run; an order to another worker begins its time anew."""
        place = self.place_of(task)
        if place and place != self.places.get(task, ('', 0))[0]:
            self.places[task] = (place, now)
            self.ran_at[task] = now

    def may_wait_until(self, task: TaskRef) -> float:
        """Return until when a task may wait for the worker that it was ordered to."""
        place, placed_at = self.places.get(task, ('', 0))
        if place not in self.wait_limits:
            return 0
        restarted_at, young_until = self.restarted.get(place, (math.inf, 0))
        if placed_at > restarted_at - UNLISTED_S:
            return young_until
        return self.wait_limits[place]

    def step_of(self, task: TaskRef) -> StepRun | None:
        """Return the step of a task as the leader knows it."""
        leader = self.cell.leader()
        dispatcher = leader.node.dispatcher if leader else None
        return dispatcher.open_submissions.step_of(task) if dispatcher else None

    def place_of(self, task: TaskRef) -> str:
        """Return the worker that a leader has ordered a task to."""
        step = self.step_of(task)
        if step is None:
            return ''
        session = step.active.get(task.index)
        return session.worker.id if session else step.old_places.get(task.index, '')

    def known(self, task: TaskRef) -> str:
        """Return what the leader knows of a task."""
        step = self.step_of(task)
        session = step.active.get(task.index) if step else None
        run = session.room.runs.get(task) if session else None
        seen = f'{run.phase} unanswered={run.unanswered} fence={run.fence}' if run else 'no run'
        return f'place={self.place_of(task)} active={session is not None} {seen}'

    def check_room(self) -> None:
        """Check that what a session counts as free is what its runs leave."""
        leader = self.cell.leader()
        dispatcher = leader.node.dispatcher if leader else None
        if dispatcher is None:
            return
        for session in dispatcher.session_manager.sessions.values():
            taken = sum(run.step.cpu_m for run in session.room.runs.values() if not run.step.fills)
            if session.room.cpu_m != session.worker.cpu_m - taken:
                self.record_violation(
                    f'ROOM: worker={session.worker.id} free={session.room.cpu_m} taken={taken}'
                )

    def record_violation(self, line: str) -> None:
        """Keep a violation, and not each of a row."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(line)
