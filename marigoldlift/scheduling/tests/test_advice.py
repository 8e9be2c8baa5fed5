"""Which entry makes a call to the advice, and when a question may be asked."""

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

#: Calls of one entry that the advice lets wait; it refuses more.
WAITING_CALLS = 32
WORKERS = [f'w{number}' for number in range(30)]


class ScriptedAdvice:
    """Advice that serves one call of each entry at a time; calls through entries that are cut off get no answer.

    Attributes:
        cut: addresses of entries that are cut off.
        made: addresses that calls went to.
    """

    def __init__(self):
        """Answer through all entries."""
        self.cut = set()
        self.made = []
        self.turns = {}

    async def advise(self, relay, step, workers, wait_s):
        """Allow all workers, after the calls before."""
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
    """Return the advice."""
    return ScriptedAdvice()


async def build(advice):
    """Return a broker that knows eight entries."""
    broker = AdviceBroker(advice, OWN, asyncio.get_running_loop().time)
    for relay in RELAYS:
        broker.note_relay(relay)
    return broker


async def ask(broker, step='short'):
    """Ask one question, and return how long it took."""
    began = asyncio.get_running_loop().time()
    cost_s = broker.cost_s(LONG if step == 'long' else SHORT, len(WORKERS))
    allowed = await broker.ask(broker.book(cost_s), cost_s, step, WORKERS)
    assert allowed is not None
    return asyncio.get_running_loop().time() - began


async def test_urgent_question_does_not_wait_behind_long_ones(advice):
    """Guards against head-of-line blocking: long questions took every entry for a second."""
    broker = await build(advice)
    long_questions = []
    while broker.may_ask(urgent=False):
        long_questions.append(asyncio.create_task(ask(broker, 'long')))
        await asyncio.sleep(0)
    assert len(long_questions) == 6
    waited = [await ask(broker) for _ in range(5)]
    assert max(waited) <= PROMPT_S
    await asyncio.gather(*long_questions)
    assert broker.may_ask(urgent=False)


async def test_entry_that_is_cut_off_is_asked_less_and_less(advice):
    """Guards against questions that wait for a time-out again every 2 s at each entry that is cut off."""
    broker = await build(advice)
    advice.cut = {'e1', 'e2', 'e3'}
    long_questions = []
    late = 0
    for _ in range(100):
        if broker.may_ask(urgent=False):
            long_questions.append(asyncio.create_task(ask(broker, 'long')))
        late += int(await ask(broker) >= LATE_S)
        await asyncio.sleep(0.1)
    await asyncio.gather(*long_questions, return_exceptions=True)
    asked = sum(advice.made.count(relay) for relay in advice.cut)
    assert asked <= 3 * 4
    assert late <= 3


async def test_entry_that_answers_again_is_used(advice):
    """Guards against an entry that is left alone for good after a cut."""
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


async def test_this_entry_asks_when_no_other_may(advice):
    """Guards against questions that are never asked in a cell that is cut into pieces."""
    broker = await build(advice)
    advice.cut = set(RELAYS)
    await asyncio.gather(*(ask(broker) for _ in range(4)), return_exceptions=True)
    advice.made.clear()
    await ask(broker)
    assert advice.made[-1] == OWN


async def test_second_try_takes_the_own_way(advice):
    """Guards against steps that wait 1 s for each entry in turn that does not answer, with their workers free."""
    broker = await build(advice)
    advice.cut.update(RELAYS)
    cost_s = broker.cost_s(LONG, len(WORKERS))
    first_try_s = cost_s + ANSWER_MARGIN_S
    broker.own.take(first_try_s + LATE_S, asyncio.get_running_loop().time())
    waited = await ask(broker, 'long')
    assert len(advice.made) == 2
    assert advice.made[-1] == OWN
    assert waited < 2 * first_try_s + LATE_S


async def test_calls_that_fail_together_count_as_one_failure(advice):
    """Guards against entries left alone for 8 s after one fault, so that a single entry asks for the whole cell."""
    broker = await build(advice)
    advice.cut = {'e1'}
    await asyncio.gather(*(ask(broker) for _ in range(8 * (len(RELAYS) + 1))))
    assert advice.made.count('e1') > 1
    now = asyncio.get_running_loop().time()
    assert broker.relays['e1'].paused_until <= now + FIRST_PAUSE_S


async def test_urgent_questions_do_not_pile_up(advice):
    """Guards against a leader that opens thousands of calls in a crest, until it can neither accept nor renew."""
    broker = await build(advice)
    cost_s = broker.cost_s(SHORT, len(WORKERS))
    asked = 0
    while broker.may_ask(urgent=True):
        broker.book(cost_s)
        asked += 1
        assert asked <= (len(RELAYS) + 1) * WAITING_CALLS
    assert asked > len(RELAYS)


async def test_entries_stay_known_when_nothing_is_accepted(advice):
    """Guards against a leader that asks alone for all that still waits, 15 s after the last submission."""
    broker = await build(advice)
    await asyncio.sleep(60)
    assert broker.may_ask(urgent=False)
    assert set(broker.relays) == {OWN, *RELAYS}


async def test_entry_that_is_gone_is_forgotten(advice):
    """Guards against calls by way of entries that were removed for good."""
    broker = await build(advice)
    advice.cut = {'e1'}
    for _ in range(90):
        await asyncio.gather(*(ask(broker) for _ in range(16)))
        await asyncio.sleep(1)
    assert set(broker.relays) == {OWN, *RELAYS} - advice.cut


async def test_second_tries_do_not_pile_up_at_the_own_entry(advice):
    """Guards against questions that wait for seconds behind those of all entries that are cut off."""
    broker = await build(advice)
    advice.cut = set(RELAYS)
    cost_s = broker.cost_s(SHORT, len(WORKERS))
    questions = []
    while broker.may_ask(urgent=True):
        questions.append(broker.ask(broker.book(cost_s), cost_s, 'short', WORKERS))
    began = asyncio.get_running_loop().time()
    await asyncio.gather(*questions)
    assert advice.made.count(OWN) <= 2 * WAITING_CALLS
    assert asyncio.get_running_loop().time() - began < 2 * (MAX_QUEUE_S + ANSWER_MARGIN_S)
