"""A rolling replacement of workers, a cut of the leader's domain and the loss of all entries, drawn from a seed."""

import asyncio
import contextlib
import zlib
from collections.abc import Iterator, Sequence
from functools import partial

import msgspec

from marigoldlift.submissions.model import AdvicePolicy, Step, SubmissionId, TaskRef
from standins.cell.log import LogFault
from tests.cell.concurrent_faults import disrupt_calls, fail_log, pause_entry
from marigoldlift.workspaces.model import NO_WORKSPACE
from tests.cell.model import ModelCell, ModelEntry

__all__ = (
    'DOMAINS',
    'Day',
    'describe_step',
    'inject_replacement_faults',
    'later',
    'restart_in_domains',
    'run_day',
    'set_up_domains',
    'start_dead',
)

ELECTION_S = 1.5
DOMAINS = ('f', 's', 't')
CPU_M = 16_000

#: Time for which submissions arrive, in s.
LOAD_S = 46.0
SUBMISSIONS = 70

#: Time without faults after which each accepted submission has to be complete, in s.
CALM_S = 60.0

#: Time between two replaced workers, time left that a draining worker reports, and time until it exits, in s.
REPLACEMENT_INTERVAL_S = 0.95
REMAINING_S = 9.0
EXIT_S = 7.0

#: Bounds of the time for which some of them serve on after that, in s.
LINGER_S = (5.0, 35.0)

#: Tasks that take long, as a share of the steps that have one, and bounds of their time, in s.
LONG_SHARE = 0.3
LONG_S = (6.0, 16.0)
SHORT_S = (0.2, 1.5)

CANCEL_SHARE = 0.08
REPEAT_SHARE = 0.15
GANG_SHARE = 0.15
CALLER_TIMEOUT_S = 3.0
MS_PER_S = 1000

#: Costs and validities of the advice, with the share of the workers that it allows.
ADVICES = (
    (AdvicePolicy(700, 10, 2000), 0.3),
    (AdvicePolicy(156, 2.34, 2000), 0.45),
    (AdvicePolicy(12, 0.17, 2000), 0.7),
)

#: Share of the submissions with runs that fail through their own fault, and longest row of such runs.
FAULTY_SHARE = 0.15
MAX_FAULTS = 3

#: Time for which a submission may have nothing running while a task's turn has come and nothing else happens, in s.
IDLE_S = 3.0

#: Time after the last fault from which that counts, in s: leases of lost workers have lapsed, and their tasks run again.
SETTLE_S = 12.0

#: One worker of any so many with consecutive numbers may run each step, whatever else the advice denies.
ALLOWED_OF = 5


def allows(share: float, step: str, worker: str) -> bool:
    """Return whether the advice allows a worker for a step: a share of them, and at least one of `ALLOWED_OF`."""
    number = int(worker[1:])
    if number % ALLOWED_OF == zlib.crc32(step.encode()) % ALLOWED_OF:
        return True
    return zlib.crc32(f'{step}:{worker}'.encode()) % 1000 < share * 1000


