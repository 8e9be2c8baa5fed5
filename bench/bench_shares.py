"""Cost of shares: counting a submission, and the backlog that the leader tells the other entries.

Fastest of several repetitions, in process; the state is that of 89 workspaces, one service and up to 7,700 workers, all of
which are full.
"""

import random
import sys
import time
from collections.abc import Callable, Iterable
from functools import partial

from marigoldlift.ids import WorkspaceId
from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import HeldTasks, RunTable
from marigoldlift.scheduling.backlog import service_backlogs
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Policy, Step, Submission, SubmissionId
from marigoldlift.submissions.state import Job
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.model import Workspace
from marigoldlift.workspaces.shares import WorkspaceShares

__all__ = ('run',)

WORKSPACES = 89
SUBMISSIONS = 20_000
WORKER_COUNTS = (960, 3850, 7700)
WAITING_STEPS = (500, 1000, 2000)
REPETITIONS = 7

MS_PER_S = 1000
US_PER_S = 1_000_000
WORKER_CPU_M = 64_000
WORKER_MEM_MB = 128_000

POLICY = Policy('queue', 'service', 1, 3, 2.0, 1000)

Row = dict[str, str | float]


class FullWorker:
    """What the backlog reads of the session with a worker whose processor is in use."""

    def __init__(self, number: int) -> None:
        """Let one task take the processor."""
        self.worker = Worker(
            f'w{number}', '', 'a', POLICY.service, True, 0, WORKER_CPU_M, WORKER_MEM_MB, 0, ()
        )
        self.run_table = RunTable(self.worker, HeldTasks())
        self.run_table.count(Step(count=1, cpu_m=WORKER_CPU_M), 1)


def run(seed: int) -> list[Row]:
    """Run the benchmark and return its rows."""
    rows: list[Row] = [count_submissions(seed)]
    workers = [FullWorker(number) for number in range(max(WORKER_COUNTS))]
    steps = [waiting_step(number) for number in range(max(WAITING_STEPS))]
    rows.extend(
        measure_backlog(workers[:listed], steps[:waiting])
        for listed in WORKER_COUNTS
        for waiting in WAITING_STEPS
    )
    return rows


def fastest_s(action: Callable[[], object]) -> float:
    """Return the least processor time of an action, in s."""
    spent = []
    for _ in range(REPETITIONS):
        started_at = time.process_time()
        action()
        spent.append(time.process_time() - started_at)
    return min(spent)


def count_submissions(seed: int) -> Row:
    """Measure the standing and the count of submissions of random workspaces."""
    rng = random.Random(seed)
    names = [WorkspaceId(f'team{number}') for number in range(WORKSPACES)]
    directory = WorkspaceDirectory()
    directory.replace(1, [Workspace(name, rng.uniform(1, 50)) for name in names])
    shares = WorkspaceShares(directory, time.monotonic)
    senders = rng.choices(names, k=SUBMISSIONS)
    spent_us = fastest_s(partial(count_all, shares, senders)) * US_PER_S / SUBMISSIONS
    size = sum(sys.getsizeof(usage) for usage in shares.usages.values()) / WORKSPACES
    return {
        'measured': 'one submission',
        'us': f'{spent_us:.2f}',
        'bytes a workspace': f'{size:.0f}',
    }


def count_all(shares: WorkspaceShares, senders: Iterable[WorkspaceId]) -> None:
    """Count one submission of each sender."""
    for name in senders:
        shares.count(name, shares.standing(name).ahead_s)


def waiting_step(number: int) -> StepRun:
    """Return a step of twenty tasks."""
    step = Step(count=20, cpu_m=WORKER_CPU_M // 4, mem_mb=WORKER_MEM_MB // 8, estimate_ms=MS_PER_S)
    submission = Submission(SubmissionId(f'{number:016x}'), '', (step,), POLICY, '')
    return next(JobRun(Job(submission, number, 0)).open_due(0))


def measure_backlog(workers: list[FullWorker], steps: list[StepRun]) -> Row:
    """Measure one backlog, of which a leader computes five in a second while work waits."""
    listed = {POLICY.service: workers}
    spent_s = fastest_s(partial(service_backlogs, steps, {}, listed.__getitem__, 1, 0))
    return {
        'measured': 'one backlog',
        'workers': str(len(workers)),
        'waiting steps': str(len(steps)),
        'ms': f'{spent_s * MS_PER_S:.2f}',
    }
