"""Acceptance and cancellation of jobs in their home failure domain."""

from collections.abc import Callable, Mapping

from marigoldlift.configuration.objects import WorkspaceState
from marigoldlift.configuration.selectors import check_labels, check_selector
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    ConflictError,
    InvalidInputError,
    LogUnavailableError,
    MarigoldliftError,
    NotFoundError,
    OverloadedError,
    PeerUnavailableError,
)
from marigoldlift.ids import FailureDomain, JobId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.home import HomeCalls
from marigoldlift.jobs.job_checks import check_spec
from marigoldlift.jobs.job_table import KEY_REUSED
from marigoldlift.jobs.task_ids import home_domain, home_of, job_id_for
from marigoldlift.journal.messages import JobAccepted, JobCancelled, JobSpec
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.state import Applied
from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ReadToken,
    ReplyStatus,
    SubmitRequest,
)
from marigoldlift.routing.replies import STARTING, invalid_reply, refusal, starting_reply
from marigoldlift.util import MS_PER_S, wall_ms

__all__ = ('JobSubmission',)

#: Returns why no worker could ever hold a task of a job, or ''.
Infeasibility = Callable[[JobSpec, Mapping[str, str]], str]


class JobSubmission:
    """Takes jobs and cancellations of callers and of other entries."""

    def __init__(
        self,
        failure_domains: tuple[FailureDomain, ...],
        configuration: ConfigurationState,
        state: DomainState,
        replica: StreamReplica,
        home_calls: HomeCalls,
        infeasibility: Infeasibility,
        is_configured: Callable[[], bool],
    ) -> None:
        """Keep the collaborators.

        Args:
            failure_domains: all of the cell.
            configuration: workspaces in force.
            state: jobs of the own failure domain.
            replica: stream of the own failure domain.
            home_calls: calls of the home failure domain.
            infeasibility: tells why a job could never be placed.
            is_configured: tells whether the configuration was read to its end once.
        """
        self.failure_domains = failure_domains
        self.configuration = configuration
        self.state = state
        self.replica = replica
        self.home_calls = home_calls
        self.infeasibility = infeasibility
        self.is_configured = is_configured

    async def submit(self, request: SubmitRequest) -> ExecuteReply:
        """Accept a job: it is accepted once its record was read back."""
        if not self.is_configured():
            return starting_reply(request.attempt)
        try:
            home = self.checked_home(request)
        except MarigoldliftError as error:
            return invalid_reply(error)
        if self.home_calls.is_here(home):
            return await self.accept(request, home)
        try:
            return await self.home_calls.call(home, 'Submit', request)
        except PeerUnavailableError as error:
            return refusal(
                error.code,
                error.reason,
                attempt=request.attempt,
                may_have_run=error.may_have_run,
            )

    def checked_home(self, request: SubmitRequest) -> FailureDomain:
        """Check a submission and return its home failure domain.

        Raises:
            InvalidInputError: the workspace takes nothing new, or the job breaks a rule.
        """
        workspace = self.configuration.workspace(request.workspace)
        if workspace is None or workspace.state is not WorkspaceState.active:
            raise InvalidInputError(f'{request.workspace!r} is not active', 'workspace')
        check_selector(request.spec.selector, 'spec.selector')
        check_labels(request.spec.labels, 'spec.labels')
        reason = check_spec(request.spec)
        if reason:
            raise InvalidInputError(reason, 'spec')
        return home_domain(
            request.workspace,
            request.key,
            self.failure_domains,
            request.spec.selector,
        )

    async def accept(self, request: SubmitRequest, home: FailureDomain) -> ExecuteReply:
        """Append the job to the stream of this failure domain."""
        job_id = job_id_for(home, request.workspace, request.key)
        record = JobAccepted(
            job_id=job_id,
            workspace=request.workspace,
            key=request.key,
            spec=request.spec,
            accepted_ms=wall_ms(),
        )
        try:
            applied = await self.replica.propose(record, request.deadline_ms / MS_PER_S)
        except AppendOutcomeUnknownError as error:
            reply = ExecuteReply(ReplyStatus.unknown, code=error.code, reason=error.reason)
            reply.handle = job_id
            return reply
        except (LogUnavailableError, OverloadedError) as error:
            return refusal(
                error.code,
                error.reason,
                attempt=request.attempt,
                may_have_run=False,
            )
        return self.accepted_reply(request.spec, job_id, applied)

    def accepted_reply(self, spec: JobSpec, job_id: JobId, applied: Applied) -> ExecuteReply:
        """Return the reply to a record that was read back."""
        if not applied.verdict.accepted:
            reason = applied.verdict.reason
            kind = ConflictError if reason == KEY_REUSED else InvalidInputError
            return invalid_reply(kind(reason, 'key'))
        obstacle = self.infeasibility(spec, spec.selector)
        return ExecuteReply(
            ReplyStatus.accepted,
            handle=job_id,
            token=ReadToken(self.replica.stream, applied.offset),
            code='infeasible_now' if obstacle else '',
            reason=obstacle,
        )

    async def cancel(self, request: CancelRequest) -> ExecuteReply:
        """Cancel a job: it is cancelled once the record was read back."""
        try:
            home = home_of(request.handle)
        except InvalidInputError as error:
            return invalid_reply(NotFoundError(error.reason, 'handle'))
        if self.home_calls.is_here(home):
            return await self.cancel_here(request)
        try:
            return await self.home_calls.call(home, 'Cancel', request)
        except PeerUnavailableError as error:
            return ExecuteReply(ReplyStatus.unknown, code=error.code, reason=error.reason)

    async def cancel_here(self, request: CancelRequest) -> ExecuteReply:
        """Append the cancellation to the stream of this failure domain."""
        timeout_s = request.deadline_ms / MS_PER_S
        if request.token is not None and request.token.stream == self.replica.stream:
            try:
                await self.replica.wait_applied(request.token.offset, timeout_s)
            except LogUnavailableError as error:
                return ExecuteReply(ReplyStatus.unknown, code=error.code, reason=error.reason)
        if not self.replica.caught_up:
            return ExecuteReply(ReplyStatus.unknown, code=STARTING, reason='stream not read yet')
        job = self.state.jobs.job(JobId(request.handle))
        if job is None or (request.workspace and job.workspace != request.workspace):
            return invalid_reply(NotFoundError('no such job in this workspace', 'handle'))
        record = JobCancelled(at_ms=wall_ms(), job_id=job.job_id)
        try:
            applied = await self.replica.propose(record, timeout_s)
        except (LogUnavailableError, OverloadedError) as error:
            # Cancelling again is harmless, so that doubt and refusal need not be told apart.
            return ExecuteReply(ReplyStatus.unknown, code=error.code, reason=error.reason)
        if not applied.verdict.accepted:
            return invalid_reply(ConflictError(applied.verdict.reason, 'handle'))
        return ExecuteReply(
            ReplyStatus.accepted,
            handle=job.job_id,
            token=ReadToken(self.replica.stream, applied.offset),
        )
