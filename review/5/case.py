"""Case: for one worker an entry without `capacity` comes from another writer; the worker's own entries follow."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / 'standins'))
from cellkit import CannotRunError, main  # noqa: E402

#: Entries from another writer, one each, for 3 of 24 workers.
ODD = 3
SUBMISSIONS = 8
STEP = {'count': 50, 'cpu': 2000, 'mem_mb': 2000, 'est_ms': 2300}


async def scenario(cell, trouble):
    if trouble:
        servers = cell.store.topic('keyed.servers')
        for worker in cell.rng.sample(cell.workers, ODD):
            entry = json.loads(servers.records[servers.newest[worker.name]][1])
            del entry['capacity']
            servers.add(worker.name, json.dumps(entry).encode())
            cell.record.note(f'another writer writes servers/{worker.name}: {json.dumps(entry)}')
    # Each worker has written its own entry three times before the work comes.
    await asyncio.sleep(5)
    paths = []
    for _ in range(SUBMISSIONS):
        path = await cell.submit([STEP], 'work_ms=2300 ')
        if path is None:
            raise CannotRunError('a submission was not accepted')
        paths.append(path)
    states = await cell.wait_until_complete(paths, 40)
    cell.record.note(f'states={sorted(states.values())} starts={len(cell.starts)}')
    return [
        f'{task} run={run} brought {name} (born {born}) to cpu={used["cpu"]} mem_mb={used["mem_mb"]} of {room}'
        for name, born, task, run, used, room in cell.over
    ]


main(scenario, pathlib.Path(__file__).parent)
