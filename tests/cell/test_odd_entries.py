"""Entries and records of other writers, and items whose handling raises: no process ends and the rest goes on."""

import asyncio

import msgspec
import pytest

from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.submissions.model import Step
from marigoldlift.telemetry.metric_table import Metric
from tests.cell.model import registry_entry

ELECTION_S = 1.5
SETTLED_S = 20
STEPS = (Step(count=4, cpu_m=2000),)
DEEP = 20_000


def changed_entry(cell, **fields):
    """Return the registry entry of a worker with some fields changed."""
    entry = msgspec.json.decode(registry_entry(cell.workers['w0'].describe()))
    return msgspec.json.encode(entry | fields)


ODD_ENTRIES = {
    'lists': lambda cell: b'[' * DEEP + b']' * DEEP,
    'unread_field': lambda cell: b'{"other":' + b'{"a":' * DEEP + b'1' + b'}' * DEEP + b'}',
    'bytes': lambda cell: b'\xff\xfe\x00',
    'port_too_large': lambda cell: changed_entry(cell, addr='10.0.0.1:99999'),
    'port_negative': lambda cell: changed_entry(cell, addr='10.0.0.1:-1'),
    'no_address': lambda cell: changed_entry(cell, addr=''),
    'host_name': lambda cell: changed_entry(cell, addr='127.0.0.1:80@example'),
    'long_address': lambda cell: changed_entry(cell, addr='1' * 70_000 + ':80'),
    'cpu_negative': lambda cell: changed_entry(cell, capacity={'cpu': -8000}),
    'cpu_too_large': lambda cell: changed_entry(cell, capacity={'cpu': 10**30}),
    'born_too_large': lambda cell: changed_entry(cell, born=2**63),
    'number_too_large': lambda cell: b'{"born":1e999,"addr":"10.0.0.1:80"}',
    'many_digits': lambda cell: b'{"born":' + b'9' * 10_000 + b'}',
    'zone_too_long': lambda cell: changed_entry(cell, zone='z' * 261_500),
    'unknown_state': lambda cell: changed_entry(cell, state='resting'),
}


@pytest.fixture
def exits(monkeypatch):
    """Exit codes of entries that have ended by themselves."""
    codes = []
    monkeypatch.setattr('marigoldlift.supervision.os._exit', codes.append)
    return codes


@pytest.mark.parametrize('form', ODD_ENTRIES)
@pytest.mark.parametrize('key', ['other', 'w1', 'k' * 255, 'a\r\nb'])
def test_odd_entry_among_the_workers_ends_no_entry(run_scenario, exits, form, key):
    """Guards against leaders that end one after the other over the same entry, and against missing later entries."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        cell.workers_log.store([(key, ODD_ENTRIES[form](cell))])
        await asyncio.sleep(1)
        assert cell.leader() is first
        first.kill()
        await asyncio.sleep(2 * ELECTION_S)
        cell.workers_log.store([(key, ODD_ENTRIES[form](cell))])
        await cell.submit(cell.leader(), 'job', STEPS)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        leader = cell.leader().node
        assert set(leader.registry.workers) == set(cell.workers)
        assert set(leader.state.workers) == set(cell.workers)

    run_scenario(scenario)
    assert not exits


def test_worker_that_cannot_be_recorded_holds_up_nothing(run_scenario, exits, monkeypatch):
    """Guards against a leader whose event loop stands still over a record that is refused at once."""
    monkeypatch.setattr('marigoldlift.replication.appender.MAX_RECORD_BYTES', 800)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        cell.workers_log.store([('other', changed_entry(cell, zone='z' * 1000))])
        await asyncio.sleep(1)
        await cell.submit(first, 'job', STEPS)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.leader() is first

    run_scenario(scenario)
    assert not exits


def test_worker_with_an_odd_entry_keeps_its_runs(run_scenario, exits):
    """Guards against giving up running tasks, and against placing new ones, while a worker's entry is unreadable."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        await cell.submit(cell.leader(), 'job', STEPS)
        await asyncio.sleep(0.3)
        holder = next(worker for worker in cell.workers.values() if worker.held)
        cell.is_listing = False
        cell.workers_log.store([(holder.name, b'\xff')])
        await asyncio.sleep(1)
        session_manager = cell.leader().node.dispatcher.session_manager
        usable = session_manager.usable('service', include_quarantined=True)
        assert holder.name not in {session.worker.id for session in usable}
        cell.is_listing = True
        await asyncio.sleep(1)
        usable = session_manager.usable('service', include_quarantined=True)
        assert holder.name in {session.worker.id for session in usable}
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)
    assert not exits


