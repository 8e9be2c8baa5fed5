"""Stand-ins of a small deployment for the scripts of the third review: store, workers, clients, and the entries' processes.

Written from the users' pages (PROTOCOL.md, DEPLOY.md). Everything listens on loopback addresses.
"""

import asyncio
import base64
import json
import os
import random
import signal
import struct
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import ClientSession, ClientTimeout, web

ROOT = Path(__file__).resolve().parents[2]
HOLD_MAX_MS = 6000
STOP_MS = 900
GANG_MS = 3000
HEARTBEAT_S = 1.5
IDLE_S = 3
HOST = 'fit.example'
QUEUE = 'r-fit'
PREFIX = '/fit/'
SERVICE = 'sizer'


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.file = open(path, 'w', encoding='utf-8')
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def note(self, *words):
        print(f'{self.now():8.3f}', *words, file=self.file, flush=True)

    def say(self, *words):
        self.note(*words)
        print(f'{self.now():8.3f}', *words, flush=True)


def reply(status, fields):
    return web.Response(status=status, body=json.dumps(fields).encode(), content_type='application/json')


async def serve(handler, ip='127.0.0.1'):
    """Serve HTTP on a free port; return the server and its address."""
    listener = await asyncio.get_running_loop().create_server(web.Server(handler, access_log=None), ip, 0)
    host, port = listener.sockets[0].getsockname()
    return listener, f'{host}:{port}'


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.arrived = asyncio.Event()

    def store(self, records):
        start = len(self.records)
        for key, content in records:
            offset = len(self.records)
            self.records.append((key, content))
            self.newest.pop(key, None)
            if content:
                self.newest[key] = (offset, content)
        self.arrived.set()
        self.arrived = asyncio.Event()
        return start


