"""Jobs: log records and processor time per task, and time from submission to start."""

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

#: Jobs of a single task at low load: tasks per second, and duration.
LOW_RATE = 15
LOW_S = 14.0

#: Task starts per second in one domain; 56 is an eighth of 450.
RATES = (14, 28, 56)
RATE_S = 8.0
TASKS_OF_JOB = 4

#: Tasks per job at a constant rate of tasks, to separate the cost of a job from that of a task.
SHAPES = (1, 2, 4, 16)
SHAPE_RATE = 32

#: Entries of the domain at the same rate, to separate work that every entry does from work done once.
ENTRIES = (1, 2, 4, 8)

TASK_RUN_MS = 400
COMPLETION_TIMEOUT_S = 30.0
POLL_S = 0.2


class Plan(msgspec.Struct, frozen=True):
    """A series of jobs that are submitted at random times.

    Attributes:
        name: prefix of the idempotency keys.
        tasks_per_s: mean rate in tasks per second.
        seconds: mean time over which the jobs are submitted.
    """

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
    """Cost of a plan per task; idle processor time is subtracted.

    Attributes:
        tasks: number of tasks of the plan.
        cpu_ms: processor time of all entries, in milliseconds per task.
        records: records appended to the domain stream, per task.
        log_bytes: bytes appended to the domain stream, per task.
        appends: appends to the domain stream, per task.
        append_rate: appends per second from the first submission until the stream was idle.
        delays_s: seconds from submission to start, for each task.
    """

    tasks: int
    cpu_ms: float
    records: float
    log_bytes: float
    appends: float
    append_rate: float
    delays_s: list[float]


class JobLoad:
    """Submits jobs to a cell and measures their cost.

    Attributes:
        idle_ms: processor time of all entries without jobs, in milliseconds per second.
        submitted: monotonic time of submission in seconds, by job id.
    """

    def __init__(self, cell: BenchCell, seed: int) -> None:
        """Create a load for a running cell; `prepare` has to be called before `measure`."""
        self.cell = cell
        self.random = random.Random(seed)
        self.idle_ms = float(0)
        self.submitted: dict[str, float] = {}

    async def prepare(self) -> None:
        """Publish the initial configuration and measure the idle cell."""
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
        """Run a plan until all its tasks have ended, and return its cost."""
        self.submitted.clear()
        before = await self.totals()
        await self.submit_all(plan)
        await self.wait_for_completion()
        after = await self.totals()
        deltas = [end - start for start, end in zip(before, after, strict=True)]
        elapsed_s, cpu_s, *logged = deltas
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
        """Return the monotonic time, the processor time of all entries, and `log_totals`."""
        logged = await self.log_totals()
        spent_s = sum(reading.cpu_s for reading in read_entries(self.cell).values())
        return time.monotonic(), spent_s, *logged

    async def log_totals(self) -> tuple[int, int, int]:
        """Return the number of appends, records and bytes of the domain stream."""
        stats = await self.cell.get(self.cell.log_address, '/v1/stats')
        stream = stats['streams'].get(STREAM, {'appends': 0, 'records': 0, 'bytes': 0})
        return stream['appends'], stream['records'], stream['bytes']

    async def submit_all(self, plan: Plan) -> None:
        """Submit the jobs with exponentially distributed pauses, each to a random entry."""
        pause_s = plan.tasks_of_job / plan.tasks_per_s
        async with asyncio.TaskGroup() as group:
            for number in range(plan.jobs):
                group.create_task(self.submit(plan, number))
                await asyncio.sleep(self.random.expovariate(1 / pause_s))

    async def submit(self, plan: Plan, number: int) -> None:
        """Submit one job.

        Raises:
            RuntimeError: the job was not accepted.
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

    async def wait_for_completion(self) -> None:
        """Wait until the stream has not grown for 2 seconds.

        The end of each task is a record, so all tasks have ended by then.
        """
        async with asyncio.timeout(COMPLETION_TIMEOUT_S):
            last_count = -1
            unchanged_polls = 0
            while unchanged_polls * POLL_S < 2:
                records = (await self.log_totals())[1]
                unchanged_polls = unchanged_polls + 1 if records == last_count else 0
                last_count = records
                await asyncio.sleep(POLL_S)

    async def start_delays(self) -> list[float]:
        """Return the seconds from submission to the start on the worker, for each task."""
        delays_s = []
        for address in self.cell.workers.values():
            for event in await self.cell.get(address, '/v1/journal'):
                job_id = event.get('task_id', '').rsplit('.', 2)[0]
                if event['kind'] == 'start' and job_id in self.submitted:
                    delays_s.append(event['at_s'] - self.submitted[job_id])
        return delays_s


def describe(title: str, outcome: Outcome) -> str:
    """Return the cost per task as a row."""
    log = (
        f'{outcome.records:.2f} records, {outcome.log_bytes:.0f} B, {outcome.appends:.3f} appends'
    )
    rate = f'{outcome.append_rate:.1f} appends/s'
    delays = f'submission to start {percentiles_ms(outcome.delays_s)}'
    return f'{title}: for each task {outcome.cpu_ms:.2f} ms, {log}; {rate}; {delays}'


def layout(entries: int) -> CellLayout:
    """Return a domain with enough capacity for all tasks."""
    return CellLayout(
        failure_domains=(DOMAIN,),
        entries=entries,
        workers=WORKERS,
        cpu_milli=1_000_000,
        memory_mb=1_000_000,
    )


async def measure_domain(entries: int, seed: int, plans: Sequence[Plan]) -> list[Outcome]:
    """Measure plans one after the other in a new cell of one domain."""
    async with BenchCell(layout(entries)) as cell:
        load = JobLoad(cell, seed)
        await load.prepare()
        return [await load.measure(plan) for plan in plans]


def outcome_rows(title: str, sizes: Sequence[int], outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield a row for each outcome; the title has a placeholder for the size."""
    for size, outcome in zip(sizes, outcomes, strict=True):
        yield describe(title.format(size), outcome)