@pytest.mark.parametrize(
    'content',
    [
        b'\x91' * DEEP,
        b'\x93\xa1c\xa3job' + b'\x91' * DEEP + b'\xc0',
        b'\xff',
        b'\xdd\xff\xff\xff\xff',
        b'{}',
    ],
)
@pytest.mark.parametrize('key', ['s/0123456789abcdef', 'odd', ''])
def test_odd_record_of_work_ends_no_entry(run_scenario, exits, content, key):
    """Guards against all entries ending at once over a record that each of them reads."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        cell.log.store([(key, content)])
        await asyncio.sleep(1)
        await cell.submit(cell.entries[0], 'job', STEPS)
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)
    assert not exits


def test_submission_that_cannot_be_planned_delays_no_other(run_scenario, exits, monkeypatch):
    """Guards against a submission that ends each leader in turn, or that holds up the others."""
    place = Planner.place

    def fail_for_broken(planner, step):
        if step.job.id == 'broken':
            raise RuntimeError('fault put in by the test')
        place(planner, step)

    monkeypatch.setattr(Planner, 'place', fail_for_broken)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        first = cell.leader()
        await cell.submit(first, 'broken', STEPS)
        await cell.submit(first, 'job', STEPS)
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert 'faults_contained_total{kind="submission"}' in first.node.parts.metrics.render()
        first.kill()
        await asyncio.sleep(2 * ELECTION_S)
        await cell.submit(cell.leader(), 'after', STEPS)
        await cell.wait_for_outcomes(['after'], SETTLED_S)
        assert cell.is_open('broken')

    run_scenario(scenario)
    assert not exits


def build_unless_broken(job):
    """Build an open submission, unless it is `broken`."""
    if job.submission.id == 'broken':
        raise RuntimeError('fault put in by the test')
    return JobRun(job)


def test_submission_that_cannot_be_opened_delays_no_other(run_scenario, exits, monkeypatch):
    """Guards against a takeover that ends over one submission of the log."""
    monkeypatch.setattr('marigoldlift.scheduling.open_submissions.JobRun', build_unless_broken)

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        await cell.submit(cell.leader(), 'broken', STEPS)
        await cell.submit(cell.leader(), 'job', STEPS)
        cell.leader().kill()
        await cell.wait_for_outcomes(['job'], SETTLED_S)

    run_scenario(scenario)
    assert not exits


def test_end_that_cannot_be_handled_delays_no_other(run_scenario, exits):
    """Guards against ends of other submissions that wait behind one whose handling raises."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        events = cell.leader().node.dispatcher.events
        run_ended = events.run_ended

        def fail_for_broken(session, ended, known):
            if ended.task.submission == 'broken':
                raise RuntimeError('fault put in by the test')
            run_ended(session, ended, known)

        events.run_ended = fail_for_broken
        await cell.submit(cell.leader(), 'broken', (Step(count=4, cpu_m=1000),))
        await cell.submit(cell.leader(), 'job', (Step(count=8, cpu_m=1000),))
        await cell.wait_for_outcomes(['job'], SETTLED_S)
        assert cell.is_open('broken')
        events.run_ended = run_ended
        await cell.wait_for_outcomes(['broken'], SETTLED_S)

    run_scenario(scenario)
    assert not exits


def test_skipped_entry_is_counted_once_for_each_content(run_scenario):
    """Guards against a log that fills with lines on an odd entry that every snapshot lists."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        for content in (b'a', b'a', b'b'):
            cell.workers_log.store([('other', content)])
        await asyncio.sleep(1)
        rendered = cell.leader().node.parts.metrics.render()
        assert f'{Metric.entries_skipped.name}_total 2' in rendered

    run_scenario(scenario)
