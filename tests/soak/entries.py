"""Entries as processes, each at its own loopback address."""

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

from marigoldlift.platform.node_settings import SETTINGS_VARIABLE

__all__ = ('EntryProcess', 'SettingsTable')

ROOT = Path(__file__).parents[2]

#: Grace time from SIGTERM to SIGKILL, in s; also written to the settings.
GRACE_S = 6.0

#: Expected exit codes of a process after SIGTERM.
CLEAN_EXIT_CODES = frozenset((0, -signal.SIGTERM))

#: Pause between the exit of a process and its restart, in s.
RESTART_DELAY_S = 0.15

#: Interval and timeout of the readiness poll, in s.
POLL_S = 0.05
READY_TIMEOUT_S = 20.0

SettingsTable = dict[str, str]


def loopback_ip(number: int) -> str:
    """Return a loopback address derived from the process id, so that concurrent test processes do not share it."""
    pid = os.getpid()
    return f'127.{pid // 256 % 250 + 2}.{pid % 256}.{number + 2}'


def free_ports(ip: str, count: int) -> list[int]:
    """Return distinct free ports chosen by the OS."""
    with contextlib.ExitStack() as held:
        sockets = [held.enter_context(socket.socket()) for _ in range(count)]
        for unbound in sockets:
            unbound.bind((ip, 0))
        return [opened.getsockname()[1] for opened in sockets]


class EntryProcess:
    """One entry VM, whose process is restarted whenever it exits.

    Attributes:
        stopped_at: time of the last SIGTERM in seconds by the event loop's clock.
        unexpected_exits: exit codes of processes that exited without a stop, or whose stop was not clean. A
            process may die from SIGTERM itself, which happens while it does not serve yet or no longer serves.
    """

    def __init__(self, number: int, folder: Path, store_address: str) -> None:
        """Choose the ports and write the settings file."""
        self.name = f'edge-{number}'
        self.ip = loopback_ip(number)
        ports = free_ports(self.ip, 3)
        self.front_port = ports[0]
        self.ready_port = ports[1]
        self.control_port = ports[2]
        self.path = folder / f'{self.name}.conf'
        self.log_path = folder / f'{self.name}.log'
        self.fields: SettingsTable = {
            'node_name': self.name,
            'zone': 'recife',
            'ip': self.ip,
            'listen.front': f'{self.ip}:{self.front_port}',
            'listen.ready': f'{self.ip}:{self.ready_port}',
            'listen.control': self.peer_address,
            'internal_ports': '7720,7735',
            'limits.cpu_share': '1',
            'limits.cores': '1',
            'bounds.hold_max_ms': '6000',
            'bounds.gang_ms': '3000',
            'bounds.status_s': '120',
            'bounds.grace_s': str(GRACE_S),
            'orders': 'call',
            'platform.addr': store_address,
        }
        self.write_settings({})
        self.process: asyncio.subprocess.Process | None = None
        self.stopped_at = float('-inf')
        self.unexpected_exits: list[int] = []
        self.stopping = False
        self.supervisor: asyncio.Task[None] | None = None

    @property
    def peer_address(self) -> str:
        """Return the address at which other entries reach this one."""
        return f'{self.ip}:{self.control_port}'

    def write_settings(self, changes: SettingsTable) -> None:
        """Replace the settings file atomically; a process that reads a partial file at its start exits."""
        self.fields.update(changes)
        lines = [f'{name}={content}\n' for name, content in self.fields.items()]
        new_file = self.path.with_suffix('.new')
        new_file.write_text(''.join(lines), encoding='utf-8')
        new_file.replace(self.path)

    def start(self) -> None:
        """Start to supervise the process; it is restarted until `end` is called."""
        self.supervisor = asyncio.create_task(self.supervise())

    async def supervise(self) -> None:
        """Run the process, and restart it after each exit."""
        while True:
            with self.log_path.open('ab') as log:
                self.process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'marigoldlift',
                    'cell',
                    env={**os.environ, SETTINGS_VARIABLE: str(self.path)},
                    cwd=ROOT,
                    stdout=log,
                    stderr=log,
                )
            code = await self.process.wait()
            if not self.stopping or code not in CLEAN_EXIT_CODES:
                self.unexpected_exits.append(code)
            self.stopping = False
            await asyncio.sleep(RESTART_DELAY_S)

    def send(self, signum: signal.Signals) -> None:
        """Send a signal to the process, if it is running.

        `Process.send_signal` waits for a child that has just exited, so that its exit code is lost to `Process.wait`.
        """
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, signum)

    async def stop(self) -> None:
        """Send SIGTERM, and SIGKILL after the grace time; the supervisor then restarts the process."""
        process = self.process
        if process is None or process.returncode is not None or self.stopping:
            return
        self.stopping = True
        self.stopped_at = asyncio.get_running_loop().time()
        self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Return whether the readiness probe of the entry succeeds."""
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready_port)
        except OSError:
            return False
        with contextlib.closing(writer):
            writer.write(b'GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n')
            try:
                return b' 200 ' in await reader.readline()
            except OSError:
                return False

    async def wait_ready(self) -> None:
        """Wait until the entry is ready, at most `READY_TIMEOUT_S`."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready():
                await asyncio.sleep(POLL_S)

    async def end(self) -> None:
        """Stop the supervision and kill the process."""
        if self.supervisor is not None:
            self.supervisor.cancel()
            await asyncio.wait([self.supervisor])
        if self.process is not None and self.process.returncode is None:
            self.send(signal.SIGKILL)
            await self.process.wait()
