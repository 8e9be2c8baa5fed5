"""Tests of the leases, fencing, results and journal of a worker."""

import msgspec
import pytest

from marigoldlift.platform.messages import TaskState
from marigoldlift.resources import ZERO_RESOURCES

from standins.errors import RefusedError
from standins.messages import JournalKind
from standins.tests.worker_calls import NEED, claim, release, renew, run, settings, start, stop
from standins.worker_state import WorkerState


@pytest.fixture
def worker(clock):
    """Provide a worker on the test's clock."""
    return WorkerState(settings(), clock)


@pytest.fixture
def grant(worker):
    """Provide the grant of the first claim, with a TTL of 4 seconds."""
    return worker.lease(claim('a'))


def kinds(worker):
    """Return the kinds of all journal entries."""
    return [entry.kind.value for entry in worker.observer.journal]


def refused(command, message):
    """Return the code of the refusal of a command, or `accepted`."""
    try:
        command(message)
    except RefusedError as refusal:
        return refusal.code
    return 'accepted'


def test_one_holder_until_lapse_or_release(worker, clock, grant):
    """Guards against two simultaneous holders, and against an epoch that does not grow."""
    assert (grant.granted, grant.epoch, grant.remaining_ms) == (True, 1, 4000)
    assert not worker.lease(claim('b')).granted
    assert worker.lease(claim('a')).epoch == 2

    clock.advance(4)
    second = worker.lease(claim('b'))
    assert (second.granted, second.epoch) == (True, 3)
    assert worker.lease(release(second)).holder == ''
    assert worker.lease(claim('a')).epoch == 4


@pytest.mark.parametrize('change', [{'incarnation': 'old'}, {'epoch': 0}, {'holder': 'b'}])
def test_renewal_of_another_lease_is_refused(worker, clock, grant, change):
    """Guards against a renewal that extends a lease with another incarnation, epoch or holder."""
    other = msgspec.structs.replace(grant, **change)

    assert not worker.lease(renew(other)).granted
    clock.advance(4)
    assert not worker.lease(renew(grant)).granted


@pytest.mark.parametrize('call', ['start_task', 'start_request', 'stop_task'])
def test_commands_are_fenced(worker, clock, grant, call):
    """Guards against late commands of a former holder, or of one that was paused beyond its lease."""
    messages = {'start_task': start, 'start_request': run, 'stop_task': stop}
    command = getattr(worker, call)
    message = messages[call](grant, 't')

    for change in ({'incarnation': 'old'}, {'epoch': 0}):
        assert refused(command, msgspec.structs.replace(message, **change)) == 'fenced'
    clock.advance(4)
    assert refused(command, message) == 'fenced'
    assert worker.observer.in_use == ZERO_RESOURCES


def test_repeated_id_and_leaving_are_refused(worker, grant):
    """Guards against running an id twice, even after its end, and against starts on a leaving worker."""
    worker.start_request(run(grant, 't'))
    worker.advance()

    assert refused(worker.start_request, run(grant, 't')) == 'duplicate'
    assert refused(worker.start_task, start(grant, 't')) == 'duplicate'
    worker.leaving = True
    assert refused(worker.start_task, start(grant, 'u')) == 'leaving'
    assert worker.lease(renew(grant)).leaving
    refusal = worker.observer.journal[-1]
    assert (refusal.task_id, refusal.code, refusal.resources) == ('u', 'leaving', NEED)


def test_task_lease_stops_tasks_and_not_requests(worker, clock, grant):
    """Guards against tasks that outlive their lease, and against journal times later than the expiry."""
    worker.start_task(start(grant, 'task'))
    worker.start_request(run(grant, 'request', payload='{"run_ms": 30000}'))
    clock.advance(25)
    worker.advance()

    lapse = worker.observer.journal[-1]
    assert (lapse.kind, lapse.task_id, lapse.at_s) == (JournalKind.lapse, 'task', 120)
    assert set(worker.current.running.by_id) == {'request'}


def test_renewal_extends_the_task_lease(worker, clock, grant):
    """Guards against stopping a task whose owner still renews its lease."""
    worker.start_task(start(grant, 'task'))
    for _ in range(10):
        clock.advance(3)
        worker.lease(renew(grant))

    assert set(worker.current.running.by_id) == {'task'}


