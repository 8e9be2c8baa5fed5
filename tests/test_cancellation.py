"""End of background work that is cancelled as the event it waits for is set."""

import asyncio
from types import SimpleNamespace

import pytest

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.keeper import JobKeeper
from marigoldlift.jobs.tests.fakes import FakeFinder, FakeReplica
from marigoldlift.ownership.session import LeaseSession, LeaseTimes
from marigoldlift.telemetry.metrics import Metrics

pytestmark = pytest.mark.looptime

#: Turns of the event loop between the event and the cancellation; after three the task has resumed.
TURNS = (0, 1, 2)

#: Far beyond the pauses of keeper and session.
ENDS_WITHIN_S = 30


async def has_ended(task: asyncio.Task[None], wake: asyncio.Event, turns: int) -> bool:
    """Set the event that a task waits for, cancel the task some turns later, and tell whether it ends."""
    await asyncio.sleep(0.1)
    wake.set()
    for _ in range(turns):
        await asyncio.sleep(0)
    task.cancel()
    ended, going_on = await asyncio.wait((task,), timeout=ENDS_WITHIN_S)
    for each in going_on:
        each.cancel()
    return bool(ended)


@pytest.mark.parametrize('turns', TURNS)
async def test_keeper_ends_when_a_record_arrives_with_the_cancellation(turns: int):
    """Guards against an entry whose process never exits after a graceful stop: it waits for its keeper."""
    state = DomainState()
    keeper = JobKeeper(
        state,
        FakeReplica(state),
        ConfigurationState(),
        FakeFinder(),
        lambda job_id: True,
        Metrics(),
    )

    assert await has_ended(asyncio.create_task(keeper.run()), keeper.wake, turns)


@pytest.mark.parametrize('turns', TURNS)
async def test_session_ends_when_it_is_woken_with_the_cancellation(turns: int):
    """Guards against a lease session that goes on after its worker has got a new address, beside the new one."""
    parts = SimpleNamespace()
    session = LeaseSession('w1', 'e1/i1', parts, parts, parts, parts, LeaseTimes())

    async def step() -> float:
        return session.times.renew_s

    session.step = step

    assert await has_ended(asyncio.create_task(session.run()), session.wake, turns)
