"""HTTP calls of the client, which tries the given entries one after the other."""

import asyncio
from collections.abc import Sequence

import aiohttp
import msgspec

from marigoldlift.errors import InvalidInputError, PeerUnavailableError
from marigoldlift.settings.addresses import parse_address

__all__ = ('Answer', 'HttpCall', 'parse_addresses', 'run_send', 'send')

#: Time limit for connecting to one entry.
CONNECT_TIMEOUT_S = 2

#: Time limit of a call; exceeds the entry's own limits for the append, the read-back and the wait for all
#: entries, taken together.
DEFAULT_TIMEOUT_S = 15

#: Errors after which it is certain that the entry did not receive the call.
NOT_SENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)

ATTEMPT = 'attempt'


class HttpCall(msgspec.Struct):
    """HTTP call that any entry can serve.

    Attributes:
        body: JSON object to send; its `attempt`, if any, is increased by one after each send that may have
            arrived.
        changes_state: whether the call changes the state of the system; False for reads.
        timeout_s: time limit for the answer of one entry, in seconds.
    """

    method: str
    path: str
    query: dict[str, str] = {}
    body: dict[str, object] | None = None
    changes_state: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S


class Answer(msgspec.Struct):
    """HTTP answer of an entry.

    Attributes:
        in_doubt: whether another entry may have received the same call before.
    """

    status: int
    body: bytes
    in_doubt: bool = False


def parse_addresses(text: str) -> list[str]:
    """Split a list of addresses at its commas.

    Raises:
        InvalidInputError: an address is not of the form IP:port.
    """
    addresses = [part.strip() for part in text.split(',')]
    for address in addresses:
        try:
            parse_address(address)
        except InvalidInputError as fault:
            raise InvalidInputError(fault.reason, '--address') from None
    return addresses


async def send(call: HttpCall, addresses: Sequence[str]) -> Answer:
    """Send the call to the first entry that answers.

    Raises:
        PeerUnavailableError: no entry answered; `may_have_run` is True if an entry may have received
            the call.
    """
    may_have_arrived = False
    reasons = []
    for address in addresses:
        try:
            answer = await send_to(call, address)  # noqa: WPS476 one entry after the other
        except (aiohttp.ClientError, TimeoutError) as fault:
            reasons.append(f'{address}: {type(fault).__name__} {fault}'.rstrip())
            if not isinstance(fault, NOT_SENT):
                may_have_arrived = True
                call = with_next_attempt(call)
            continue
        answer.in_doubt = may_have_arrived
        return answer
    joined = '; '.join(reasons)
    raise PeerUnavailableError(f'no entry answered; {joined}', may_have_run=may_have_arrived)


async def send_to(call: HttpCall, address: str) -> Answer:
    """Send the call to one entry."""
    timeout = aiohttp.ClientTimeout(total=call.timeout_s, sock_connect=CONNECT_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(
            call.method,
            f'http://{address}{call.path}',
            params=call.query,
            json=call.body,
            allow_redirects=False,
        ) as response,
    ):
        return Answer(response.status, await response.read())


def with_next_attempt(call: HttpCall) -> HttpCall:
    """Return the call with `attempt` increased by one, so that no entry treats it as the first attempt."""
    body = call.body or {}
    attempt = body.get(ATTEMPT)
    if not isinstance(attempt, int):
        return call
    return msgspec.structs.replace(call, body=body | {ATTEMPT: attempt + 1})


def run_send(call: HttpCall, addresses: Sequence[str]) -> Answer:
    """Run `send` on a new event loop."""
    return asyncio.run(send(call, addresses))
