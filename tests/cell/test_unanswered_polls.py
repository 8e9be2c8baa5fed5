"""Polls that workers leave unanswered, and what is kept of them once the workers are gone."""

import asyncio

import msgspec

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.platform.calls import CallUnansweredError, Reply
from marigoldlift.platform.workers import PlatformWorkers
from tests.cell.actions import hand_over

ELECTION_S = 1.5

#: Time after which a worker that is gone can hold nothing any more, 10.5 s, and the next check of it has come, in s.
CLOSED_S = 12.0


class WorkerChannel:
    """Takes the HTTP requests for the workers of a cell."""

    def __init__(self, entry):
        """Forward to the workers that an entry of the cell calls."""
        self.calls = entry.calls
        self.known = {name: worker.describe() for name, worker in entry.cell.workers.items()}

    async def post(self, url, body, wait_s, headers, may_send):
        """Answer a status poll, unless the worker is down."""
        fields = msgspec.json.decode(body)
        worker = self.known[headers['X-Expect-Instance']]
        try:
            found = await self.calls.poll(
                worker,
                fields['fencing_token'],
                fields['last_seen'],
                fields.get('deadline_ms'),
                fields.get('wait_ms', 0),
            )
        except WorkerUnavailableError as fault:
            raise CallUnansweredError(str(fault), was_sent=True) from fault
        reply = {'clock_ms': found.clock_ms, 'born': found.born_ms}
        return Reply(200, msgspec.json.encode(reply))


async def lose_worker(cell):
    """Let all entries poll with the platform's client, remove a worker, and return the leader, which polls it in vain."""
    for entry in cell.entries:
        client = PlatformWorkers(WorkerChannel(entry))
        entry.kill()
        entry.calls = client
        entry.start()
    await asyncio.sleep(ELECTION_S)
    cell.remove_worker('w0')
    await asyncio.sleep(1)
    return cell.leader()


def test_polls_of_gone_workers_are_forgotten(run_scenario):
    """Guards against memory that grows with each replaced worker, as long as the process lives."""

    async def scenario(cell):
        leader = await lose_worker(cell)
        assert set(leader.calls.unanswered_polls) == {'w0'}
        await asyncio.sleep(CLOSED_S)
        assert 'w0' not in leader.node.dispatcher.session_manager.sessions
        assert not leader.calls.unanswered_polls

    run_scenario(scenario)


def test_polls_of_an_ended_tenure_are_forgotten(run_scenario):
    """Guards against the same for workers that did not answer when the tenure ended: nobody polls them afterwards."""

    async def scenario(cell):
        leader = await lose_worker(cell)
        await hand_over(cell)
        assert leader.node.dispatcher is None
        await asyncio.sleep(CLOSED_S)
        assert not leader.calls.unanswered_polls

    run_scenario(scenario)
