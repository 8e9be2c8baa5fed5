"""Ended runs that a worker lists in several pages, or never completely."""

import asyncio

import pytest

from marigoldlift.orders.api import EndedRun, EndKind, Worker, WorkerStatus
from marigoldlift.orders.ends import MAX_BACKLOG, STALL_S, EndList
from marigoldlift.orders.session import WorkerSession
from marigoldlift.submissions.model import SubmissionId, TaskRef

pytestmark = pytest.mark.looptime

LEASE_S = 5.9
PAGE = 2
WORKER = Worker('w', 'w:1', 'a', 'service', True, 1, 8000, 8000, 0, ())


class Observer:
    """Stores each end at once, except those whose handling raises.

    Attributes:
        failing: numbers of the ends over which it raises.
        ended: numbers of the ends that it has handled.
    """

    def __init__(self):
        self.failing = set()
        self.ended = []

    def run_ended(self, session, ended, known):
        if ended.number in self.failing:
            raise ValueError('cannot be handled')
        self.ended.append(ended.number)
        session.ends.store_confirmed(ended.number)

    def handling_failed(self, kind, name, fault):
        """Ignore the fault."""

    def run_confirmed(self, session, run):
        """Ignore a run that is listed before its start is answered."""

    def capacity_changed(self):
        """Ignore the change."""

    def may_act(self):
        return True


class PagedWorker:
    """A worker whose ends are listed in pages.

    Attributes:
        ends: number of its ends.
        leases: lease deadlines of the polls.
        answers: if set, polls wait until it is set.
    """

    def __init__(self, ends):
        self.ends = ends
        self.leases = []
        self.answers = asyncio.Event()
        self.answers.set()

    async def poll(self, worker, token, last_acknowledged, until_ms, wait_ms):
        self.leases.append(until_ms)
        numbers = range(last_acknowledged + 1, self.ends + 1)
        listed = [
            EndedRun(number, TaskRef(SubmissionId('job'), 0, 0, number), 1, EndKind.done, '')
            for number in numbers[:PAGE]
        ]
        more = len(numbers) >= PAGE
        clock_ms = asyncio.get_running_loop().time() * 1000
        await self.answers.wait()
        return WorkerStatus(clock_ms, 1, [], listed, whole=not more, more_ends=more)


def build(ends):
    """Return a session with a worker, and its observer."""
    observer = Observer()
    clock = asyncio.get_running_loop().time
    return WorkerSession(WORKER, PagedWorker(ends), 7, observer, clock, LEASE_S), observer


async def test_earlier_runs_are_known_after_the_last_page():
    """Guards against TWICE at a takeover: runs whose ends are on later pages counted as absent after the first one."""
    session, observer = build(ends=2 * PAGE + 1)
    for _ in range(2):
        assert await session.poll(0)
        assert not session.knows_earlier_runs()
    assert await session.poll(0)
    assert session.knows_earlier_runs()
    assert observer.ended == [1, 2, 3, 4, 5]


async def test_end_that_was_not_handled_is_not_taken_for_read():
    """Guards against TWICE at a takeover: a task counted as absent because the handling of its end had raised."""
    session, observer = build(ends=1)
    observer.failing = {1}
    await session.poll(0)
    await session.poll(0)
    assert not session.knows_earlier_runs()
    observer.failing.clear()
    await session.poll(0)
    assert session.knows_earlier_runs()


async def test_end_that_is_not_handled_later_stalls_nothing():
    """Guards against runs that lose their lease because one end, of a worker whose ends were read, is not handled."""
    session, observer = build(ends=0)
    await session.poll(0)
    session.calls.ends = 1
    observer.failing = {1}
    for _ in range(2):
        await session.poll(0)
        await asyncio.sleep(STALL_S)
    assert session.knows_earlier_runs()
    assert not session.ends.is_stalled(asyncio.get_running_loop().time())


async def test_full_last_page_is_followed_by_another_poll():
    """Guards against a list whose last page is exactly full and is taken for the last one."""
    session, _ = build(ends=PAGE)
    await session.poll(0)
    await session.poll(0)
    assert session.knows_earlier_runs()
    session, _ = build(ends=PAGE)
    await session.poll(0)
    assert not session.knows_earlier_runs()


async def test_late_status_under_an_older_token_does_not_synchronize():
    """Guards against a worker that counts as fenced by a status that it sent before it saw the current token."""
    session, _ = build(ends=1)
    await session.poll(0)
    session.calls.answers.clear()
    late = asyncio.create_task(session.poll(0))
    await asyncio.sleep(0.1)
    session.raise_token()
    session.calls.answers.set()
    assert await late
    assert not session.knows_earlier_runs()
    await session.poll(0)
    assert session.knows_earlier_runs()


async def test_page_under_a_raised_token_keeps_what_is_known():
    """Guards against a worker without new tasks, because it lists many ends, though no leader has changed."""
    session, _ = build(ends=1)
    await session.poll(0)
    await session.poll(0)
    session.calls.ends += 2 * PAGE
    session.raise_token()
    await session.poll(0)
    assert session.ends.incomplete
    assert session.knows_earlier_runs()


async def test_list_that_stays_incomplete_is_given_up_with_the_lease():
    """Guards against a worker that is shut out for ever because an end that cannot be handled fills its page."""
    session, observer = build(ends=2 * PAGE)
    observer.failing = {1}
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while not session.ends.is_stalled(loop.time()):
        await session.poll(0)
        await asyncio.sleep(0.1)
    assert loop.time() - started_at < STALL_S + 0.5
    session.calls.leases.clear()
    while not session.is_lost():
        await session.poll(0)
        await asyncio.sleep(0.1)
    assert set(session.calls.leases) == {None}
    session.ends.give_up()
    assert loop.time() - started_at < STALL_S + LEASE_S / 0.98 + 1
    await session.poll(0)
    await session.poll(0)
    assert session.knows_earlier_runs()
    assert observer.ended == [2, 3, 4]


async def test_list_does_not_stall_while_the_log_does_not_answer():
    """Guards against runs that are given up because their ends cannot be stored during an outage of the log."""
    ends = EndList()
    ends.note(1)
    ends.note_page(1, 0, more=True)
    ends.note_page(0, 60, more=True)
    assert not ends.is_stalled(120)
    ends.store_confirmed(1)
    ends.note_page(0, 120, more=True)
    assert not ends.is_stalled(120 + STALL_S)
    assert ends.is_stalled(121 + STALL_S)


async def test_list_that_grows_for_ever_stalls():
    """Guards against a worker that is shut out for ever because it always lists new ends."""
    ends = EndList()
    ends.note_page(MAX_BACKLOG, 0, more=True)
    assert not ends.is_stalled(0)
    ends.note_page(1, 0, more=True)
    assert ends.is_stalled(0)
