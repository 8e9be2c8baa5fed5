"""Processes of one small cell on the loopback interface: stand-ins for the platform, and entries."""

import asyncio
import itertools
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from demo.layout import CellLayout, entry_settings, vm_list, worker_fleet

__all__ = ('CellProcesses', 'EntryProcess', 'StandInProcess')

#: Time limit for a process to report its addresses, and for a cell to become ready, in seconds.
START_TIMEOUT_S = 30.0

#: Time limit for a process to exit after SIGTERM, in seconds.
STOP_TIMEOUT_S = 40.0

#: Message of the log line with which an entry reports its addresses.
STARTED = 'entry started'


class StandInProcess:
    """One process of `python -m standins`.

    Attributes:
        addresses: addresses on which it listens, by name.
    """

    def __init__(self, kind: str, process: asyncio.subprocess.Process) -> None:
        """Keep the process."""
        self.kind = kind
        self.process = process
        self.addresses: dict[str, str] = {}

    async def wait_ready(self) -> None:
        """Wait for the line on standard output that contains its addresses.

        Raises:
            RuntimeError: it ended instead.
        """
        if self.process.stdout is None:
            raise RuntimeError('standard output of the stand-in is not captured')
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self.process.stdout.readline()
        if not line:
            raise RuntimeError(f'stand-in {self.kind} exited during startup')
        self.addresses = msgspec.json.decode(line)['ready']

    async def stop(self) -> None:
        """Stop the process with SIGTERM, or kill it if it does not exit in time."""
        await end(self.process)


class EntryProcess:
    """One entry daemon.

    Attributes:
        http: `host:port` for callers and operators; empty until the entry has started.
        grpc: `host:port` for other entries; empty until the entry has started.
        log: file with the log lines of the entry.
    """

    def __init__(self, vm_id: str, process: asyncio.subprocess.Process, log: Path) -> None:
        """Keep the process."""
        self.vm_id = vm_id
        self.process = process
        self.log = log
        self.http = ''
        self.grpc = ''

    async def wait_started(self) -> None:
        """Wait for the log line that contains its addresses.

        Raises:
            RuntimeError: it ended instead.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.http:
                if self.process.returncode is not None:
                    raise RuntimeError(
                        f'{self.vm_id} exited during startup: {self.log.read_text()}'
                    )
                self.read_addresses()
                await asyncio.sleep(0.02)

    def read_addresses(self) -> None:
        """Read the addresses from the log, if it contains them already."""
        for line in self.log.read_bytes().splitlines():
            if STARTED.encode() in line:
                fields = msgspec.json.decode(line)['extra']
                self.http = fields['http']
                self.grpc = fields['grpc']

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process without a graceful stop, and wait until it has exited."""
        self.process.kill()
        await self.process.wait()

    async def stop(self) -> int:
        """Stop the process with SIGTERM, or kill it if it does not exit in time; return the exit code."""
        return await end(self.process)