class Store:
    """The platform's store: keyed topics with one partition, numbered appends of producers."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.addr = ''
        self.listener = None
        self.busy = False

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    async def listen(self):
        self.listener, self.addr = await serve(self.handle)

    async def handle(self, request):
        await asyncio.sleep(0.001)
        topic = self.topic(request.query.get('topic', ''))
        serve_call = {
            ('POST', '/-/log-append'): self.append,
            ('GET', '/-/log-read'): self.read,
            ('GET', '/-/log-newest'): self.newest,
        }.get((request.method, request.path))
        if serve_call is None:
            return reply(404, {})
        if self.busy:
            return reply(503, {})
        answer = await serve_call(request, topic)
        await asyncio.sleep(0.003)
        return answer

    async def append(self, request, topic):
        body = await request.read()
        if request.query['topic'] in {'keyed.op', 'keyed.servers'}:
            return reply(403, {})
        records, position = [], 0
        while position < len(body):
            size = struct.unpack_from('>I', body, position)[0]
            position += 4
            content = body[position : position + size]
            position += size
            key_size = content[0]
            records.append((content[1 : 1 + key_size].decode(), content[1 + key_size :]))
        name = request.query.get('producer')
        if name is None:
            return reply(200, {'offset': topic.store(records), 'end': len(topic.records)})
        epoch = int(request.query.get('epoch', 0))
        known = topic.producers.setdefault(name, {'epoch': epoch, 'answers': {}})
        if epoch < known['epoch']:
            return reply(409, {'reason': 'fenced'})
        if epoch > known['epoch']:
            known = topic.producers[name] = {'epoch': epoch, 'answers': {}}
        if not records:
            return reply(200, {'offset': len(topic.records), 'end': len(topic.records)})
        seq = int(request.query['seq'])
        answers = known['answers']
        if seq in answers:
            return reply(200, answers[seq])
        if answers and seq != max(answers) + 1:
            return reply(409, {'reason': 'seq', 'expected': max(answers) + 1})
        offset = topic.store(records)
        answers[seq] = {'offset': offset, 'end': len(topic.records)}
        answers.pop(seq - 5, None)
        return reply(200, answers[seq])

    async def read(self, request, topic):
        start = int(request.query['from'])
        wait_s = int(request.query.get('wait_ms', 0)) / 1000
        if start >= len(topic.records) and wait_s:
            waiter = asyncio.ensure_future(topic.arrived.wait())
            await asyncio.wait([waiter], timeout=wait_s)
            waiter.cancel()
        limit = int(request.query.get('max_kb', 1024)) * 1024
        body = bytearray(struct.pack('>QQ', len(topic.records), 0))
        for key, content in topic.records[start:]:
            packed = bytes([len(key.encode())]) + key.encode() + content
            if len(body) + len(packed) + 4 > limit:
                break
            body += struct.pack('>I', len(packed)) + packed
        return web.Response(body=bytes(body))

    async def newest(self, request, topic):
        after = request.query.get('after', '')
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {'key': key, 'offset': topic.newest[key][0], 'value': base64.b64encode(topic.newest[key][1]).decode()}
            for key in keys[:500]
        ]
        return reply(200, {'items': items, 'more': len(keys) > 500, 'end': len(topic.records)})


class Run:
    def __init__(self, task, run, phase, now):
        self.task, self.run, self.phase = task, run, phase
        self.since = now
        self.began = None
        self.stop_at = None


class Worker:
    """One worker: leases on its own clock, fencing, ends of runs, heartbeats. It guards no capacity."""

    def __init__(self, cell, name, cpu, mem, labels):
        self.cell, self.name, self.cpu, self.mem, self.labels = cell, name, cpu, mem, labels
        self.up = True
        self.cut = False
        self.state = 'ready'
        self.born_at = time.monotonic()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.token = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = {}
        self.ends = []
        self.last_number = 0
        self.arrived = asyncio.Event()
        self.addr = ''
        self.listener = None

    def clock_ms(self):
        return int((time.monotonic() - self.born_at) * 1000)

    async def listen(self):
        self.listener, self.addr = await serve(self.handle)

    def entry(self):
        self.seq += 1
        return {
            'service': SERVICE, 'addr': self.addr, 'zone': self.cell.zone, 'version': 'v1', 'slots': 8,
            'state': self.state, 'cold_left_ms': 0, 'capacity': {'cpu': self.cpu, 'mem_mb': self.mem, 'gpu': 0},
            'labels': self.labels, 'clock_ms': self.clock_ms(), 'seq': self.seq, 'born': self.born,
        }

    def beat(self):
        self.cell.store.topic('keyed.servers').store([(self.name, json.dumps(self.entry()).encode())])

    def free_cpu(self):
        used = sum(0 if run.phase.get('fills') else run.phase.get('cpu', 0) for run in self.runs.values())
        return self.cpu - used

    def free_mem(self):
        return self.mem - sum(run.phase.get('mem_mb', 0) for run in self.runs.values())

    def lose(self):
        """Be lost for good, silently: no answer, no heartbeat, nothing runs any more."""
        self.up = False
        for run in list(self.runs.values()):
            self.cell.ended(self, run, 'crashed')
        self.runs.clear()

    async def handle(self, request):
        fields = json.loads(await request.read() or b'{}')
        if self.cut or not self.up:
            await asyncio.sleep(600)
        await asyncio.sleep(0.001)
        if request.path == '/healthz':
            return reply(200, {})
        if request.headers.get('X-Expect-Instance', self.name) != self.name:
            return reply(421, {'clock_ms': self.clock_ms()})
        self.tick()
        token = fields.get('fencing_token', 0)
        if token < self.token:
            return reply(409, {'clock_ms': self.clock_ms(), 'reason': 'fence'})
        self.token = token
        if request.path == '/-/run-start':
            return self.start(fields)
        if request.path == '/-/run-stop':
            return self.stop(fields)
        if request.path == '/-/hold':
            return await self.hold(fields)
        return reply(400, {'clock_ms': self.clock_ms()})

    def extend(self, deadline_ms):
        if deadline_ms:
            self.lease_ms = max(self.lease_ms, min(deadline_ms, self.clock_ms() + HOLD_MAX_MS))

    def start(self, fields):
        task, run = fields['task'], fields['run']
        self.extend(fields['deadline_ms'])
        if (task, run) in self.runs:
            return reply(200, {'clock_ms': self.clock_ms()})
        if run <= self.ended.get(task, 0):
            return reply(409, {'clock_ms': self.clock_ms(), 'reason': 'old'})
        if fields['deadline_ms'] <= self.clock_ms():
            return reply(409, {'clock_ms': self.clock_ms(), 'reason': 'late'})
        phase = self.cell.phase_of(task)
        self.runs[task, run] = Run(task, run, phase, time.monotonic())
        self.cell.started(self, self.runs[task, run], fields)
        return reply(200, {'clock_ms': self.clock_ms()})

    def stop(self, fields):
        task, run = fields['task'], fields['run']
        self.ended[task] = max(self.ended.get(task, 0), run)
        held = self.runs.get((task, run))
        if held is not None and held.stop_at is None:
            held.stop_at = time.monotonic() + random.uniform(0.05, STOP_MS / 1000 - 0.1)
        return reply(200, {'clock_ms': self.clock_ms()})

    async def hold(self, fields):
        self.extend(fields.get('deadline_ms', 0))
        self.ends = [end for end in self.ends if end[0] > fields.get('last_seen', 0)]
        wait_s = fields.get('wait_ms', 0) / 1000
        if wait_s and not self.ends:
            waiter = asyncio.ensure_future(self.arrived.wait())
            await asyncio.wait([waiter], timeout=wait_s)
            waiter.cancel()
        if self.cut or not self.up:
            await asyncio.sleep(600)
        running = [[run.task, run.run, '', self.percent(run), 0] for run in self.runs.values()]
        return reply(200, {
            'clock_ms': self.clock_ms(), 'born': self.born, 'running': running, 'finished': self.ends[:500],
        })

    def percent(self, run):
        if run.phase.get('long_running'):
            return 100
        if run.began is None:
            return 0
        return min(99, int((time.monotonic() - run.began) * 100 / self.cell.duration_s(run.task)))

    def finish(self, run, how):
        self.runs.pop((run.task, run.run), None)
        self.ended[run.task] = max(self.ended.get(run.task, 0), run.run)
        self.last_number += 1
        self.ends.append([self.last_number, run.task, run.run, how, ''])
        self.arrived.set()
        self.arrived = asyncio.Event()
        self.cell.ended(self, run, how)

    def tick(self):
        """End what is due."""
        if not self.up:
            return
        now = time.monotonic()
        if self.runs and self.clock_ms() > self.lease_ms:
            for run in list(self.runs.values()):
                self.finish(run, 'lapsed')
        for run in list(self.runs.values()):
            if run.stop_at is not None and now >= run.stop_at:
                self.finish(run, 'stopped')
                self.cell.break_gang(run)
            elif (run.task, run.run) not in self.runs:
                continue
            elif run.phase.get('gang'):
                self.tick_gang(run, now)
            else:
                run.began = run.began or now
                if not run.phase.get('long_running') and now - run.began >= self.cell.duration_s(run.task):
                    self.finish(run, 'done')

    def tick_gang(self, run, now):
        members = self.cell.gang(run)
        if len(members) == run.phase['count']:
            for _, other in members:
                other.began = other.began or now
        if run.began is None:
            if now - run.since > GANG_MS / 1000:
                self.finish(run, 'alone')
        elif not run.phase.get('long_running') and now - run.began >= self.cell.duration_s(run.task):
            for worker, other in members:
                worker.finish(other, 'done')


class Cell:
    """A small deployment with one service and one queue."""

    zone = 'recife'

    def __init__(self, folder, route=None):
        self.record = Record(Path(folder) / 'record.txt')
        self.store = Store(self.record)
        self.workers = []
        self.submissions = {}
        self.durations = {}
        self.entries = {}
        self.session = None
        self.loops = []
        self.last_end = {}
        self.folder = tempfile.TemporaryDirectory(prefix='review-3-')
        # Entries use fixed ports, so each run takes a loopback network of its own.
        self.net = f'127.{random.SystemRandom().randrange(16, 250)}.{random.SystemRandom().randrange(250)}'
        self.route = {
            'name': QUEUE, 'host': HOST, 'path_prefix': PREFIX, 'kind': 'non_idempotent', 'timeout_ms': 3000,
            'target_latency_ms': 3000, 'priority': 1, 'service': SERVICE, 'max_attempts': 3, 'stretch': 4.0,
            **(route or {}),
        }

    # what workers tell

    def phase_of(self, task):
        name, _, step, _ = task.split('.')
        return self.submissions[name]['phases'][int(step)]

    def duration_s(self, task):
        return self.durations.get(task.split('.')[0], 1.0)

    def started(self, worker, run, fields):
        self.record.note('started', run.task, 'run', run.run, 'at', worker.name, 'token', fields['fencing_token'])

    def ended(self, worker, run, how):
        self.last_end[run.task] = time.monotonic()
        self.record.note('ended', run.task, 'run', run.run, 'at', worker.name, how)

    def gang(self, run):
        """Members of the same run of a gang that are present."""
        step = run.task.rsplit('.', 1)[0]
        return [
            (worker, other) for worker in self.workers if worker.up
            for other in worker.runs.values()
            if other.task.rsplit('.', 1)[0] == step and other.run == run.run
        ]

    def break_gang(self, run):
        if run.phase.get('gang'):
            for worker, other in self.gang(run):
                worker.finish(other, 'broken')

    def lose_worker(self, worker):
        runs = list(worker.runs.values())
        worker.lose()
        for run in runs:
            self.break_gang(run)

    def running(self, name):
        """Tasks of a submission that are present at a worker that is up, with their workers."""
        return [
            (run.task, worker.name) for worker in self.workers if worker.up
            for run in worker.runs.values() if run.task.split('.')[0] == name
        ]

    def fitting(self, phase):
        """How many further tasks of a step the free room of the workers holds."""
        count = 0
        for worker in self.workers:
            if worker.up and worker.state == 'ready' and self.labelled(worker, phase):
                rooms = []
                if phase.get('cpu') and not phase.get('fills'):
                    rooms.append(worker.free_cpu() // phase['cpu'])
                if phase.get('mem_mb'):
                    rooms.append(worker.free_mem() // phase['mem_mb'])
                count += max(0, min(rooms, default=1000))
        return count

    def labelled(self, worker, phase):
        return not phase.get('requires') or phase['requires'] in worker.labels

    def use_share(self):
        """Share of the capacity of the workers that are up which is in use."""
        up = [worker for worker in self.workers if worker.up]
        return 1 - sum(worker.free_cpu() for worker in up) / sum(worker.cpu for worker in up)

    # start and stop

    async def begin(self, entries=3):
        await self.store.listen()
        for worker in self.workers:
            await worker.listen()
            worker.beat()
        self.configure(1)
        self.session = ClientSession(timeout=ClientTimeout(total=3))
        self.loops = [asyncio.create_task(self.beat()), asyncio.create_task(self.tick())]
        for number in range(1, entries + 1):
            await self.start_entry(number)
        await self.wait_ready(entries)

    def configure(self, version):
        content = {
            'version': version, 'routes': [self.route],
            'services': [{'name': SERVICE, 'health_path': '/healthz', 'max_conns': 64, 'protocol': 'h1', 'tls': False,
                          'enforces_capacity': False, 'standby': False}],
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                       'idle_timeout_ms': 15000},
        }
        self.store.topic('keyed.op').store([('config', json.dumps(content).encode())])

    def settings(self, number):
        ip = self.ip(number)
        seeds = ','.join(f'{self.ip(seed)}:8166' for seed in (1, 2, 3))
        return f"""node_name=edge-recife-{number}
