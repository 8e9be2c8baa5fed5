"""Runs one kind of stand-in as a process until SIGTERM or SIGINT.

`python -m standins log|vms|workers|proxy --config FILE.json` prints one JSON line
`{"ready": {name: "127.0.0.1:port"}}` once it accepts connections.
"""

import argparse
import asyncio
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec

from standins.log_server import LogServer
from standins.messages import LogSettings, ProxySettings, VmSettings, WorkerFleetSettings
from standins.proxy import Proxy
from standins.serving import StandIn, running
from standins.vm_list_server import VmListServer
from standins.worker_server import WorkerFleet

__all__ = ('main',)


class Kind(msgspec.Struct, frozen=True):
    """One kind of stand-in: the type of its settings, and the factory that takes them."""

    settings: type
    make: Callable[[Any], StandIn]


KINDS = MappingProxyType(
    {
        'log': Kind(LogSettings, LogServer),
        'vms': Kind(VmSettings, VmListServer),
        'workers': Kind(WorkerFleetSettings, WorkerFleet),
        'proxy': Kind(ProxySettings, Proxy),
    }
)


def main() -> None:
    """Run the stand-in named on the command line; invalid settings exit with status 1."""
    parser = argparse.ArgumentParser(prog='standins', description=__doc__)
    parser.add_argument('kind', choices=KINDS)
    parser.add_argument('--config', type=Path, required=True)
    options = parser.parse_args()
    try:
        asyncio.run(serve(KINDS[options.kind], options.config))
    except (OSError, ValueError) as error:
        sys.exit(f'{options.config}: {error}')


async def serve(kind: Kind, config: Path) -> None:
    """Run a stand-in until SIGTERM or SIGINT.

    Raises:
        OSError: the file cannot be read, or a port is in use.
        ValueError: the settings are invalid.
    """
    settings = msgspec.json.decode(config.read_bytes(), type=kind.settings)
    stopped = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stopped.set)
    async with running(kind.make(settings)) as addresses:
        sys.stdout.write(ready_line(addresses))
        sys.stdout.flush()
        await stopped.wait()


def ready_line(addresses: dict[str, str]) -> str:
    """Return the JSON line with the addresses on which the stand-in listens."""
    ready = msgspec.json.encode({'ready': addresses}).decode()
    return f'{ready}\n'


if __name__ == '__main__':
    main()
