"""Cuts that overlap, workers that leave behind them, and leaders that hand over meanwhile, drawn from a seed."""

import asyncio
from collections.abc import Sequence

from marigoldlift.submissions.model import Step, SubmissionId, TaskRef
from marigoldlift.workspaces.model import NO_WORKSPACE
from standins.cell.log import LogFault
from tests.cell.model import ModelCell, ModelEntry
from tests.cell.replacement_faults import (
    DOMAINS,
    Day,
    later,
    restart_in_domains,
    run_day,
    start_dead,
)
from tests.cell.told_ends import ToldEnds

__all__ = ('inject_hand_over_faults',)

#: Time without faults after which each accepted submission has to be complete, in s: a chain of three steps of long
#: tasks, each of which is lost once with its worker.
CALM_S = 180.0

#: Share of the steps whose tasks all take long, and bounds of their time, in s.
ALL_LONG_SHARE = 0.2
LONGER_S = (4.0, 25.0)

#: Caps that a workspace may get, in thousandths of a core, and the time within which the entries read one, in s.
CAPS_CPU_M = (20_000, 40_000, 80_000)
CAP_LAG_S = 0.5
CAP_CHANGES = 6

#: Delays of the list of workers, in s.
LIST_LAGS_S = (0, 0.3, 1.5)

#: Bounds of the length of a cut, in s.
CUT_S = (2.0, 10.0)

#: Largest number of workers that leave behind a cut, and time for which each waits for the end of a run, in s.
MAX_LEAVING = 3
LEAVE_WITHIN_S = 6.0

#: Time from the release of an entry to its end, in s.
STOP_S = (0.5, 5.5)

SAMPLE_S = 0.02

#: Processor time that a step needs at once at most, in thousandths of a core: a gang of four.
LARGEST_CPU_M = 7000