class CellProcesses:
    """All processes of a cell; an asynchronous context manager.

    Attributes:
        layout: VMs of the cell and their settings.
        entries: entries by VM id.
        workers: addresses of the worker stand-ins by worker id.
        stand_ins: processes of the stand-ins.
        session: HTTP client for requests of callers and operators, and for fault injection.
    """

    def __init__(self, layout: CellLayout) -> None:
        """Store the layout; no process is started yet."""
        self.layout = layout
        self.entries: dict[str, EntryProcess] = {}
        self.workers: dict[str, str] = {}
        self.stand_ins: list[StandInProcess] = []
        self.folder = tempfile.TemporaryDirectory(prefix='marigoldlift-')
        self.numbers = itertools.count()
        self.log_address = ''
        self.vm_list_address = ''

    async def __aenter__(self) -> 'CellProcesses':
        """Start all processes; stop them again if one fails to start."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *details: object) -> None:
        """Stop all processes."""
        await self.stop()

    async def start(self) -> None:
        """Start the stand-ins and the entries, and publish all of them in the VM list."""
        log, vms, *fleets = await asyncio.gather(
            self.start_stand_in('log', {'retain_records': self.layout.retain_records}),
            self.start_stand_in('vms', {}),
            *(
                self.start_stand_in('workers', worker_fleet(self.layout, domain))
                for domain in self.layout.failure_domains
            ),
        )
        self.log_address = log.addresses['log']
        self.vm_list_address = vms.addresses['vms']
        for fleet in fleets:
            self.workers.update(fleet.addresses)
        await self.publish_vms()
        # Seeds let entries find each other before they read the VM list again.
        for vm_id in self.layout.entry_ids():
            seeds = [entry.grpc for entry in self.entries.values()]
            await self.start_entry(vm_id, seeds=seeds)
        await self.publish_vms()

    async def start_stand_in(self, kind: str, config: dict[str, Any]) -> StandInProcess:
        """Start one stand-in process."""
        path = self.path(f'{kind}-{next(self.numbers)}.json')
        path.write_bytes(msgspec.json.encode(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'standins',
            kind,
            '--config',
            str(path),
            stdout=asyncio.subprocess.PIPE,
        )
        stand_in = StandInProcess(kind, process)
        self.stand_ins.append(stand_in)
        await stand_in.wait_ready()
        return stand_in

    async def start_entry(self, vm_id: str, **changes: Any) -> EntryProcess:
        """Start an entry and wait until it listens; `changes` override settings by name."""
        settings = entry_settings(self.layout, vm_id, self.log_address, self.vm_list_address)
        settings.update(changes)
        path = self.path(f'{vm_id}.json')
        path.write_bytes(msgspec.json.encode(settings))
        log = self.path(f'{vm_id}-{next(self.numbers)}.log')
        with log.open('wb') as stderr:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'marigoldlift',
                'entry',
                '--settings',
                str(path),
                stderr=stderr,
            )
        entry = EntryProcess(vm_id, process, log)
        self.entries[vm_id] = entry
        await entry.wait_started()
        return entry

    async def publish_vms(self) -> None:
        """Publish all workers and entries in the VM list."""
        entries = {vm_id: (entry.grpc, entry.http) for vm_id, entry in self.entries.items()}
        body = vm_list(self.layout, self.workers, entries)
        await self.put(self.vm_list_address, '/v1/vms', body)

    async def replace_entry(self, vm_id: str, **changes: Any) -> EntryProcess:
        """Start a new process for an entry with the same VM id, and publish its addresses in the VM list."""
        entry = await self.start_entry(vm_id, **changes)
        await self.publish_vms()
        return entry

    async def get(self, address: str, path: str) -> Any:
        """Read JSON from a stand-in or an entry."""
        async with self.session.get(f'http://{address}{path}') as response:
            return msgspec.json.decode(await response.read())

    async def post(self, address: str, path: str, body: Any) -> tuple[int, Any]:
        """Send JSON with POST; return the HTTP status and the decoded answer."""
        return await self.send('POST', address, path, body)

    async def put(self, address: str, path: str, body: Any) -> tuple[int, Any]:
        """Send JSON with PUT; return the HTTP status and the decoded answer."""
        return await self.send('PUT', address, path, body)

    async def send(self, method: str, address: str, path: str, body: Any) -> tuple[int, Any]:
        """Send JSON; return the HTTP status and the decoded answer."""
        url = f'http://{address}{path}'
        encoded = msgspec.json.encode(body)
        async with self.session.request(method, url, data=encoded) as response:
            answer = await response.read()
            return response.status, msgspec.json.decode(answer) if answer else None

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until all entries are ready and all workers are owned."""
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        """Return whether each entry sees all entries as ready, and they own all workers between them."""
        owned = 0
        for entry in self.entries.values():
            status = await self.get(entry.http, '/v1/operator/status')
            rows = status['entries']
            ready = [row for row in rows if row['state'] == 'ready' and not row['suspect']]
            if len(ready) < len(self.entries):
                return False
            owned += rows[0]['owned_workers']
        return owned == len(self.workers)

    def path(self, name: str) -> Path:
        """Return the path of a file of this cell."""
        return Path(self.folder.name) / name

    async def stop(self) -> None:
        """Kill all entries, stop all stand-ins, and delete the files of the cell."""
        await asyncio.gather(
            *(entry.kill() for entry in self.entries.values() if entry.process.returncode is None)
        )
        await asyncio.gather(*(stand_in.stop() for stand_in in self.stand_ins))
        await self.session.close()
        self.folder.cleanup()


async def end(process: asyncio.subprocess.Process) -> int:
    """Stop a process with SIGTERM, and kill it if it does not exit within `STOP_TIMEOUT_S`.

    Returns:
        The exit code; negative if a signal ended the process.
    """
    if process.returncode is None:
        process.terminate()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await process.wait()
        except TimeoutError:
            process.kill()
            await process.wait()
    return process.returncode or 0
