"""A leader that restarts its tenure after a refused token while another entry has begun to lead."""

import asyncio

from standins.cell.log import LogFault

ELECTION_S = 1.5
NEXT_LEADER_S = 3.0

#: Time after which a worker that is gone can hold nothing any more, 10.5 s, and the next check of it has come, in s.
CLOSED_S = 12.0


def test_leader_with_a_refused_token_ends_its_tenure(run_scenario):
    """Guards against a former leader that polls a worker which is gone, and reports it as unreachable, without end.

    The tenure that it restarts after a refused token never begins, since another entry leads by then.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        leader = cell.leader()
        cell.remove_worker('w0')
        leader.log.fault = LogFault.silent
        await asyncio.sleep(NEXT_LEADER_S)
        assert cell.leader() not in {None, leader}
        leader.log.fault = None
        await asyncio.sleep(CLOSED_S)
        assert cell.leader() not in {None, leader}
        assert leader.node.dispatcher is None

    run_scenario(scenario)
