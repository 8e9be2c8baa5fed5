"""Implementation of the operations for operators in the daemon."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    ConflictError,
    LogUnavailableError,
    NotFoundError,
    PeerUnavailableError,
)
from marigoldlift.ids import FailureDomain, VmId, WorkerId, WorkspaceId
from marigoldlift.jobs.queries import JobQueries
from marigoldlift.jobs.submission import JobSubmission
from marigoldlift.jobs.task_ids import home_of
from marigoldlift.jobs.views import JobView, KeyView
from marigoldlift.journal.messages import ConfigurationChanged, JobKind
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.membership.liveness import Liveness
from marigoldlift.membership.table import Member, MemberTable
from marigoldlift.operators import messages
from marigoldlift.peers import messages as peer_messages
from marigoldlift.peers.clients import PeerClients
from marigoldlift.telemetry.tracing import Tracing
from marigoldlift.util import loop_now

__all__ = ('DaemonOperators',)

#: Time limit of a call to another entry.
CALL_TIMEOUT_S = 2.0
READ_DEADLINE_MS = 3000

#: Maximum number of jobs listed for each failure domain.
MAX_JOBS = 500

#: Stands for any workspace, because operators are not restricted to one.
ANY_WORKSPACE = WorkspaceId('')


class DaemonOperators:
    """Serves the requests of operators: calls the components of this entry and collects replies of other entries."""

    def __init__(
        self,
        state: ConfigurationState,
        replica: StreamReplica,
        members: MemberTable,
        clients: PeerClients,
        queries: JobQueries,
        submission: JobSubmission,
        tracing: Tracing,
        describe: Callable[[], peer_messages.Heartbeat],
    ) -> None:
        """Store the components to use.

        Args:
            state: configuration in force at this entry.
            replica: replica of the configuration stream.
            members: the other entries.
            clients: clients for calls to other entries.
            queries: reads jobs and keys.
            submission: cancels jobs.
            tracing: spans of this entry.
            describe: returns the current heartbeat of this entry.
        """
        self.state = state
        self.replica = replica
        self.members = members
        self.clients = clients
        self.queries = queries
        self.submission = submission
        self.tracing = tracing
        self.describe = describe

    def configuration(self) -> ConfigurationState:
        """Return the configuration in force at this entry.

        Raises:
            LogUnavailableError: the entry has no configuration yet.
        """
        if not self.replica.caught_up:
            raise LogUnavailableError('the configuration was not read yet')
        return self.state

    async def propose(
        self,
        record: ConfigurationChanged,
        timeout_s: float,
    ) -> messages.ProposalOutcome:
        """Append a change set to the log and wait until it has been read back."""
        applied = await self.replica.propose(record, timeout_s)
        return messages.ProposalOutcome(applied.offset, applied.verdict)

    def entries(self) -> Sequence[messages.EntryStatus]:
        """Return the status of this entry, and of each other known entry as of its last heartbeat."""
        now_s = loop_now()
        others = [
            entry_status(
                member.heartbeat,
                suspect=self.members.liveness(member, now_s) is Liveness.suspect,
            )
            for member in self.members.members.values()
        ]
        return [entry_status(self.describe(), suspect=False), *others]

    async def list_jobs(self, job_filter: messages.JobFilter) -> messages.JobsReply:
        """Return the jobs that match, from all failure domains."""
        request = peer_messages.ListJobsRequest(
            workspace=job_filter.workspace or '',
            state=job_filter.state.value if job_filter.state else '',
            limit=MAX_JOBS,
        )
        replies = [await self.queries.list_jobs(request)]
        missing = []
        for domain, member in self.one_entry_per_domain().items():
            reply = await self.call_member(member, 'ListJobs', request)
            if isinstance(reply, peer_messages.ListJobsReply):
                replies.append(reply)
            else:
                missing.append(domain)
        return messages.JobsReply(
            jobs=[job_summary(job) for reply in replies for job in reply.jobs],
            truncated=any(reply.truncated for reply in replies),
            missing=missing,
        )

    def one_entry_per_domain(self) -> dict[FailureDomain, Member]:
        """Return one ready entry for each other failure domain."""
        ready = self.members.ready_elsewhere(loop_now())
        return {member.heartbeat.failure_domain: member for member in ready}

    async def explain(self, handle: str) -> messages.ExplainReply:
        """Explain why a job or key is in its state.

        Raises:
            NotFoundError: there is no such job or key.
            PeerUnavailableError: its home failure domain cannot be reached.
        """
        reply = await self.queries.query(
            peer_messages.QueryRequest(ANY_WORKSPACE, handle, READ_DEADLINE_MS, explain=True),
        )
        if reply.code == NotFoundError.code:
            raise NotFoundError(reply.reason, 'handle')
        if reply.code:
            raise PeerUnavailableError(reply.reason, may_have_run=False)
        return explanation(msgspec.json.decode(reply.view))

    async def trace(self, trace_id: str) -> messages.TraceReply:
        """Collect the spans of a trace from all entries."""
        members = list(self.members.members.values())
        request = peer_messages.SpansRequest(trace_id)
        replies = await asyncio.gather(
            *(self.call_member(member, 'ReadSpans', request) for member in members),
        )
        spans = list(self.tracing.spans_of(trace_id))
        missing: list[VmId] = []
        for member, reply in zip(members, replies, strict=True):
            if isinstance(reply, peer_messages.SpansReply):
                spans.extend(reply.spans)
            else:
                missing.append(member.vm_id)
        return messages.TraceReply(trace_id, spans, missing)

    async def cancel(self, handle: str) -> messages.CancelReply:
        """Cancel a job and wait until the cancellation has been read back from the log.

        Raises:
            NotFoundError: there is no such job.
            ConflictError: the job has ended.
            AppendOutcomeUnknownError: the cancellation may take effect later; it is safe to repeat it.
        """
        reply = await self.submission.cancel(
            peer_messages.CancelRequest(ANY_WORKSPACE, handle, READ_DEADLINE_MS),
        )
        check_cancelled(reply)
        return messages.CancelReply(handle, messages.JobState.cancelled, reply.token)

    async def call_member(self, member: Member, name: str, request: Any) -> Any | None:
        """Call another entry; return None if it does not answer."""
        try:
            return await self.clients.call(
                member.heartbeat.address,
                name,
                request,
                CALL_TIMEOUT_S,
            )
        except PeerUnavailableError:
            return None


def check_cancelled(reply: peer_messages.ExecuteReply) -> None:
    """Raise the error that corresponds to a cancellation that was not accepted."""
    if reply.status is peer_messages.ReplyStatus.accepted:
        return
    if reply.status is peer_messages.ReplyStatus.unknown:
        raise AppendOutcomeUnknownError(reply.reason)
    error = NotFoundError if reply.code == NotFoundError.code else ConflictError
    raise error(reply.reason, reply.path)


def entry_status(heartbeat: peer_messages.Heartbeat, *, suspect: bool) -> messages.EntryStatus:
    """Return the status of an entry from its heartbeat."""
    return messages.EntryStatus(
        vm_id=heartbeat.vm_id,
        failure_domain=heartbeat.failure_domain,
        state=heartbeat.state,
        suspect=suspect,
        configuration_version=heartbeat.configuration_version,
        applied=heartbeat.applied,
        owned_workers=heartbeat.owned_workers,
        free_slots=heartbeat.free_slots,
        queue_length=heartbeat.queue_length,
        queue_delay_ms=heartbeat.queue_delay_ms,
    )


def job_summary(job: peer_messages.JobSummary) -> messages.JobSummary:
    """Convert the summary of a job from the message between entries to that for operators."""
    return messages.JobSummary(
        handle=job.handle,
        workspace=job.workspace,
        failure_domain=home_of(job.handle),
        kind=JobKind(job.kind),
        state=messages.JobState(job.state),
        accepted_ms=job.accepted_ms,
        tasks=job.tasks,
        running=job.running,
        ended=job.ended,
        priority=job.priority,
    )


def explanation(view: dict[str, Any]) -> messages.ExplainReply:
    """Return the explanation of a job or key from its view, decoded from JSON."""
    if view['kind'] == 'request':
        return explain_key(msgspec.convert(view, KeyView))
    return explain_job(msgspec.convert(view, JobView))


def explain_key(view: KeyView) -> messages.ExplainReply:
    """Explain a key."""
    return messages.ExplainReply(
        handle=view.handle,
        workspace=view.workspace,
        state=view.status,
        reason=view.reason,
    )


def explain_job(view: JobView) -> messages.ExplainReply:
    """Explain a job."""
    reasons = [view.waits_for, *view.reasons]
    return messages.ExplainReply(
        handle=view.handle,
        workspace=view.workspace,
        state=view.state,
        reason='; '.join(filter(None, reasons)),
        tasks=[
            messages.TaskExplanation(
                task_index=task.task_index,
                attempt=task.attempt,
                state=task.phase,
                worker_id=WorkerId(task.worker) if task.worker else None,
            )
            for task in view.tasks
        ],
    )
