"""Describes what a trial pass has found for the steps of one submission."""

import time
from collections import Counter
from enum import Enum
from functools import partial

import msgspec

from marigoldlift.scheduling.explanation import (
    Explanation,
    Place,
    StepExplanation,
    StepReason,
)
from marigoldlift.scheduling.planner import Planner
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.trial_pass import TrialPlanner
from marigoldlift.submissions.model import Submission
from marigoldlift.submissions.state import Job

__all__ = ('explain_job', 'trial_job')

MS_PER_S = 1000

#: Workers that one answer names of those about which the advice would be asked, for each step.
MAX_TO_ASK = 300


class StepTasks(msgspec.Struct, frozen=True):
    """Number of the tasks of a step that wait, and of those that run or are being started."""

    waiting: int
    running: int


def trial_job(submission: Submission, now: float) -> JobRun:
    """Return a submission that is not handed in as it would be if this leader had just read it from the log.

    Args:
        submission: the submission.
        now: time of the monotonic clock in seconds.
    """
    return JobRun(Job(submission, 0, now))


def explain_job(planner: Planner, job: JobRun, leader: str) -> Explanation:
    """Return where the tasks of a submission would go if a scheduling pass ran now, and why; changes nothing.

    Args:
        planner: planner of the tenure.
        job: the submission, open or not handed in.
        leader: address of this entry.
    """
    trial = TrialPlanner(planner, job)
    before = [StepTasks(len(step.todo), len(step.active)) for step in trial.described]
    trial.run_pass()
    policy = job.submission.policy
    return Explanation(
        submission=job.id,
        queue=policy.queue,
        service=policy.service,
        workspace=job.submission.workspace,
        leader=leader,
        objective_s=trial.explained.objective_s,
        steps=list(map(partial(explain_step, trial), trial.described, before)),
        omitted=job.complete.size - len(trial.described),
    )


def explain_step(trial: TrialPlanner, step: StepRun, before: StepTasks) -> StepExplanation:
    """Return what the pass has found for one step.

    Args:
        trial: planner whose pass has ended.
        step: copy of the step.
        before: its tasks before the pass.
    """
    wall_ms = time.time() * MS_PER_S
    service_class = trial.classes.get(step)
    rulings = trial.rulings.get(step)
    return StepExplanation(
        step=step.name,
        waiting=before.waiting,
        running=before.running,
        service_class='' if service_class is None else service_class.name,
        position=trial.ranked.index(step) + 1 if step in trial.classes else 0,
        ready_steps=len(trial.ranked),
        task_s=step.job.task_s[step.number],
        remaining_s=step.job.remaining_s(step),
        reason=str(reason_of(trial, step, wall_ms).value),
        places=places_of(trial, step),
        ruled_out=trial.count_rulings(step) if rulings is None else rulings,
        to_ask=list(trial.trial_tickets.questions.get(step, ()))[:MAX_TO_ASK],
    )


def places_of(trial: TrialPlanner, step: StepRun) -> list[Place]:
    """Return how many tasks of a step would go to which workers."""
    tasks = Counter(session.worker for session in trial.placed(step))
    return [Place(worker.id, worker.failure_domain, count) for worker, count in tasks.items()]


def reason_of(trial: TrialPlanner, step: StepRun, wall_ms: float) -> Enum:
    """Return why a step is not placed completely."""
    if not step.todo:
        return StepReason.placed if trial.placed(step) else StepReason.nothing_waits
    if not step.job.is_runnable(step, wall_ms):
        return unready_reason(step, wall_ms)
    if step in trial.trial_tickets.questions:
        return StepReason.needs_advice
    found = trial.pending.reasons.get(step)
    if found is not None:
        return found
    if trial.faults.is_set_aside(step.job.id):
        return StepReason.set_aside
    limited = trial.starter.limits.is_reached()
    return StepReason.start_limits if limited else PendingReason.not_planned


def unready_reason(step: StepRun, wall_ms: float) -> StepReason:
    """Return why a step may not be placed yet."""
    is_early = step.job.submission.first_due_ms and wall_ms < step.job.due_ms(step)
    return StepReason.not_due if is_early else StepReason.predecessors
