"""Keys of callers: the header that carries one, and the digest under which it is kept and logged."""

import hashlib
from collections.abc import Sequence
from typing import NewType

__all__ = ('KeyDigest', 'bearer_key', 'digest_of_key', 'is_usable_key', 'short_digest')

#: Digest of a key; entries keep it in place of the key, so that a key appears in no dump or log line.
KeyDigest = NewType('KeyDigest', bytes)

DIGEST_BYTES = 16

#: Bytes of the digest that log lines show: enough to tell keys apart, too few to try out keys against it.
LOGGED_BYTES = 4

#: Longest key, in characters; a request with a header line of more than 8,190 bytes is refused by the HTTP server.
MAX_KEY_CHARS = 1024

SCHEME = 'bearer'


def bearer_key(headers: Sequence[str]) -> str | None:
    """Return the key that a request carries in its `Authorization` headers; None if they hold anything but one key."""
    if len(headers) != 1:
        return None
    scheme, _, key = headers[0].partition(' ')
    key = key.strip()
    if scheme.lower() != SCHEME or not is_usable_key(key):
        return None
    return key


def is_usable_key(key: str) -> bool:
    """Return whether a header can carry a key: printable ASCII characters without spaces."""
    if not 0 < len(key) <= MAX_KEY_CHARS:
        return False
    return key.isascii() and key.isprintable() and ' ' not in key


def digest_of_key(key: str) -> KeyDigest:
    """Return the digest under which a usable key is kept."""
    return KeyDigest(hashlib.blake2b(key.encode(), digest_size=DIGEST_BYTES).digest())


def short_digest(digest: KeyDigest) -> str:
    """Return the part of a digest that log lines show."""
    return digest[:LOGGED_BYTES].hex()