class Day:
    """Load and faults of one seed.

    Attributes:
        names: submissions that were sent.
        cancelled: those among them that were cancelled.
        cut: domain that is cut off from the others and from both logs, empty if there is none.
        next_worker: number of the next new worker.
        to_leave: workers that are still to be replaced, the first first.
    """

    def __init__(self, cell: ModelCell, *, lingers: bool = False) -> None:
        """Start without load and faults.

        Args:
            cell: the cell.
            lingers: whether some draining workers exit many seconds after they could.
        """
        self.lingers = lingers
        self.cell = cell
        self.rng = cell.rng
        self.names: list[str] = []
        self.cancelled: set[str] = set()
        self.cut = ''
        self.idle: list[str] = []
        self.longest: float = 0
        self.next_worker = len(cell.workers)
        self.to_leave = list(cell.workers)
        self.workspaces = self.rng.choice(((NO_WORKSPACE,), ('one', 'two')))
        for workspace in self.workspaces:
            if workspace != NO_WORKSPACE:
                cell.set_cap(workspace, cpu_m=self.rng.choice((40_000, 80_000)))
        policy, share = self.rng.choice(ADVICES)
        cell.advice.policy = policy
        cell.advice.allows = partial(allows, share)
        cell.reaches_relay = self.reaches_relay

    def entry(self, name: str) -> ModelEntry:
        """Return the entry with a name."""
        return next(entry for entry in self.cell.entries if entry.name == name)

    def reaches_relay(self, caller: str, relay: str) -> bool:
        """Return whether an entry reaches another one, which must run and be on the same side of a cut."""
        one, other = self.entry(caller), self.entry(relay)
        if one is other:
            return True
        sides = {one.failure_domain == self.cut, other.failure_domain == self.cut}
        return not other.gate.stopped and (len(sides) == 1 or not self.cut)

    async def load(self) -> None:
        """Send all submissions within about `LOAD_S`, some of them twice, and cancel some."""
        for number in range(SUBMISSIONS):
            await asyncio.sleep(self.rng.expovariate(SUBMISSIONS / LOAD_S))
            name = f'job{number:02}'
            steps = self.steps(name)
            workspace = self.rng.choice(self.workspaces)
            priority = self.rng.choice((0, 1, 1))
            sent = 2 if self.rng.random() < REPEAT_SHARE else 1
            for entry in self.rng.sample(self.cell.entries, sent):
                if not entry.gate.stopped:
                    self.names.append(name)
                    submitting = entry.gate.spawn(
                        self.cell.submit(
                            entry,
                            name,
                            steps,
                            workspace,
                            max_attempts=30,
                            advice=self.cell.advice.policy,
                            priority=priority,
                        )
                    )
                    await asyncio.wait((submitting,), timeout=0.1)
            if self.rng.random() < CANCEL_SHARE:
                self.cancelled.add(name)
                self.cell.loop.call_later(self.rng.uniform(0.1, 9), self.cancel, name)

    def cancel(self, name: str) -> None:
        """Cancel a submission at an entry that runs, if there is one."""
        running = [entry for entry in self.cell.entries if not entry.gate.stopped]
        if running:
            entry = self.rng.choice(running)
            entry.gate.spawn(entry.node.acceptance.cancel(SubmissionId(name), CALLER_TIMEOUT_S))

    def steps(self, name: str) -> Sequence[Step]:
        """Return a chain of one to three steps; some have one task that takes long."""
        chain: list[Step] = []
        for number in range(self.rng.choice((1, 2, 2, 3))):
            is_gang = self.rng.random() < GANG_SHARE
            count = self.rng.randint(2, 4) if is_gang else self.rng.choice((1, 2, 4, 11))
            is_faulty = self.rng.random() < FAULTY_SHARE
            is_long = self.rng.random() < LONG_SHARE
            for index in range(count):
                task = TaskRef(SubmissionId(name), 0, number, index)
                bounds = LONG_S if is_long and (is_gang or not index) else SHORT_S
                self.cell.durations[task] = self.rng.uniform(*bounds)
                if is_faulty and not is_long and self.rng.choice((True, False)):
                    self.cell.checker.own_faults[task] = self.rng.randint(1, MAX_FAULTS)
            chain.append(
                Step(
                    count=count,
                    cpu_m=self.rng.choice((500, 1000, 1750)),
                    mem_mb=1376,
                    estimate_ms=1000,
                    after=(number - 1,) if number else (),
                    gang=is_gang,
                    spread_limit=self.rng.choice((0, 0, 0, 4)),
                )
            )
        return chain

    async def replace_workers(self) -> None:
        """Replace workers by new ones under new ids, one after the other."""
        leaving = []
        for _ in range(self.rng.randint(4, 10)):
            name = self.to_leave.pop(0)
            self.add_worker(self.cell.workers[name].failure_domain)
            leaving.append(self.cell.loop.create_task(self.drain(name)))
            self.cut_calls()
            await asyncio.sleep(REPLACEMENT_INTERVAL_S)
        await asyncio.wait(leaving)

    def add_worker(self, failure_domain: str) -> None:
        """Start a worker under a new id."""
        name = f'w{self.next_worker}'
        self.next_worker += 1
        self.cell.add_worker(name, CPU_M, failure_domain)

    async def drain(self, name: str) -> None:
        """Let a worker report that it drains, once it reaches the list of workers, and let it exit after that."""
        worker = self.cell.workers[name]
        worker.draining = True
        worker.leaving_ms = REMAINING_S * MS_PER_S
        await asyncio.sleep(self.rng.uniform(0.05, 0.5))
        while name in self.cell.silent_workers:
            await asyncio.sleep(0.1)
        self.cell.list_workers()
        exit_s = EXIT_S + self.rng.uniform(-0.5, 3)
        if self.lingers and self.rng.choice((True, False)):
            self.cell.loop.call_later(
                exit_s + self.rng.uniform(*LINGER_S), self.cell.remove_worker, name
            )
            return
        await asyncio.sleep(exit_s)
        self.cell.remove_worker(name)

    async def cut_leader(self) -> None:
        """Cut the domain of the leader off, and soon after its return kill all entries."""
        leader = self.cell.leader() or self.rng.choice(self.cell.entries)
        with self.cut_off(leader.failure_domain):
            await asyncio.sleep(self.rng.uniform(2, 9))
        await asyncio.sleep(self.rng.choice((0.2, 1, 2, 3)))
        if self.rng.choice((True, True, True, True, False)):
            await self.kill_all()

    @contextlib.contextmanager
    def cut_off(self, domain: str) -> Iterator[None]:
        """Cut a domain off from the others and from both logs until the context ends."""
        self.change_cut(domain)
        try:
            yield
        finally:
            self.change_cut('')

    def change_cut(self, domain: str) -> None:
        """Cut a domain off, or heal the cut if it is empty."""
        self.cut = domain
        self.cut_calls()
        for entry in self.cell.entries:
            is_inside = bool(domain) and entry.failure_domain == domain
            entry.log.fault = LogFault.silent if is_inside else None
            entry.workers_log.fault = entry.log.fault

    def cut_calls(self) -> None:
        """Let the entries reach the workers on their side of the cut."""
        inside = {
            name
            for name, worker in self.cell.workers.items()
            if self.cut and worker.failure_domain == self.cut
        }
        self.cell.silent_workers = inside
        for entry in self.cell.entries:
            is_inside = self.cut and entry.failure_domain == self.cut
            entry.calls.unreachable = self.cell.workers.keys() - inside if is_inside else inside
            if not self.cut:
                entry.calls.unreachable = set()

    async def kill_all(self) -> None:
        """Kill all entries within a short time, and start each one again soon after."""
        for entry in self.cell.entries:
            entry.kill()
        await asyncio.sleep(self.rng.choice((0.1, 0.5, 1.5)))
        await start_dead(self.cell)

    async def kill_some(self) -> None:
        """Kill two entries and start them again."""
        for entry in self.rng.sample(self.cell.entries, 2):
            entry.kill()
        await asyncio.sleep(self.rng.uniform(0.3, 2))
        await start_dead(self.cell)

    async def cut_entries(self) -> None:
        """Cut the leader and another entry from the log."""
        leader = self.cell.leader() or self.cell.entries[0]
        affected = {leader, self.rng.choice(self.cell.entries)}
        for entry in affected:
            entry.log.fault = LogFault.silent
        await asyncio.sleep(self.rng.uniform(1, 9))
        for healed in affected:
            healed.log.fault = None

    async def fail_runs(self) -> None:
        """Let the tasks of some workers fail, or make no progress."""
        affected = self.rng.sample(sorted(self.cell.workers), 3)
        hangs = self.rng.choice((True, False))
        for name in affected:
            self.cell.workers[name].fails = not hangs
            self.cell.workers[name].hangs = hangs
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        for name in affected:
            self.cell.workers[name].fails = False
            self.cell.workers[name].hangs = False

    async def crash_worker(self) -> None:
        """Let a worker go down without a report and never return."""
        name = self.to_leave.pop(0)
        self.add_worker(self.cell.workers[name].failure_domain)
        self.cell.workers[name].crash()
        await asyncio.sleep(0)

    async def watch_idle(self) -> None:
        """Record the submissions that have nothing running for too long, from `SETTLE_S` on."""
        await asyncio.sleep(SETTLE_S)
        ran_at: dict[str, float] = {}
        checker = self.cell.checker
        while True:
            await asyncio.sleep(0.05)
            now = self.cell.loop.time()
            running = {task.submission for task, holders in checker.running.items() if holders}
            for name in self.cell.accepted(dict.fromkeys(self.names)):
                is_owed = name not in self.cancelled and self.cell.is_open(name)
                if name in running or not is_owed or self.has_ended(name) or self.may_wait(name):
                    ran_at.pop(name, None)
                    continue
                since = ran_at.setdefault(name, now)
                self.longest = max(self.longest, now - since)
                if now - since > IDLE_S:
                    ran_at[name] = now + 1000
                    self.idle.append(f'IDLE at={now:.2f} {describe_step(self.cell, name)}')

    def may_wait(self, name: str) -> bool:
        """Return whether a submission may have nothing running for as long as its turn does not come."""
        return False

    def has_ended(self, name: str) -> bool:
        """Return whether all tasks of a submission have ended as done."""
        submission = self.cell.checker.submissions[name]
        return all(
            TaskRef(submission.id, 0, number, index) in self.cell.checker.ended_done
            for number, step in enumerate(submission.steps)
            for index in range(step.count)
        )

    async def faults(self) -> None:
        """Inject the faults of the day, the usual ones of other searches beside them."""
        spawn = self.cell.loop.create_task
        running = [spawn(later(self.rng.uniform(0, 10), self.cut_entries()))]
        running.append(spawn(later(self.rng.uniform(10, 16), self.kill_some())))
        running.append(spawn(later(self.rng.uniform(14, 26), self.replace_workers())))
        running.append(spawn(later(self.rng.uniform(24, 36), self.cut_leader())))
        await self.end_faults(running, 3)

    async def end_faults(self, running: list[asyncio.Task[None]], most_others: int) -> None:
        """Inject some usual faults of other searches beside those that are running, and wait for the end of all."""
        others = (
            self.fail_runs,
            self.crash_worker,
            lambda: disrupt_calls(self.cell),
            lambda: fail_log(self.cell),
            lambda: pause_entry(self.cell),
        )
        for _ in range(self.rng.randint(0, most_others)):
            other = self.rng.choice(others)
            work = later(self.rng.uniform(0, 40), other())
            running.append(self.cell.loop.create_task(work))
        await asyncio.sleep(8)
        self.cell.log.drop_history()
        await asyncio.wait(running)
        for ended in running:
            ended.result()
        await start_dead(self.cell)


