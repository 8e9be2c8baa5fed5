"""Keeper of jobs: finds capacity for pending tasks and has the log accept their assignment."""

import asyncio
import random
from collections.abc import Callable

import msgspec
from loguru import logger

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import LogUnavailableError, OverloadedError
from marigoldlift.ids import JobId, Offset, WorkerId
from marigoldlift.jobs.capacity import CapacityFinder, Found
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.policies import JobPolicies
from marigoldlift.jobs.preemption import URGENT_PRIORITY
from marigoldlift.jobs.preemptor import Preemptor
from marigoldlift.jobs.state import LIVE_PHASES, Job, JobState, TaskPhase
from marigoldlift.journal.messages import (
    Assignment,
    JobKind,
    Record,
    TaskFinished,
    TaskReleased,
    TasksAssigned,
    TasksPreempted,
)
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.state import Verdict
from marigoldlift.peers.messages import ReserveRequest
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.util import MS_PER_S, loop_now, wall_ms

__all__ = ('JobKeeper',)

#: Time between looks at pending tasks when no record causes one.
LOOK_INTERVAL_S = 0.5

#: Tasks of a batch or service placed by one record; a gang is always placed whole.
MAX_TASKS_AT_ONCE = 64

#: Pause of a job from which on workers are not avoided any more: the others may be busy for long.
AVOIDING_BACKOFF_S = 1.0

#: Workers avoided by one placement; each is taken out of the index and put back.
MAX_AVOIDED = 64

#: Jobs placed at the same time by one keeper.
MAX_PLACEMENTS = 16

#: Time that a reservation holds; longer than append and read-back take.
RESERVATION_S = 3.0

PROPOSE_TIMEOUT_S = 2.5

#: Time for which a job that gave way leaves the room to the urgent one, in seconds.
GIVE_WAY_S = 3.0

#: Pause before a job that found no capacity is tried again, doubled each time.
FIRST_BACKOFF_S = 0.2
LONGEST_BACKOFF_S = 5.0


class Waiting(msgspec.Struct):
    """Why a job waits, and until when it is left alone."""

    reason: str = ''
    due_s: float = 0
    backoff_s: float = FIRST_BACKOFF_S


