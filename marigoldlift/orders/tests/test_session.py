"""Conditions under which the runs of a worker count as lost."""

import asyncio

import pytest

from marigoldlift.answer_deadline import always
from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.orders.api import HeldRun, WorkerStatus, Worker
from marigoldlift.orders.polling import poll_continuously
from marigoldlift.orders.runs import Phase, Run
from marigoldlift.orders.session import UNLEASED_EXPIRY_S, WorkerSession
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef

pytestmark = pytest.mark.looptime

LEASE_S = 5.9
TASK = TaskRef(SubmissionId('job'), 0, 0, 0)
OTHER_TASK = TaskRef(SubmissionId('job'), 0, 0, 1)
WORKER = Worker('w', 'w:1', 'a', 'service', True, 1, 8000, 8000, 0, ())


class Observer:
    """Accepts every run and records those that vanish."""

    def __init__(self):
        self.vanished = []

    def run_found(self, session, held):
        return Step(count=1, cpu_m=1000)

    def run_vanished(self, session, run):
        self.vanished.append(run.task)

    def run_confirmed(self, session, run):
        """Ignore a run that is listed before its start is answered."""

    def capacity_changed(self):
        """Ignore the change."""

    def may_act(self):
        return True


class OneRun:
    """A worker that holds one run of an earlier leader, and stops answering after a number of polls."""

    def __init__(self, answers):
        self.answers = answers

    async def poll(self, worker, token, last_acknowledged, until_ms, wait_ms):
        if not self.answers:
            await asyncio.sleep(60)
        self.answers -= 1
        return WorkerStatus(9000, 1, [HeldRun(TASK, 1, '', 10)], [], True)


class Refusing(OneRun):
    """A worker that fails calls at once after a number of polls, and records the lease deadlines that it was sent."""

    def __init__(self, answers):
        super().__init__(answers)
        self.leases = []

    async def poll(self, worker, token, last_acknowledged, until_ms, wait_ms):
        self.leases.append(until_ms)
        if not self.answers:
            raise WorkerUnavailableError('refused', may_have_run=True)
        return await super().poll(worker, token, last_acknowledged, until_ms, wait_ms)

    async def start(self, worker, token, order, may_send):
        self.leases.append(order.until_ms)
        raise WorkerUnavailableError('refused', may_have_run=True)


class SlowlyRefusing(Refusing):
    """A worker that fails starts after a while."""

    async def start(self, worker, token, order, may_send):
        await asyncio.sleep(0.4)
        return await super().start(worker, token, order, may_send)


class SlowToStart(OneRun):
    """A worker that answers a start after its lease has lapsed."""

    async def start(self, worker, token, order, may_send):
        await asyncio.sleep(2 * LEASE_S)
        raise WorkerUnavailableError('no answer', may_have_run=True)


def build(answers, kind=OneRun):
    """Return a session and its observer."""
    observer = Observer()
    clock = asyncio.get_running_loop().time
    return WorkerSession(WORKER, kind(answers), 7, observer, clock, LEASE_S), observer


async def test_found_run_is_not_lost_before_a_lease_was_sent():
    """Guards against LIMIT and TWICE violations at a takeover: a run was given up between the first and second poll."""
    session, _ = build(answers=1)
    assert await session.poll(0)
    assert session.run_table.runs
    assert not session.is_lost()
    await asyncio.sleep(LEASE_S)
    assert not session.is_lost()
    await asyncio.sleep(UNLEASED_EXPIRY_S)
    assert session.is_lost()


async def test_run_is_lost_with_the_lease_of_this_session():
    """Guards against runs that never count as lost after their worker has stopped answering."""
    session, _ = build(answers=2)
    assert await session.poll(0)
    assert await session.poll(0)
    assert not session.is_lost()
    await asyncio.sleep(LEASE_S * 1.1)
    assert session.is_lost()


async def test_failed_polls_do_not_extend_the_lease():
    """Guards against restarting tasks of a lost worker 1.3 s late: each poll that failed at once renewed the lease."""
    session, _ = build(answers=3, kind=Refusing)
    loop = asyncio.get_running_loop()
    polling = asyncio.create_task(poll_continuously(session))
    while session.calls.answers:
        await asyncio.sleep(0.01)
    stopped_at = loop.time()
    while not session.is_lost():
        await asyncio.sleep(0.01)
    polling.cancel()
    assert loop.time() - stopped_at < LEASE_S / 0.98 + 0.3


async def test_worker_that_may_have_restarted_gets_no_lease():
    """Guards against TWICE: its next incarnation gets a lease after the time from which the wait for late copies counts."""
    session, _ = build(answers=4, kind=Refusing)
    assert await session.poll(0)
    assert await session.poll(0)
    session.contact.note_claim(session.now())
    await asyncio.sleep(0.1)
    assert await session.poll(0)
    assert session.calls.leases[1] and session.calls.leases[2] is None
    assert await session.poll(0)
    assert session.calls.leases[3]


async def test_unanswered_start_does_not_extend_the_lease():
    """Guards against restarting tasks of a lost worker late because an unanswered start extended its lease."""
    session, _ = build(answers=2, kind=Refusing)
    assert await session.poll(0)
    assert await session.poll(0)
    await asyncio.sleep(1)
    ordered = Run(OTHER_TASK, 1, Step(count=1, cpu_m=1000), Phase.sent, session.now())
    session.run_table.take(ordered)
    assert await session.start(ordered, '', '', always)
    assert session.calls.leases[-1] == session.calls.leases[-2]


async def test_start_under_way_is_not_given_up_with_the_lease():
    """Guards against TWICE: a paused process gives up a start before it reads its answer, and a copy runs at a later incarnation."""
    session, observer = build(answers=1, kind=SlowToStart)
    assert await session.poll(0)
    ordered = Run(OTHER_TASK, 1, Step(count=1, cpu_m=1000), Phase.sent, session.now())
    session.run_table.take(ordered)
    starting = asyncio.create_task(session.start(ordered, '', '', always))
    await asyncio.sleep(1.5 * LEASE_S)
    assert session.is_lost()
    session.give_up_runs()
    assert observer.vanished == [TASK]
    assert await starting
    session.give_up_runs()
    assert observer.vanished == [TASK]


async def test_starts_without_an_answer_raise_the_token_once():
    """Guards against refused starts: each of many starts in doubt raised the token above that of the others under way."""
    session, _ = build(answers=1, kind=Refusing)
    assert await session.poll(0)
    session.calls = SlowlyRefusing(0)
    before = session.token
    runs = [
        Run(TaskRef(SubmissionId('job'), 0, 0, index), 1, Step(count=9), Phase.sent, session.now())
        for index in range(3)
    ]
    for ordered in runs:
        session.run_table.take(ordered)
    await asyncio.gather(*(session.start(sent, '', '', always) for sent in runs))
    assert session.token == before + 1
    assert {sent.fence for sent in runs} == {session.token}
