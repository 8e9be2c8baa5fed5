"""Reads of jobs and keys, in their home failure domain, with read-your-writes."""

from collections.abc import Callable

import msgspec

from marigoldlift.errors import (
    InvalidInputError,
    LogUnavailableError,
    NotFoundError,
    PeerUnavailableError,
)
from marigoldlift.ids import JobId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.home import HomeCalls
from marigoldlift.jobs.state import LIVE_PHASES, Job
from marigoldlift.jobs.task_ids import home_of
from marigoldlift.jobs.views import view_of
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.peers.messages import (
    JobSummary,
    ListJobsReply,
    ListJobsRequest,
    QueryReply,
    QueryRequest,
)
from marigoldlift.util import MS_PER_S

__all__ = ('JobQueries',)

#: Code of a read that could not see the write that its token names.
TOKEN_NOT_REACHED = 'token_not_reached'


class JobQueries:
    """Answers reads of callers, operators and other entries."""

    def __init__(
        self,
        state: DomainState,
        replica: StreamReplica,
        home_calls: HomeCalls,
        why_waiting: Callable[[JobId], str],
    ) -> None:
        """Keep the collaborators; `why_waiting` is asked for explanations."""
        self.state = state
        self.replica = replica
        self.home_calls = home_calls
        self.why_waiting = why_waiting

    async def query(self, request: QueryRequest) -> QueryReply:
        """Read a job or key by its handle."""
        try:
            home = home_of(request.handle)
        except InvalidInputError as error:
            return QueryReply(code=NotFoundError.code, reason=error.reason)
        if self.home_calls.is_here(home):
            return await self.read(request)
        try:
            return await self.home_calls.call(home, 'Query', request)
        except PeerUnavailableError as error:
            return QueryReply(code=error.code, reason=error.reason)

    async def read(self, request: QueryRequest) -> QueryReply:
        """Read here, after the write that the token names was applied."""
        token = request.token
        if token is not None and token.stream == self.replica.stream:
            try:
                await self.replica.wait_applied(token.offset, request.deadline_ms / MS_PER_S)
            except LogUnavailableError as error:
                return QueryReply(code=TOKEN_NOT_REACHED, reason=error.reason)
        if not self.replica.caught_up:
            return QueryReply(code='starting', reason='the stream was not read to its end yet')
        waits_for = self.why_waiting(JobId(request.handle)) if request.explain else ''
        view = view_of(self.state, request.handle, self.token_text(), waits_for)
        if view is None or (request.workspace and view.workspace != request.workspace):
            return QueryReply(code=NotFoundError.code, reason='no such handle in this workspace')
        return QueryReply(view=msgspec.json.encode(view).decode())

    def token_text(self) -> str:
        """Return the point of the stream that a read shows."""
        return f'{self.replica.stream}:{self.replica.applied}'

    async def list_jobs(self, request: ListJobsRequest) -> ListJobsReply:
        """List the jobs kept by this failure domain, the newest first."""
        found: list[JobSummary] = []
        for job in reversed(self.state.jobs.store.jobs.values()):
            if not matches(job, request):
                continue
            if len(found) >= request.limit:
                return ListJobsReply(found, truncated=True)
            found.append(summary(job))
        return ListJobsReply(found)


def matches(job: Job, request: ListJobsRequest) -> bool:
    """Tell whether a job passes the filters."""
    return request.workspace in {'', job.workspace} and request.state in {'', state_of(job)}


def state_of(job: Job) -> str:
    """Return the state of a job as operators see it."""
    if job.state.value != 'active':
        return job.state.value
    running = any(task.phase in LIVE_PHASES for task in job.tasks)
    return 'running' if running else 'waiting'


def summary(job: Job) -> JobSummary:
    """Return one line about a job."""
    return JobSummary(
        handle=job.job_id,
        workspace=job.workspace,
        kind=job.spec.kind.value,
        state=state_of(job),
        accepted_ms=job.accepted_ms,
        tasks=job.spec.tasks,
        running=sum(task.phase in LIVE_PHASES for task in job.tasks),
        ended=job.spec.tasks - job.open_tasks,
        priority=job.spec.priority,
    )
