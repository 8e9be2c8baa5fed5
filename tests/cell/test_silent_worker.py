"""Workers that are silent for less than their lease, to the leader, to the list of workers, or to both."""

import asyncio

import pytest

from marigoldlift.submissions.model import Step
from tests.cell.actions import cut_off, reconnect

ELECTION_S = 1.5
TASK_S = 8.0
STEPS = (Step(count=4, cpu_m=4000),)

#: How long a worker is silent, in s; its lease of 5.9 s was renewed 0.7 s before at the earliest.
SILENCES_S = (1.5, 3.0, 4.5)


@pytest.mark.parametrize('silence_s', SILENCES_S)
@pytest.mark.parametrize('silent_to', ['leader', 'list', 'both'])
def test_work_of_a_silent_worker_is_neither_moved_nor_given_up(run_scenario, silent_to, silence_s):
    """Guards against starting tasks again, or stopping them, while their worker may only be slow to report."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.duration_of = lambda task: TASK_S
        for entry in cell.entries:
            entry.calls.duration_of = cell.duration_of
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(1)
        silent = next(worker for worker in cell.workers.values() if worker.held)
        before = {task: held.run for task, held in silent.held.items()}
        if silent_to != 'list':
            for entry in cell.entries:
                entry.calls.unreachable.add(silent.name)
        if silent_to != 'leader':
            cell.is_listing = False
            cell.workers_log.store([(silent.name, b'')])
        await asyncio.sleep(silence_s)
        assert {task: held.run for task, held in silent.held.items()} == before
        for entry in cell.entries:
            entry.calls.unreachable.discard(silent.name)
        cell.is_listing = True
        await asyncio.sleep(2)
        assert {task: held.run for task, held in silent.held.items()} == before
        await cell.wait_for_outcomes(['job'], 20)
        assert set(before.values()) == {1}

    run_scenario(scenario)


def test_worker_that_has_left_is_not_used_after_a_restart(run_scenario):
    """Guards against a worker that has left and is used again by an entry that starts, or leads, later."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        gone = cell.workers['w0']
        gone.crash()
        await asyncio.sleep(6)
        cell.workers_log.drop_history()
        first.kill()
        await asyncio.sleep(2 * ELECTION_S)
        first.start()
        await asyncio.sleep(1)
        cell.leader().kill()
        await asyncio.sleep(2 * ELECTION_S)
        leader = cell.leader().node
        assert 'w0' not in leader.registry.workers
        usable = leader.dispatcher.session_manager.usable('service', include_quarantined=True)
        assert {session.worker.id for session in usable} == {'w1', 'w2', 'w3'}

    run_scenario(scenario)


def test_worker_that_returns_after_its_session_was_closed_ends_no_tenure(run_scenario):
    """Guards against a takeover of the whole cell: the worker refused the token of its new session."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader().node
        tenure = leader.election.tenure
        sessions = leader.dispatcher.session_manager.sessions
        sessions['w0'].raise_token()
        await asyncio.sleep(1)
        cut_off(cell, 'w0')
        cell.is_listing = False
        cell.workers_log.store([('w0', b'')])
        while 'w0' in sessions:
            await asyncio.sleep(1)
        reconnect(cell)
        cell.is_listing = True
        await asyncio.sleep(3)
        assert leader.election.tenure == tenure
        assert sessions['w0'].answers()

    run_scenario(scenario)
