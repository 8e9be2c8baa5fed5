"""State of a worker: its current incarnation, and the journal across all incarnations."""

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
    """Return a unique incarnation name."""
    return Incarnation(uuid.uuid4().hex)


def ignore_end(work: Work) -> None:
    """Do nothing; default of `WorkerState.on_end`."""


def describe_end(work: Work) -> str:
    """Format state and result for the journal."""
    state = work.state.value
    return f'{state} {work.result}'.strip()


class WorkerState:
    """One worker, which executes every valid command, even beyond its capacity.

    Every command first ends all work that is due. All commands raise `RefusedError` with code `fenced`
    when incarnation or epoch is not the current one, or the lease has expired or was released.

    Attributes:
        leaving: whether the worker refuses to start new work.
        fail_everything: whether all work fails as soon as it starts.
        current: lease, running work and retained results of the current incarnation.
        observer: journal, violations and resources in use.
        on_end: called with each task or request that ends or is stopped.
    """

    def __init__(
        self,
        settings: WorkerSettings,
        clock: Callable[[], float],
        new_incarnation: Callable[[], Incarnation] = random_incarnation,
    ) -> None:
        """Start the first incarnation; `clock` returns seconds."""
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
        """Claim, renew or release the control lease; refusals and releases are answered with `granted` false."""
        now_s = self.advance()
        refusal_reason = self.current.lease(request, now_s)
        self.note_lease(request, refusal_reason, now_s)
        return self.grant(request, now_s, done=not refusal_reason)

    def start_task(self, request: StartTask) -> None:
        """Start a task.

        Raises:
            RefusedError: `fenced`, `duplicate` or `leaving`.
        """
        now_s = self.check_start(request)
        self.begin(plan_task(request, now_s, fail_at_once=self.fail_everything))

    def start_request(self, request: RunRequest) -> None:
        """Start a request; a later `advance` reports its end to `on_end`, even if it is due at once.

        Raises:
            RefusedError: `fenced`, `duplicate` or `leaving`.
        """
        now_s = self.check_start(request)
        self.begin(plan_request(request, now_s, fail_at_once=self.fail_everything))

    def stop_task(self, request: StopTask) -> None:
        """Stop a task or request; does nothing if it is not running.

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
        """Record a checkpoint in the journal; the simulated task is not affected.

        Raises:
            RefusedError: `fenced` or `not_running`.
        """
        now_s = self.check_fence(request)
        work = self.find_running(request)
        self.observer.note(self.current, now_s, JournalKind.checkpoint, work)
        return CheckpointResult(int((now_s - work.started_s) * MS_PER_S))

    def throttle_task(self, request: ThrottleTask) -> None:
        """Record a throttle in the journal; the simulated task does not become slower.

        Raises:
            RefusedError: `fenced` or `not_running`.
        """
        now_s = self.check_fence(request)
        work = self.find_running(request)
        self.observer.note(
            self.current, now_s, JournalKind.throttle, work, detail=str(request.cpu_milli)
        )

    def connected(self, open_connections: int) -> None:
        """Record a violation if a new connection exceeds the limit of open connections."""
        if open_connections > self.settings.connections:
            self.observer.count_violation('connections')
            detail = str(open_connections)
            self.observer.note(
                self.current, self.clock(), JournalKind.over_connection, detail=detail
            )

    def restart(self) -> None:
        """Begin a new incarnation; running work is killed, and retained results are lost."""
        now_s = self.advance()
        for work in self.current.running.by_id.values():
            self.free(work, JournalKind.killed, now_s)
        self.current = IncarnationState(self.new_incarnation(), self.settings, now_s)
        self.observer.note(self.current, now_s, JournalKind.restart)

    def advance(self) -> float:
        """End all work that is due, in the order of the due times; return the current time."""
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
        """End due work, and refuse a command that is fenced off; return the current time."""
        now_s = self.advance()
        refusal_reason = self.current.fence_refusal(command.incarnation, command.epoch, now_s)
        if refusal_reason:
            raise self.refusal(command, 'fenced', refusal_reason)
        return now_s

    def check_start(self, command: StartTask | RunRequest) -> float:
        """Refuse a start that is fenced off, repeated, or on a leaving worker; return the current time."""
        now_s = self.check_fence(command)
        if command.task_id in self.current.running.started_ids:
            raise self.refusal(command, 'duplicate', 'this id was started before')
        if self.leaving:
            raise self.refusal(command, 'leaving', 'the worker starts nothing new')
        return now_s

    def find_running(self, command: CheckpointTask | ThrottleTask) -> Work:
        """Return the running work with the task id of a command, or refuse the command."""
        work = self.current.running.by_id.get(command.task_id)
        if work is None:
            raise self.refusal(command, 'not_running', 'no such task is running')
        return work

    def begin(self, work: Work) -> None:
        """Start work even without free capacity; exceeded dimensions are recorded in the journal."""
        self.current.running.add(work)
        exceeded = self.observer.allocate(work.resources)
        self.usage.note(work.started_s, self.observer.in_use)
        self.observer.note(self.current, work.started_s, JournalKind.start, work)
        for dimension in exceeded:
            self.observer.note(
                self.current, work.started_s, JournalKind.over_allocation, work, detail=dimension
            )

    def end_next(self) -> None:
        """End the work that is due next, or all tasks if the task lease expires before that."""
        running = self.current.running
        lapse_s = self.current.next_lapse_s()
        if running.next_end_s() <= lapse_s:
            work = running.next_ending()
            self.conclude(work, work.planned_state, JournalKind.end, work.ends_s)
            return
        for leased in running.all_leased():
            self.conclude(leased, TaskState.stopped, JournalKind.lapse, lapse_s)

    def conclude(self, work: Work, state: TaskState, kind: JournalKind, now_s: float) -> None:
        """End work in the given state, and retain its result if required."""
        work.state = state
        work.result = '' if state is TaskState.stopped else work.planned_result
        work.ends_s = now_s
        self.current.running.remove(work)
        self.free(work, kind, now_s)
        if work.retained:
            self.current.retained.add(work)
        self.on_end(work)

    def free(self, work: Work, kind: JournalKind, now_s: float) -> None:
        """Free the resources of ended work, and record its end in the journal."""
        self.observer.free(work.resources)
        self.usage.note(now_s, self.observer.in_use)
        self.observer.note(self.current, now_s, kind, work, detail=describe_end(work))

    def note_lease(self, request: LeaseRequest, refusal_reason: str, now_s: float) -> None:
        """Record a claim, a release, or a refusal in the journal; granted renewals are not recorded."""
        if refusal_reason:
            action = request.action.value
            detail = f'{action} by {request.holder}: {refusal_reason}'
            code = 'held' if request.action is LeaseAction.claim else 'fenced'
            self.observer.note(self.current, now_s, JournalKind.refusal, code=code, detail=detail)
        elif request.action is not LeaseAction.renew:
            kind = JournalKind(request.action.value)
            self.observer.note(self.current, now_s, kind, detail=request.holder)

    def refusal(self, command: Command, code: str, reason: str) -> RefusedError:
        """Record a refusal in the journal and return the error to raise."""
        refused = {
            'task_id': command.task_id,
            'epoch': command.epoch,
            'resources': getattr(command, 'resources', ZERO_RESOURCES),
        }
        self.observer.note(
            self.current, self.clock(), JournalKind.refusal, code=code, detail=reason, **refused
        )
        return RefusedError(code, reason)
