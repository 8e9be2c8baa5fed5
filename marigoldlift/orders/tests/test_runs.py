"""Count of the tasks that any worker holds."""

import pytest

from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import (
    LATE_ORDER_S,
    UNLEASED_EXPIRY_S,
    HeldTasks,
    Phase,
    Run,
    RunTable,
)
from marigoldlift.scheduling.session_manager import has_ended_with
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef

WORKER = Worker('w', '10.0.0.1:80', 'a', 'service', True, 1, 8000, 8000, 0, ())
STEP = Step(count=2, cpu_m=1000)


def run_of(index, number=1):
    """Return a run of a task."""
    return Run(TaskRef(SubmissionId('job'), 0, 0, index), number, STEP, Phase.held, 0)


@pytest.fixture
def held_tasks():
    """Return the count that two tables share."""
    return HeldTasks()


@pytest.fixture
def tables(held_tasks):
    """Return the tables of two workers."""
    return [RunTable(WORKER, held_tasks) for _ in range(2)]


def test_task_is_held_until_no_table_has_a_run(held_tasks, tables):
    """Guards against a second start of a task that a worker still holds, and against one that never starts again."""
    first, second = tables
    task = run_of(0).task
    first.take(run_of(0))
    first.take(run_of(0, number=2))
    second.take(run_of(0))
    first.pop(task)
    assert held_tasks.is_held(task)
    second.pop(task)
    second.pop(task)
    assert not held_tasks.is_held(task)


def test_table_of_a_replaced_session_holds_nothing(held_tasks, tables):
    """Guards against a task that never starts again: a late answer added its run to the table of a replaced session."""
    replaced, other = tables
    replaced.take(run_of(0))
    other.take(run_of(1))
    replaced.detach()
    replaced.take(run_of(2))
    assert [held_tasks.is_held(run_of(index).task) for index in range(3)] == [False, True, False]
    replaced.pop(run_of(0).task)
    replaced.pop(run_of(2).task)


def test_repeated_start_counts_as_this_leaders():
    """Guards against a start elsewhere while a copy is left: its bound was that of the leader who had sent it first."""
    known = run_of(0)
    known.adopt(tenure=3, token=4, ordered_at=0)
    known.repeat()
    assert known.tenure is None


def test_restart_noticed_late_proves_nothing():
    """Guards against a second run of a task whose late start was executed by an incarnation that is noticed after the bound."""
    known = run_of(0)
    known.adopt(tenure=3, token=4, ordered_at=0)
    known.listed = True
    assert not has_ended_with(known, LATE_ORDER_S + 1)
    assert has_ended_with(known, UNLEASED_EXPIRY_S + 1)
