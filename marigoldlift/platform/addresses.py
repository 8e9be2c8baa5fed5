"""Validation of socket addresses that other processes name."""

import ipaddress

__all__ = ('is_port', 'is_socket_address')

MAX_PORT = 65535


def is_port(text: str, lowest_port: int = 1) -> bool:
    """Return whether a text is the decimal number of a port.

    Args:
        text: text to check.
        lowest_port: 0 to allow a port that the system chooses.
    """
    if not (text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))):
        return False
    return lowest_port <= int(text) <= MAX_PORT


def is_socket_address(text: str, lowest_port: int = 1) -> bool:
    """Return whether a text is an IPv4 address and a port, `IP:PORT`; host names are not resolved.

    Args:
        text: text to check.
        lowest_port: 0 to allow a port that the system chooses.
    """
    host, _, port = text.rpartition(':')
    try:
        ip = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return is_port(port, lowest_port) and not (ip.is_unspecified or ip.is_multicast)