async def later(delay_s, work):
    """Run a fault after a delay."""
    await asyncio.sleep(delay_s)
    await work


async def start_dead(cell: ModelCell) -> None:
    """Start the entries that are dead, within a short time."""
    for entry in cell.entries:
        if entry.gate.dead:
            entry.start()
            await asyncio.sleep(cell.rng.choice((0, 0, 0.2)))


def set_up_domains(cell: ModelCell) -> None:
    """Spread entries and workers over the domains."""
    for number, entry in enumerate(cell.entries):
        entry.failure_domain = DOMAINS[number % len(DOMAINS)]
    for place, worker in enumerate(cell.workers.values()):
        worker.failure_domain = DOMAINS[place % len(DOMAINS)]
        worker.kind = msgspec.structs.replace(worker.kind, cpu_m=CPU_M)
    cell.list_workers()


def describe_step(cell: ModelCell, name: str) -> str:
    """Describe what the leader knows of the open steps of a submission."""
    leader = cell.leader()
    if leader is None or leader.node.dispatcher is None:
        return f'{name}: no leader'
    dispatcher = leader.node.dispatcher
    job = dispatcher.open_submissions.jobs.get(SubmissionId(name))
    if job is None:
        closed = name in dispatcher.open_submissions.closed
        return f'{name}: not open at the leader closed={closed} state={cell.outcome(name)}'
    lines = [f'{name}: complete={job.complete.mask:b} writing={dispatcher.progress.writing}']
    for key, step in job.steps.items():
        lines.append(
            f' step={key} todo={sorted(step.todo)} done={len(step.done)} waiting={step in dispatcher.planner.waiting.steps}'
            f' active={ {at: place.session.worker.id for at, place in step.active.items()} }'
            f' old={step.old_places} ask_after={step.ask_after}'
            f' tickets={ {worker: ticket is not None for worker, ticket in step.tickets.items()} }'
            f' gang={step.step.gang} {step.gang_started_at} {step.gang_broken}'
            f' reason={dispatcher.planner.pending.reasons.get(step)}'
            f' held={[at for at in step.todo if dispatcher.starter.is_held(step.task(at))]}'
        )
        for at, place in step.active.items():
            run = place.session.run_table.runs.get(step.task(at))
            lines.append(
                f'  run of {at}: {run and {slot: getattr(run, slot) for slot in run.__slots__}}'
            )
    lines.append(f' unreachable={dispatcher.session_manager.earlier_orders.unreachable}')
    return '\n'.join(lines)


