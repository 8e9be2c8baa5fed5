"""Order of service among waiting steps.

Answers the load at the crest of a swing, when more work waits than the workers can finish in time. In the order of
deadlines alone each submission then waits until it is late, and all are. Here a submission that can no longer meet its
objective gives way to those that still can; it is served as soon as they leave room.

Answers the surge of one workspace too: what it has submitted beyond its share waits behind work within shares, and among
several such workspaces the one that is least ahead of its weight comes first. Small urgent work beyond a share passes
work of low priorities that has time, since it would be late behind hours of batch work that lose nothing by it.
"""

from enum import IntEnum

from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Submission

__all__ = ('WORTHLESS_FACTOR', 'ServiceClass', 'ServiceRank', 'service_class', 'service_rank')

#: Multiple of its objective after which a submission no longer earns anything; three by the rules of the platform.
WORTHLESS_FACTOR = 3

#: Priority after the highest. Work beyond a share that has the highest priority is served after work of this one.
NEXT_PRIORITY = 1

#: Sort key of a step: class, priority of its queue, and the time at which its submission should be complete; beyond a
#: share, the time at which it should be if the workspace had kept to its weight.
ServiceRank = tuple[int, int, float]


class ServiceClass(IntEnum):
    """Class of a waiting step; the lowest is served first.

    Attributes:
        urgent: the queue has the highest priority, and the objective can still be met.
        urgent_late: the queue has the highest priority.
        in_time: the objective can still be met, the step runs until it is cancelled, or it is a gang whose first members
            wait for the others.
        urgent_beyond_share: the queue has the highest priority, and the workspace had exceeded its share.
        unhurried: as in time, of a low priority, and at least half of the time that the step may wait is left. It loses
            nothing by the small urgent work of others.
        late: the submission is going to be late.
        worthless: the submission is so late that it earns nothing any more.
        beyond_share: the workspace had exceeded its share, and the submission is not worthless yet. After that it is served
            with those, so that it is not passed over for ever.
    """

    urgent = 0
    urgent_late = 1
    in_time = 2
    urgent_beyond_share = 3
    unhurried = 4
    late = 5
    worthless = 6
    beyond_share = 7


def service_class(step: StepRun, now: float, since: float) -> ServiceClass:
    """Return the class of a waiting step.

    Args:
        step: the step.
        now: time of the monotonic clock in seconds.
        since: time from which its objective is counted, in seconds of the monotonic clock.
    """
    job = step.job
    if step.step.long_running:
        return ServiceClass.urgent if job.is_urgent else ServiceClass.in_time
    if now > since + WORTHLESS_FACTOR * job.objective_s:
        return ServiceClass.worthless
    spare_s = since + job.objective_s - job.remaining_s(step) - now
    if job.is_urgent:
        return ServiceClass.urgent_late if spare_s < 0 else ServiceClass.urgent
    if step.gang_started_at is not None:
        return ServiceClass.in_time
    if job.is_beyond_share:
        return class_beyond_share(job.submission)
    return class_within_share(job.submission, spare_s, now - since)


def class_beyond_share(submission: Submission) -> ServiceClass:
    """Return the class of work beyond a share."""
    if submission.policy.priority == 0:
        return ServiceClass.urgent_beyond_share
    return ServiceClass.beyond_share


def class_within_share(submission: Submission, spare_s: float, waited_s: float) -> ServiceClass:
    """Return the class of work within a share; only where workspaces share the cell does it matter how much time is left.

    Args:
        submission: the submission.
        spare_s: how long it may still wait without being late, in s; negative if it is late.
        waited_s: how long ago it was accepted, in s.
    """
    if spare_s < 0:
        return ServiceClass.late
    has_low_priority = submission.policy.priority > NEXT_PRIORITY
    if submission.workspace and has_low_priority and spare_s > waited_s:
        return ServiceClass.unhurried
    return ServiceClass.in_time


def service_rank(step: StepRun, now: float, wall_ms: float) -> ServiceRank:
    """Return the sort key of a waiting step; the lowest is served first.

    Args:
        step: the step.
        now: time of the monotonic clock in seconds.
        wall_ms: Unix time in ms.
    """
    job = step.job
    since = job.counted_since(step, now, wall_ms)
    return (
        service_class(step, now, since),
        job.submission.policy.priority,
        since + job.objective_s + job.submission.ahead_s,
    )
