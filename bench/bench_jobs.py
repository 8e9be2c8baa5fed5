"""Jobs: records and processor time of each task, and time from submission to start."""

import asyncio
import random
import time
from collections.abc import Iterator, Sequence

import msgspec

from bench.cell_meter import BenchCell, read_entries, usage_between
from bench.fit import fit_line
from bench.output import percentiles_ms, print_rows
from demo.callers import publish_initial_configuration
from demo.layout import CellLayout

__all__ = ('run',)

MS_PER_S = 1000
DOMAIN = 'recife'
STREAM = f'domain-{DOMAIN}'
WORKSPACE = 'egbolt'
WORKERS = 16
READY_TIMEOUT_S = 60.0
SETTLE_S = 2.0
IDLE_S = 5.0

#: Single tasks at low load.
LOW_RATE = 15
LOW_S = 14.0

#: Task starts a second of one domain; an eighth of 450 is 56.
RATES = (14, 28, 56)
RATE_S = 8.0
TASKS_OF_JOB = 4

#: Tasks of each job at the same rate of tasks, to tell the cost of a job from that of a task.
SHAPES = (1, 2, 4, 16)
SHAPE_RATE = 32

#: Entries of the domain at the same rate, to tell what every entry does from what one does.
ENTRIES = (1, 2, 4, 8)

TASK_RUN_MS = 400
DRAIN_TIMEOUT_S = 30.0
POLL_S = 0.2


class Plan(msgspec.Struct, frozen=True):
    """Jobs that are submitted at random moments."""

    name: str
    tasks_per_s: float
    tasks_of_job: int
    seconds: float

    @property
    def jobs(self) -> int:
        """Return the number of jobs."""
        return int(self.tasks_per_s * self.seconds / self.tasks_of_job)

    @property
    def tasks(self) -> int:
        """Return the number of tasks."""
        return self.jobs * self.tasks_of_job


class Outcome(msgspec.Struct):
    """What a plan cost above the idle cell, for each task.

    Attributes:
        cpu_ms: processor time of all entries.
        append_rate: appends a second while the jobs were submitted and ran.
        delays_s: from submission to start, of each task.
    """

    tasks: int
    cpu_ms: float
    records: float
    log_bytes: float
    appends: float
    append_rate: float
    delays_s: list[float]


class JobLoad:
    """Submits jobs to a cell and measures what they cost.

    Attributes:
        idle_ms: processor time of all entries in a second without jobs.
        submitted: moment of submission by job id.
    """

    def __init__(self, cell: BenchCell, seed: int) -> None:
        """Take the cell."""
        self.cell = cell
        self.random = random.Random(seed)
        self.idle_ms = float(0)
        self.submitted: dict[str, float] = {}

    async def prepare(self) -> None:
        """Publish the basics and measure the idle cell."""
        await self.cell.wait_ready(READY_TIMEOUT_S)
        await publish_initial_configuration(self.cell)
        await asyncio.sleep(SETTLE_S)
        before = read_entries(self.cell)
        await asyncio.sleep(IDLE_S)
        after = read_entries(self.cell)
        self.idle_ms = sum(
            usage_between(self.cell, name, before[name], after[name]).cpu_ms for name in after
        )

    async def measure(self, plan: Plan) -> Outcome:
        """Run a plan until all its tasks have ended."""
        self.submitted.clear()
        before = await self.totals()
        await self.submit_all(plan)
        await self.drain()
        after = await self.totals()
        gained = [end - start for start, end in zip(before, after, strict=True)]
        elapsed_s, cpu_s, *logged = gained
        spent_ms = cpu_s * MS_PER_S - self.idle_ms * elapsed_s
        appends, records, log_bytes = (count / plan.tasks for count in logged)
        return Outcome(
            tasks=plan.tasks,
            cpu_ms=spent_ms / plan.tasks,
            records=records,
            log_bytes=log_bytes,
            appends=appends,
            append_rate=logged[0] / elapsed_s,
            delays_s=await self.start_delays(),
        )

    async def totals(self) -> tuple[float, ...]:
        """Return time, processor time of all entries, and the totals of the stream."""
        logged = await self.log_totals()
        spent_s = sum(reading.cpu_s for reading in read_entries(self.cell).values())
        return time.monotonic(), spent_s, *logged

    async def log_totals(self) -> tuple[int, int, int]:
        """Return appends, records and bytes of the stream."""
        stats = await self.cell.get(self.cell.log_address, '/v1/stats')
        stream = stats['streams'].get(STREAM, {'appends': 0, 'records': 0, 'bytes': 0})
        return stream['appends'], stream['records'], stream['bytes']

    async def submit_all(self, plan: Plan) -> None:
        """Submit the jobs at random moments, at a mean rate, to any entry."""
        pause_s = plan.tasks_of_job / plan.tasks_per_s
        async with asyncio.TaskGroup() as group:
            for number in range(plan.jobs):
                group.create_task(self.submit(plan, number))
                await asyncio.sleep(self.random.expovariate(1 / pause_s))

    async def submit(self, plan: Plan, number: int) -> None:
        """Submit one job.

        Raises:
            RuntimeError: it was not accepted.
        """
        entry = self.random.choice(list(self.cell.entries.values()))
        spec = {
            'kind': 'batch',
            'tasks': plan.tasks_of_job,
            'resources': {'cpu_milli': 1000, 'memory_mb': 1000},
            'run_ms': TASK_RUN_MS,
        }
        body = {'key': f'{plan.name}-{number}', 'spec': spec}
        sent_s = time.monotonic()
        _, reply = await self.cell.post(entry.http, f'/v1/workspaces/{WORKSPACE}/jobs', body)
        if reply['status'] != 'accepted':
            raise RuntimeError(f'job not accepted: {reply}')
        self.submitted[reply['handle']] = sent_s

    async def drain(self) -> None:
        """Wait until the stream is quiet, since every end of a task is a record of it."""
        async with asyncio.timeout(DRAIN_TIMEOUT_S):
            known = -1
            quiet = 0
            while quiet * POLL_S < 2:
                records = (await self.log_totals())[1]
                quiet = quiet + 1 if records == known else 0
                known = records
                await asyncio.sleep(POLL_S)

    async def start_delays(self) -> list[float]:
        """Return the time from submission to the start on the worker, of each task."""
        delays_s = []
        for address in self.cell.workers.values():
            for seen in await self.cell.get(address, '/v1/journal'):
                job_id = seen.get('task_id', '').rsplit('.', 2)[0]
                if seen['kind'] == 'start' and job_id in self.submitted:
                    delays_s.append(seen['at_s'] - self.submitted[job_id])
        return delays_s


