"""Tests of the choice of the entry for an advice call, and of the limits on requests."""

import asyncio

import pytest

from marigoldlift.errors import PlatformError
from marigoldlift.scheduling.advice import (
    ANSWER_MARGIN_S,
    FIRST_PAUSE_S,
    MAX_QUEUE_S,
    AdviceBroker,
)
from marigoldlift.submissions.model import AdvicePolicy

pytestmark = pytest.mark.looptime

OWN = 'e0'
RELAYS = ('e1', 'e2', 'e3', 'e4', 'e5', 'e6', 'e7')
SHORT = AdvicePolicy(10, 0.15, 2000)
LONG = AdvicePolicy(450, 6.5, 2000)
PROMPT_S = 0.02
LATE_S = 0.1

#: Number of calls of one entry that the advice queues; it refuses more.
WAITING_CALLS = 32
WORKERS = [f'w{number}' for number in range(30)]


class ScriptedAdvice:
    """Fake advice that serves one call per entry at a time; calls through disconnected entries get no answer.

    Attributes:
        cut: addresses of the disconnected entries.
        made: address of the entry of each call, in order.
        turns: locks by address, which serialize the calls of an entry.
    """

    def __init__(self):
        """Start with all entries connected."""
        self.cut = set()
        self.made = []
        self.turns = {}

    async def advise(self, relay, step, workers, wait_s):
        """Allow all workers, after the earlier calls of the entry."""
        self.made.append(relay)
        if relay in self.cut:
            await asyncio.sleep(wait_s + 1)
            raise PlatformError('no answer')
        policy = LONG if step == 'long' else SHORT
        async with self.turns.setdefault(relay, asyncio.Lock()):
            await asyncio.sleep((policy.decide_ms + policy.worker_ms * len(workers)) / 1000)
        return dict.fromkeys(workers, 'ticket')


@pytest.fixture
def advice():
    """Return a fake advice."""
    return ScriptedAdvice()


async def build(advice):
    """Return a broker that knows eight entries."""
    broker = AdviceBroker(advice, OWN, asyncio.get_running_loop().time)
    for relay in RELAYS:
        broker.note_relay(relay)
    return broker


async def ask(broker, step='short'):
    """Make one request and return how long it took, in s."""
    began = asyncio.get_running_loop().time()
    cost_s = broker.cost_s(LONG if step == 'long' else SHORT, len(WORKERS))
    allowed = await broker.ask(broker.book(cost_s), cost_s, step, WORKERS)
    assert allowed is not None
    return asyncio.get_running_loop().time() - began


async def test_urgent_request_does_not_wait_behind_long_ones(advice):
    """Guards against head-of-line blocking: long requests occupied every entry for 1 s."""
    broker = await build(advice)
    long_requests = []
    while broker.may_ask(urgent=False):
        long_requests.append(asyncio.create_task(ask(broker, 'long')))
        await asyncio.sleep(0)
    assert len(long_requests) == 6
    waited = [await ask(broker) for _ in range(5)]
    assert max(waited) <= PROMPT_S
    await asyncio.gather(*long_requests)
    assert broker.may_ask(urgent=False)


async def test_call_that_is_sent_late_has_its_whole_time(advice):
    """Guards against entries that are paused although they answer, since the loop was held up between booking and call."""
    broker = await build(advice)
    cost_s = broker.cost_s(SHORT, len(WORKERS))
    booking = broker.book(cost_s)
    await asyncio.sleep(cost_s + ANSWER_MARGIN_S)
    assert await broker.ask(booking, cost_s, 'short', WORKERS)
    assert len(advice.made) == 1
    assert not booking.relay.failures


async def test_disconnected_entry_gets_fewer_calls_over_time(advice):
    """Guards against requests that run into a timeout again every 2 s at each disconnected entry."""
    broker = await build(advice)
    advice.cut = {'e1', 'e2', 'e3'}
    long_requests = []
    late = 0
    for _ in range(100):
        if broker.may_ask(urgent=False):
            long_requests.append(asyncio.create_task(ask(broker, 'long')))
        late += int(await ask(broker) >= LATE_S)
        await asyncio.sleep(0.1)
    await asyncio.gather(*long_requests, return_exceptions=True)
    asked = sum(advice.made.count(relay) for relay in advice.cut)
    assert asked <= 3 * 4
    assert late <= 3


