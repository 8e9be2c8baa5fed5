"""Placement of pending tasks by their keeper."""

import asyncio

import pytest

from marigoldlift.errors import AppendOutcomeUnknownError, OverloadedError
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.keeper import FIRST_BACKOFF_S, LONGEST_BACKOFF_S, JobKeeper
from marigoldlift.jobs.state import TaskPhase
from marigoldlift.jobs.task_ids import job_id_for
from marigoldlift.jobs.tests.fakes import FakeFinder, FakeReplica, configured
from marigoldlift.journal.messages import (
    Assignment,
    JobAccepted,
    JobCancelled,
    JobKind,
    JobSpec,
    TaskReleased,
    TasksAssigned,
)
from marigoldlift.resources import Resources
from marigoldlift.telemetry.metrics import Metrics

pytestmark = pytest.mark.looptime

QUOTA = '{"quota": {"cpu_milli": 2000, "memory_mb": 9000, "accelerators": 0, "slots": 0}}'
POLICY = (
    '{"unit_selector": {"kind": "permit"}, "vm_selector": {"zone": "a"}, "spread": 2,'
    ' "priority": 200}'
)


class Kept:
    """A keeper with what it works on."""

    def __init__(self):
        self.state = DomainState()
        self.replica = FakeReplica(self.state)
        self.finder = FakeFinder()
        self.preferred = True
        configuration = configured(
            ('workspace', 'bikes', '{}'),
            ('workspace', 'small', QUOTA),
            ('policy', 'permits', POLICY),
        )
        self.keeper = JobKeeper(
            self.state,
            self.replica,
            configuration,
            self.finder,
            lambda job_id: self.preferred,
            Metrics(),
        )

    def accept(self, key='k1', kind=JobKind.batch, tasks=1, workspace='bikes', **fields):
        """Put a job into the log; returns its id."""
        job_id = job_id_for('recife', workspace, key)
        spec = JobSpec(kind, tasks, Resources(cpu_milli=1000, memory_mb=100), **fields)
        self.replica.put(JobAccepted(job_id, workspace, key, spec, 1000))
        return job_id

    def phases(self, job_id):
        """Return the phases of the tasks of a job."""
        return [task.phase for task in self.state.jobs.job(job_id).tasks]

    def are_all(self, job_id, phase):
        """Tell whether all tasks of a job are in one phase."""
        return set(self.phases(job_id)) == {phase}

    def assigned(self):
        """Return the records of assignments."""
        return [record for record in self.replica.records if isinstance(record, TasksAssigned)]


@pytest.fixture
async def kept():
    """Give a keeper that runs."""
    found = Kept()
    running = asyncio.create_task(found.keeper.run())
    yield found
    running.cancel()


async def test_batch_is_assigned_as_far_as_there_is_room(kept):
    """Guards against a batch that waits until all of it fits."""
    kept.finder.room = 2
    job_id = kept.accept(tasks=3)
    await asyncio.sleep(0.03)

    assert kept.phases(job_id) == [TaskPhase.assigned, TaskPhase.assigned, TaskPhase.pending]
    assert kept.assigned()[0].assignments[1] == Assignment(1, 1, 'w1', 'i1', 1)


async def test_gang_without_room_for_all_gives_everything_back(kept):
    """Guards against two gangs that hold parts and wait for each other."""
    kept.finder.room = 2
    job_id = kept.accept(kind=JobKind.gang, tasks=3)
    await asyncio.sleep(0.05)

    assert not kept.assigned()
    assert kept.finder.released == ['reservation1']
    assert kept.keeper.waiting[job_id].reason == 'no room now'


async def test_gang_is_assigned_whole(kept):
    """Guards against a gang that starts in parts."""
    job_id = kept.accept(kind=JobKind.gang, tasks=3)
    await asyncio.sleep(0.05)

    assert len(kept.assigned()) == 1
    assert kept.are_all(job_id, TaskPhase.assigned)


async def test_gang_waits_until_all_former_members_stopped(kept):
    """Guards against a second round of a gang beside members of the first."""
    job_id = kept.accept(kind=JobKind.gang, tasks=2)
    await asyncio.sleep(0.05)
    kept.replica.put(TaskReleased(1000, job_id, 0, 1, 'worker restarted'))
    await asyncio.sleep(0.5)
    waiting = kept.phases(job_id)
    kept.replica.put(TaskReleased(1000, job_id, 1, 1, 'stopped'))
    await asyncio.sleep(1)

    assert waiting == [TaskPhase.pending, TaskPhase.stopping]
    assert kept.are_all(job_id, TaskPhase.assigned)
    assert kept.state.jobs.job(job_id).tasks[0].attempt == 2


