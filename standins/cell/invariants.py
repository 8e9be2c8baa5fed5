"""Invariants of the workers, checked at each start and end of a run."""

from collections import Counter
from collections.abc import Collection, Mapping

from marigoldlift.submissions.model import Submission, TaskRef
from standins.cell.caps import CapHistory

__all__ = ('InvariantChecker',)


class InvariantChecker:
    """Tracks the runs on all workers and checks the invariants.

    Attributes:
        violations: violated invariants, one line each, which begins with a code: TWICE (a task runs twice at the same
            time or after an end `done` that is acknowledged then or later), LIMIT (the worker's capacity is exceeded), ROUTE
            (the worker lacks the required label or holds too many tasks of the step), UNASKED (the submission is
            unknown), BUDGET (no attempts are left), ORDER (an earlier step is not done), CAP (the cap of the workspace is
            exceeded).
        submissions: known submissions by id.
        starts: number of started runs, by task.
        running: workers that run a task, by task.
        ended_done: tasks with an end `done`, acknowledged or not; the end of a member of a gang counts for all.
        done_runs: runs that have ended `done`, acknowledged or not, by task.
        repeated_runs: runs that had ended `done`, without an acknowledgement, when another run was started, by task.
        caps: caps of the workspaces.
        done: tasks with an acknowledged end `done`.
        failed: number of acknowledged ends `failed`, by task.
        ended_failed: number of ends `failed`, acknowledged or not, by task.
        unanswered: loop time at which the newest start was sent that has no answer and that no status has listed, by task,
            in s.
        own_faults: number of runs that are still to fail through their own fault, by task.
    """

    def __init__(self) -> None:
        """Start without submissions or runs."""
        self.own_faults: dict[TaskRef, int] = {}
        self.violations: list[str] = []
        self.submissions: dict[str, Submission] = {}
        self.starts: Counter[TaskRef] = Counter()
        self.running: dict[TaskRef, set[str]] = {}
        self.ended_done: set[TaskRef] = set()
        self.done_runs: dict[TaskRef, set[int]] = {}
        self.repeated_runs: dict[TaskRef, set[int]] = {}
        self.done: set[TaskRef] = set()
        self.failed: dict[TaskRef, int] = {}
        self.ended_failed: dict[TaskRef, int] = {}
        self.unanswered: dict[TaskRef, float] = {}
        self.caps = CapHistory()
        self.cancelled: set[str] = set()
        self.alone: int = 0

    def record_violation(self, rule: str, task: TaskRef, worker: str) -> None:
        """Record a violated invariant."""
        self.violations.append(f'{rule}: task={task.name} worker={worker}')

    def begin(self, task: TaskRef, run: int, worker: str, free: Mapping[str, int]) -> None:
        """Record the start of a run and check it.

        Args:
            task: the task.
            run: number of the run.
            worker: name of the worker.
            free: amount of each resource that is left there, negative if it is exceeded.
        """
        self.starts[task] += 1
        holders = self.running.setdefault(task, set())
        if holders:
            self.record_violation(f'TWICE with {sorted(holders)} run={run}', task, worker)
        if task in self.done:
            self.record_violation(f'TWICE after done run={run}', task, worker)
        self.repeated_runs.setdefault(task, set()).update(self.done_runs.get(task, ()))
        exceeded = sorted(resource for resource, left in free.items() if left < 0)
        if exceeded:
            self.record_violation(f'LIMIT of {exceeded}', task, worker)
        submission = self.submissions.get(task.submission)
        if submission is None:
            self.record_violation('UNASKED', task, worker)
            return
        self.check_budget(submission, task, worker)
        for before in submission.steps[task.step].after:
            self.check_before(submission, before, task, worker)
        holders.add(worker)
        self.check_cap(submission, task, worker)

    def check_cap(self, submission: Submission, task: TaskRef, worker: str) -> None:
        """Check that a run that has started does not exceed the cap of its workspace."""
        running = [
            other.steps[held.step]
            for held, holders in self.running.items()
            for other in (self.submissions[held.submission],)
            if holders and other.workspace == submission.workspace
        ]
        sent_at = self.unanswered.get(task, 0)
        if self.caps.exceeds(submission.workspace, running, sent_at):
            self.record_violation(f'CAP of {submission.workspace!r}', task, worker)

    def check_budget(self, submission: Submission, task: TaskRef, worker: str) -> None:
        """Check that a task has attempts left."""
        if self.failed.get(task, 0) >= submission.policy.max_attempts:
            self.record_violation('BUDGET', task, worker)

    def check_route(
        self, task: TaskRef, worker: str, labels: Collection[str], beside: int
    ) -> None:
        """Check that a worker may run a task.

        Args:
            task: the task.
            worker: name of the worker.
            labels: its labels.
            beside: number of tasks of the same occurrence of the step that it holds, this one included.
        """
        submission = self.submissions.get(task.submission)
        if submission is None:
            return
        step = submission.steps[task.step]
        if step.requires and step.requires not in labels:
            self.record_violation(f'ROUTE without {step.requires}', task, worker)
        if step.spread_limit and beside > step.spread_limit:
            self.record_violation(f'ROUTE beside {beside - 1} of its step', task, worker)

    def check_before(
        self, submission: Submission, before: int, task: TaskRef, worker: str
    ) -> None:
        """Check that the tasks of an earlier step have ended as done."""
        for index in range(submission.steps[before].count):
            earlier = TaskRef(task.submission, task.occurrence, before, index)
            if earlier not in self.ended_done:
                self.record_violation(f'ORDER before {earlier.name}', task, worker)
                return

    def takes_fault(self, task: TaskRef) -> bool:
        """Return whether a run that is about to be done fails through its own fault."""
        left = self.own_faults.get(task, 0)
        self.own_faults[task] = max(0, left - 1)
        return left > 0

    def end(self, task: TaskRef, worker: str, kind: str, run: int) -> None:
        """Record the end of a run."""
        self.running.get(task, set()).discard(worker)
        if kind == 'done':
            self.ended_done.update(self.represented(task))
            self.done_runs.setdefault(task, set()).add(run)
        elif kind == 'failed':
            self.ended_failed[task] = self.ended_failed.get(task, 0) + 1
        elif kind == 'alone':
            self.alone += 1

    def represented(self, task: TaskRef) -> list[TaskRef]:
        """Return the tasks for which an end `done` of a task stands: all of a gang, else only that one."""
        submission = self.submissions.get(task.submission)
        if submission is None or not submission.steps[task.step].gang:
            return [task]
        return [
            TaskRef(task.submission, task.occurrence, task.step, index)
            for index in range(submission.steps[task.step].count)
        ]

    def acknowledge(self, task: TaskRef, run: int, kind: str, *, is_void: bool) -> None:
        """Record that the leader has acknowledged an end (`last_seen` of a status poll).

        Args:
            task: the task.
            run: number of the run that has ended.
            kind: how it ended.
            is_void: whether the worker's lease has lapsed between the end and the acknowledgement.
        """
        if kind == 'done':
            self.done.update(self.represented(task))
            if run in self.repeated_runs.get(task, ()) and not is_void:
                self.record_violation(f'TWICE after done run={run}, acknowledged later', task, '')
        elif kind == 'failed':
            self.failed[task] = self.failed.get(task, 0) + 1
