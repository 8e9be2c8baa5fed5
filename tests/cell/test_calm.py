"""Submissions without faults, and with one fault at a time."""

import asyncio

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step
from marigoldlift.submissions.records import Outcome
from standins.cell.log import LogFault
from tests.cell.model import ModelCell

STEPS = (Step(count=6, cpu_m=2000), Step(count=3, cpu_m=1000, after=(0,)))
ELECTION_S = 1.5


async def load(cell: ModelCell, count: int, prefix: str = 'job') -> list[str]:
    """Submit to the running entries in turn and return the names."""
    names = [f'{prefix}{number:02}' for number in range(count)]
    for number, name in enumerate(names):
        entry = cell.entries[number % len(cell.entries)]
        if not entry.gate.stopped:
            assert await cell.submit(entry, name, STEPS) is AcceptanceResult.done
    return names


def test_submissions_complete(run_scenario):
    """Guards against failures without any fault: acceptance, order of the two steps, outcome at every entry."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        names = await load(cell, 6)
        await cell.wait_for_outcomes(names, 60)
        await asyncio.sleep(1)
        for entry in cell.entries:
            states = {entry.node.state.state_of(name) for name in names}
            assert states == {Outcome.complete}

    run_scenario(scenario)


def test_same_id_at_two_entries_is_one_submission(run_scenario):
    """Guards against tasks that run twice because their submission was submitted at two entries."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first, second, _ = cell.entries
        answers = await asyncio.gather(
            cell.submit(first, 'same', STEPS), cell.submit(second, 'same', STEPS)
        )
        assert answers == [AcceptanceResult.done, AcceptanceResult.done]
        await cell.wait_for_outcomes(['same'], 60)
        await cell.submit(first, 'same', STEPS)
        await asyncio.sleep(5)

    run_scenario(scenario)


def test_killed_leader_is_replaced(run_scenario):
    """Guards against tasks that are lost or run twice when the leader is killed while tasks run."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        names = await load(cell, 9)
        await asyncio.sleep(0.7)
        cell.leader().kill()
        await cell.wait_for_outcomes(names, 60)

    run_scenario(scenario)


def test_tenure_ends_when_an_event_arrives_with_the_cancellation(run_scenario):
    """Guards against loops of a tenure that run on after its end: wait_for swallowed the cancellation."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        names = await load(cell, 3)
        leader = cell.leader()
        tenure_tasks = tuple(leader.node.tenure_tasks)
        await asyncio.sleep(0.3)
        leader.node.dispatcher.wake.set()
        leader.node.election.end_tenure('other')
        await asyncio.sleep(0.5)
        assert all(task.done() for task in tenure_tasks)
        await cell.wait_for_outcomes(names, 60)

    run_scenario(scenario)


def test_tasks_of_a_crashed_worker_start_elsewhere(run_scenario):
    """Guards against tasks that wait for a lost worker for ever: unanswered status polls renewed its lease."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.duration_of = lambda task: 3.0
        for entry in cell.entries:
            entry.calls.duration_of = cell.duration_of
        names = await load(cell, 6)
        await asyncio.sleep(0.5)
        crashed = next(worker for worker in cell.workers.values() if worker.held)
        crashed.crash()
        await cell.wait_for_outcomes(names, 18)

    run_scenario(scenario)


def test_query_as_the_last_task_ends_returns_the_outcome(run_scenario):
    """Guards against callers that get an outcome only from their next query, 0.26 s later."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.duration_of = lambda task: 1.0
        for entry in cell.entries:
            entry.calls.duration_of = cell.duration_of
        for number, entry in enumerate(cell.entries):
            name = f'job{number}'
            await cell.submit(entry, name, (Step(count=2, cpu_m=1000),))
            await asyncio.sleep(0.5)
            while any(worker.held for worker in cell.workers.values()):
                await asyncio.sleep(0.005)
            follower = next(other for other in cell.entries if other is not cell.leader())
            assert await follower.node.acceptance.outcome(name, 3.0) is Outcome.complete

    run_scenario(scenario)


def test_only_the_leader_follows_the_list_of_workers(run_scenario):
    """Guards against saturated links of small VMs: followers read the list of workers that only the leader uses."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        first.kill()
        await asyncio.sleep(4)
        second = cell.leader()
        assert set(second.node.registry.workers) == set(cell.workers)
        followers = [entry for entry in cell.entries if entry not in {first, second}]
        assert not any(entry.node.registry.workers for entry in followers)
        await cell.submit(second, 'job', STEPS)
        await cell.wait_for_outcomes(['job'], 60)

    run_scenario(scenario)


def test_outage_of_the_log(run_scenario):
    """Guards against lost ends and duplicate starts when the log is unavailable longer than a leader's lease."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        names = await load(cell, 9)
        for entry in cell.entries:
            entry.log.fault = LogFault.silent
        await asyncio.sleep(7)
        for healed in cell.entries:
            healed.log.fault = None
        await cell.wait_for_outcomes(names, 60)

    run_scenario(scenario)


def test_failed_run_is_counted_once_over_a_takeover(run_scenario):
    """Guards against attempts that are counted twice: workers list their ends again to the next leader."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        failing = cell.workers['w0']
        failing.fails = True
        await cell.submit(cell.entries[0], 'job', (Step(count=30, cpu_m=500),))
        for _ in range(12):
            await asyncio.sleep(0.4)
            leader = cell.leader()
            if leader is not None:
                await leader.node.election.restart_tenure()
        failing.fails = False
        await cell.wait_for_outcomes(['job'], 60)
        assert cell.outcome('job') is Outcome.complete or max(cell.checker.failed.values()) >= 3

    run_scenario(scenario, workers=2)
