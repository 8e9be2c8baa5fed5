"""Clocks and digests."""

import asyncio
import hashlib
import time

__all__ = ('MS_PER_S', 'digest', 'loop_now', 'monotonic_now', 'wall_ms')

MS_PER_S = 1000

DIGEST_BYTES = 10


def loop_now() -> float:
    """Return the running event loop's clock in seconds; tests pause and advance it."""
    return asyncio.get_running_loop().time()


def monotonic_now() -> float:
    """Return a monotonic clock in seconds that includes the time during which the VM was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ms() -> int:
    """Return the wall clock in milliseconds since the epoch."""
    return int(time.time() * MS_PER_S)


def digest(*parts: str) -> str:
    """Return a short hexadecimal digest that depends on the boundaries between the parts."""
    joined = '\x00'.join(parts).encode()
    return hashlib.blake2b(joined, digest_size=DIGEST_BYTES).hexdigest()
