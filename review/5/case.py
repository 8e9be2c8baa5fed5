"""Case: an entry that was frozen takes in a submission that was cancelled meanwhile, and it runs to its end."""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))
from cellkit import CannotRunError, main  # noqa: E402

#: The site's node_freeze: count 1, 4 s.
FREEZE_S = 4.0
STEP = {'count': 2, 'cpu': 2000, 'mem_mb': 2000, 'est_ms': 10000}
#: Bounds cancel_ms and stop_ms of the site, and an allowance for this script's own delays.
CANCEL_S, STOP_S, SLACK_S = 3.0, 0.9, 0.2


async def scenario(cell, trouble):
    leader = await cell.leader()
    frozen, other = [entry for entry in cell.entries if entry is not leader][:2]
    name = f'{cell.rng.getrandbits(64):016x}'
    cell.sizes[name] = [STEP]
    path = '/pufi791/' + name
    began = time.monotonic()
    if trouble:
        frozen.kill(signal.SIGSTOP)
    status, _ = await cell.call('POST', frozen, path, {'spec': 'work_ms=10000 ', 'phases': [STEP]})
    answer, _ = await cell.call('DELETE', other, path)
    if answer not in (200, 410):
        raise CannotRunError('the cancel was not acknowledged')
    cancelled_at = time.monotonic()
    if trouble:
        await asyncio.sleep(max(0, began + FREEZE_S - time.monotonic()))
        frozen.kill(signal.SIGCONT)
    broken = []
    while time.monotonic() < cancelled_at + 14:
        running = [task for worker in cell.workers for task in worker.life.running if task.startswith(name)]
        late_s = time.monotonic() - cancelled_at
        if running and late_s > CANCEL_S + STOP_S + SLACK_S:
            broken = [f'{running} run {late_s:.1f} s after DELETE was answered {answer} (POST: {status})']
        await asyncio.sleep(0.1)
    await cell.call('GET', other, path)
    return broken


main(scenario, pathlib.Path(__file__).parent)