def rate_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost at each rate, and the fitted line of processor time against tasks."""
    yield from outcome_rows(f'{{}} tasks/s, {TASKS_OF_JOB} to a job, 2 entries', RATES, outcomes)
    tasks = [outcome.tasks for outcome in outcomes]
    line = fit_line(tasks, [outcome.cpu_ms * outcome.tasks for outcome in outcomes])
    yield f'2 entries, jobs of {TASKS_OF_JOB}: processor {line.describe("ms", "task")}'


def shape_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost for each number of tasks per job, and the fitted lines.

    The lines are fitted against jobs per task, so their slope is the cost of a job.
    """
    yield from outcome_rows(f'{SHAPE_RATE} tasks/s, {{}} to a job, 2 entries', SHAPES, outcomes)
    jobs_of_task = [1 / tasks for tasks in SHAPES]
    for name, unit in (('cpu_ms', 'ms'), ('records', 'records'), ('log_bytes', 'B')):
        line = fit_line(jobs_of_task, [getattr(outcome, name) for outcome in outcomes])
        yield f'2 entries, each task and each job: {line.describe(unit, "job")}'


def entry_rows(outcomes: Sequence[Outcome]) -> Iterator[str]:
    """Yield the cost for each number of entries, and the fitted line.

    The slope is the processor time that each additional entry spends on a task.
    """
    title = f'{SHAPE_RATE} tasks/s, {TASKS_OF_JOB} to a job, {{}} entries'
    yield from outcome_rows(title, ENTRIES, outcomes)
    line = fit_line(ENTRIES, [outcome.cpu_ms for outcome in outcomes])
    yield f'each task, all entries: processor {line.describe("ms", "entry")}'


async def measure_rows(seed: int) -> list[str]:
    """Measure the plans and return the rows; cells of one group run concurrently."""
    low = Plan('low', LOW_RATE, 1, LOW_S)
    rates = [Plan(f'rate-{rate}', rate, TASKS_OF_JOB, RATE_S) for rate in RATES]
    shapes = [Plan(f'shape-{tasks}', SHAPE_RATE, tasks, RATE_S) for tasks in SHAPES]
    rate_outcomes, shape_outcomes = await asyncio.gather(
        measure_domain(2, seed, [low, *rates]),
        measure_domain(2, seed, shapes),
    )
    spread = Plan('spread', SHAPE_RATE, TASKS_OF_JOB, RATE_S)
    entry_outcomes = await asyncio.gather(
        *(measure_domain(entries, seed, [spread]) for entries in ENTRIES),
    )
    return [
        describe(f'{LOW_RATE} tasks/s, 1 to a job, 2 entries', rate_outcomes[0]),
        *rate_rows(rate_outcomes[1:]),
        *shape_rows(shape_outcomes),
        *entry_rows([outcomes[0] for outcomes in entry_outcomes]),
    ]


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows; the seed determines times and targets of submissions."""
    return asyncio.run(measure_rows(seed))


def main() -> None:
    """Print the rows."""
    print_rows('bench_jobs', run)


if __name__ == '__main__':
    main()
