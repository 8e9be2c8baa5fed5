"""Synthetic stream records and VM list entries for cells of a given size."""

import random
from collections.abc import Iterator, Sequence

import msgspec

from demo.harness import CellProcesses
from demo.layout import CellLayout
from marigoldlift.ids import (
    Epoch,
    FailureDomain,
    IdempotencyKey,
    Incarnation,
    JobId,
    KeyId,
    WorkerId,
    WorkspaceId,
)
from marigoldlift.jobs.task_ids import job_id_for, key_id_for
from marigoldlift.journal.messages import (  # noqa: WPS235 the record types of a domain stream
    Assignment,
    JobAccepted,
    JobKind,
    JobSpec,
    KeyClaimed,
    KeyClosed,
    KeyStatus,
    Record,
    TaskFinished,
    TaskOutcome,
    TasksAssigned,
    encode_record,
)
from marigoldlift.journal.sequences import batch_sequence
from marigoldlift.platform.messages import AppendRequest
from marigoldlift.resources import Resources
from marigoldlift.util import digest, wall_ms

__all__ = ('DOMAIN', 'Shape', 'append_records', 'listed_vm')

DOMAIN = FailureDomain('recife')

#: Numbers of workers and workspaces over which the synthetic work is spread.
WORKERS = 960
WORKSPACES = 89

#: Listed VMs per rack and per network.
VMS_PER_RACK = 8
VMS_PER_NETWORK = 250

BATCH_RECORDS = 500
ANSWER = 'answer of a typical length, 40 characters'

#: Producer of the synthetic records; no entry has this name.
PRODUCER = 'prefill'


class Shape(msgspec.Struct, frozen=True):
    """Amount of work in a domain stream: jobs of equal size, and closed keys.

    Attributes:
        jobs: number of jobs.
        tasks_of_job: number of tasks of each job.
        ended: whether the tasks have ended; otherwise they run.
        keys: number of closed keys.
    """

    jobs: int = 0
    tasks_of_job: int = 1
    ended: bool = False
    keys: int = 0

    @property
    def tasks(self) -> int:
        """Return the number of tasks of all jobs."""
        return self.jobs * self.tasks_of_job

    def records(self, seed: int) -> Iterator[Record]:
        """Yield the records of this work."""
        yield from job_records(self, random.Random(seed))
        yield from key_records(self.keys, random.Random(seed))


def job_records(shape: Shape, rng: random.Random) -> Iterator[Record]:
    """Yield the records of each job: acceptance, assignment and, if `ended`, the end of each task."""
    for number in range(shape.jobs):
        workspace = random_workspace(rng)
        key = IdempotencyKey(f'forecast-{number}')
        job_id = job_id_for(DOMAIN, workspace, key)
        spec = JobSpec(
            kind=JobKind.batch,
            tasks=shape.tasks_of_job,
            resources=Resources(cpu_milli=4000, memory_mb=8000),
            run_ms=600_000,
            payload='{"season": "2031", "model": "growth-forecast"}',
            labels={'team': workspace},
        )
        yield JobAccepted(job_id, workspace, key, spec, wall_ms())
        yield TasksAssigned(
            job_id,
            tuple(assignment(index, rng) for index in range(shape.tasks_of_job)),
        )
        if shape.ended:
            yield from (task_finished(job_id, index) for index in range(shape.tasks_of_job))


def task_finished(job_id: JobId, task_index: int) -> TaskFinished:
    """Return the record of the successful first attempt of a task."""
    return TaskFinished(wall_ms(), job_id, task_index, 1, TaskOutcome.succeeded, ANSWER)


def assignment(task_index: int, rng: random.Random) -> Assignment:
    """Return the first attempt of a task, on a random worker."""
    worker_id = random_worker_id(rng)
    return Assignment(task_index, 1, worker_id, incarnation_of(worker_id), Epoch(3))


def key_records(keys: int, rng: random.Random) -> Iterator[Record]:
    """Yield the records that claim and close each key."""
    for number in range(keys):
        workspace = random_workspace(rng)
        key = IdempotencyKey(f'charge-{number}')
        key_id = key_id_for(DOMAIN, workspace, key)
        worker_id = random_worker_id(rng)
        content_digest = digest(key)
        yield KeyClaimed(
            at_ms=wall_ms(),
            key_id=key_id,
            workspace=workspace,
            key=key,
            content_digest=content_digest,
            holder=f'entry-{DOMAIN}-0/00001790000000-5f0c2a91',
            worker_id=worker_id,
            incarnation=incarnation_of(worker_id),
            epoch=Epoch(3),
        )
        yield key_closed(key_id, workspace, key, content_digest)


def key_closed(
    key_id: KeyId,
    workspace: WorkspaceId,
    key: IdempotencyKey,
    content_digest: str,
) -> KeyClosed:
    """Return the record that closes a completed key."""
    return KeyClosed(
        at_ms=wall_ms(),
        key_id=key_id,
        workspace=workspace,
        key=key,
        content_digest=content_digest,
        status=KeyStatus.completed,
        answer=ANSWER,
    )


def random_workspace(rng: random.Random) -> WorkspaceId:
    """Return the id of a random workspace."""
    return WorkspaceId(f'team-{rng.randrange(WORKSPACES)}')


def random_worker_id(rng: random.Random) -> WorkerId:
    """Return the id of a random worker."""
    return WorkerId(f'worker-{DOMAIN}-{rng.randrange(WORKERS)}')


def incarnation_of(worker_id: WorkerId) -> Incarnation:
    """Return the incarnation of a worker, the same for all its tasks."""
    return Incarnation(digest(worker_id))


def listed_vm(number: int) -> dict[str, object]:
    """Return a VM list entry of a worker in another failure domain, with all fields of a real one."""
    return {
        'vm_id': f'worker-salvador-{number}',
        'role': 'worker',
        'failure_domain': 'salvador',
        'rack': f'salvador-r{number // VMS_PER_RACK}',
        'address': f'10.20.{number // VMS_PER_NETWORK}.{number % VMS_PER_NETWORK}:8080',
        'capacity': CellLayout().capacity(),
        'connections': 64,
    }


async def append_records(
    cell: CellProcesses,
    stream: str,
    records: Sequence[Record],
    first_batch: int = 1,
) -> int:
    """Append records to a stream in batches; return the number of the next batch.

    Raises:
        RuntimeError: the log did not accept a batch.
    """
    number = first_batch
    for start in range(0, len(records), BATCH_RECORDS):
        payloads = [encode_record(record) for record in records[start : start + BATCH_RECORDS]]
        batch = AppendRequest(PRODUCER, batch_sequence(number, len(payloads)), payloads)
        url = f'http://{cell.log_address}/v1/streams/{stream}/records'
        async with cell.session.post(url, data=msgspec.msgpack.encode(batch)) as response:
            if response.status != 200:
                raise RuntimeError(f'batch refused by the log: {await response.text()}')
        number += 1
    return number
