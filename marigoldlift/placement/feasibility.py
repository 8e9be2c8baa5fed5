"""Feasibility: whether work fits on any empty worker, and if not, which constraints prevent it."""

from collections import Counter
from collections.abc import Iterable, Mapping

from marigoldlift.placement.selectors import LabelMatcher, first_mismatch
from marigoldlift.placement.worker_view import WorkerView, labels_of
from marigoldlift.resources import Resources

__all__ = ('is_feasible', 'explain_infeasibility')

DIMENSIONS = ('cpu_milli', 'memory_mb', 'accelerators', 'slots')


def is_feasible(
    views: Iterable[WorkerView],
    need: Resources,
    selector: Mapping[str, str],
    matcher: LabelMatcher,
) -> bool:
    """Return whether the need fits on any matching worker when empty, in rotation or not."""
    return any(
        need.fits_into(view.capacity)
        and first_mismatch(selector, labels_of(view), matcher) is None
        for view in views
    )


def explain_infeasibility(
    views: Iterable[WorkerView],
    need: Resources,
    selector: Mapping[str, str],
    matcher: LabelMatcher,
) -> str:
    """Return how many workers each constraint rules out, or '' if a worker satisfies all.

    Each worker is counted once, by its first unmet constraint.
    """
    total = 0
    ruled_out: Counter[str] = Counter()
    for view in views:
        total += 1
        constraint = unmet_constraint(view, need, selector, matcher)
        if not constraint:
            return ''
        ruled_out[constraint] += 1
    if not total:
        return 'no worker is known'
    reasons = [
        f'{constraint} rules out {count}' for constraint, count in sorted(ruled_out.items())
    ]
    joined = ', '.join(reasons)
    return f'of {total} workers: {joined}'


def unmet_constraint(
    view: WorkerView,
    need: Resources,
    selector: Mapping[str, str],
    matcher: LabelMatcher,
) -> str:
    """Return the first label or dimension that rules out an empty worker, or '' if none does."""
    label = first_mismatch(selector, labels_of(view), matcher)
    if label is not None:
        return f'label {label}={selector[label]}'
    for dimension in DIMENSIONS:
        needed = getattr(need, dimension)
        if needed > getattr(view.capacity, dimension):
            return f'{dimension} {needed}'
    return ''
