"""Life of an interactive request: checks, home failure domain, queue, reply."""

import asyncio
from collections.abc import Callable

from marigoldlift.admission.messages import QueuedRequest
from marigoldlift.configuration.objects import Service, WorkspaceState
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import InvalidInputError, MarigoldliftError, PeerUnavailableError
from marigoldlift.ids import FailureDomain
from marigoldlift.jobs.task_ids import home_domain, key_id_for
from marigoldlift.membership.table import Member
from marigoldlift.peers.messages import ExecuteReply, ExecuteRequest, ReplyStatus
from marigoldlift.routing.dispatcher import RequestDispatcher
from marigoldlift.routing.forwarding import PeerForwarder
from marigoldlift.routing.once import OnceExecutor
from marigoldlift.routing.pending import Pending
from marigoldlift.routing.replies import NO_FREE_SLOT, invalid_reply, starting_reply
from marigoldlift.util import MS_PER_S, loop_now

__all__ = ('RequestRouter',)

HOME_UNREACHABLE = 'home_unreachable'


class RequestRouter:
    """Takes requests of callers and of other entries."""

    def __init__(
        self,
        failure_domain: FailureDomain,
        failure_domains: tuple[FailureDomain, ...],
        configuration: ConfigurationState,
        dispatcher: RequestDispatcher,
        once: OnceExecutor,
        forwarder: PeerForwarder,
        max_forwards: int,
        is_configured: Callable[[], bool],
    ) -> None:
        """Keep the collaborators.

        Args:
            failure_domain: the own one.
            failure_domains: all of the cell.
            configuration: services and workspaces in force.
            dispatcher: queue and dispatch.
            once: claims and closes keys.
            forwarder: calls of other entries.
            max_forwards: hops of one request.
            is_configured: tells whether the configuration was read to its end once.
        """
        self.failure_domain = failure_domain
        self.failure_domains = failure_domains
        self.configuration = configuration
        self.dispatcher = dispatcher
        self.once = once
        self.forwarder = forwarder
        self.max_forwards = max_forwards
        self.is_configured = is_configured

    async def execute(self, request: ExecuteRequest) -> ExecuteReply:
        """Run a request to its reply."""
        if not self.is_configured():
            return self.starting(request)
        try:
            service = self.checked_service(request)
        except MarigoldliftError as error:
            return invalid_reply(error)
        pending = self.pending(request, service)
        if service.repeatable:
            return await self.run_queued(pending)
        return await self.run_at_home(pending)

    def starting(self, request: ExecuteRequest) -> ExecuteReply:
        """Refuse a request while nothing is known of its service; a peer offers it elsewhere."""
        reply = starting_reply(request.attempt)
        if request.hops and not request.queue:
            return ExecuteReply(ReplyStatus.not_run, code=NO_FREE_SLOT, reason=reply.reason)
        return reply

    def checked_service(self, request: ExecuteRequest) -> Service:
        """Return the service of a request.

        Raises:
            InvalidInputError: the workspace or service does not exist or takes nothing new.
        """
        workspace = self.configuration.workspace(request.workspace)
        if workspace is None:
            raise InvalidInputError(f'unknown workspace {request.workspace!r}', 'workspace')
        if workspace.state is WorkspaceState.departed:
            raise InvalidInputError(f'workspace {request.workspace!r} has departed', 'workspace')
        service = self.configuration.service(request.service)
        if service is None:
            raise InvalidInputError(f'unknown service {request.service!r}', 'service')
        return service

    def pending(self, request: ExecuteRequest, service: Service) -> Pending:
        """Prepare a request for queue and dispatch."""
        limit_ms = min(request.deadline_ms, service.deadline_ms)
        deadline_s = loop_now() + limit_ms / MS_PER_S
        queued = QueuedRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            service=request.service,
            deadline_s=deadline_s,
        )
        reply = asyncio.get_running_loop().create_future()
        pending = Pending(request, service, deadline_s, reply, queued)
        queued.content = pending
        return pending

    async def run_queued(self, pending: Pending) -> ExecuteReply:
        """Queue a request that arrived here first; run a forwarded one now or refuse it.

        Only one entry queues a request, so that its place in line is kept by one queue.
        """
        if not pending.request.hops or pending.request.queue:
            return await self.dispatcher.execute(pending)
        if not self.dispatcher.execute_now(pending):
            # Between entries this is about the one hop; the sender judges the whole request.
            return ExecuteReply(
                ReplyStatus.not_run,
                code=NO_FREE_SLOT,
                reason='no owned worker has room',
            )
        await asyncio.wait((pending.reply,), timeout=pending.deadline_s - loop_now())
        if not pending.reply.done():
            self.dispatcher.give_up(pending)
        return pending.reply.result()

    async def run_at_home(self, pending: Pending) -> ExecuteReply:
        """Run a non-repeatable request in its home failure domain."""
        request = pending.request
        try:
            home = home_domain(
                request.workspace,
                request.key,
                self.failure_domains,
                pending.service.selector,
            )
        except MarigoldliftError as error:
            return invalid_reply(error)
        pending.key_id = key_id_for(home, request.workspace, request.key)
        if home != self.failure_domain:
            return await self.forward_home(pending, home)
        if self.once.entry_of(pending) is not None:
            await self.once.follow(pending)
            return pending.reply.result()
        return await self.definite(pending, await self.run_queued(pending))

    async def definite(self, pending: Pending, reply: ExecuteReply) -> ExecuteReply:
        """Try to make the refusal of a retry definite, where the retry itself did not run."""
        doubtful = reply.status is ReplyStatus.unknown and not reply.handle
        if not doubtful or pending.may_have_run:
            return reply
        return await self.once.refuse(pending, reply)

    async def forward_home(self, pending: Pending, home: FailureDomain) -> ExecuteReply:
        """Forward a request to an entry of its home failure domain.

        The next one is asked when no connection could be made, so that nothing was sent.
        """
        reason = f'no entry of {home} can be reached'
        within_limit = pending.request.hops < self.max_forwards
        for member in self.forwarder.home_peers(home) if within_limit else ():
            try:
                return await self.forward_queued(pending, member)
            except PeerUnavailableError as error:
                member.take_nothing()
                pending.may_have_run = error.may_have_run
                reason = error.reason
            if pending.may_have_run:
                break
        return pending.refusal(HOME_UNREACHABLE, reason)

    async def forward_queued(self, pending: Pending, member: Member) -> ExecuteReply:
        """Forward a request to a peer, which queues it.

        Raises:
            PeerUnavailableError: no answer.
        """
        return await self.forwarder.execute(
            member,
            pending.request,
            pending.deadline_s,
            queue=True,
        )
