"""State of a worker: its present life, and what an observer sees across all lives."""

import uuid
from collections.abc import Callable

from marigoldlift.ids import Incarnation
from marigoldlift.platform.messages import (
    LeaseAction,
    LeaseGrant,
    LeaseRequest,
    RunRequest,
    StartTask,
    StopTask,
    TaskState,
)
from marigoldlift.resources import ZERO_RESOURCES

from standins.errors import RefusedError
from standins.messages import (
    CheckpointResult,
    CheckpointTask,
    JournalKind,
    ThrottleTask,
    WorkerSettings,
)
from standins.observer import Observer, UsageReport
from standins.work import Work, plan_request, plan_task
from standins.incarnation_state import Command, IncarnationState

__all__ = ('WorkerState', 'random_incarnation')

MS_PER_S = 1000


def random_incarnation() -> Incarnation:
    """Return a name that no other life of a worker has."""
    return Incarnation(uuid.uuid4().hex)


def ignore_end(work: Work) -> None:
    """Take no notice of the end of a task or request."""


def describe_end(work: Work) -> str:
    """Return state and result for the journal."""
    state = work.state.value
    return f'{state} {work.result}'.strip()


class WorkerState:
    """One worker, which executes whatever it is asked to, even beyond its capacity.

    Every command first lets everything end that was due by then. All commands raise `RefusedError`
    with code `fenced` when incarnation or epoch is not the current one or the lease has lapsed.

    Attributes:
        leaving: nothing new is started.
        fail_everything: whatever starts fails at once.
        current: lease, running work and kept results of the present incarnation.
        observer: journal, violations and what is in use.
        on_end: called with each task or request that ends or is stopped.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        clock: Callable[[], float],
        new_incarnation: Callable[[], Incarnation] = random_incarnation,
    ) -> None:
        """Start the first incarnation; `clock` gives seconds."""
        self.settings = settings
        self.clock = clock
        self.new_incarnation = new_incarnation
        self.leaving = False
        self.fail_everything = False
        self.on_end: Callable[[Work], None] = ignore_end
        self.observer = Observer(settings.worker_id, settings.capacity)
        self.usage = UsageReport(settings.usage_lag_s)
        self.current = IncarnationState(new_incarnation(), settings, clock())

    def lease(self, request: LeaseRequest) -> LeaseGrant:
        """Claim, renew or release the control lease; a refusal is a grant that is not granted."""
        now_s = self.advance()
        fault = self.current.lease(request, now_s)
        self.note_lease(request, fault, now_s)
        return self.grant(request, now_s, done=not fault)

    def start_task(self, request: StartTask) -> None:
        """Start a task.

        Raises:
            RefusedError: `fenced`, `duplicate` or `leaving`.
        """
        now_s = self.check_start(request)
        self.begin(plan_task(request, now_s, fail_at_once=self.fail_everything))

    def start_request(self, request: RunRequest) -> None:
        """Start a request; its end is reported to `on_end`, at the earliest by `advance`.

        Raises:
            RefusedError: `fenced`, `duplicate` or `leaving`.
        """
        now_s = self.check_start(request)
        self.begin(plan_request(request, now_s, fail_at_once=self.fail_everything))

    def stop_task(self, request: StopTask) -> None:
        """Stop a task or request; one that does not run is left as it is.

        Raises:
            RefusedError: `fenced`.
        """
        now_s = self.check_fence(request)
        work = self.current.running.by_id.get(request.task_id)
        if work is None:
            return
        if work.ignore_stop:
            self.observer.note(self.current, now_s, JournalKind.stop_ignored, work)
        else:
            self.conclude(work, TaskState.stopped, JournalKind.stop, now_s)

    def checkpoint_task(self, request: CheckpointTask) -> CheckpointResult:
        """Note a checkpoint; it does not change how the task runs.

        Raises:
            RefusedError: `fenced` or `not_running`.
        """
        now_s = self.check_fence(request)
        work = self.find_running(request)
        self.observer.note(self.current, now_s, JournalKind.checkpoint, work)
        return CheckpointResult(int((now_s - work.started_s) * MS_PER_S))

    def throttle_task(self, request: ThrottleTask) -> None:
        """Note a throttle; the simulated work does not become slower.

        Raises:
            RefusedError: `fenced` or `not_running`.
        """
        now_s = self.check_fence(request)
        work = self.find_running(request)
        self.observer.note(
            self.current, now_s, JournalKind.throttle, work, detail=str(request.cpu_milli)
        )

    def connected(self, open_connections: int) -> None:
        """Note a new connection, which may be one too many."""
        if open_connections > self.settings.connections:
            self.observer.count_violation('connections')
            detail = str(open_connections)
            self.observer.note(
                self.current, self.clock(), JournalKind.over_connection, detail=detail
            )

    def restart(self) -> None:
        """Begin a new incarnation; everything that ran is gone, and so are kept results."""
        now_s = self.advance()
        for work in self.current.running.by_id.values():
            self.free(work, JournalKind.killed, now_s)
        self.current = IncarnationState(self.new_incarnation(), self.settings, now_s)
        self.observer.note(self.current, now_s, JournalKind.restart)

    def advance(self) -> float:
        """End everything that was due by now, in the order it was due; returns the time."""
        now_s = self.clock()
        while self.current.next_due_s() <= now_s:
            self.end_next()
        self.current.retained.expire(now_s)
        return now_s

    def grant(self, request: LeaseRequest, now_s: float, *, done: bool) -> LeaseGrant:
        """Return the answer to a lease request."""
        control = self.current.control
        claimed = done and request.action is LeaseAction.claim
        renewed = done and request.action is LeaseAction.renew
        listed = claimed or (renewed and request.want_inventory)
        return LeaseGrant(
            claimed or renewed,
            control.live_holder(now_s),
            self.current.incarnation,
            control.epoch,
            remaining_ms=control.remaining_ms(now_s),
            leaving=self.leaving,
            inventory=self.current.inventory() if listed else [],
            events=self.current.events() if renewed else [],
            usage=self.usage.read(now_s),
        )

    def check_fence(self, command: Command) -> float:
        """Let due work end, and refuse a command that is fenced off; returns the time."""
        now_s = self.advance()
        fault = self.current.fence_refusal(command.incarnation, command.epoch, now_s)
        if fault:
            raise self.refusal(command, 'fenced', fault)
        return now_s

    def check_start(self, command: StartTask | RunRequest) -> float:
        """Refuse a start that is fenced off, repeated, or too late; returns the time."""
        now_s = self.check_fence(command)
        if command.task_id in self.current.running.seen:
            raise self.refusal(command, 'duplicate', 'this id was started before')
        if self.leaving:
            raise self.refusal(command, 'leaving', 'the worker starts nothing new')
        return now_s

    def find_running(self, command: CheckpointTask | ThrottleTask) -> Work:
        """Return the running work that a command names, or refuse the command."""
        work = self.current.running.by_id.get(command.task_id)
        if work is None:
            raise self.refusal(command, 'not_running', 'no such task is running')
        return work

    def begin(self, work: Work) -> None:
        """Start work whether or not there is room."""
        self.current.running.add(work)
        exceeded = self.observer.allocate(work.resources)
        self.usage.note(work.started_s, self.observer.in_use)
        self.observer.note(self.current, work.started_s, JournalKind.start, work)
        for dimension in exceeded:
            self.observer.note(
                self.current, work.started_s, JournalKind.over_allocation, work, detail=dimension
            )

    def end_next(self) -> None:
        """End what is due next: one piece of work, or all tasks when their lease lapses."""
        running = self.current.running
        lapse_s = self.current.next_lapse_s()
        if running.next_end_s() <= lapse_s:
            work = running.next_ending()
            self.conclude(work, work.planned_state, JournalKind.end, work.ends_s)
            return
        for leased in running.all_leased():
            self.conclude(leased, TaskState.stopped, JournalKind.lapse, lapse_s)

    def conclude(self, work: Work, state: TaskState, kind: JournalKind, now_s: float) -> None:
        """End work in a state and keep its end when it has to be kept."""
        work.state = state
        work.result = '' if state is TaskState.stopped else work.planned_result
        work.ends_s = now_s
        self.current.running.remove(work)
        self.free(work, kind, now_s)
        if work.retained:
            self.current.retained.add(work)
        self.on_end(work)

    def free(self, work: Work, kind: JournalKind, now_s: float) -> None:
        """Give the resources of ended work back."""
        self.observer.free(work.resources)
        self.usage.note(now_s, self.observer.in_use)
        self.observer.note(self.current, now_s, kind, work, detail=describe_end(work))

    def note_lease(self, request: LeaseRequest, fault: str, now_s: float) -> None:
        """Note a claim, a release, or a refusal; renewals are not noted."""
        if fault:
            action = request.action.value
            detail = f'{action} by {request.holder}: {fault}'
            code = 'held' if request.action is LeaseAction.claim else 'fenced'
            self.observer.note(self.current, now_s, JournalKind.refusal, code=code, detail=detail)
        elif request.action is not LeaseAction.renew:
            kind = JournalKind(request.action.value)
            self.observer.note(self.current, now_s, kind, detail=request.holder)

    def refusal(self, command: Command, code: str, reason: str) -> RefusedError:
        """Note a refusal and return it as an error."""
        asked = {
            'task_id': command.task_id,
            'epoch': command.epoch,
            'resources': getattr(command, 'resources', ZERO_RESOURCES),
        }
        self.observer.note(
            self.current, self.clock(), JournalKind.refusal, code=code, detail=reason, **asked
        )
        return RefusedError(code, reason)
