"""Queue of requests and their dispatch to owned workers or to peers."""

import asyncio
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from marigoldlift.admission.queue import RequestQueue
from marigoldlift.admission.retry_budget import RetryBudget
from marigoldlift.admission.service_times import ServiceTimes
from marigoldlift.errors import (
    OverloadedError,
    PeerUnavailableError,
    WorkerRefusedError,
    WorkerUnavailableError,
)
from marigoldlift.ids import TaskId
from marigoldlift.membership.table import Member
from marigoldlift.peers.messages import ExecuteReply, ReplyStatus
from marigoldlift.platform.messages import RequestResult, TaskState
from marigoldlift.routing.forwarding import PeerForwarder
from marigoldlift.routing.pending import Pending
from marigoldlift.routing.replies import NO_FREE_SLOT
from marigoldlift.routing.runner import Placement, WorkerRunner
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import loop_now

__all__ = ('RequestDispatcher', 'result_reply')

#: Dispatches of one request, whatever the budget allows.
MAX_TRIES = 4

#: Random bytes that tell the dispatches of one request apart.
DISPATCH_ID_BYTES = 4

#: Time between looks at the queue when nothing else causes one; peers' free slots change so.
PUMP_INTERVAL_S = 0.05

OnceRunner = Callable[[Pending, Placement], Awaitable[None]]


