"""Load from callers: interactive requests, charges, batch jobs and gang jobs."""

import asyncio
import random
import time
from collections import Counter
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from demo.harness import CellProcesses

__all__ = ('CallerLoad', 'LoadPlan', 'publish_initial_configuration')

#: Range in microseconds and significant digits of the histograms of waiting times.
LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 3
US_PER_S = 1_000_000

WORKSPACES = ('pedalinho', 'egbolt')

POLL_S = 0.1

#: Time within which a job of the demo has to end.
JOB_TIMEOUT_S = 40.0


class LoadPlan(msgspec.Struct):
    """Amount of load that the callers send.

    Attributes:
        seconds: duration of the load of requests, in seconds.
        requests_per_s: mean rate of interactive requests per second.
        charges_per_s: mean rate of non-repeatable requests per second.
        batch_jobs: number of batch jobs.
        batch_tasks: tasks of each batch job.
        gang_jobs: number of gang jobs.
        gang_tasks: tasks of each gang job.
    """

    seconds: float = 10
    requests_per_s: int = 150
    charges_per_s: int = 10
    batch_jobs: int = 3
    batch_tasks: int = 6
    gang_jobs: int = 2
    gang_tasks: int = 4


class CallerLoad:
    """Sends the load and counts the answers that callers receive.

    Attributes:
        answered: number of answers by service or kind of job, and status.
        waiting: histograms of waiting times in microseconds, by service.
        wrong: descriptions of answers that do not belong to their request.
        completed_charges: charges that were answered as completed.
    """

    def __init__(self, cell: CellProcesses, plan: LoadPlan, seed: int) -> None:
        """Prepare the load; the seed determines the random choices."""
        self.cell = cell
        self.plan = plan
        self.random = random.Random(seed)
        self.answered: Counter[tuple[str, str]] = Counter()
        self.waiting = {
            kind: HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS) for kind in ('sizer', 'charge')
        }
        self.wrong: list[str] = []
        self.completed_charges: set[str] = set()

    async def run(self) -> None:
        """Send all requests and jobs, and wait for all answers."""
        await asyncio.gather(
            self.stream('sizer', self.plan.requests_per_s),
            self.stream('charge', self.plan.charges_per_s),
            *(self.job('batch', number) for number in range(self.plan.batch_jobs)),
            *(self.job('gang', number) for number in range(self.plan.gang_jobs)),
        )

    async def stream(self, service: str, per_s: int) -> None:
        """Send requests of one service at random intervals, with a mean rate of `per_s` requests per second."""
        end_s = time.monotonic() + self.plan.seconds
        number = 0
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < end_s:
                group.create_task(self.request(service, number))
                number += 1
                await asyncio.sleep(self.random.expovariate(per_s))

    async def request(self, service: str, number: int) -> None:
        """Send one request to any entry and check the answer."""
        workspace = self.random.choice(WORKSPACES)
        run_ms = self.random.choice((1, 2, 5, 20))
        answer = f'{service}-{number}'
        body = {
            'key': f'{service}-{number}',
            'service': service,
            'payload': msgspec.json.encode({'run_ms': run_ms, 'answer': answer}).decode(),
        }
        started_s = time.monotonic()
        _, reply = await self.post(f'/v1/workspaces/{workspace}/requests', body)
        elapsed_s = time.monotonic() - started_s
        self.answered[service, reply['status']] += 1
        if reply['status'] == 'completed':
            self.waiting[service].record_value(int(elapsed_s * US_PER_S))
            self.check(reply, answer, service)

    def check(self, reply: dict[str, Any], answer: str, service: str) -> None:
        """Check that an answer belongs to its request, and record a completed charge."""
        if reply['answer'] != answer:
            self.wrong.append(f'{answer}: {reply["answer"]}')
        if service == 'charge':
            self.completed_charges.add(answer)

    async def job(self, kind: str, number: int) -> None:
        """Submit a job, read its outcome through randomly chosen entries, and count it."""
        spec = {
            'kind': kind,
            'tasks': self.plan.gang_tasks if kind == 'gang' else self.plan.batch_tasks,
            'resources': {'cpu_milli': 4000, 'memory_mb': 1000},
            'run_ms': self.random.randrange(300, 1500),
        }
        body = {'key': f'{kind}-{number}', 'spec': spec}
        _, reply = await self.post('/v1/workspaces/pedalinho/jobs', body)
        state = reply['status']
        if state == 'accepted':
            state = await self.outcome(reply['handle'], reply['token'])
        self.answered[kind, state] += 1

    async def outcome(self, handle: str, token: str) -> str:
        """Read a job until it has ended; the token makes each read reflect the submission.

        Returns:
            The last state read, or the error code if reading failed.
        """
        path = f'/v1/workspaces/pedalinho/jobs/{handle}?token={token}'
        deadline_s = time.monotonic() + JOB_TIMEOUT_S
        state = 'lost'
        while time.monotonic() < deadline_s:
            view = await self.cell.get(self.any_entry(), path)
            state = view.get('state') or view['code']
            if state not in {'active', 'token_not_reached', 'peer_unavailable'}:
                break
            await asyncio.sleep(POLL_S)
        return state

    def count(self, status: str) -> int:
        """Count the answers with a status, over all services and kinds of jobs."""
        return sum(count for (_, answered), count in self.answered.items() if answered == status)

    async def post(self, path: str, body: Any) -> tuple[int, Any]:
        """Send JSON to any entry."""
        return await self.cell.post(self.any_entry(), path, body)

    def any_entry(self) -> str:
        """Return the HTTP address of a random entry, as a load balancer would choose it."""
        return self.random.choice(list(self.cell.entries.values())).http


async def publish_initial_configuration(cell: CellProcesses) -> dict[str, Any]:
    """Publish the workspaces and services of the demo.

    Returns:
        The reply, which includes whether the configuration is in force at each entry.

    Raises:
        RuntimeError: the configuration was not accepted.
    """
    changes = [
        {'kind': 'workspace', 'name': name, 'base_version': 0, 'value': {}} for name in WORKSPACES
    ]
    changes.extend(
        [
            {'kind': 'service', 'name': 'sizer', 'base_version': 0, 'value': {'repeatable': True}},
            {'kind': 'service', 'name': 'charge', 'base_version': 0, 'value': {}},
        ],
    )
    entry = next(iter(cell.entries.values()))
    body = {'author': 'demo', 'changes': changes}
    status, reply = await cell.post(entry.http, '/v1/operator/configuration', body)
    if reply['status'] != 'accepted':
        raise RuntimeError(f'configuration not accepted: {status} {reply}')
    return reply
