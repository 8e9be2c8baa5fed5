"""Client for the platform's placement advice; calls go out from this VM or through another entry."""

import asyncio
from collections.abc import Sequence

import msgspec

from marigoldlift.answer_deadline import AnswerDeadline
from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import MalformedMessageError, PlatformError
from marigoldlift.platform.calls import CallUnansweredError, HttpClient, Reply
from marigoldlift.platform.wire import AdviceBody, AdviceReply

__all__ = ('ADVISE_PATH', 'PlatformAdvice')

#: Path on an entry's server for other entries: calls the advice on their behalf.
ADVISE_PATH = '/advise'

OK = 200
BUSY = 429

#: Pause in s before a retry when the advice answered 429: too many calls are waiting.
BUSY_PAUSE_S = 0.1

#: Longest part of a refusal's reason that goes into the error, in bytes.
MAX_REASON_BYTES = 200

#: Largest answer of the advice, in bytes.
MAX_REPLY_BYTES = 1_048_576

reply_decoder: JsonDecoder[AdviceReply] = JsonDecoder(AdviceReply, MAX_REPLY_BYTES)


class PlatformAdvice:
    """Asks the placement advice which workers may run a step.

    Attributes:
        calls: HTTP client shared by all services of the platform.
        address: address of the advice, `IP:PORT`.
        own_address: address at which other entries reach this one.
    """

    def __init__(self, calls: HttpClient, address: str, own_address: str) -> None:
        """Keep the client and the addresses."""
        self.calls = calls
        self.address = address
        self.own_address = own_address

    @property
    def url(self) -> str:
        """URL of the advice."""
        return f'http://{self.address}/-/advise'

    async def advise(
        self, relay: str, step: str, workers: Sequence[str], wait_s: float
    ) -> dict[str, str]:
        """Ask which of the workers may run a step.

        Args:
            relay: address of the entry that calls the advice; this entry calls it itself if this is its own address.
            step: name of the step.
            workers: ids of the workers to ask about.
            wait_s: longest wait for the answer, retries included, in s.

        Returns:
            The ticket of each worker that may run the step, by worker id.

        Raises:
            PlatformError: no answer, a refusal, or an answer that does not decode.
            TimeoutError: no answer in time.
        """
        body = msgspec.json.encode(AdviceBody(step, list(workers)))
        url = self.url
        if relay != self.own_address:
            url = f'http://{relay}{ADVISE_PATH}'
        try:
            async with AnswerDeadline(wait_s):
                return await self.request_tickets(url, body, wait_s)
        except CallUnansweredError as fault:
            raise PlatformError(str(fault)) from fault

    async def relay_call(self, body: bytes, wait_s: float) -> Reply:
        """Call the advice on behalf of another entry and return the answer unchanged.

        Raises:
            CallUnansweredError: no answer.
        """
        return await self.calls.post(self.url, body, wait_s)

    async def request_tickets(self, url: str, body: bytes, wait_s: float) -> dict[str, str]:
        """Call the advice, and retry while it answers that too many calls are waiting."""
        while True:
            reply = await self.calls.post(url, body, wait_s)
            if reply.status != BUSY:
                break
            await asyncio.sleep(BUSY_PAUSE_S)
        if reply.status != OK:
            reason = reply.body[:MAX_REASON_BYTES].decode(errors='replace')
            raise PlatformError(f'advice answered {reply.status}: {reason}')
        try:
            return dict(reply_decoder.decode(reply.body).allowed)
        except MalformedMessageError as fault:
            raise PlatformError(f'advice cannot be read: {fault}') from fault
