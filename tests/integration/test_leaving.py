"""VMs that leave: they get nothing new after a few seconds."""

import asyncio
from collections.abc import Iterable
from functools import partial
from typing import Any

import pytest

from demo.harness import CellProcesses
from standins.messages import JournalEntry, JournalKind

from tests.integration.callers import RecordingCaller, steady_load
from tests.integration.cells import (
    is_balanced,
    journals,
    main_owner,
    nothing_held_by,
    owners,
    until,
    worker_faults,
)
from tests.integration.evidence import faults_of, settle, states_of_jobs

pytestmark = pytest.mark.integration

SEED = 4107

LOAD_S = 1.0

#: The few seconds of invariant 6.
NOTICE_S = 4.0

#: Lag of the VM list where it is the only news, and where it never tells in time.
LIST_LAG_MS = 1000
ENDLESS_LAG_MS = 600_000

ATTEMPTS = frozenset((JournalKind.start, JournalKind.refusal))


async def set_list_lag(cell: CellProcesses, lag_ms: int) -> None:
    """Let changes of the VM list from now on be visible only after a lag."""
    await cell.post(cell.vm_list_address, '/v1/faults', {'lag_ms': lag_ms})


async def by_vm_list(cell: CellProcesses, vm_id: str) -> None:
    """Let the VM list say, after its lag, that a VM leaves."""
    await set_list_lag(cell, LIST_LAG_MS)
    status, _ = await cell.post(
        cell.vm_list_address, f'/v1/vms/{vm_id}/state', {'state': 'leaving'}
    )
    assert status == 200


async def by_worker(cell: CellProcesses, vm_id: str) -> None:
    """Let the worker alone say that it leaves."""
    await set_list_lag(cell, ENDLESS_LAG_MS)
    await worker_faults(cell, vm_id, leaving=True)


async def by_configuration(cell: CellProcesses, vm_id: str) -> None:
    """Let operators drain a VM while the VM list lags."""
    await set_list_lag(cell, ENDLESS_LAG_MS)
    change: dict[str, Any] = {'kind': 'drain', 'name': vm_id, 'base_version': 0, 'value': {}}
    entry = next(iter(cell.entries.values()))
    body = {'author': 'operator', 'changes': [change]}
    status, _ = await cell.post(entry.http, '/v1/operator/configuration', body)
    assert status == 200


#: Each way in which a worker may be known to leave; the list is told first, as later its lag is
#: endless.
LEAVES = (by_vm_list, by_worker, by_configuration)


def attempted(journal: list[JournalEntry], since_s: float) -> list[JournalEntry]:
    """Return the starts since a time, and those that were refused."""
    return [one for one in journal if one.kind in ATTEMPTS and one.task_id and one.at_s > since_s]


def loop_now() -> float:
    """Return the clock that the journals of the stand-ins share."""
    return asyncio.get_running_loop().time()


async def test_leaving_workers_get_nothing_new(start_cell):
    """Guards against work that is still sent to workers of which one source says they leave."""
    cell = await start_cell(workers=len(LEAVES) + 2)
    caller = RecordingCaller(cell, SEED)
    leaving = dict(zip(cell.workers, LEAVES, strict=False))
    async with steady_load(caller):
        await until(partial(all_attempted, cell, leaving))
        for worker_id, leave in leaving.items():
            await leave(cell, worker_id)
        await asyncio.sleep(NOTICE_S)
        noticed_s = loop_now()
        await asyncio.sleep(LOAD_S)
    evidence = await settle(cell)
    late = {one.worker_id for one in attempted(evidence.journal, noticed_s)}
    assert late
    assert not late & set(leaving)
    assert not faults_of(evidence, caller)
    assert states_of_jobs(evidence, caller) == {'succeeded': len(caller.jobs)}


async def all_attempted(cell: CellProcesses, worker_ids: Iterable[str]) -> bool:
    """Tell whether something has been sent to each of the workers."""
    used = {one.worker_id for one in attempted(await journals(cell), 0)}
    return used >= set(worker_ids)


@pytest.mark.parametrize('leave', [by_vm_list, by_configuration])
async def test_leaving_entry_gets_no_forwarded_work(start_cell, leave):
    """Guards against work that other entries forward to one that leaves, and its idle workers."""
    cell = await start_cell(entries=3)
    caller = RecordingCaller(cell, SEED)
    # Until then workers move without anybody leaving.
    await until(partial(is_balanced, cell))
    leaving = await main_owner(cell)
    others = [entry for entry in cell.entries.values() if entry is not leaving]
    caller.choose = partial(caller.random.choice, others)
    async with steady_load(caller):
        await asyncio.sleep(LOAD_S)
        held = [
            worker for worker, holder in (await owners(cell)).items() if leaving.vm_id in holder
        ]
        assert attempted([one for one in await journals(cell) if one.worker_id in held], 0)
        await leave(cell, leaving.vm_id)
        await until(partial(nothing_held_by, cell, leaving))
        noticed_s = loop_now()
        await asyncio.sleep(LOAD_S)
    evidence = await settle(cell)
    used = {one.worker_id for one in attempted(evidence.journal, noticed_s)}
    assert used & set(held), 'workers of the leaving entry are idle'
    assert not faults_of(evidence, caller)
    assert states_of_jobs(evidence, caller) == {'succeeded': len(caller.jobs)}