class JobKeeper:
    """Places the pending tasks of the jobs that this entry is preferred for.

    Two keepers of one job are harmless: the log accepts one assignment of each attempt.

    Attributes:
        waiting: jobs that could not be placed, with the reason; read by `explain`.
    """

    def __init__(
        self,
        state: DomainState,
        replica: StreamReplica,
        configuration: ConfigurationState,
        finder: CapacityFinder,
        is_preferred: Callable[[JobId], bool],
        metrics: Metrics,
    ) -> None:
        """Keep the collaborators; `is_preferred` tells by membership who drives a job."""
        self.state = state
        self.replica = replica
        self.configuration = configuration
        self.policies = JobPolicies(configuration)
        self.finder = finder
        self.preemptor = Preemptor(state, replica, self.policies, finder)
        self.is_preferred = is_preferred
        self.metrics = metrics
        self.waiting: dict[JobId, Waiting] = {}
        self.placing: dict[JobId, asyncio.Task[None]] = {}
        self.wake = asyncio.Event()
        replica.subscribe(self.on_record)

    def on_record(self, offset: Offset, record: Record, verdict: Verdict) -> None:
        """Look at once when a record may have made tasks pending or capacity free."""
        if not verdict.accepted or isinstance(record, TasksAssigned):
            return
        if isinstance(record, TaskFinished | TaskReleased):
            self.slow_down_service(record.job_id)
            self.hurry_urgent()
        elif isinstance(record, TasksPreempted):
            self.hold_back(record.job_id)
        self.wake.set()

    def hurry_urgent(self) -> None:
        """Let urgent jobs look for the room that an ended task may have left."""
        for job_id, waiting in self.waiting.items():
            job = self.state.jobs.job(job_id)
            if job is not None and self.policies.priority(job) >= URGENT_PRIORITY:
                waiting.due_s = 0

    def hold_back(self, job_id: JobId) -> None:
        """Keep a job that gave way from taking its place back before the urgent one has it."""
        job = self.state.jobs.job(job_id)
        if job is not None:
            self.back_off(job, 'gave way to urgent work')
            self.waiting[job_id].due_s = loop_now() + GIVE_WAY_S

    def slow_down_service(self, job_id: JobId) -> None:
        """Back off when a service ends, which has no limit of attempts that would stop a loop."""
        job = self.state.jobs.job(job_id)
        if job is not None and job.spec.kind is JobKind.service:
            self.back_off(job, 'restart after an end')

    async def run(self) -> None:
        """Place pending tasks for ever."""
        while True:
            self.place_due()
            try:
                # asyncio.wait_for of Python 3.11 swallows a cancellation that arrives while the event is being set.
                async with asyncio.timeout(LOOK_INTERVAL_S):
                    await self.wake.wait()
            except TimeoutError:
                continue
            self.wake.clear()

    def place_due(self) -> None:
        """Start the placement of jobs that are due, the most urgent first."""
        if not self.replica.caught_up or not self.replica.log_reachable:
            return
        now_s = loop_now()
        pending = set(self.state.jobs.with_pending())
        self.forget_placed(pending, now_s)
        due = [job_id for job_id in pending if self.is_due(job_id, now_s)]
        jobs = sorted(filter(None, map(self.state.jobs.job, due)), key=self.policies.urgency)
        for job in jobs[: MAX_PLACEMENTS - len(self.placing)]:
            task = asyncio.create_task(self.place(job))
            self.placing[job.job_id] = task
            task.add_done_callback(self.placed)

    def forget_placed(self, pending: set[JobId], now_s: float) -> None:
        """Forget the pauses of jobs without pending tasks, a while after they were over."""
        for job_id, waiting in tuple(self.waiting.items()):
            if job_id not in pending and now_s > waiting.due_s + LONGEST_BACKOFF_S:
                self.waiting.pop(job_id)

    def is_due(self, job_id: JobId, now_s: float) -> bool:
        """Tell whether this entry should place a job now."""
        if job_id in self.placing or not self.is_preferred(job_id):
            return False
        waiting = self.waiting.get(job_id)
        return waiting is None or waiting.due_s <= now_s

    def placed(self, task: asyncio.Task[None]) -> None:
        """Note the end of a placement, and look again."""
        for job_id, placing in tuple(self.placing.items()):
            if placing is task:
                self.placing.pop(job_id)
        if not task.cancelled() and task.exception() is not None:
            logger.error('placement failed: {!r}', task.exception())
        self.wake.set()

    async def place(self, job: Job) -> None:
        """Place the pending tasks of one job, as many as there is room for."""
        indexes = self.placeable(job)
        if not indexes:
            self.back_off(job, 'earlier attempts of the gang must stop first')
            return
        found = await self.find(self.demand(job, len(indexes)))
        enough = len(found.tasks) == len(indexes)
        if not found.tasks or (job.spec.kind is JobKind.gang and not enough):
            await self.finder.release(found)
            self.back_off(job, found.reason or f'room for {len(found.tasks)} of {len(indexes)}')
            await self.preemptor.make_room(job, len(indexes))
            return
        await self.assign(job, indexes, found)

    async def find(self, wanted: ReserveRequest) -> Found:
        """Reserve capacity; what shall be avoided is used only after some time without enough."""
        found = await self.finder.find(wanted)
        enough = len(found.tasks) == wanted.count
        waiting = self.waiting.get(wanted.job_id)
        is_tired = waiting is not None and waiting.backoff_s > AVOIDING_BACKOFF_S
        if enough or not (wanted.avoid and is_tired):
            return found
        await self.finder.release(found)
        return await self.finder.find(msgspec.structs.replace(wanted, avoid=[]))

    def placeable(self, job: Job) -> list[int]:
        """Return the tasks to place now; of a gang all or none."""
        pending = self.state.jobs.pending_tasks(job.job_id)
        if job.state is not JobState.active:
            return []
        if job.spec.kind is JobKind.gang:
            return pending if len(pending) == job.open_tasks else []
        return pending[:MAX_TASKS_AT_ONCE]

    async def assign(self, job: Job, indexes: list[int], found: Found) -> None:
        """Have the log accept the assignment, and give back what it does not use."""
        record = TasksAssigned(
            job.job_id,
            tuple(
                Assignment(
                    task_index=task_index,
                    attempt=job.tasks[task_index].attempt + 1,
                    worker_id=reserved.worker_id,
                    incarnation=reserved.incarnation,
                    epoch=reserved.epoch,
                )
                for task_index, reserved in zip(indexes, found.tasks, strict=False)
            ),
            limit=self.configuration.quota(job.workspace),
        )
        try:
            applied = await self.replica.propose(record, PROPOSE_TIMEOUT_S)
        except (LogUnavailableError, OverloadedError) as error:
            # A record in doubt may still be accepted: its owner then starts the tasks if there is
            # room, so the reservation is left to lapse.
            self.back_off(job, error.reason)
            return
        if applied.verdict.accepted:
            self.settle(job)
            self.note_wait(job)
        else:
            await self.finder.release(found)
            self.back_off(job, applied.verdict.reason)

    def settle(self, job: Job) -> None:
        """Forget the pause of a placed job; a service keeps it for a while, in case it ends soon."""
        if job.spec.kind is not JobKind.service:
            self.waiting.pop(job.job_id, None)

    def note_wait(self, job: Job) -> None:
        """Measure the time from the acceptance of a job to an assignment of its tasks."""
        waited_s = (wall_ms() - job.accepted_ms) / MS_PER_S
        self.metrics.observe(Metric.task_wait, waited_s, kind=job.spec.kind.value)

    def demand(self, job: Job, count: int) -> ReserveRequest:
        """Return what to ask owners for, policies included."""
        return ReserveRequest(
            reservation_id='',
            job_id=job.job_id,
            workspace=job.workspace,
            resources=job.spec.resources,
            count=count,
            selector=self.policies.selector(job),
            spread=self.policies.spread(job),
            rack_use=self.finder.rack_use(self.workers_of(job)),
            ttl_ms=int(RESERVATION_S * MS_PER_S),
            avoid=failed_on(job),
        )

    def workers_of(self, job: Job) -> list[WorkerId]:
        """Return the workers that hold live tasks of a job."""
        return [task.worker_id for task in job.tasks if task.phase in LIVE_PHASES]

    def back_off(self, job: Job, reason: str) -> None:
        """Leave a job alone for a jittered while, and keep the reason."""
        waiting = self.waiting.setdefault(job.job_id, Waiting())
        waiting.reason = reason
        waiting.due_s = loop_now() + waiting.backoff_s * random.uniform(0.5, 1)
        waiting.backoff_s = min(waiting.backoff_s * 2, LONGEST_BACKOFF_S)


def failed_on(job: Job) -> list[WorkerId]:
    """Return the workers of the last attempts of pending tasks with a fault.

    The log does not tell whether job or worker was at fault; elsewhere the next attempt shows it.
    """
    workers = {
        task.worker_id
        for task in job.tasks
        if task.phase is TaskPhase.pending and (task.faults or job.faults)
    }
    return sorted(workers)[:MAX_AVOIDED]
