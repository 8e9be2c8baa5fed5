"""What the end of a run says about run times: its whole time, a lower bound, or nothing."""

from enum import Enum
from types import MappingProxyType

import msgspec

from marigoldlift.orders.api import EndKind
from marigoldlift.orders.runs import Run

__all__ = ('Measurement', 'RunSample', 'measure')

#: Share of the work above which a run that was found running says too little about the whole.
MAX_SHARE_BEFORE = 0.5

#: Time since a run was last listed as running above which its end may lie far back, in s; a status poll waits for an end,
#: and for 0.7 s at most.
MAX_UNSEEN_S = 1.2

#: Shortest time that is measured, in s; ends are seen within some milliseconds.
MIN_TIME_S = 0.001


class Measurement(Enum):
    """What is known of the time of a run.

    Attributes:
        whole: the run did all its work.
        lower_bound: it was ended before it had done all its work.
    """

    whole = 'whole'
    lower_bound = 'lower_bound'


#: Ends that tell nothing are left out: a member of a gang that ends as `broken` or `alone` may have done nothing but wait,
#: and a lapsed run may have ended at any time since its worker was last heard of.
MEASUREMENTS = MappingProxyType(
    {
        EndKind.done: Measurement.whole,
        EndKind.failed: Measurement.lower_bound,
        EndKind.stopped: Measurement.lower_bound,
    }
)


class RunSample(msgspec.Struct, frozen=True):
    """Time of one run.

    Attributes:
        took_s: time for the whole work, or a lower bound of it, in s.
    """

    measurement: Measurement
    took_s: float


def measure(kind: EndKind, run: Run, began_at: float, ended_at: float) -> RunSample | None:
    """Return what a run tells of the time of its task, None if nothing.

    Args:
        kind: how it ended.
        run: the run.
        began_at: when the measured part of its work began, in seconds of the monotonic clock.
        ended_at: when its end was listed, in seconds of the monotonic clock.
    """
    measurement = MEASUREMENTS.get(kind)
    if run.measured is None or measurement is None:
        return None
    share_before = run.measured.share_before
    if share_before > MAX_SHARE_BEFORE:
        return None
    last_seen_at = ended_at
    if ended_at - run.since > MAX_UNSEEN_S:
        measurement, last_seen_at = Measurement.lower_bound, run.since
    if share_before and measurement is Measurement.lower_bound:
        return None
    took_s = (last_seen_at - began_at) / (1 - share_before)
    return RunSample(measurement, max(took_s, MIN_TIME_S))
