"""Inode of the socket at one end of a loopback connection."""

import errno
import functools
import os
import socket
import struct
from pathlib import Path

from standins.serving import HOST

__all__ = ('ask_kernel', 'inode_of', 'kernel_answers', 'read_list')

#: From linux/netlink.h, linux/sock_diag.h and linux/inet_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1
NLMSG_ERROR = 2
ANY_STATE = 0xFFFFFFFF
TCP_LISTEN = 10
NO_COOKIE = 0xFFFFFFFF

#: Parts of `nlmsghdr`, `nlmsgerr`, `inet_diag_req_v2`, `inet_diag_sockid` and `inet_diag_msg`.
HEADER = struct.Struct('=IHHII')
ERROR = struct.Struct('=i')
REQUEST = struct.Struct('=BBxxI')
ENDS = struct.Struct('!HH16s16s')
INTERFACE_AND_COOKIE = struct.Struct('=III')
STATE = struct.Struct('=BBBB')
COUNTERS = struct.Struct('=IIIII')

#: Loopback address and columns as /proc/net/tcp has them, and the inode of a connection that is closed.
LOOPBACK_HEX = '0100007F'
LOCAL_COLUMN = 1
STATE_COLUMN = 3
INODE_COLUMN = 9
NO_INODE = '0'

ADDRESS = socket.inet_aton(HOST)
ANSWER_BYTES = 4096


def inode_of(local_port: int, remote_port: int) -> str:
    """Return the inode of the socket that is connected from a port to another, empty for none.

    Connections to different servers may share a local port. The kernel is asked for the one connection
    where it can be: no route delivers while the list of all sockets is read.
    """
    look_up = ask_kernel if kernel_answers() else read_list
    return look_up(local_port, remote_port)


@functools.cache
def kernel_answers() -> bool:
    """Return whether the kernel tells the inode of a connection; some are built without that."""
    with socket.create_server((HOST, 0)) as server:
        with socket.create_connection(server.getsockname()) as client:
            ports = (client.getsockname()[1], server.getsockname()[1])
            try:
                return ask_kernel(*ports) == str(os.fstat(client.fileno()).st_ino)
            except OSError:
                return False


def read_list(local_port: int, remote_port: int) -> str:
    """Return the inode of a connection by the list of all sockets."""
    ends = [f'{LOOPBACK_HEX}:{port:04X}' for port in (local_port, remote_port)]
    for line in Path('/proc/net/tcp').read_text().splitlines():
        columns = line.split()
        if columns[LOCAL_COLUMN:STATE_COLUMN] == ends:
            return columns[INODE_COLUMN].removeprefix(NO_INODE)
    return ''


def ask_kernel(local_port: int, remote_port: int) -> str:
    """Return the inode of a connection by a question about it alone.

    Raises:
        OSError: the kernel does not answer such questions.
    """
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as kernel:
        kernel.send(question(local_port, remote_port))
        answer = kernel.recv(ANSWER_BYTES)
    _, kind, *_ = HEADER.unpack_from(answer)
    if kind == NLMSG_ERROR:
        check_error(answer)
        return ''
    return inode_in(answer, local_port, remote_port)


def question(local_port: int, remote_port: int) -> bytes:
    """Return the message that asks for one TCP connection."""
    body = b''.join(
        (
            REQUEST.pack(socket.AF_INET, socket.IPPROTO_TCP, ANY_STATE),
            ENDS.pack(local_port, remote_port, ADDRESS, ADDRESS),
            INTERFACE_AND_COOKIE.pack(0, NO_COOKIE, NO_COOKIE),
        ),
    )
    length = HEADER.size + len(body)
    return HEADER.pack(length, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 0, 0) + body


def check_error(answer: bytes) -> None:
    """Check that an error only says that there is no such connection.

    Raises:
        OSError: it says something else.
    """
    code = -ERROR.unpack_from(answer, HEADER.size)[0]
    if code != errno.ENOENT:
        raise OSError(code, os.strerror(code))


def inode_in(answer: bytes, local_port: int, remote_port: int) -> str:
    """Return the inode of an answer; empty for a closed connection, and for a listening socket.

    Without such a connection the kernel answers with the socket that listens on the local port.
    """
    _, state, *_ = STATE.unpack_from(answer, HEADER.size)
    ends_at = HEADER.size + STATE.size
    found = ENDS.unpack_from(answer, ends_at)[:2]
    counters_at = ends_at + ENDS.size + INTERFACE_AND_COOKIE.size
    inode = COUNTERS.unpack_from(answer, counters_at)[-1]
    if state == TCP_LISTEN or found != (local_port, remote_port) or not inode:
        return ''
    return str(inode)
