"""Shares served in time, and processor time, at the crest of a swing: order of service against that of deadlines alone.

One entry with in-memory workers and log on a virtual clock gets more work than its workers can finish in time.
"""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Iterator
from unittest import mock

import msgspec
from loguru import logger

from marigoldlift.scheduling import planner
from marigoldlift.scheduling.service_order import service_rank
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from tests.cell.model import ModelCell
from tests.model.clock import ModelLoop

__all__ = ('run',)

WORKER_COUNTS = (30, 100, 300)

#: Duration of the crest and of the time after it, on the virtual clock, in s.
CREST_S = 5.0
SETTLE_S = 30.0
ELECTION_S = 2.0

#: Work that arrives, as a multiple of what the workers can do in the same time.
LOAD = 1.6

#: Pause between two looks at a submission, in s.
POLL_S = 0.05

MS_PER_S = 1000
WORKER_CPU_M = 8000

Row = dict[str, str | float]
Rank = Callable[[StepRun, float, float], tuple[float, ...]]


class Kind(msgspec.Struct, frozen=True):
    """Kind of submission.

    Attributes:
        share: part of the submissions.
        task_s: run time of a task, in s.
    """

    name: str
    share: float
    priority: int
    tasks: int
    cpu_m: int
    task_s: float
    gang: bool = False

    @property
    def core_s(self) -> float:
        """Work of one submission, in core-seconds."""
        return self.tasks * self.cpu_m * self.task_s / MS_PER_S


KINDS = (
    Kind('urgent', 0.8, 0, 3, 1500, 0.5),
    Kind('gang', 0.08, 1, 8, 2500, 2.0, gang=True),
    Kind('plain', 0.12, 2, 10, 1200, 1.5),
)


def by_deadline(step: StepRun, now: float, wall_ms: float) -> tuple[float, ...]:
    """Return the sort key of the plain order: priority, then deadline."""
    return (step.job.submission.policy.priority, step.job.since + step.job.objective_s)


ORDERS: tuple[tuple[str, Rank], ...] = (('by deadline', by_deadline), ('service', service_rank))


def run(seed: int) -> list[Row]:
    """Run the benchmark and return its rows."""
    logger.remove()
    return [play(workers, name, rank, seed) for workers in WORKER_COUNTS for name, rank in ORDERS]


def play(workers: int, name: str, rank: Rank, seed: int) -> Row:
    """Play one crest and return its row."""
    started_at = time.process_time()
    with mock.patch.object(planner, 'service_rank', rank):
        with asyncio.Runner(loop_factory=ModelLoop) as runner:
            asked, in_time = runner.run(play_crest(workers, seed))
    spent_ms = (time.process_time() - started_at) * MS_PER_S
    row: Row = {'workers': str(workers), 'order': name}
    for kind in KINDS:
        row[f'{kind.name} in time'] = f'{in_time[kind.name] / asked[kind.name]:.3f}'
    row['ms a submission'] = f'{spent_ms / asked.total():.2f}'
    return row


async def play_crest(workers: int, seed: int) -> tuple[Counter[str], Counter[str]]:
    """Submit work during the crest, and count all submissions and those in time, by kind."""
    cell = ModelCell(asyncio.get_running_loop(), seed, entries=1, workers=workers)
    cell.entries[0].calls.duration_of = cell.durations.__getitem__
    await asyncio.sleep(ELECTION_S)
    asked: Counter[str] = Counter()
    in_time: Counter[str] = Counter()
    watched = []
    for number, (kind, delay_s) in enumerate(arrivals(workers, random.Random(seed))):
        asked[kind.name] += 1
        watched.append(asyncio.create_task(submit(cell, f'{number:016x}', kind, delay_s, in_time)))
    await asyncio.wait(watched, timeout=CREST_S + SETTLE_S)
    await asyncio.get_running_loop().end_tasks()
    return asked, in_time


def arrivals(workers: int, rng: random.Random) -> Iterator[tuple[Kind, float]]:
    """Yield the kind of each submission, and the time from the start of the crest, in s."""
    mean_core_s = sum(kind.share * kind.core_s for kind in KINDS)
    rate = LOAD * workers * WORKER_CPU_M / MS_PER_S / mean_core_s
    shares = [kind.share for kind in KINDS]
    for number in range(int(rate * CREST_S)):
        yield rng.choices(KINDS, shares)[0], number / rate


async def submit(
    cell: ModelCell, name: str, kind: Kind, delay_s: float, in_time: Counter[str]
) -> None:
    """Submit after a delay, and count the submission if it is complete within its objective."""
    await asyncio.sleep(delay_s)
    step = Step(
        count=kind.tasks,
        cpu_m=kind.cpu_m,
        estimate_ms=kind.task_s * MS_PER_S,
        gang=kind.gang,
    )
    entry = cell.entries[0]
    submitted_at = cell.loop.time()
    for index in range(kind.tasks):
        cell.durations[TaskRef(SubmissionId(name), 0, 0, index)] = kind.task_s
    await cell.submit(entry, name, (step,), priority=kind.priority)
    objective_s = kind.task_s * 2 + 1
    while entry.node.state.state_of(SubmissionId(name)) is None or cell.is_open(name):
        await asyncio.sleep(POLL_S)
    if cell.loop.time() - submitted_at <= objective_s:
        in_time[kind.name] += 1
