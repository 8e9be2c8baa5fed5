"""Parsing of IP:port addresses; host names are not supported, as processes use IP addresses."""

import re
from ipaddress import ip_address
from typing import NamedTuple

from marigoldlift.errors import InvalidInputError

__all__ = ('ADDRESS_RULE', 'MAX_PORT', 'Address', 'is_unspecified', 'parse_address')

MAX_PORT = 65535

port_expression = re.compile('[0-9]{1,5}')

ADDRESS_RULE = 'allowed is IP:port, such as 10.0.0.1:8080 or [fd00::1]:8080'


class Address(NamedTuple):
    """IP address without brackets, and port."""

    host: str
    port: int


def parse_address(text: str, lowest_port: int = 1) -> Address:
    """Parse IP:port; an IPv6 address is in brackets.

    Args:
        text: address to parse.
        lowest_port: lowest valid port; 0 if the operating system may choose the port.

    Raises:
        InvalidInputError: the text is not a valid address.
    """
    host, _, port_text = text.rpartition(':')
    bare = host.removeprefix('[').removesuffix(']')
    is_bracketed = host == f'[{bare}]'
    try:
        version = ip_address(bare).version
    except ValueError:
        raise InvalidInputError(f'given {text!r}, {ADDRESS_RULE}') from None
    if is_bracketed == (version == 4):
        raise InvalidInputError(f'given {text!r}, {ADDRESS_RULE}')
    return Address(bare, parse_port(port_text, lowest_port))


def is_unspecified(text: str) -> bool:
    """Return whether a valid address means all interfaces, so that peers cannot connect to it."""
    return ip_address(parse_address(text, lowest_port=0).host).is_unspecified


def parse_port(text: str, lowest: int) -> int:
    """Parse a decimal port number."""
    port = int(text) if port_expression.fullmatch(text) else -1
    if lowest <= port <= MAX_PORT:
        return port
    raise InvalidInputError(f'given port {text!r}, allowed is {lowest} to {MAX_PORT}')
