"""A request on its way through this entry."""

import asyncio

import msgspec

from marigoldlift.admission.messages import QueuedRequest
from marigoldlift.configuration.objects import Service
from marigoldlift.ids import KeyId
from marigoldlift.peers.messages import ExecuteReply, ExecuteRequest
from marigoldlift.resources import Resources
from marigoldlift.routing.replies import refusal

__all__ = ('Pending',)


class Pending(msgspec.Struct, eq=False):
    """A request that waits for its reply.

    Attributes:
        deadline_s: loop time until which the caller waits.
        reply: set once with what the caller is told.
        queued: its place in the queue.
        key_id: key of a non-repeatable request; None for a repeatable one.
        may_have_run: whether a dispatch ended without an answer.
        tries: dispatches so far.
    """

    request: ExecuteRequest
    service: Service
    deadline_s: float
    reply: asyncio.Future[ExecuteReply]
    queued: QueuedRequest
    key_id: KeyId | None = None
    may_have_run: bool = False
    tries: int = 0

    @property
    def resources(self) -> Resources:
        """Return what one run takes on a worker."""
        return Resources(slots=self.service.slots)

    def answer(self, reply: ExecuteReply) -> None:
        """Tell the caller; later replies are dropped."""
        if not self.reply.done():
            self.reply.set_result(reply)

    def refuse(self, code: str, reason: str) -> None:
        """Tell the caller that this attempt ends without a result, as truthfully as is known."""
        self.answer(self.refusal(code, reason))

    def refusal(self, code: str, reason: str) -> ExecuteReply:
        """Return the truthful reply to an attempt that ends without a result."""
        reply = refusal(
            code,
            reason,
            attempt=self.request.attempt,
            may_have_run=self.may_have_run,
        )
        if self.key_id is not None and self.may_have_run:
            reply.handle = self.key_id
        return reply
