"""Submissions of many tasks that are cancelled."""

import asyncio
from collections import Counter

from marigoldlift.orders.runs import Phase, Run
from marigoldlift.scheduling.stop_queue import MAX_STOPS, MAX_STOPS_AT_WORKER
from marigoldlift.submissions.model import Step
from tests.cell.actions import cut_off, set_task_duration

ELECTION_S = 1.5
SERVING_S = 0.001
TASKS = 1500


def watch_stops(cell):
    """Let each stop take a while; return the most stops in flight by worker, and in total."""
    calls = cell.leader().calls
    send = calls.stop
    in_flight, most = Counter(), Counter()

    async def stop(worker, token, task, run):
        in_flight[worker.id] += 1
        most[worker.id] = max(most[worker.id], in_flight[worker.id])
        most['all'] = max(most['all'], in_flight.total())
        await asyncio.sleep(SERVING_S)
        in_flight[worker.id] -= 1
        await send(worker, token, task, run)

    calls.stop = stop
    return most


def test_stops_of_a_burst_are_sent_in_turn(run_scenario):
    """Guards against UNASKED: thousands of stops at once get no answer in time, and the leader misses its renewals."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        await cell.submit(cell.leader(), 'job', (Step(count=TASKS, cpu_m=2),))
        await cell.submit(cell.leader(), 'other', (Step(count=5, cpu_m=2),))
        await asyncio.sleep(4)
        assert sum(len(worker.held) for worker in cell.workers.values()) == TASKS + 5
        most = watch_stops(cell)
        await cell.leader().node.acceptance.cancel('job', 3.0)
        await asyncio.sleep(3)
        assert sum(len(worker.held) for worker in cell.workers.values()) == 5
        assert most.pop('all') <= MAX_STOPS
        assert max(most.values()) <= MAX_STOPS_AT_WORKER
        assert not cell.leader().node.dispatcher.starter.stops.queued

    run_scenario(scenario, workers=3)


def test_silent_workers_do_not_hold_up_the_stops_of_others(run_scenario):
    """Guards against UNASKED: tasks on sound workers run on while stops wait for the time-outs of workers that are cut off."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        await cell.submit(cell.leader(), 'job', (Step(count=TASKS, cpu_m=30),))
        await asyncio.sleep(4)
        silent = sorted(cell.workers)[:6]
        for worker in silent:
            cut_off(cell, worker)
        await cell.leader().node.acceptance.cancel('job', 3.0)
        await asyncio.sleep(1.5)
        held = {found.name: len(found.held) for found in cell.workers.values()}
        assert all(map(held.pop, silent))
        assert not any(held.values())

    run_scenario(scenario, workers=8)


def test_waiting_stop_does_not_end_a_later_run(run_scenario):
    """Guards against a run that is stopped because the stop of an earlier run of its task was sent late."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        set_task_duration(cell, 100)
        await cell.submit(cell.leader(), 'job', (Step(count=1, cpu_m=2),))
        await asyncio.sleep(0.5)
        dispatcher = cell.leader().node.dispatcher
        sessions = dispatcher.session_manager.sessions.values()
        session = next(found for found in sessions if found.run_table.runs)
        task, ended = next(iter(session.run_table.runs.items()))
        await dispatcher.starter.stops.send(session, earlier_run(ended), is_counted=False)
        await asyncio.sleep(0.5)
        assert session.run_table.runs[task] is ended
        assert ended.stop_sent_at is None

    run_scenario(scenario, workers=1)


def earlier_run(run):
    """Return an earlier run of the task of a run."""
    return Run(run.task, run.run - 1, run.step, Phase.held, 0)
