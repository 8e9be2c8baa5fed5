"""Calls to the platform's placement advice, from this VM or through another entry."""

import asyncio
from collections.abc import Sequence

import msgspec

from marigoldlift.errors import PlatformError
from marigoldlift.platform.calls import CallUnansweredError, HttpClient, Reply
from marigoldlift.platform.wire import AdviceBody, AdviceReply

__all__ = ('ADVISE_PATH', 'PlatformAdvice')

#: Path under which an entry makes the call for another one.
ADVISE_PATH = '/advise'

OK = 200
BUSY = 429

#: Pause before a call that was refused since too many wait is made again, in s.
BUSY_PAUSE_S = 0.1

#: Most bytes of a refusal's reason that are logged.
REASON_BYTES = 200

reply_decoder = msgspec.json.Decoder(AdviceReply)


class PlatformAdvice:
    """Asks which workers may run a step.

    Attributes:
        address: where the advice listens.
        own_address: where other entries reach this one.
    """

    def __init__(self, calls: HttpClient, address: str, own_address: str) -> None:
        """Use the shared client."""
        self.calls = calls
        self.address = address
        self.own_address = own_address

    @property
    def url(self) -> str:
        """Return the address of the call."""
        return f'http://{self.address}/-/advise'

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Return the tickets of the workers that may run a step, asked from the given entry."""
        body = msgspec.json.encode(AdviceBody(step, list(workers)))
        url = self.url
        if relay != self.own_address:
            url = f'http://{relay}{ADVISE_PATH}'
        try:
            async with asyncio.timeout(wait_s):
                return await self.request_tickets(url, body, wait_s)
        except CallUnansweredError as fault:
            raise PlatformError(str(fault)) from fault

    async def relay_call(self, body: bytes, wait_s: float) -> Reply:
        """Make the call of another entry from this VM.

        Raises:
            CallUnansweredError: no answer.
        """
        return await self.calls.post(self.url, body, wait_s)

    async def request_tickets(self, url: str, body: bytes, wait_s: float) -> dict[str, str]:
        """Make the call, again while too many wait."""
        while True:
            reply = await self.calls.post(url, body, wait_s)
            if reply.status != BUSY:
                break
            await asyncio.sleep(BUSY_PAUSE_S)
        if reply.status != OK:
            reason = reply.body[:REASON_BYTES].decode(errors='replace')
            raise PlatformError(f'advice answered {reply.status}: {reason}')
        try:
            return dict(reply_decoder.decode(reply.body).allowed)
        except msgspec.DecodeError as fault:
            raise PlatformError(f'advice cannot be read: {fault}') from fault
