"""The loop that looks at one worker: it renews the lease and learns of ends."""

import asyncio

from marigoldlift.orders.session import WorkerSession

__all__ = ('poll_continuously',)

#: How long a look waits for an end, in ms; each look is priced, and progress is seen only by looking.
POLL_WAIT_MS = 700

#: Pauses between two looks, in s: the first after an answer, the other after a failure.
POLL_PAUSE_S = 0.03
RETRY_PAUSE_S = 0.2


async def poll_continuously(session: WorkerSession) -> None:
    """Look at a worker until cancelled or until a look ends by a fault; a raised token is announced at once."""
    waiting: asyncio.Future[bool] | None = None
    try:
        while True:
            if waiting is None:
                waiting = asyncio.ensure_future(poll(session))
            await wait_for_poll(session, waiting)
            if session.poll_requested.is_set():
                await announce_token(session)
            if waiting.done():
                waiting.result()
                waiting = None
    finally:
        if waiting is not None:
            waiting.cancel()


async def poll(session: WorkerSession) -> bool:
    """Look once, and pause before the next look."""
    waits = session.synced and not session.poll_failed
    answered = await session.poll(POLL_WAIT_MS if waits else 0)
    await asyncio.sleep(POLL_PAUSE_S if answered else RETRY_PAUSE_S)
    return answered


async def wait_for_poll(session: WorkerSession, waiting: asyncio.Future[bool]) -> None:
    """Return when a look has answered or another one is urgent."""
    hurry = asyncio.ensure_future(session.poll_requested.wait())
    try:
        await asyncio.wait((waiting, hurry), return_when=asyncio.FIRST_COMPLETED)
    finally:
        hurry.cancel()


async def announce_token(session: WorkerSession) -> None:
    """Make the current token known to the worker."""
    session.poll_requested.clear()
    if not await session.poll(0):
        await asyncio.sleep(RETRY_PAUSE_S)
        session.poll_requested.set()