async def test_only_the_preferred_entry_places(kept):
    """Guards against all entries that place the same job."""
    kept.preferred = False
    kept.accept()
    await asyncio.sleep(1)
    asked = list(kept.finder.wanted)
    kept.preferred = True
    await asyncio.sleep(1)

    assert not asked
    assert len(kept.assigned()) == 1


@pytest.mark.parametrize('name', ['caught_up', 'log_reachable'])
async def test_nothing_is_reserved_without_the_log(kept, name):
    """Guards against reservations for assignments that cannot be written."""
    setattr(kept.replica, name, False)
    kept.accept()
    await asyncio.sleep(1)

    assert not kept.finder.wanted


async def test_backoff_grows_to_its_bound(kept):
    """Guards against a keeper that asks all owners in a busy loop."""
    kept.finder.room = 0
    job_id = kept.accept()
    await asyncio.sleep(30)

    waiting = kept.keeper.waiting[job_id]
    assert waiting.backoff_s == LONGEST_BACKOFF_S
    assert 30 / LONGEST_BACKOFF_S <= len(kept.finder.wanted) <= 30 / FIRST_BACKOFF_S / 5


async def test_rejected_assignment_gives_the_reservation_back(kept):
    """Guards against capacity that is held for an attempt that another keeper assigned."""
    job_id = kept.accept()
    await asyncio.sleep(0.015)
    other = Assignment(0, 1, 'w9', 'i1', 1)
    kept.replica.put(TasksAssigned(job_id, (other,)))
    await asyncio.sleep(0.05)

    assert kept.state.jobs.job(job_id).tasks[0].worker_id == 'w9'
    assert kept.finder.released == ['reservation1']


@pytest.mark.parametrize(
    'error', [AppendOutcomeUnknownError('no answer'), OverloadedError('full')]
)
async def test_reservation_lapses_by_itself_after_doubt(kept, error):
    """Guards against giving away the room of an assignment that may still be accepted."""
    kept.replica.errors = [error]
    job_id = kept.accept()
    await asyncio.sleep(0.05)
    reason = kept.keeper.waiting[job_id].reason
    await asyncio.sleep(1)

    assert reason == error.reason
    assert not kept.finder.released
    assert kept.phases(job_id) == [TaskPhase.assigned]


async def test_quota_keeps_the_rest_waiting(kept):
    """Guards against a workspace that holds more than its quota."""
    job_id = kept.accept(workspace='small', tasks=3)
    await asyncio.sleep(0.1)

    assert kept.are_all(job_id, TaskPhase.pending)
    assert kept.keeper.waiting[job_id].reason == 'limit of the workspace would be exceeded'
    assert kept.finder.released == ['reservation1']


async def test_urgent_and_early_dates_go_first(kept):
    """Guards against urgent work behind a long line; a policy can raise the priority."""
    keys = {
        'late': kept.accept('late', finish_by_ms=9000),
        'early': kept.accept('early', finish_by_ms=5000),
        'permit': kept.accept('permit', labels={'kind': 'permit'}),
        'urgent': kept.accept('urgent', priority=100),
    }
    await asyncio.sleep(0.1)

    names = {job_id: name for name, job_id in keys.items()}
    order = [names[wanted.job_id] for wanted in kept.finder.wanted]
    assert order == ['permit', 'urgent', 'early', 'late']


async def test_policies_bound_selector_and_spread(kept):
    """Guards against placements that a policy rules out; the narrower spread counts."""
    kept.accept(labels={'kind': 'permit'}, selector={'gpu': 'yes'}, spread=3)
    await asyncio.sleep(0.05)

    wanted = kept.finder.wanted[0]
    assert wanted.selector == {'gpu': 'yes', 'zone': 'a'}
    assert wanted.spread == 2


async def test_cancelled_job_is_not_placed(kept):
    """Guards against starting what was cancelled while capacity was looked for."""
    job_id = kept.accept()
    await asyncio.sleep(0.005)
    kept.replica.put(JobCancelled(1000, job_id))
    await asyncio.sleep(0.1)

    assert kept.phases(job_id) == [TaskPhase.cancelled]
    assert kept.finder.released == ['reservation1']
