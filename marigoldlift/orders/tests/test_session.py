"""When a worker's runs count as lost."""

import asyncio

import pytest

from marigoldlift.orders.api import HeldRun, Look, Worker
from marigoldlift.orders.session import SILENT_LIFE_S, WorkerSession
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef

pytestmark = pytest.mark.looptime

LEASE_S = 5.9
TASK = TaskRef(SubmissionId('job'), 0, 0, 0)
WORKER = Worker('w', 'w:1', 'a', 'service', True, 1, 8000, 8000, 0, ())


class Observer:
    """Finds every run acceptable and keeps those that vanish."""

    def __init__(self):
        self.vanished = []

    def run_found(self, session, held):
        return Step(count=1, cpu_m=1000)

    def run_vanished(self, session, run):
        self.vanished.append(run.task)

    def room_changed(self):
        """Needs nothing."""

    def may_act(self):
        return True


class OneRun:
    """A worker that holds one run of an earlier leader, and stops answering after some looks."""

    def __init__(self, answers):
        self.answers = answers

    async def look(self, worker, token, seen, until_ms, wait_ms):
        if not self.answers:
            await asyncio.sleep(60)
        self.answers -= 1
        return Look(9000, 1, [HeldRun(TASK, 1, '', 10)], [], True)


def build(answers):
    """Return a session and its observer."""
    observer = Observer()
    clock = asyncio.get_running_loop().time
    return WorkerSession(WORKER, OneRun(answers), 7, observer, clock, LEASE_S), observer


async def test_found_run_is_not_lost_before_a_lease_was_sent():
    """Guards against LIMIT and TWICE at a takeover: a run was given up between the first look and the second."""
    session, _ = build(answers=1)
    assert await session.look(0)
    assert session.room.runs
    assert not session.is_lost()
    await asyncio.sleep(LEASE_S)
    assert not session.is_lost()
    await asyncio.sleep(SILENT_LIFE_S)
    assert session.is_lost()


async def test_run_is_lost_with_the_lease_of_this_session():
    """Guards against a worker that keeps its runs for ever after it stopped answering."""
    session, _ = build(answers=2)
    assert await session.look(0)
    assert await session.look(0)
    assert not session.is_lost()
    await asyncio.sleep(LEASE_S * 1.1)
    assert session.is_lost()
