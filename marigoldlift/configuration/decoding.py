"""Decoding of JSON input, with errors that contain the JSON path."""

from typing import TypeVar

import msgspec

from marigoldlift.errors import InvalidInputError

__all__ = ('decode_json',)

DecodedT = TypeVar('DecodedT')


def decode_json(text: bytes | str, expected: type[DecodedT]) -> DecodedT:
    """Decode JSON text as a typed message.

    Raises:
        InvalidInputError: with the path of the first error, which is empty when the error concerns
            the whole text.
    """
    try:
        return msgspec.json.decode(text, type=expected)
    except (msgspec.MsgspecError, ValueError, RecursionError) as fault:
        raise error_with_path(str(fault)) from None


def error_with_path(text: str) -> InvalidInputError:
    """Split an error message of msgspec, which ends with a path such as `$.a.b`."""
    reason, _, path = text.partition(' - at `')
    return InvalidInputError(reason, path.removesuffix('`').removeprefix('$').removeprefix('.'))
