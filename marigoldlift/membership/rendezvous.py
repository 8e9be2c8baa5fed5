"""Rendezvous hashing: the order in which members are preferred for a key."""

import hashlib
from collections.abc import Iterable

__all__ = ('preferred', 'ranked')

SCORE_BYTES = 8


def score(key: str, member: str) -> bytes:
    """Return the weight of a member for a key."""
    return hashlib.blake2b(f'{member}\x00{key}'.encode(), digest_size=SCORE_BYTES).digest()


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members by descending weight for a key, the preferred one first."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def preferred(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight for a key, or None if there are no members.

    When a member is added or removed, only the keys that it is preferred for change their member.
    """
    return max(members, key=lambda member: score(key, member), default=None)