def show(title: str, outcome: Outcome) -> str:
    """Return what a task cost."""
    log = (
        f'{outcome.records:.2f} records, {outcome.log_bytes:.0f} B, {outcome.appends:.3f} appends'
    )
    rate = f'{outcome.append_rate:.1f} appends/s'
    delays = f'submission to start {percentiles_ms(outcome.delays_s)}'
    return f'{title}: for each task {outcome.cpu_ms:.2f} ms, {log}; {rate}; {delays}'


def layout(entries: int) -> CellLayout:
    """Return a domain with room for all tasks."""
    return CellLayout(
        failure_domains=(DOMAIN,),
        entries=entries,
        workers=WORKERS,
        cpu_milli=1_000_000,
        memory_mb=1_000_000,
    )


async def measure_domain(entries: int, seed: int, plans: Sequence[Plan]) -> list[Outcome]:
    """Measure plans one after the other in a fresh domain."""
    async with BenchCell(layout(entries)) as cell:
        load = JobLoad(cell, seed)
        await load.prepare()
        return [await load.measure(plan) for plan in plans]


def each_row(title: str, sizes: Sequence[int], outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield a row for each outcome; the title has a place for the size."""
    for size, outcome in zip(sizes, outcomes, strict=True):
        yield show(title.format(size), outcome)


def rate_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost at each rate, and the line through the processor time of all tasks."""
    yield from each_row(f'{{}} tasks/s, {TASKS_OF_JOB} to a job, 2 entries', RATES, outcomes)
    tasks = [found.tasks for found in outcomes]
    line = fit_line(tasks, [found.cpu_ms * found.tasks for found in outcomes])
    yield f'2 entries, jobs of {TASKS_OF_JOB}: processor {line.show("ms", "task")}'


def shape_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost by tasks of a job; the slope over jobs of a task is the cost of a job."""
    yield from each_row(f'{SHAPE_RATE} tasks/s, {{}} to a job, 2 entries', SHAPES, outcomes)
    jobs_of_task = [1 / tasks for tasks in SHAPES]
    for name, unit in (('cpu_ms', 'ms'), ('records', 'records'), ('log_bytes', 'B')):
        line = fit_line(jobs_of_task, [getattr(found, name) for found in outcomes])
        yield f'2 entries, each task and each job: {line.show(unit, "job")}'


def entry_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost by entries; the slope is what each further entry does for a task."""
    title = f'{SHAPE_RATE} tasks/s, {TASKS_OF_JOB} to a job, {{}} entries'
    yield from each_row(title, ENTRIES, outcomes)
    line = fit_line(ENTRIES, [found.cpu_ms for found in outcomes])
    yield f'each task, all entries: processor {line.show("ms", "entry")}'


async def measure_rows(seed: int) -> list[str]:
    """Measure all domains side by side and return the rows."""
    low = Plan('low', LOW_RATE, 1, LOW_S)
    rates = [Plan(f'rate-{rate}', rate, TASKS_OF_JOB, RATE_S) for rate in RATES]
    shapes = [Plan(f'shape-{tasks}', SHAPE_RATE, tasks, RATE_S) for tasks in SHAPES]
    first, second = await asyncio.gather(
        measure_domain(2, seed, [low, *rates]),
        measure_domain(2, seed, shapes),
    )
    spread = Plan('spread', SHAPE_RATE, TASKS_OF_JOB, RATE_S)
    shared = await asyncio.gather(
        *(measure_domain(entries, seed, [spread]) for entries in ENTRIES),
    )
    return [
        show(f'{LOW_RATE} tasks/s, 1 to a job, 2 entries', first[0]),
        *rate_rows(first[1:]),
        *shape_rows(second),
        *entry_rows([outcomes[0] for outcomes in shared]),
    ]


def run(seed: int) -> list[str]:
    """Return the measured rows; the seed draws the moments of submission."""
    return asyncio.run(measure_rows(seed))


def main() -> None:
    """Print the rows."""
    print_rows('bench_jobs', run)


if __name__ == '__main__':
    main()
