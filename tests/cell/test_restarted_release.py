"""Release of a tenure that was restarted after a refused token, and that another entry has ended."""

import asyncio

import pytest

from marigoldlift.submissions.records import Leadership
from standins.cell.log import LogFault

ELECTION_S = 1.5
NEXT_LEADER_S = 3.0

#: Time within which an entry that reads the log again has stored the release of its tenure, in s.
RELEASED_S = 3.0


@pytest.mark.parametrize('is_refused', [False, True])
def test_ended_tenure_is_released(run_scenario, is_refused):
    """Guards against tasks of a worker that is gone which wait 4 s longer than those of a tenure whose end is stored.

    After a refused token the tenure is restarted, and its number is not known any more when another entry has ended it.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        tenure = leader.node.election.tenure
        released = []

        def observe(offset, record):
            if isinstance(record, Leadership) and record.released:
                released.append(record.renews)

        for watched in cell.entries:
            watched.node.state.observers.append(observe)
        leader.log.fault = LogFault.silent
        if not is_refused:
            leader.calls.unreachable.update(cell.workers)
        await asyncio.sleep(NEXT_LEADER_S)
        leading = [entry for entry in cell.entries if entry.node.election.tenure is not None]
        assert set(leading) - {leader}
        assert (leader in leading) is not is_refused
        leader.log.fault = None
        await asyncio.sleep(RELEASED_S)
        assert cell.leader() not in {None, leader}
        assert tenure in released

    run_scenario(scenario)
