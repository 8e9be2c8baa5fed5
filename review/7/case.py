"""Case 7: one accepted submission that can never be done, due 10,000 times, stops all placements of the cell."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'kit2'))

import cell as kit
import judge

TROUBLE = os.environ.get('TROUBLE') != '0'
ROUTES = [
    {
        'name': 'growth-forecast', 'host': kit.HOST, 'path_prefix': '/growth-forecast/', 'service': 'sizer',
        'priority': 1, 'max_attempts': 3, 'stretch': 2.2, 'target_latency_ms': 1000,
    },
]  # fmt: skip
#: Four submissions a second; one in twenty of them can never be done, all within 3 s.
SUBMISSIONS = 60
PAUSE_S = 0.25
POISON_AT = (20, 25, 30)
OCCURRENCES = 10_000
WEEK_MS = 7 * 24 * 3600 * 1000


async def submit(cell, entry, name, body):
    """Hand a submission in; return its id if it was accepted and can be done."""
    status, _ = await cell.call(entry, 'POST', f'/growth-forecast/{name}', body)
    return name if status == 200 and 'repeat_count' not in body else None


async def scenario(cell):
    calls = []
    lasting = cell.new_id()
    await cell.call(
        0, 'POST', f'/growth-forecast/{lasting}',
        {
            'spec': json.dumps({'lasts': True}),
            'phases': [{'count': 4, 'cpu': 1000, 'mem_mb': 500, 'long_running': True, 'may_miss': 1}],
        },
    )  # fmt: skip
    for number in range(SUBMISSIONS):
        name = cell.new_id()
        body = {
            'spec': json.dumps({'ms': 500}),
            'phases': [{'count': 2, 'cpu': 1000, 'mem_mb': 500, 'est_ms': 500}],
        }
        if number in POISON_AT and TROUBLE:
            body['phases'] = [{'count': 1, 'cpu': 64_000, 'mem_mb': 500, 'est_ms': 1000}]
            body.update(
                start_at_ms=int(time.time() * 1000) - WEEK_MS, repeat_count=OCCURRENCES, interval_ms=60_000
            )
        calls.append(asyncio.create_task(submit(cell, number % 3, name, body)))
        await asyncio.sleep(PAUSE_S)
    answers = await asyncio.gather(*calls)
    accepted = [(name, 2) for name in filter(None, answers)]
    end = kit.steady()
    cell.note('the traffic ends')
    await asyncio.sleep(judge.FINISH_S + judge.IDLE_S + 0.3)
    lost = judge.lost_at_finish(cell, accepted, end, lambda task: 1000)
    for name, _ in accepted[-3:]:
        await cell.call(1, 'GET', f'/growth-forecast/{name}')
    lapsed = [event for event in cell.events(lasting) if event['what'] == 'ended' and event['how'] == 'lapsed']
    cell.note(f'{len(lost)} of {len(accepted)} accepted submissions lost; {len(lapsed)} runs of the lasting one lapsed')
    return bool(lost)


kit.run(scenario, HERE / 'record.txt', workers=6, routes=ROUTES)