class HandOverDay(Day):
    """Load and faults of one seed.

    Attributes:
        cuts: domains that are cut off from each other, from the others and from both logs.
        told: ends that the entries were told of.
    """

    def __init__(self, cell: ModelCell) -> None:
        """Start without load and faults."""
        super().__init__(cell)
        self.cuts: set[str] = set()
        self.told = ToldEnds(cell)
        cell.list_lag_s = self.rng.choice(LIST_LAGS_S)

    def side(self, domain: str) -> str:
        """Return the part of the network that a domain belongs to."""
        return domain if domain in self.cuts else ''

    def reaches_relay(self, caller: str, relay: str) -> bool:
        """Return whether an entry reaches another one, which must run and be on the same side of all cuts."""
        one, other = self.entry(caller), self.entry(relay)
        if one is other:
            return True
        same_side = self.side(one.failure_domain) == self.side(other.failure_domain)
        return same_side and not other.gate.stopped

    def apply_cuts(self) -> None:
        """Let the entries in a cut domain reach neither log, and no worker on another side."""
        for entry in self.cell.entries:
            entry.log.fault = LogFault.silent if entry.failure_domain in self.cuts else None
            entry.workers_log.fault = entry.log.fault
        self.cut_calls()

    def cut_calls(self) -> None:
        """Let the entries reach the workers on their side of all cuts."""
        workers = self.cell.workers.items()
        self.cell.silent_workers = {
            name for name, worker in workers if worker.failure_domain in self.cuts
        }
        for entry in self.cell.entries:
            side = self.side(entry.failure_domain)
            entry.calls.unreachable = {
                name for name, worker in workers if self.side(worker.failure_domain) != side
            }

    def add_worker(self, failure_domain: str) -> None:
        """Start a worker under a new id, which may leave later."""
        self.to_leave.append(f'w{self.next_worker}')
        super().add_worker(failure_domain)

    def steps(self, name: str) -> Sequence[Step]:
        """Return a chain of one to three steps; in some, all tasks take long, and none fails through its own fault."""
        chain = super().steps(name)
        for number, step in enumerate(chain):
            if self.rng.random() < ALL_LONG_SHARE:
                for index in range(step.count):
                    task = TaskRef(SubmissionId(name), 0, number, index)
                    self.cell.durations[task] = self.rng.uniform(*LONGER_S)
                    self.cell.checker.own_faults.pop(task, None)
        return chain

    async def cut_domain(self) -> None:
        """Cut a domain off, mostly that of the leader; some of its workers leave before the cut ends."""
        leader = self.cell.leader() or self.rng.choice(self.cell.entries)
        domain = self.rng.choice((leader.failure_domain, leader.failure_domain, *DOMAINS))
        if domain in self.cuts:
            return
        self.cuts.add(domain)
        self.apply_cuts()
        inside = [name for name in self.to_leave if self.is_up_in(name, domain)]
        count = min(len(inside), self.rng.randint(0, MAX_LEAVING))
        leaving = [
            self.cell.loop.create_task(self.leave_after_end(name))
            for name in self.rng.sample(inside, count)
        ]
        await asyncio.sleep(self.rng.uniform(*CUT_S))
        self.cuts.discard(domain)
        self.apply_cuts()
        await asyncio.gather(*leaving)

    def is_up_in(self, name: str, domain: str) -> bool:
        """Return whether a worker of a domain is up."""
        worker = self.cell.workers[name]
        return worker.up and worker.failure_domain == domain

    async def leave_after_end(self, name: str) -> None:
        """Let a worker leave soon after one of its runs has ended, for good."""
        self.to_leave.remove(name)
        worker = self.cell.workers[name]
        last_number = worker.ends.last_number
        until = self.cell.loop.time() + self.rng.uniform(0, LEAVE_WITHIN_S)
        while self.cell.loop.time() < until and worker.ends.last_number == last_number:
            await asyncio.sleep(SAMPLE_S)
        await asyncio.sleep(self.rng.uniform(0, 0.4))
        self.add_worker(worker.failure_domain)
        self.cut_calls()
        if self.rng.choice((True, False)):
            self.cell.remove_worker(name)
        else:
            worker.crash()

    async def release_entry(self) -> None:
        """Let the leader, or an entry that is cut off, release the leadership and stop; start it again."""
        cut_off = [entry for entry in self.cell.entries if entry.failure_domain in self.cuts]
        leader = self.cell.leader()
        choices: list[ModelEntry] = [*cut_off, *((leader,) if leader else ())]
        if not choices:
            return
        entry = self.rng.choice(choices)
        if entry.gate.stopped:
            return
        process = entry.gate
        process.spawn(entry.node.election.retire())
        await asyncio.sleep(self.rng.uniform(*STOP_S))
        if entry.gate is process:
            entry.kill()
            await asyncio.sleep(self.rng.uniform(0.1, 1))
        await start_dead(self.cell)

    async def change_caps(self) -> None:
        """Change the caps of the workspaces that have one."""
        for _ in range(CAP_CHANGES):
            await asyncio.sleep(self.rng.uniform(2, 8))
            for workspace in self.workspaces:
                if workspace != NO_WORKSPACE:
                    self.cell.set_cap(workspace, CAP_LAG_S, cpu_m=self.rng.choice(CAPS_CPU_M))

    def may_wait(self, name: str) -> bool:
        """Return whether the cap of a submission's workspace leaves no room for some steps of the workspace."""
        checker = self.cell.checker
        workspace = checker.submissions[name].workspace
        if workspace == NO_WORKSPACE:
            return False
        used_cpu_m = sum(
            checker.submissions[task.submission].steps[task.step].cpu_m
            for task, holders in checker.running.items()
            if holders and checker.submissions[task.submission].workspace == workspace
        )
        return used_cpu_m + LARGEST_CPU_M > self.cell.workspaces[workspace].cap.cpu_m

    async def sample_entries(self) -> None:
        """Record which entries are disturbed until cancelled."""
        while True:
            self.told.sample()
            await asyncio.sleep(SAMPLE_S)

    async def faults(self) -> None:
        """Inject the faults of the day."""
        spawn = self.cell.loop.create_task
        sampling = spawn(self.sample_entries())
        starts_s = [self.rng.uniform(2, 36) for _ in range(self.rng.randint(2, 5))]
        starts_s.extend(start_s + self.rng.uniform(0.5, 3) for start_s in starts_s[:2])
        running = [spawn(later(start_s, self.cut_domain())) for start_s in starts_s]
        for start_s in starts_s[: self.rng.randint(0, 3)]:
            running.append(spawn(later(start_s + self.rng.uniform(0.5, 6), self.release_entry())))
        running.extend((spawn(self.change_caps()), spawn(later(16, self.replace_workers()))))
        await self.end_faults(running, 2)
        self.apply_cuts()
        sampling.cancel()


async def inject_hand_over_faults(cell: ModelCell) -> None:
    """Load the cell under the faults of a day, and check that all work ends and that no end that is known is dropped."""
    restart_in_domains(cell)
    day = HandOverDay(cell)
    await run_day(cell, day, CALM_S)
    assert not day.told.violations, day.told.violations[:3]