role=entry
machine_class=edge
serves=edge,control
ip={ip}
zone={self.zone}
region=nordeste
zones.recife=nordeste
listen.front={ip}:8161
listen.ready={ip}:8167
listen.control={ip}:8166
internal_ports=7720,7735
seeds={seeds}
bootstrap=true
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_stretch_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms={HOLD_MAX_MS}
bounds.stop_ms={STOP_MS}
bounds.gang_ms={GANG_MS}
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpoint_s=0.5
bounds.restore_ms=600
bounds.fencing=true
bounds.lease_ms=3000
orders=call
advice=127.0.0.1:9
platform.addr={self.store.addr}
platform.form=log
platform.writes_per_s=600
platform.reads_per_s=2000
platform.parts=24
platform.record_bytes=262144
platform.call_bytes=2097152
platform.keep_s=300
"""

    def ip(self, number):
        return f'{self.net}.{10 + number}'

    async def start_entry(self, number):
        path = Path(self.folder.name) / f'{number}.conf'
        path.write_text(self.settings(number), encoding='utf-8')
        log = open(Path(self.folder.name) / f'{number}.log', 'ab')
        environment = {
            key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        } | {'MARIGOLDLIFT_NODE_FILE': str(path), 'PYTHONPATH': str(ROOT / 'target' / 'deps')}
        self.entries[number] = await asyncio.create_subprocess_exec(
            'python3', '-m', 'marigoldlift', 'cell', '--run-times=off',
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        self.record.note('entry', number, 'started')

    async def wait_ready(self, entries, limit_s=30):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            ready = 0
            for number in range(1, entries + 1):
                try:
                    async with self.session.get(f'http://{self.ip(number)}:8167/-/readyz') as answer:
                        ready += answer.status == 200
                except Exception:
                    break
            if ready == entries:
                await asyncio.sleep(3)
                return
            await asyncio.sleep(0.2)
        raise RuntimeError('the entries are not ready')

    async def beat(self):
        gone = {}
        while True:
            for worker in self.workers:
                if worker.up:
                    worker.beat()
                elif worker.name not in gone:
                    gone[worker.name] = time.monotonic() + 3 * HEARTBEAT_S
                elif gone[worker.name] and time.monotonic() > gone[worker.name]:
                    gone[worker.name] = 0
                    self.store.topic('keyed.servers').store([(worker.name, b'')])
                    self.record.note('entry of the worker', worker.name, 'is removed from the list')
            await asyncio.sleep(HEARTBEAT_S)

    async def tick(self):
        while True:
            for worker in self.workers:
                worker.tick()
            await asyncio.sleep(0.02)

    def signal(self, number, signum):
        self.record.note('entry', number, 'gets', signal.Signals(signum).name)
        self.entries[number].send_signal(signum)

    async def end(self, logs=None):
        for task in self.loops:
            task.cancel()
        for process in self.entries.values():
            if process.returncode is None:
                for signum in (signal.SIGCONT, signal.SIGKILL):
                    process.send_signal(signum)
                await process.wait()
        if self.session is not None:
            await self.session.close()
        if logs:
            for path in Path(self.folder.name).glob('*.log'):
                (Path(logs) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()

    # clients

    async def call(self, method, name, body=None, entry=1, quiet=False):
        """Make one call of a client; status 0 stands for no answer."""
        url = f'http://{self.ip(entry)}:8161{PREFIX}{name}'
        headers = {'Host': HOST, 'Content-Type': 'application/json', 'X-Deadline-Ms': '3000'}
        data = None if body is None else json.dumps(body).encode()
        try:
            async with self.session.request(method, url, data=data, headers=headers) as answer:
                status, text = answer.status, await answer.text()
        except Exception as fault:
            status, text = 0, repr(fault)
        if not quiet:
            self.record.note(method, name, 'to', entry, '->', status, text[:80])
        return status, text

    async def submit(self, name, phases, duration_s=1.0, entry=1, tries=4, **fields):
        """Hand a submission in, as a client that tries again at other entries; return whether it was accepted."""
        body = {'spec': f'spec of {name}', 'phases': phases, **fields}
        self.submissions[name] = body
        self.durations[name] = duration_s
        for attempt in range(tries):
            status, _ = await self.call('POST', name, body, (entry + attempt - 1) % len(self.entries) + 1)
            if 200 <= status < 300:
                return True
            await asyncio.sleep(0.3)
        return False

    async def state(self, name, entry=1):
        status, text = await self.call('GET', name, entry=entry)
        return json.loads(text)['state'] if status == 200 else str(status)


class WatchedCell(Cell):
    """Notes each start of a task that runs at another worker at that moment."""

    def __init__(self, folder):
        super().__init__(folder)
        self.doubled = []

    def started(self, worker, run, fields):
        super().started(worker, run, fields)
        for other in self.workers:
            for beside in other.runs.values():
                if beside.task == run.task and beside is not run and other.up:
                    self.doubled.append(run.task)
                    self.record.say('TWICE:', run.task, 'run', run.run, 'starts at', worker.name, 'while run',
                                    beside.run, 'is at work at', other.name)


async def judge_idle(cell, accepted, entries):
    """Check `finish_s` after the end of the traffic whether something is open of which nothing runs for `IDLE_S`."""
    states = {name: await cell.state(name, entries[index % len(entries)]) for index, name in enumerate(sorted(accepted))}
    cell.record.say('finish_s after the end of the traffic, not complete:',
                    {name: state for name, state in states.items() if state != 'complete'})
    open_ones = {name for name, state in states.items() if state in {'queued', 'running'}}
    idle_since, longest = {}, {}
    until = time.monotonic() + 15
    while open_ones and time.monotonic() < until:
        for name in sorted(open_ones):
            asked_at = time.monotonic()
            step = cell.submissions[name]['phases'][0]
            room = cell.fitting(step) >= 2 * step['count'] and cell.use_share() < 0.5
            if cell.running(name) or not room:
                idle_since.pop(name, None)
                continue
            if await cell.state(name, entries[0]) in {'queued', 'running'}:
                longest[name] = max(longest.get(name, 0), asked_at - idle_since.setdefault(name, asked_at))
            else:
                open_ones.discard(name)
        await asyncio.sleep(0.1)
    for name, idle_s in longest.items():
        cell.record.say(f'{name}: nothing of it ran for {idle_s:.1f} s from finish_s on, with room for it twice over;'
                        f' use of the service {cell.use_share():.2f}')
    cell.record.say('their states at the end:', {name: await cell.state(name, entries[0]) for name in longest})
    return 1 if any(idle_s >= IDLE_S for idle_s in longest.values()) else 0


def run_case(case):
    """Run a case and exit with its result; 2 if it could not run."""
    try:
        code = asyncio.run(case())
    except Exception as fault:
        print('the case could not run:', repr(fault))
        import traceback
        traceback.print_exc()
        code = 2
    sys.exit(code)
