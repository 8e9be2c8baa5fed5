"""Preemption of running tasks for urgent jobs that find no room."""

from itertools import groupby

from loguru import logger

from marigoldlift.errors import LogUnavailableError, OverloadedError
from marigoldlift.ids import JobId
from marigoldlift.jobs.capacity import CapacityFinder
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.policies import JobPolicies
from marigoldlift.jobs.preemption import URGENT_PRIORITY, Victim, Wanted, choose_victims
from marigoldlift.jobs.state import Job
from marigoldlift.journal.messages import PreemptedTask, TasksPreempted
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.util import wall_ms

__all__ = ('Preemptor',)

PROPOSE_TIMEOUT_S = 2.5


class Preemptor:
    """Has the log accept that tasks of lower priority give way."""

    def __init__(
        self,
        state: DomainState,
        replica: StreamReplica,
        policies: JobPolicies,
        finder: CapacityFinder,
    ) -> None:
        """Keep the collaborators."""
        self.state = state
        self.replica = replica
        self.policies = policies
        self.finder = finder

    async def make_room(self, job: Job, count: int) -> None:
        """Let tasks of lower priority give way to `count` tasks of an urgent job."""
        wanted = Wanted(self.policies.priority(job), job.spec.resources, count)
        if wanted.priority < URGENT_PRIORITY:
            return
        victims = choose_victims(
            wanted,
            self.finder.candidates(self.policies.selector(job)),
            self.state.jobs,
            self.priorities(),
        )
        for victim_id, group in groupby(sorted(victims, key=job_of), key=job_of):
            await self.preempt(job, victim_id, tuple(group))

    async def preempt(self, job: Job, victim_id: JobId, victims: tuple[Victim, ...]) -> None:
        """Have the log accept that tasks of one job give way."""
        record = TasksPreempted(
            at_ms=wall_ms(),
            job_id=victim_id,
            preempted=tuple(
                PreemptedTask(victim.task_index, victim.attempt) for victim in victims
            ),
            urgent_job_id=job.job_id,
        )
        try:
            await self.replica.propose(record, PROPOSE_TIMEOUT_S)
        except (LogUnavailableError, OverloadedError) as error:
            logger.warning('preemption not stored', job=job.job_id, reason=error.reason)

    def priorities(self) -> dict[JobId, int]:
        """Return the priority of each unfinished job."""
        jobs = map(self.state.jobs.job, self.state.jobs.unfinished())
        return {job.job_id: self.policies.priority(job) for job in jobs if job is not None}


def job_of(victim: Victim) -> JobId:
    """Return the job of a victim."""
    return victim.job_id