async def test_entry_that_answers_again_is_used(advice):
    """Guards against an entry that gets no calls any more after it was disconnected for a while."""
    broker = await build(advice)
    advice.cut = {'e1'}
    await asyncio.gather(*(ask(broker) for _ in range(8)))
    advice.cut.clear()
    await asyncio.sleep(3)
    advice.made.clear()
    await asyncio.gather(*(ask(broker) for _ in range(16)))
    assert advice.made.count('e1') == 1
    await asyncio.gather(*(ask(broker) for _ in range(16)))
    assert advice.made.count('e1') == 3


async def test_own_entry_makes_calls_when_all_others_are_paused(advice):
    """Guards against requests that are never made in a partitioned cell, where all other entries are paused."""
    broker = await build(advice)
    advice.cut = set(RELAYS)
    await asyncio.gather(*(ask(broker) for _ in range(4)), return_exceptions=True)
    advice.made.clear()
    await ask(broker)
    assert advice.made[-1] == OWN


async def test_second_attempt_uses_own_entry(advice):
    """Guards against steps that wait 1 s for one disconnected entry after the other while their workers are free."""
    broker = await build(advice)
    advice.cut.update(RELAYS)
    cost_s = broker.cost_s(LONG, len(WORKERS))
    first_attempt_s = cost_s + ANSWER_MARGIN_S
    broker.own.add_call(first_attempt_s + LATE_S, asyncio.get_running_loop().time())
    waited = await ask(broker, 'long')
    assert len(advice.made) == 2
    assert advice.made[-1] == OWN
    assert waited < 2 * first_attempt_s + LATE_S


async def test_calls_that_fail_together_count_as_one_failure(advice):
    """Guards against entries that are paused for 8 s after one fault, so that a single entry makes all calls.

    This happened when each of the calls that were in flight at an entry counted as a failure of its own.
    """
    broker = await build(advice)
    advice.cut = {'e1'}
    await asyncio.gather(*(ask(broker) for _ in range(8 * (len(RELAYS) + 1))))
    assert advice.made.count('e1') > 1
    now = asyncio.get_running_loop().time()
    assert broker.relays['e1'].paused_until <= now + FIRST_PAUSE_S


async def test_urgent_requests_do_not_pile_up(advice):
    """Guards against thousands of open calls in a load peak, so that the leader can neither accept nor renew leases."""
    broker = await build(advice)
    cost_s = broker.cost_s(SHORT, len(WORKERS))
    asked = 0
    while broker.may_ask(urgent=True):
        broker.book(cost_s)
        asked += 1
        assert asked <= (len(RELAYS) + 1) * WAITING_CALLS
    assert asked > len(RELAYS)


async def test_entries_stay_known_when_nothing_is_accepted(advice):
    """Guards against entries that are forgotten 15 s after the last submission, so that the leader makes all calls."""
    broker = await build(advice)
    await asyncio.sleep(60)
    assert broker.may_ask(urgent=False)
    assert set(broker.relays) == {OWN, *RELAYS}


async def test_removed_entry_is_forgotten(advice):
    """Guards against calls through entries that were removed permanently."""
    broker = await build(advice)
    advice.cut = {'e1'}
    for _ in range(90):
        await asyncio.gather(*(ask(broker) for _ in range(16)))
        await asyncio.sleep(1)
    assert set(broker.relays) == {OWN, *RELAYS} - advice.cut


async def test_second_attempts_do_not_pile_up_at_own_entry(advice):
    """Guards against second attempts that wait for seconds at the own entry behind those for all other entries."""
    broker = await build(advice)
    advice.cut = set(RELAYS)
    cost_s = broker.cost_s(SHORT, len(WORKERS))
    requests = []
    while broker.may_ask(urgent=True):
        requests.append(broker.ask(broker.book(cost_s), cost_s, 'short', WORKERS))
    began = asyncio.get_running_loop().time()
    await asyncio.gather(*requests)
    assert advice.made.count(OWN) <= 2 * WAITING_CALLS
    assert asyncio.get_running_loop().time() - began < 2 * (MAX_QUEUE_S + ANSWER_MARGIN_S)
