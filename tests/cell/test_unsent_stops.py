"""Stops that become due while the leadership has run out for a moment, and the entry leads on."""

import asyncio

import pytest

from marigoldlift.errors import AppendRefusedError
from marigoldlift.leadership.election import LEADER_LEASE_S
from marigoldlift.submissions.model import SubmissionId, TaskRef
from standins.cell.log import LogFault
from tests.cell.actions import set_task_duration
from tests.cell.test_done_reports import GANG_CHAIN, store_report

ELECTION_S = 1.5
TASK_S = 30
MEMBERS = 2

#: Time for which the log is read again before the leader can renew its leadership, in s.
READ_ONLY_S = 0.5

#: Time within which the stops are sent and the runs have ended, in s: a stop takes 0.8 s, and a check 0.1 s.
STOPPED_S = 3.0


async def refuse(*_):
    """Refuse an append."""
    raise AppendRefusedError('request refused')


async def end_outage(cell, leader):
    """Let all entries read the log again, and the leader append to it `READ_ONLY_S` later."""
    append = leader.log.append
    leader.log.append = refuse
    for entry in cell.entries:
        entry.log.fault = None
    await asyncio.sleep(READ_ONLY_S)
    may_act = leader.node.election.may_act()
    leader.log.append = append
    return may_act


@pytest.mark.parametrize('outage_s', [1.0, LEADER_LEASE_S + READ_ONLY_S])
def test_gang_that_is_reported_as_done_is_stopped_after_an_outage(run_scenario, outage_s):
    """Guards against a gang that runs on although it is done: its stops were not sent, since the leadership had run out."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        leader = cell.leader()
        tenure = leader.node.election.tenure
        await cell.submit(leader, 'job', GANG_CHAIN)
        await asyncio.sleep(1)
        assert sum(len(worker.held) for worker in cell.workers.values()) == MEMBERS
        for entry in cell.entries:
            entry.log.fault = LogFault.refuse
        await asyncio.sleep(outage_s)
        # The run that the report names has ended at a worker that has left.
        members = (TaskRef(SubmissionId('job'), 0, 0, index) for index in range(MEMBERS))
        cell.checker.ended_done.update(members)
        store_report(cell)
        assert await end_outage(cell, leader) == (outage_s < LEADER_LEASE_S)
        await asyncio.sleep(STOPPED_S)
        assert leader.node.election.tenure == tenure
        held_steps = {task.step for worker in cell.workers.values() for task in worker.held}
        assert held_steps == {1}

    run_scenario(scenario, workers=6)
