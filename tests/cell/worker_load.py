"""Random submissions with gangs, labels, memory, accelerators and advice, some of which are cancelled."""

import asyncio
import random
from collections import Counter

from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.submissions.records import Outcome
from standins.cell.kinds import WorkerKind
from tests.cell.model import ModelCell, ModelEntry

__all__ = ('KINDS', 'Load')

SUBMISSIONS = 70
GANG_SHARE = 0.4
ADVICE_SHARE = 0.5
CANCEL_SHARE = 0.1
FILL_SHARE = 0.1
CALLER_TIMEOUT_S = 3.0

#: Kinds of workers; each worker also has the label of its rack.
KINDS = (
    WorkerKind(cpu_m=4000, mem_mb=8000, labels=('small',)),
    WorkerKind(cpu_m=8000, mem_mb=16_000, labels=('medium',)),
    WorkerKind(cpu_m=16_000, mem_mb=32_000, gpus=4, labels=('large',)),
)


class Load:
    """Submits at random entries and random times, and cancels some submissions.

    Attributes:
        names: submissions that were sent.
        cancelled: those among them that were cancelled.
        last_accepted: entry that has accepted the newest submission, None if there is none.
        accepted: set at the next acceptance.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Start without submissions."""
        self.cell = cell
        self.rng: random.Random = cell.rng
        self.names: list[str] = []
        self.cancelled: set[str] = set()
        self.accepted = asyncio.Event()

    async def run(self, span_s: float) -> None:
        """Send all submissions within about this time."""
        for number in range(SUBMISSIONS):
            await asyncio.sleep(self.rng.expovariate(SUBMISSIONS / span_s))
            entry = self.rng.choice(self.cell.entries)
            if not entry.gate.stopped:
                submitting = entry.gate.spawn(self.submit(entry, f'job{number:02}'))
                await asyncio.wait((submitting,), timeout=0.1)

    async def submit(self, entry: ModelEntry, name: str) -> None:
        """Send one submission, and cancel it later with a share of `CANCEL_SHARE`."""
        self.names.append(name)
        is_advised = self.rng.random() < ADVICE_SHARE
        is_cancelled = self.rng.random() < CANCEL_SHARE
        policy = {
            'max_attempts': 5,
            'priority': self.rng.choice((0, 1, 1)),
            'advice': self.cell.advice.policy if is_advised else None,
        }
        if is_cancelled:
            self.cancelled.add(name)
            delay_s = self.rng.uniform(0.2, 4)
            self.cell.loop.call_later(delay_s, self.cancel, name)
        await self.cell.submit(entry, name, self.steps(), **policy)
        self.accepted.set()
        self.accepted = asyncio.Event()

    def steps(self) -> list[Step]:
        """Return one or two random steps, which fit on the workers that are listed at first."""
        steps = [self.step()]
        if self.rng.choice((True, False)):
            steps.append(self.step(after=(0,)))
        return steps

    def step(self, after: tuple[int, ...] = ()) -> Step:
        """Return a random step; a gang of four fits on the two workers with the label that it requires."""
        is_gang = self.rng.random() < GANG_SHARE
        label = self.rng.choice(('', '', '', 'small', 'medium', 'large'))
        return Step(
            count=self.rng.randint(2 if is_gang else 1, 4),
            cpu_m=self.rng.choice((500, 1000, 2000) if label == 'small' else (500, 2000, 3000)),
            mem_mb=self.rng.choice((0, 500, 3000)),
            gpus=self.rng.choice((0, 1)) if label == 'large' else 0,
            estimate_ms=1000,
            after=after,
            gang=is_gang,
            requires=label,
            spread_limit=self.rng.choice((0, 0, 2)),
            fills=not is_gang and self.rng.random() < FILL_SHARE,
        )

    def cancel(self, name: str) -> None:
        """Cancel a submission at a running entry, if there is one."""
        running = [entry for entry in self.cell.entries if not entry.gate.stopped]
        if running:
            entry = self.rng.choice(running)
            entry.gate.spawn(entry.node.acceptance.cancel(SubmissionId(name), CALLER_TIMEOUT_S))

    def stored(self) -> list[str]:
        """Return the submissions that the log holds."""
        return self.cell.accepted(self.names)

    def check_complete(self) -> None:
        """Check that every task of a complete submission has ended as done.

        Raises:
            AssertionError: one has not.
        """
        checker = self.cell.checker
        ended = Counter(task.submission for task in checker.ended_done)
        for name in self.stored():
            if self.cell.outcome(name) is Outcome.complete:
                tasks = sum(step.count for step in checker.submissions[name].steps)
                assert ended[name] == tasks, f'MIXED: {name}'
