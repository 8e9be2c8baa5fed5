"""Kernel counters of processes and of their TCP connections.

Bytes are TCP payload bytes that the kernel counts for each socket (`tcp_info`, read with netlink's
`sock_diag`). The measurement thus needs neither a relay nor a patched daemon, which would distort
it. A connection that closes between two readings is not counted.
"""

import os
import socket
import struct
from collections.abc import Iterator
from contextlib import suppress
from pathlib import Path

import msgspec

__all__ = ('Memory', 'SocketCount', 'cpu_s', 'memory_of', 'sockets_of')

NS_PER_S = 1_000_000_000
KB_PER_MB = 1024

#: Constants of linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h. `DUMP_REQUEST` is
#: `NLM_F_REQUEST | NLM_F_DUMP`; `TCP_INFO_EXTENSION` is the bit that requests `INET_DIAG_INFO`.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
DUMP_REQUEST = 0x301
NLMSG_DONE = 3
TCP_INFO_EXTENSION = 2
ALL_STATES = 0xFFFFFFFF
INET_DIAG_INFO = 2

#: Layouts of the netlink message header, of the request, and of parts of the reply.
HEADER = struct.Struct('=IHHII')
REQUEST = struct.Struct('=BBBBI48s')
PORTS = struct.Struct('!HH')
INODE = struct.Struct('=I')
ATTRIBUTE = struct.Struct('=HH')
COUNTERS = struct.Struct('=QQII')

#: Offsets and sizes in bytes: ports and inode in `inet_diag_msg`, its size, and the counters in
#: `tcp_info`.
PORTS_OFFSET = 4
INODE_OFFSET = 68
DIAG_BYTES = 72
COUNTERS_OFFSET = 120
ALIGNMENT = 4
RECEIVE_BYTES = 1_048_576


class SocketCount(msgspec.Struct, frozen=True):
    """Totals of one TCP connection.

    Attributes:
        sent: payload bytes sent.
        received: payload bytes received.
        segments: segments of any kind in both directions, including acknowledgements.
    """

    local_port: int
    remote_port: int
    sent: int
    received: int
    segments: int


class Memory(msgspec.Struct, frozen=True):
    """Memory of a process in MB: resident, private part of it, and peak of the resident memory."""

    resident: float
    private: float
    peak: float


def cpu_s(pid: int) -> float:
    """Return the processor time of all threads of a process, in seconds."""
    tasks = Path(f'/proc/{pid}/task').iterdir()
    spent_ns = (int((task / 'schedstat').read_text().split()[0]) for task in tasks)
    return sum(spent_ns) / NS_PER_S


def memory_of(pid: int) -> Memory:
    """Return the memory of a process."""
    status = kb_fields(Path(f'/proc/{pid}/status'))
    rollup = kb_fields(Path(f'/proc/{pid}/smaps_rollup'))
    private_kb = rollup['Private_Clean'] + rollup['Private_Dirty']
    return Memory(
        status['VmRSS'] / KB_PER_MB,
        private_kb / KB_PER_MB,
        status['VmHWM'] / KB_PER_MB,
    )


def kb_fields(path: Path) -> dict[str, int]:
    """Return the fields of a file of `/proc` that have the unit kB."""
    fields = {}
    for line in path.read_text().splitlines():
        name, _, content = line.partition(':')
        if content.endswith(' kB'):
            fields[name] = int(content.split()[0])
    return fields


def sockets_of(pid: int) -> dict[int, SocketCount]:
    """Return the totals of the TCP connections of a process by inode."""
    own_links = set()
    for link in Path(f'/proc/{pid}/fd').iterdir():
        with suppress(OSError):
            own_links.add(os.readlink(link))
    counts = dict(all_sockets())
    return {inode: count for inode, count in counts.items() if f'socket:[{inode}]' in own_links}


def all_sockets() -> Iterator[tuple[int, SocketCount]]:
    """Yield inode and totals of each IPv4 TCP connection of the machine."""
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as netlink:
        body = REQUEST.pack(
            socket.AF_INET,
            socket.IPPROTO_TCP,
            TCP_INFO_EXTENSION,
            0,
            ALL_STATES,
            b'',
        )
        header = HEADER.pack(HEADER.size + len(body), SOCK_DIAG_BY_FAMILY, DUMP_REQUEST, 1, 0)
        netlink.send(header + body)
        kind = SOCK_DIAG_BY_FAMILY
        while kind != NLMSG_DONE:
            reply = memoryview(netlink.recv(RECEIVE_BYTES))
            for kind, content in parse_messages(reply):  # noqa: WPS440 the type of the last message ends the dump
                if kind == SOCK_DIAG_BY_FAMILY:
                    yield parse_socket(content)


def parse_messages(reply: memoryview) -> Iterator[tuple[int, memoryview]]:
    """Yield type and content of each netlink message."""
    while reply:
        length, kind, *_ = HEADER.unpack_from(reply)
        yield kind, reply[HEADER.size : length]
        reply = reply[align_up(length) :]


def parse_socket(content: memoryview) -> tuple[int, SocketCount]:
    """Return inode and totals of one connection; totals are zero if it has no `tcp_info`."""
    local_port, remote_port = PORTS.unpack_from(content, PORTS_OFFSET)
    inode = INODE.unpack_from(content, INODE_OFFSET)[0]
    info = find_tcp_info(content[DIAG_BYTES:])
    totals = (0, 0, 0, 0) if info is None else COUNTERS.unpack_from(info, COUNTERS_OFFSET)
    sent, received, segments_out, segments_in = totals
    return inode, SocketCount(
        local_port,
        remote_port,
        sent,
        received,
        segments_out + segments_in,
    )


def find_tcp_info(attributes: memoryview) -> memoryview | None:
    """Return the `tcp_info` among the attributes of a connection, or None."""
    while attributes:
        length, kind = ATTRIBUTE.unpack_from(attributes)
        if kind == INET_DIAG_INFO:
            return attributes[ATTRIBUTE.size : length]
        attributes = attributes[align_up(length) :]
    return None


def align_up(length: int) -> int:
    """Round a length in bytes up to the alignment of netlink."""
    return -(-length // ALIGNMENT) * ALIGNMENT