class RequestDispatcher:
    """Takes requests from the queue as soon as a slot is free for them.

    Attributes:
        run_once: runs a non-repeatable request on a placement; set by the daemon.
    """

    def __init__(
        self,
        queue: RequestQueue,
        runner: WorkerRunner,
        forwarder: PeerForwarder,
        budget: RetryBudget,
        times: ServiceTimes,
        metrics: Metrics,
        max_forwards: int,
    ) -> None:
        """Keep the collaborators."""
        self.queue = queue
        self.runner = runner
        self.forwarder = forwarder
        self.budget = budget
        self.times = times
        self.metrics = metrics
        self.max_forwards = max_forwards
        self.run_once: OnceRunner = unconfigured
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Look at the queue again and again."""
        while True:
            self.pump()
            await asyncio.sleep(PUMP_INTERVAL_S)

    async def execute(self, pending: Pending) -> ExecuteReply:
        """Queue a request and wait for its reply until its deadline."""
        self.budget.on_request()
        self.offer(pending)
        self.pump()
        left_s = max(pending.deadline_s - loop_now(), 0)
        await asyncio.wait((pending.reply,), timeout=left_s)
        if not pending.reply.done():
            self.give_up(pending)
        return pending.reply.result()

    def execute_now(self, pending: Pending) -> bool:
        """Dispatch a forwarded request without queueing; false if no owned worker has room."""
        placement = self.place(pending)
        if placement is None:
            return False
        self.spawn(self.run_local(pending, placement))
        return True

    def offer(self, pending: Pending) -> None:
        """Queue a request, or refuse it when the queue does; one answered already is dropped."""
        if pending.reply.done():
            return
        try:
            self.queue.offer(pending.queued, loop_now())
        except OverloadedError as error:
            self.metrics.add(Metric.queue_refused, reason=error.code)
            pending.refuse(error.code, error.reason)

    def give_up(self, pending: Pending) -> None:
        """Answer at the deadline; what was dispatched goes on, and may have run."""
        if not self.queue.remove(pending.queued):
            pending.may_have_run = True
        pending.refuse('deadline_passed', 'no result before the deadline')

    def pump(self) -> None:
        """Dispatch what can be dispatched now."""
        while True:
            queued = self.queue.take(loop_now())
            if queued is None:
                break
            waited_s = loop_now() - queued.offered_s
            self.metrics.observe(Metric.queue_wait, waited_s, service=queued.service)
            if not self.dispatch(queued.content):
                self.offer(queued.content)
                break
        self.queue.expire(loop_now())

    def dispatch(self, pending: Pending) -> bool:
        """Start a request on an owned worker or a peer; false if neither has room."""
        placement = self.place(pending)
        if placement is not None:
            self.spawn(self.run_local(pending, placement))
            return True
        member = self.peer_for(pending)
        if member is None:
            return False
        self.spawn(self.run_remote(pending, member))
        return True

    def peer_for(self, pending: Pending) -> Member | None:
        """Return a peer with room, None when there is none or the request has come far enough."""
        if pending.request.hops >= self.max_forwards:
            return None
        return self.forwarder.spare_peer(anywhere=pending.key_id is None)

    def place(self, pending: Pending) -> Placement | None:
        """Hold a slot on an owned worker.

        The id is new for each dispatch: a worker refuses one that it has seen, and two entries may
        dispatch the same request.
        """
        task_id = TaskId(f'{pending.request.request_id}#{secrets.token_hex(DISPATCH_ID_BYTES)}')
        return self.runner.place(task_id, pending.resources, pending.service.selector)

    async def run_local(self, pending: Pending, placement: Placement) -> None:
        """Run a request on an owned worker and answer."""
        pending.tries += 1
        if pending.key_id is not None:
            await self.run_once(pending, placement)
            return
        started_s = loop_now()
        try:
            outcome = await self.runner.start(
                placement,
                pending.request,
                pending.deadline_s,
                retain=False,
            )
        except WorkerRefusedError as error:
            self.try_again(pending, error.code, error.reason)
            return
        except WorkerUnavailableError as error:
            pending.may_have_run |= error.may_have_run
            self.retry(pending, error.code, error.reason)
            return
        self.finish(pending, outcome, loop_now() - started_s)

    def finish(self, pending: Pending, outcome: RequestResult, elapsed_s: float) -> None:
        """Answer with a worker's result; a failed one is tried once more within the budget."""
        self.times.observe(pending.request.service, elapsed_s)
        failed = outcome.state is not TaskState.finished
        if failed and pending.tries == 1 and self.budget.try_retry():
            pending.may_have_run = True
            self.offer(pending)
            return
        pending.answer(result_reply(outcome))

    async def run_remote(self, pending: Pending, member: Member) -> None:
        """Forward a request to a peer and answer with its reply."""
        pending.tries += 1
        try:
            reply = await self.forwarder.execute(member, pending.request, pending.deadline_s)
        except PeerUnavailableError as error:
            member.take_nothing()
            pending.may_have_run |= error.may_have_run
            self.metrics.add(Metric.forwards, status=error.code)
            self.retry(pending, error.code, error.reason)
            return
        self.metrics.add(Metric.forwards, status=reply.status.value)
        if reply.code == NO_FREE_SLOT:
            member.take_nothing()
            self.offer(pending)
        else:
            pending.answer(self.truthful(pending, reply))

    def truthful(self, pending: Pending, reply: ExecuteReply) -> ExecuteReply:
        """Weaken a peer's `not_run` when an earlier dispatch from here may have run."""
        if reply.status is ReplyStatus.not_run and pending.may_have_run and not reply.handle:
            return pending.refusal(reply.code, reply.reason)
        return reply

    def try_again(self, pending: Pending, code: str, reason: str) -> None:
        """Queue a request that was surely not run by its last dispatch."""
        if pending.tries >= MAX_TRIES:
            pending.refuse(code, reason)
        else:
            self.offer(pending)

    def retry(self, pending: Pending, code: str, reason: str) -> None:
        """Queue a request anew if it may run twice and the budget allows it, else answer."""
        if pending.may_have_run:
            self.repeat(pending, code, reason)
        else:
            self.try_again(pending, code, reason)

    def repeat(self, pending: Pending, code: str, reason: str) -> None:
        """Queue a request that may have run already, if it is repeatable and the budget allows."""
        repeatable = pending.key_id is None and pending.tries < MAX_TRIES
        granted = repeatable and self.budget.try_retry()
        self.metrics.add(Metric.retries, outcome='made' if granted else 'denied')
        if granted:
            self.offer(pending)
        else:
            pending.refuse(code, reason)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a dispatch on its own, so that it outlives its caller."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.ended)

    def ended(self, task: asyncio.Task[None]) -> None:
        """Use the slot that a dispatch gave back."""
        self.tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            asyncio.get_running_loop().call_exception_handler(
                {'message': 'dispatch failed', 'exception': task.exception(), 'task': task},
            )
        self.pump()

    async def drain(self) -> None:
        """Wait until everything queued and dispatched is answered."""
        while self.tasks or len(self.queue):
            await asyncio.sleep(PUMP_INTERVAL_S)


def result_reply(outcome: RequestResult) -> ExecuteReply:
    """Return the reply for a worker's result."""
    if outcome.state is TaskState.finished:
        return ExecuteReply(ReplyStatus.completed, answer=outcome.result)
    return ExecuteReply(
        ReplyStatus.failed,
        answer=outcome.result,
        code=f'worker_{outcome.state.value}',
        reason='the request ran and ended with an error',
    )


async def unconfigured(pending: Pending, placement: Placement) -> None:
    """Stand for a runner that the daemon has not set.

    Raises:
        NotImplementedError: always.
    """
    raise NotImplementedError
