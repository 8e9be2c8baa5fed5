"""Case: the leader is killed while a worker holds more than 500 ends that nobody has taken note of."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))
from cellkit import CannotRunError, main  # noqa: E402

SUBMISSIONS = 24
TASKS = 60
GAP_S = 0.12
LAST_WORK_S = 0.35


async def scenario(cell, trouble):
    began = time.monotonic()
    paths = []
    for number in range(SUBMISSIONS):
        # Later submissions work less, so that most tasks end at about the same time.
        work_ms = int((SUBMISSIONS - 1 - number) * GAP_S * 1000 + LAST_WORK_S * 1000)
        step = {'count': TASKS, 'cpu': 20, 'mem_mb': 20, 'est_ms': work_ms}
        path = await cell.submit([step], f'work_ms={work_ms} ')
        if path is None:
            raise CannotRunError('a submission was not accepted')
        paths.append(path)
        await asyncio.sleep(max(0, began + (number + 1) * GAP_S - time.monotonic()))
    leader = await cell.leader()
    total = SUBMISSIONS * TASKS
    until = time.monotonic() + 5
    while len(cell.starts) < total and time.monotonic() < until:
        await asyncio.sleep(0.005)
    cell.record.note(f'started={len(cell.starts)} of {total} ended={len(cell.ends)}')
    if trouble:
        leader.kill()
    states = await cell.wait_until_complete(paths, 40)
    cell.record.note(f'states={sorted(states.values())} starts={len(cell.starts)} notes={len(cell.notes)}')
    return cell.twice()


main(scenario, pathlib.Path(__file__).parent)
