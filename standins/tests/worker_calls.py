"""Messages to a worker, shared by the tests of its state and its server."""

from marigoldlift.platform.messages import (
    LeaseAction,
    LeaseRequest,
    RunRequest,
    StartTask,
    StopTask,
)
from marigoldlift.resources import Resources

from standins.messages import WorkerSettings

__all__ = ('claim', 'release', 'renew', 'run', 'settings', 'start', 'stop')

NEED = Resources(cpu_milli=1000, slots=1)


def settings(**changes):
    """Return the settings of a worker with 2 cores, 2 slots and 2 connections."""
    capacity = Resources(cpu_milli=2000, memory_mb=100, slots=2)
    return WorkerSettings('w1', capacity, 2, **changes)


def claim(holder, ttl_ms=4000):
    """Return a claim of the control lease."""
    return LeaseRequest(LeaseAction.claim, holder, '', 0, ttl_ms)


def renew(grant, acknowledged=0, ttl_ms=4000):
    """Return a renewal of a granted lease."""
    ids = (grant.holder, grant.incarnation, grant.epoch)
    return LeaseRequest(LeaseAction.renew, *ids, ttl_ms, acknowledged)


def release(grant):
    """Return a release of a granted lease."""
    return LeaseRequest(LeaseAction.release, grant.holder, grant.incarnation, grant.epoch, 0)


def start(grant, task_id, run_ms=0, payload='x'):
    """Return a command that starts a task."""
    ids = (grant.incarnation, grant.epoch, task_id, 'team')
    return StartTask(*ids, NEED, run_ms, payload)


def stop(grant, task_id):
    """Return a command that stops a task."""
    return StopTask(grant.incarnation, grant.epoch, task_id)


def run(grant, task_id, payload='x', retain=False):
    """Return a command that runs a request."""
    ids = (grant.incarnation, grant.epoch, task_id, 'team')
    return RunRequest(*ids, NEED, payload, 1000, retain=retain)