def test_claim_does_not_extend_the_task_lease(worker, clock, grant):
    """Guards against a delayed claim that keeps a task alive which others consider stopped."""
    worker.start_task(start(grant, 'task'))
    for _ in range(5):
        clock.advance(4)
        worker.lease(claim('a'))

    assert not worker.current.running.by_id


def test_renewal_lists_the_inventory_on_request(worker, clock, grant):
    """Guards against an owner that cannot detect the end of work it has adopted."""
    worker.start_task(start(grant, 'task'))
    with_inventory = msgspec.structs.replace(renew(grant), want_inventory=True)

    assert not worker.lease(renew(grant)).inventory
    assert [task.task_id for task in worker.lease(with_inventory).inventory] == ['task']


def test_ends_are_kept_until_acknowledged(worker, clock, grant):
    """Guards against results that are lost at a takeover, or reported indefinitely."""
    worker.start_task(start(grant, 't', run_ms=1000))
    worker.start_request(run(grant, 'r', retain=True))
    worker.start_request(run(grant, 'forgotten'))
    clock.advance(1)

    takeover = worker.lease(claim('a'))
    assert {(listed.task_id, listed.state, listed.result) for listed in takeover.inventory} == {
        ('t', TaskState.finished, 'done:x'),
        ('r', TaskState.finished, 'done:x'),
    }
    events = worker.lease(renew(takeover)).events
    assert [(event.sequence, event.task_id) for event in events] == [(1, 'r'), (2, 't')]
    assert [event.task_id for event in worker.lease(renew(takeover, 1)).events] == ['t']
    clock.advance(900)
    assert worker.lease(claim('a')).inventory == []


def test_payload_controls_the_work(worker, clock, grant):
    """Guards against simulated work that ignores the options in its payload."""
    worker.start_task(
        start(grant, 'fails', payload='{"run_ms": 10, "fail": true, "answer": "no"}')
    )
    worker.start_task(start(grant, 'stays', payload='{"ignore_stop": true}'))
    worker.start_task(start(grant, 'stops'))
    for task_id in ('stays', 'stops', 'absent'):
        worker.stop_task(stop(grant, task_id))
    clock.advance(0.01)

    events = worker.lease(renew(grant)).events
    assert [(event.task_id, event.state, event.result) for event in events] == [
        ('stops', TaskState.stopped, ''),
        ('fails', TaskState.failed, 'no'),
    ]
    assert 'stop_ignored' in kinds(worker)


def test_over_allocation_is_executed_and_counted(worker, grant):
    """Guards against exceeded limits of resources or connections that are not recorded."""
    for task_id in ('t1', 't2', 't3'):
        worker.start_task(start(grant, task_id))
    worker.connected(2)
    worker.connected(3)

    violations = worker.observer.violations
    assert worker.observer.in_use == NEED + NEED + NEED
    assert (violations.cpu_milli, violations.slots, violations.memory_mb) == (1, 1, 0)
    assert violations.connections == 1
    assert kinds(worker)[-3:] == ['over_allocation', 'over_allocation', 'over_connection']


def test_restart_forgets_everything(worker, clock, grant):
    """Guards against work, results, ids or epochs that survive a worker restart."""
    worker.start_task(start(grant, 'runs'))
    worker.start_request(run(grant, 'ended', retain=True))
    worker.advance()
    worker.restart()

    assert refused(worker.start_task, start(grant, 'u')) == 'fenced'
    new_grant = worker.lease(claim('b'))
    assert (new_grant.granted, new_grant.epoch, new_grant.inventory) == (True, 1, [])
    assert new_grant.incarnation != grant.incarnation
    worker.start_task(start(new_grant, 'runs'))
    assert 'killed' in kinds(worker)


def test_usage_lags(worker, clock, grant):
    """Guards against a usage report that includes a start before the lag has passed."""
    worker.start_task(start(grant, 't'))
    clock.advance(3)
    assert worker.lease(renew(grant)).usage == ZERO_RESOURCES
    clock.advance(2)
    assert worker.lease(renew(grant)).usage == NEED


def test_fail_everything(worker, grant):
    """Guards against a failing worker whose tasks keep running."""
    worker.fail_everything = True
    worker.start_task(start(grant, 't'))

    assert [event.state for event in worker.lease(renew(grant)).events] == [TaskState.failed]
