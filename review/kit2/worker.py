"""Stand-in of one worker: leases on its own clock, fencing, runs, ends, and its entry in the store.

A task's `spec` is a JSON text for this stand-in: `ms` (work), `fail_ms` (the runs in `fail_runs` fail after so long).
Everything that the worker does stands in its event file, one JSON line each, with the time of the system's steady clock.
"""

import argparse
import asyncio
import json
import os
import signal
import struct
import time

import aiohttp
from aiohttp import web

LENGTH = struct.Struct('>I')


def steady():
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class Worker:
    """One incarnation of a worker."""

    def __init__(self, options):
        self.options = options
        self.id = options.id
        self.born_ms = int(time.time() * 1000)
        self.began = steady()
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.closed = {}
        self.ends = []
        self.last_end = 0
        self.ended = asyncio.Event()
        self.draining_until = None
        self.events = open(options.events, 'a', buffering=1)
        self.seq = 0
        self.late = 0

    def clock_ms(self):
        return int((steady() - self.began) * 1000)

    def note(self, what, **fields):
        line = {'at': round(steady(), 4), 'worker': self.id, 'what': what, **fields}
        self.events.write(json.dumps(line) + '\n')

    def grant(self, deadline_ms):
        """Extend the lease; a longer one than the longest is shortened."""
        if deadline_ms:
            longest = self.clock_ms() + self.options.hold_max_ms
            self.lease_ms = max(self.lease_ms, min(deadline_ms, longest))

    def answer(self, status=200, **fields):
        return web.json_response({'clock_ms': self.clock_ms(), **fields}, status=status)

    async def handle(self, request):
        body = await request.read()
        expected = request.headers.get('X-Expect-Instance')
        if expected is not None and expected != self.id:
            return self.answer(421)
        try:
            fields = json.loads(body)
        except ValueError:
            return self.answer(400)
        if request.path == '/-/run-start':
            return await self.hook_start(fields)
        if request.path == '/-/run-stop':
            return self.stop(fields)
        if request.path == '/-/hold':
            return await self.hold(fields)
        return web.Response(status=404)

    def is_fenced(self, fields):
        token = fields.get('fencing_token', 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    async def hook_start(self, fields):
        """Apply the trouble that the case asks for: a file that holds the name of a submission and what happens."""
        trouble = None
        try:
            with open(self.options.trouble) as source:
                trouble = json.load(source)
        except (OSError, ValueError):
            pass
        if trouble and fields['task'].startswith(trouble['task']) and self.take(trouble):
            if trouble['how'] == 'die':
                self.note('crashes', task=fields['task'], run=fields['run'])
                os.kill(os.getpid(), signal.SIGKILL)
            if trouble['how'] == 'late':
                self.note('holds start back', task=fields['task'], run=fields['run'])
                asyncio.get_running_loop().call_later(trouble['late_s'], self.start, fields)
                await asyncio.sleep(60)
            if trouble['how'] == 'mute':
                self.start(fields)
                self.note('answer lost', task=fields['task'], run=fields['run'])
                await asyncio.sleep(60)
        return self.start(fields)

    def take(self, trouble):
        """Return whether this start is the one to trouble; each use of the file is taken once."""
        mark = f'{self.options.trouble}.{trouble["id"]}'
        try:
            os.close(os.open(mark, os.O_CREAT | os.O_EXCL))
        except FileExistsError:
            return False
        return True

    def start(self, fields):
        task, run = fields['task'], fields['run']
        if self.is_fenced(fields):
            self.note('refused', task=task, run=run, reason='fence')
            return self.answer(409, reason='fence')
        if run <= self.closed.get(task, 0):
            self.grant(fields.get('deadline_ms', 0))
            self.note('refused', task=task, run=run, reason='old')
            return self.answer(409, reason='old')
        if task in self.runs:
            if self.runs[task]['run'] == run:
                return self.answer()
            self.note('refused', task=task, run=run, reason='old')
            return self.answer(409, reason='old')
        if fields.get('deadline_ms', 0) <= self.clock_ms():
            self.note('refused', task=task, run=run, reason='late')
            return self.answer(409, reason='late')
        self.grant(fields['deadline_ms'])
        work = json.loads(fields['spec'])
        handle = asyncio.get_running_loop().call_later
        held = {'run': run, 'since': steady(), 'ms': work.get('ms', 1000)}
        self.runs[task] = held
        if run in work.get('fail_runs', ()):
            held['timer'] = handle(work['fail_ms'] / 1000, self.end, task, run, 'failed')
        elif not work.get('lasts'):
            held['timer'] = handle(held['ms'] / 1000, self.end, task, run, 'done')
        self.note('started', task=task, run=run, token=fields.get('fencing_token', 0))
        return self.answer()

    def end(self, task, run, how):
        held = self.runs.get(task)
        if held is None or held['run'] != run:
            return
        self.runs.pop(task)
        if 'timer' in held:
            held['timer'].cancel()
        self.closed[task] = max(run, self.closed.get(task, 0))
        self.last_end += 1
        self.ends.append([self.last_end, task, run, how, ''])
        self.note('ended', task=task, run=run, how=how)
        self.ended.set()
        self.ended = asyncio.Event()

    def stop(self, fields):
        if self.is_fenced(fields):
            return self.answer(409, reason='fence')
        task, run = fields['task'], fields['run']
        self.closed[task] = max(run, self.closed.get(task, 0))
        if task in self.runs and self.runs[task]['run'] <= run:
            delay = self.options.stop_ms / 3000
            asyncio.get_running_loop().call_later(delay, self.end, task, self.runs[task]['run'], 'stopped')
        return self.answer()

    async def hold(self, fields):
        if self.is_fenced(fields):
            return self.answer(409, reason='fence')
        self.grant(fields.get('deadline_ms', 0))
        seen = fields.get('last_seen', 0)
        forgotten = [row for row in self.ends if row[0] <= seen]
        self.ends = [row for row in self.ends if row[0] > seen]
        for row in forgotten:
            self.note('taken note of', task=row[1], run=row[2], how=row[3])
        if not self.ends and fields.get('wait_ms'):
            try:
                await asyncio.wait_for(self.ended.wait(), min(2000, fields['wait_ms']) / 1000)
            except TimeoutError:
                pass
        now = steady()
        running = [
            [task, held['run'], '', min(100, int((now - held['since']) * 100_000 / held['ms'])), 0]
            for task, held in self.runs.items()
        ]
        more = {'remaining_ms': self.remaining_ms()} if self.draining_until else {}
        return self.answer(born=self.born_ms, running=running, finished=self.ends[:500], **more)

    def remaining_ms(self):
        return max(0, int((self.draining_until - steady()) * 1000))

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_ms:
                for task, held in list(self.runs.items()):
                    self.end(task, held['run'], 'lapsed')

    async def register(self):
        """Write the entry at each heartbeat."""
        options = self.options
        async with aiohttp.ClientSession() as session:
            while True:
                self.seq += 1
                entry = {
                    'service': options.service,
                    'addr': options.addr,
                    'zone': options.zone,
                    'version': '1',
                    'slots': 8,
                    'state': 'draining' if self.draining_until else 'ready',
                    'cold_left_ms': 0,
                    'seq': self.seq,
                    'born': self.born_ms,
                    'clock_ms': self.clock_ms(),
                    'capacity': {'cpu': options.cpu, 'mem_mb': options.mem_mb, 'gpu': 0},
                    'labels': ['a', options.rack],
                }
                if self.draining_until:
                    entry['remaining_ms'] = self.remaining_ms()
                name = self.id.encode()
                record = bytes([len(name)]) + name + json.dumps(entry).encode()
                url = f'http://{options.store}/-/log-append?topic=keyed.servers&part=0'
                try:
                    async with session.post(url, data=LENGTH.pack(len(record)) + record):
                        pass
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(options.heartbeat_ms / 1000)


async def main():
    parser = argparse.ArgumentParser()
    for name in ('id', 'addr', 'service', 'zone', 'rack', 'store', 'events', 'trouble'):
        parser.add_argument(f'--{name}', required=True)
    for name, default in (
        ('cpu', 32000),
        ('mem-mb', 65536),
        ('heartbeat-ms', 1500),
        ('hold-max-ms', 6000),
        ('stop-ms', 900),
    ):
        parser.add_argument(f'--{name}', type=int, default=default)
    options = parser.parse_args()
    worker = Worker(options)
    host, _, port = options.addr.rpartition(':')
    server = web.Server(worker.handle, access_log=None)
    await asyncio.get_running_loop().create_server(server, host, int(port), backlog=512)
    worker.note('up')
    await asyncio.gather(worker.register(), worker.watch_lease())


if __name__ == '__main__':
    asyncio.run(main())
