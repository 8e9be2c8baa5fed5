"""State of a worker as seen by placement."""

import msgspec

from marigoldlift.ids import WorkerId
from marigoldlift.resources import Resources

__all__ = ('RACK_LABEL', 'WorkerView', 'labels_of')

#: Name of the label by which selectors match the rack.
RACK_LABEL = 'rack'


class WorkerView(msgspec.Struct, frozen=True):
    """State of one worker, as last recorded by its owner.

    Attributes:
        worker_id: id of the worker.
        rack: rack of the worker.
        labels: labels in force, including the failure domain but not the rack, which `labels_of`
            adds.
        capacity: resources of the worker when empty.
        free: resources neither used nor reserved.
        observed_ms: observed service time of requests in milliseconds.
        in_rotation: whether new work may be placed on it.
    """

    worker_id: WorkerId
    rack: str
    labels: dict[str, str]
    capacity: Resources
    free: Resources
    observed_ms: float = 0
    in_rotation: bool = True


def labels_of(view: WorkerView) -> dict[str, str]:
    """Return the labels of a worker as selectors see them."""
    return {**view.labels, RACK_LABEL: view.rack}
