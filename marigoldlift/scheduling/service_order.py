"""Order of service among waiting steps.

Answers the load at the crest of a swing, when more work waits than the workers can finish in time. In the order of
deadlines alone each submission then waits until it is late, and all are. Here a submission that can no longer meet its
objective gives way to those that still can; it is served as soon as they leave room.

Answers the surge of one workspace too: what it has submitted beyond its share waits behind work within shares, also late
work, and among several such workspaces the one that is least ahead of its weight comes first.
"""

from enum import IntEnum

from marigoldlift.scheduling.tasks import StepRun

__all__ = ('WORTHLESS_FACTOR', 'ServiceClass', 'ServiceRank', 'service_class', 'service_rank')

#: Multiple of its objective after which a submission no longer earns anything; three by the rules of the platform.
WORTHLESS_FACTOR = 3

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
        late: the submission is going to be late.
        beyond_share: the workspace had exceeded its share, and the submission is not worthless yet.
        worthless: the submission is so late that it earns nothing any more, or is going to be, even with luck.
    """

    urgent = 0
    urgent_late = 1
    in_time = 2
    late = 3
    beyond_share = 4
    worthless = 5


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
    if now + job.least_remaining_s(step) > since + WORTHLESS_FACTOR * job.objective_s:
        return ServiceClass.worthless
    spare_s = since + job.objective_s - job.remaining_s(step) - now
    if job.is_urgent:
        return ServiceClass.urgent_late if spare_s < 0 else ServiceClass.urgent
    if step.gang_started_at is not None:
        return ServiceClass.in_time
    if job.is_beyond_share:
        return ServiceClass.beyond_share
    return ServiceClass.late if spare_s < 0 else ServiceClass.in_time


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
