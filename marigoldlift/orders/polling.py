"""Status polling of one worker: renews its lease and receives ended runs."""

import asyncio

from marigoldlift.orders.session import WorkerSession

__all__ = ('poll_continuously',)

#: How long a status poll waits for a run to end, in ms; each poll has a cost, and only polls show progress.
POLL_WAIT_MS = 700

#: Pauses between two polls, in s: the first after an answer, the other after a failure.
POLL_PAUSE_S = 0.03
RETRY_PAUSE_S = 0.2

#: Longest pause after an answer while listed ends are not stored yet, in s: until then the worker lists them again at once.
UNSTORED_PAUSE_S = 0.15


async def poll_continuously(session: WorkerSession) -> None:
    """Poll a worker until cancelled or until a poll raises; a raised token is announced at once."""
    pending_poll: asyncio.Future[bool] | None = None
    try:
        while True:
            if pending_poll is None:
                pending_poll = asyncio.ensure_future(poll(session))
            await wait_for_poll(session, pending_poll)
            if session.poll_requested.is_set():
                await announce_token(session)
            if pending_poll.done():
                pending_poll.result()
                pending_poll = None
    finally:
        if pending_poll is not None:
            pending_poll.cancel()


async def poll(session: WorkerSession) -> bool:
    """Poll once, and pause before the next poll; further pages of ended runs are requested without waiting."""
    waits = session.synced and not session.contact.poll_failed and not session.ends.incomplete
    answered = await session.poll(POLL_WAIT_MS if waits else 0)
    is_stuck = session.ends.incomplete and not session.ends.grew
    is_stuck |= session.acknowledgements.keep_ends_listed()
    await asyncio.sleep(POLL_PAUSE_S if answered and not is_stuck else RETRY_PAUSE_S)
    paused_s = POLL_PAUSE_S
    while waits and session.ends.unstored and paused_s < UNSTORED_PAUSE_S:
        await asyncio.sleep(POLL_PAUSE_S)
        paused_s += POLL_PAUSE_S
    return answered


async def wait_for_poll(session: WorkerSession, pending_poll: asyncio.Future[bool]) -> None:
    """Return when the pending poll has ended or another one is requested."""
    requested = asyncio.ensure_future(session.poll_requested.wait())
    try:
        await asyncio.wait((pending_poll, requested), return_when=asyncio.FIRST_COMPLETED)
    finally:
        requested.cancel()


async def announce_token(session: WorkerSession) -> None:
    """Send the current token to the worker with a poll that does not wait; retry later if it fails."""
    session.poll_requested.clear()
    if not await session.poll(0):
        await asyncio.sleep(RETRY_PAUSE_S)
        session.poll_requested.set()
