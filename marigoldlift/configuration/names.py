"""Syntax of names and labels in configuration and settings."""

import re

__all__ = (
    'MAX_LABELS',
    'NAME_RULE',
    'is_name',
)

#: Maximum labels or selector entries of one object.
MAX_LABELS = 32

#: Allows letters of any alphabet, as failure domains may be named after places.
NAME_PATTERN = r'\w[\w.:/-]{0,62}'

NAME_RULE = '1 to 63 letters, digits, `_`, `.`, `:`, `/`, `-`; the first a letter, digit or `_`'

name_expression = re.compile(NAME_PATTERN)


def is_name(text: str) -> bool:
    """Return whether the text is a valid name, label name or label value."""
    return name_expression.fullmatch(text) is not None
