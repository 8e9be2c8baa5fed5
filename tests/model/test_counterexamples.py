"""Interleavings that once violated an invariant, or would without the mechanism under test."""

from itertools import repeat

from marigoldlift.journal.messages import JobKind
from marigoldlift.peers.messages import ReplyStatus

from tests.model import steps
from tests.model.cell import run_steps
from tests.model.network import WireMode

#: With the seeds used here, entry 1 is the preferred owner of this worker.
OWNER = 1
OWNED = 'w2'


def lost_answers(call):
    """Lose the next answer of every worker to every entry."""
    return [
        steps.LoseAnswers(entry, worker, call)
        for entry in range(3)
        for worker in ('w0', 'w1', 'w2')
    ]


def test_silence_before_a_pause_does_not_release_tasks_after_it():
    """Guards against a violation of invariant 2: an entry mistook a change of owner for an unreachable worker.

    Entry 1 cannot reach its worker, is paused for longer than a task lease while entry 0 takes
    the worker over, and again fails to reach it after it resumes.
    """
    run_steps(
        [
            *repeat(steps.Submit(0, JobKind.batch, 1, 500, 60_000), 6),
            steps.Advance(1),
            steps.Break(OWNER, OWNED, WireMode.cut, 12),
            steps.Advance(8),
            steps.Pause(OWNER, 28),
            steps.Advance(27),
            steps.Break(OWNER, OWNED, WireMode.cut, 4),
            steps.Advance(5),
        ],
    )


def test_worker_refuses_commands_of_a_former_incarnation_and_epoch():
    """Guards against violations of invariants 1 and 9: the sender misses a change of owner or a restart."""
    before = [
        *repeat(steps.Request(0, 0), 2),
        steps.Pause(OWNER, 6),
        steps.Advance(4.5),
        *repeat(steps.Request(0, 0), 2),
        steps.Submit(0, JobKind.gang, 2, 1500, 300),
        steps.RestartWorker(2),
    ]

    run_steps([*before, steps.Submit(0, JobKind.batch, 3, 500, 300)])
    run_steps([*before, steps.Charge(0, 3000)])


def test_only_the_first_claim_of_a_key_dispatches():
    """Guards against a violation of invariant 5: two owners dispatch attempts of one key at the same time."""
    run_steps([steps.Charge(OWNER, 600), steps.Retry(0, 2), steps.Advance(1)])


def test_charge_whose_connection_broke_is_not_refused_as_not_run():
    """Guards against a violation of invariant 4: the worker is cut off between the dispatch and the answer."""
    run_steps(
        [
            steps.Charge(2, 0),
            steps.Advance(0.01),
            steps.Isolate(1, WireMode.cut, 6),
            steps.Advance(0.001),
        ],
    )


def test_key_is_closed_after_the_answer_of_its_run_was_lost():
    """Guards against a violation of invariant 9: without a new epoch, no entry learns the outcome of the key."""
    charge_attempts = []
    run_steps(
        [*lost_answers('run'), steps.Charge(0, 20), steps.Advance(10)],
        inspect=lambda cell: charge_attempts.extend(cell.callers.sent[0].attempts),
    )

    assert charge_attempts[0].reply.status is ReplyStatus.unknown
    assert charge_attempts[0].reply.handle


def test_job_is_stopped_after_the_answer_of_its_start_was_lost():
    """Guards against a violation of invariant 9: a stop is needed for a task whose start was never confirmed."""
    run_steps(
        [
            *lost_answers('start'),
            steps.Submit(0, JobKind.batch, 2, 500, 60_000),
            steps.Advance(0.1),
            steps.Cancel(0, 1),
            steps.Advance(10),
        ],
    )


def test_uncertain_outcome_beside_the_claim_for_another_is_resolved():
    """Guards against a violation of invariant 9: the reconciliation omitted a key permanently.

    Several answers of a worker are lost, and a claim for an earlier one is granted at the moment
    at which a later one is given up. Before the fix, 173 of 200 runs failed with
    PYTHONHASHSEED=0; the iteration order of sets shifts these moments a little.
    """
    run_steps(
        [
            steps.Submit(0, JobKind.batch, 6, 1500, 300),
            steps.Submit(0, JobKind.gang, 3, 1500, 300),
            steps.Charge(1, 600, 400),
            steps.Request(0, 3000),
            steps.LogOutage(WireMode.cut, 8),
            steps.Advance(0.003),
            steps.Submit(2, JobKind.gang, 4, 1500, 60_000),
            steps.Charge(0, 3000, 400),
            steps.RestartWorker(0),
            steps.Charge(2, 0),
            steps.Charge(0, 3000, 400),
            steps.Request(2, 20, 400),
            steps.Request(1, 3000),
            steps.Charge(2, 20),
            steps.Charge(1, 20, 400),
            steps.Request(1, 0, 400),
            steps.Request(0, 20, 400),
            steps.Charge(2, 20),
            steps.Charge(0, 3000, 400),
            steps.Charge(0, 600, 400),
            steps.Charge(0, 0),
            steps.Charge(0, 0),
        ],
        seed=880,
    )
