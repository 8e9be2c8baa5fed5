"""An entry that is asked to stop while it alone knows of ends that the log does not take."""

import asyncio
import gc

import pytest

from marigoldlift.cell import Entry
from marigoldlift.platform.draining_server import EXIT_RESERVE_S, DrainingServer
from marigoldlift.platform.node_settings import parse_node_settings
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from standins.cell.log import LogFault
from tests.cell.actions import set_task_duration

ELECTION_S = 1.5
TASK_S = 2.0
GRACE_S = 6.0

#: Time from the request to stop until the log takes records again, in s.
RETURNS_EARLY_S = 1.0
RETURNS_LATE_S = 4.5

CHAIN = (Step(count=1, cpu_m=1000), Step(count=1, cpu_m=1000, after=(0,)))
FIRST = TaskRef(SubmissionId('job'), 0, 0, 0)

SETTINGS = f"""node_name=e
zone=a
ip=127.0.0.1
listen.front=127.0.0.1:8161
listen.ready=127.0.0.1:8167
listen.control=127.0.0.1:8166
internal_ports=7720,7735
seeds=127.0.0.1:8166
limits.cpu_share=0.5
limits.cores=2
bounds.hold_max_ms=6000
bounds.gang_ms=3000
bounds.status_s=120
bounds.grace_s={GRACE_S:.0f}
orders=call
advice=127.0.0.1:1
platform.addr=127.0.0.1:1
"""


class Listener:
    """Listener of a server without connections."""

    def close(self):
        """Accept no more connections."""


class IdleWatcher:
    """Watcher of a settings file that does not change."""

    async def run(self):
        """Wait until cancelled."""
        await asyncio.Event().wait()


async def listen(address, handler):
    """Return a server that no connection reaches."""
    return Listener()


async def listen_draining(address, handler):
    """Return a server that drains and that no connection reaches."""
    server = DrainingServer(handler)
    server.listener = Listener()
    return server


@pytest.fixture
def start_process(monkeypatch):
    """Return a function that lets the process of an entry of the cell run as `Entry` does, until it is asked to stop."""
    monkeypatch.setattr('marigoldlift.cell.listen', listen)
    monkeypatch.setattr('marigoldlift.cell.listen_draining', listen_draining)
    monkeypatch.setattr(gc, 'freeze', bool)

    def start(model_entry):
        entry = Entry(parse_node_settings(SETTINGS))
        entry.node = model_entry.node
        entry.watch = IdleWatcher()
        entry.follow_signals = bool
        entry.operators.run = asyncio.Event().wait

        async def serve():
            try:
                await asyncio.Event().wait()
            finally:
                # The loops of the node run already; they end with the process.
                model_entry.kill()

        entry.node.loops = lambda: [serve()]
        model_entry.gate.spawn(entry.run())
        return entry

    return start


@pytest.mark.parametrize('is_refused', [False, True])
@pytest.mark.parametrize('returns_s', [RETURNS_EARLY_S, RETURNS_LATE_S])
def test_end_is_stored_while_grace_time_is_left(
    run_scenario, start_process, returns_s, is_refused
):
    """Guards against a task that is done and runs again: its end is dropped at a stop though the log returns in time.

    Where the next leader reaches the other workers, they refuse the token of the stopping one, which no longer counts as leading.
    """

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, TASK_S)
        leader = cell.leader()
        await cell.submit(leader, 'job', CHAIN)
        entry = start_process(leader)
        await asyncio.sleep(1)
        holder = next(worker for worker in cell.workers.values() if worker.held)
        leader.log.fault = LogFault.refuse
        for other in cell.entries:
            if other is not leader:
                other.calls.unreachable.update({holder.name} if is_refused else cell.workers)
        await asyncio.sleep(TASK_S)
        assert FIRST in cell.checker.ended_done
        assert (leader.node.election.tenure is None) is is_refused
        cell.remove_worker(holder.name)
        entry.stopping.set()
        stopped_at = cell.loop.time()
        await asyncio.sleep(returns_s)
        leader.log.fault = None
        await asyncio.sleep(stopped_at + GRACE_S - EXIT_RESERVE_S - cell.loop.time())
        leader.kill()
        await asyncio.sleep(1)
        step = next(iter(cell.leader().node.state.jobs[FIRST.submission].progress.values()))
        assert step.done == [FIRST.index]
        await entry.calls.close()

    run_scenario(scenario)
