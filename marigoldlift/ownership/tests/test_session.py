"""Lease of one worker: takeover, pauses, doubt and silence."""

import asyncio

import pytest

from marigoldlift.ownership.ledger import WorkerLedger
from marigoldlift.ownership.session import CLAIMS_TIMEOUT_S, LeaseSession, LeaseTimes, Wish
from marigoldlift.ownership.tests.conftest import describe
from marigoldlift.platform.messages import StartTask
from marigoldlift.resources import Resources
from marigoldlift.util import loop_now

pytestmark = pytest.mark.looptime

TIMES = LeaseTimes()


class Recorder:
    """Listener that keeps what it was told, and chooses what to wish."""

    def __init__(self):
        self.told = []
        self.wanted = Wish.own
        self.releasable = True

    def may_release(self, worker_id):
        return self.releasable

    def wish(self, worker_id, *, owned):
        return self.wanted

    def before_ask(self, worker_id):
        return 0

    def on_claimed(self, worker_id, grant):
        self.told.append(('claimed', grant.epoch))

    def on_renewed(self, worker_id, grant):
        self.told.append(('renewed', grant.epoch))

    def on_lost(self, worker_id):
        self.told.append(('lost', 0))

    def on_silent(self, worker_id):
        self.told.append(('silent', loop_now()))


@pytest.fixture
async def start(worker):
    """Start a session of an entry on the worker; gives session, ledger, recorder and task."""
    tasks = []

    def begin(name):
        ledger = WorkerLedger(loop_now)
        ledger.list_workers([describe('w1')], {})
        recorder = Recorder()
        session = LeaseSession('w1', name, worker, ledger, recorder, recorder, TIMES)
        tasks.append(asyncio.create_task(session.run()))
        return session, ledger, recorder, tasks[-1]

    yield begin
    for task in tasks:
        task.cancel()


async def test_renewal_follows_the_claim_at_once(start, worker):
    """Guards against task leases that a takeover leaves to lapse: only renewals extend them."""
    _, _, recorder, _ = start('e1')
    await asyncio.sleep(0.1)

    assert recorder.told == [('claimed', 1), ('renewed', 1)]


async def test_successor_takes_over_within_lease_and_claim(start):
    """Guards against a worker that stays without owner after its owner's death."""
    _, first, _, dying = start('e1')
    await asyncio.sleep(0.5)
    _, second, _, _ = start('e2')
    await asyncio.sleep(0.5)
    assert (first.owned_ids(), second.owned_ids()) == (['w1'], [])

    dying.cancel()
    await asyncio.sleep(TIMES.ttl_s + TIMES.claim_s)
    assert (first.owned_ids(), second.owned_ids()) == ([], ['w1'])


async def test_owner_stops_acting_before_the_worker_lets_the_lease_lapse(start, worker):
    """Guards against an owner that believes in its lease for longer than the worker does."""
    _, ledger, recorder, _ = start('e1')
    await asyncio.sleep(0.5)
    worker.reachable = False
    while ledger.owned_ids():
        await asyncio.sleep(0.01)

    assert worker.state.current.control.is_live(loop_now())


async def test_release_hands_over_at_once(start, worker):
    """Guards against a planned stop that leaves workers idle for a whole lease."""
    _, _, leaving, _ = start('e1')
    await asyncio.sleep(0.5)
    _, successor, _, _ = start('e2')
    leaving.wanted = Wish.leave
    await asyncio.sleep(TIMES.renew_s + TIMES.claim_s)

    assert successor.owned_ids() == ['w1']


async def test_release_waits_for_claims_but_not_for_ever(start, worker):
    """Guards against claimed charges that lose their worker, and workers kept by a slow log."""
    _, ledger, leaving, _ = start('e1')
    await asyncio.sleep(0.5)
    leaving.wanted = Wish.leave
    leaving.releasable = False
    await asyncio.sleep(TIMES.renew_s)
    assert ledger.owned_ids() == ['w1']
    assert not ledger.hold('w1', 'r1', Resources(slots=1))
    await asyncio.sleep(CLAIMS_TIMEOUT_S)
    assert not ledger.owned_ids()


async def test_doubt_raises_the_epoch(start, worker):
    """Guards against an old command that arrives after its owner gave up on it."""
    session, ledger, recorder, _ = start('e1')
    await asyncio.sleep(0.1)
    session.resolve_doubt()
    await asyncio.sleep(0.1)

    assert ledger.workers['w1'].epoch == 2
    assert recorder.told[-2:] == [('claimed', 2), ('renewed', 2)]


async def test_silence_is_declared_only_after_the_task_leases_lapsed(start, worker):
    """Guards against releasing a task that still runs on a worker behind a cut."""
    _, ledger, recorder, _ = start('e1')
    await asyncio.sleep(0.1)
    begin_task(worker, ledger)
    worker.reachable = False
    await wait_told(recorder, 'silent')

    worker.state.advance()
    assert not worker.state.current.running.by_id


async def test_lost_answers_of_renewals_do_not_count_as_silence(start, worker):
    """Guards against a one-way cut: renewals arrive and extend task leases, answers do not."""
    _, ledger, recorder, _ = start('e1')
    await asyncio.sleep(0.1)
    begin_task(worker, ledger)
    worker.answers = False
    await wait_told(recorder, 'silent')

    worker.state.advance()
    assert not worker.state.current.running.by_id


async def test_answer_ends_the_silence(start, worker):
    """Guards against adding up separate short silences."""
    _, _, recorder, _ = start('e1')
    for _ in range(4):
        worker.reachable = False
        await asyncio.sleep(TIMES.lost_after_s / 2)
        worker.reachable = True
        await asyncio.sleep(2)

    assert 'silent' not in [kind for kind, _ in recorder.told]


def begin_task(worker, ledger):
    """Start a task without end as the owner."""
    owned = ledger.workers['w1']
    worker.state.start_task(
        StartTask(owned.incarnation, owned.epoch, 't', 'ws', Resources(slots=1), 0, ''),
    )


async def wait_told(recorder, kind):
    """Wait until the listener was told something."""
    while kind not in [told for told, _ in recorder.told]:
        await asyncio.sleep(0.1)


async def test_silence_counts_anew_after_a_pause_of_the_entry(start, worker):
    """Guards against releasing tasks that another entry kept alive while this one was paused."""
    session, _, recorder, running = start('e1')
    worker.reachable = False
    await asyncio.sleep(1)
    running.cancel()
    await asyncio.sleep(TIMES.lost_after_s)
    resumed = asyncio.create_task(session.run())
    await asyncio.sleep(TIMES.lost_after_s / 2)

    resumed.cancel()
    assert 'silent' not in [kind for kind, _ in recorder.told]