async def inject_replacement_faults(cell: ModelCell, *, lingers: bool = False) -> None:
    """Load the cell under the faults of a day, and check that all submissions are complete after a time of calm."""
    restart_in_domains(cell)
    await run_day(cell, Day(cell, lingers=lingers), CALM_S)


def restart_in_domains(cell: ModelCell) -> None:
    """Start all entries anew, spread over the domains, with run times that are learned."""
    set_up_domains(cell)
    cell.limits = msgspec.structs.replace(cell.limits, learns_run_times=True)
    for entry in cell.entries:
        entry.kill()
        entry.start()


async def run_day(cell: ModelCell, day: Day, calm_s: float) -> None:
    """Run the load and the faults of a day, and check that all submissions are complete within a time of calm, in s."""
    await asyncio.sleep(ELECTION_S)
    loading = cell.loop.create_task(day.load())
    await day.faults()
    await loading
    idle = cell.loop.create_task(day.watch_idle())
    accepted = [
        name for name in cell.accepted(dict.fromkeys(day.names)) if name not in day.cancelled
    ]
    assert accepted
    try:
        await cell.wait_for_outcomes(accepted, calm_s)
    except TimeoutError:
        left = [describe_step(cell, name) for name in accepted if cell.is_open(name)]
        raise AssertionError('LOST\n' + '\n'.join(left[:3])) from None
    states = {name: cell.outcome(name) for name in accepted}
    idle.cancel()
    assert not day.idle, '\n'.join(day.idle[:3])
    others = {name: state for name, state in states.items() if state.value != 'complete'}
    assert not others, others
