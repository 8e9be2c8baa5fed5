"""Text format of read tokens: `STREAM:OFFSET`."""

from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import Offset, StreamId
from marigoldlift.peers.messages import ReadToken

__all__ = ('format_token', 'parse_token')


def format_token(token: ReadToken | None) -> str:
    """Format a token as text; an empty string for None."""
    return f'{token.stream}:{token.offset}' if token else ''


def parse_token(text: str) -> ReadToken | None:
    """Parse a token; an empty string gives None.

    Raises:
        InvalidInputError: the text is not a token.
    """
    if not text:
        return None
    stream, _, offset = text.rpartition(':')
    if not stream or not offset.isdecimal():
        raise InvalidInputError(f'{text!r} is no token, expected STREAM:OFFSET', 'token')
    return ReadToken(StreamId(stream), Offset(int(offset)))
