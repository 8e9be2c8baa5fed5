"""Log lines and gauges that tell how much of its cap each workspace uses, and what waits for it."""

from collections.abc import Iterable, Mapping

from loguru import logger

from marigoldlift.ids import WorkspaceId
from marigoldlift.scheduling.tasks import PendingReason, StepRun
from marigoldlift.scheduling.workspace_caps import WorkspaceCaps
from marigoldlift.scheduling.workspace_usage import ResourceUse
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.model import NO_CAP

__all__ = ('report_waiting', 'set_cap_gauges')

#: Maximum number of workspaces in one report, and with a gauge of their own; both bound the volume.
MAX_REPORTED = 5
MAX_GAUGES = 60

#: States of a workspace in the metrics: lower bound of the share of its cap that is in use, the highest first. A whole task
#: more rarely fits above nine tenths.
STATES = ((0.9, 'full'), (0.5, 'above_half'), (0, 'below_half'))


def report_waiting(
    caps: WorkspaceCaps, ready: Iterable[StepRun], reasons: Mapping[StepRun, PendingReason]
) -> None:
    """Log the workspaces whose steps wait for their cap, those with the most waiting tasks first.

    Args:
        caps: caps and what runs.
        ready: steps that are due.
        reasons: why steps were not placed in the last pass.
    """
    blocked: dict[WorkspaceId, list[StepRun]] = {}
    for step in ready:
        if reasons.get(step) in {PendingReason.cap, PendingReason.cap_unknown}:
            blocked.setdefault(step.job.submission.workspace, []).append(step)
    by_tasks = sorted(blocked.values(), key=waiting_tasks, reverse=True)
    for steps in by_tasks[:MAX_REPORTED]:
        log_workspace(caps, steps)


def waiting_tasks(steps: Iterable[StepRun]) -> int:
    """Return how many tasks of the steps wait."""
    return sum(len(step.todo) for step in steps)


def log_workspace(caps: WorkspaceCaps, steps: list[StepRun]) -> None:
    """Log what a workspace has running, its cap, and what waits for it."""
    used = caps.used_by(steps[0])
    cap = caps.find_cap(steps[0])
    logger.info(
        'steps wait for the cap of their workspace: workspace={} steps={} tasks={} too_wide={} running={}'
        ' cpu_m={} mem_mb={} gpus={} cap={}',
        steps[0].job.submission.workspace,
        len(steps),
        waiting_tasks(steps),
        [step.name for step in steps if caps.is_too_wide(step)][:MAX_REPORTED],
        used.tasks,
        used.cpu_m,
        used.mem_mb,
        used.gpus,
        cap or 'unknown',
    )


def set_cap_gauges(caps: WorkspaceCaps, metrics: Metrics) -> None:
    """Set the share of its cap that each workspace uses, and the number of workspaces by that share.

    Only the first workspaces by name have a gauge of their own; the numbers count all.
    """
    in_use = caps.in_use()
    counts = dict.fromkeys((state for _, state in STATES), 0)
    for number, name in enumerate(sorted(caps.directory.workspaces)):
        cap = caps.directory.workspaces[name].cap
        if cap == NO_CAP:
            continue
        share = in_use.get(name, ResourceUse()).share(cap)
        counts[state_of(share)] += 1
        if number < MAX_GAUGES:
            metrics.set(Metric.workspace_cap_share, share, workspace=name)
    for state, count in counts.items():
        metrics.set(Metric.workspaces, count, state=state)


def state_of(share: float) -> str:
    """Return the state of a workspace that uses a share of its cap."""
    return next(state for bound, state in STATES if share >= bound)
