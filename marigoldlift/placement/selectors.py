"""Matching of selectors against the labels of workers."""

from collections.abc import Mapping
from typing import Protocol

__all__ = ('EXACT_MATCHER', 'ExactMatcher', 'LabelMatcher')


class LabelMatcher(Protocol):
    """Strategy for comparing the value of a label with the one that a selector expects."""

    def matches(self, expected: str, found: str | None) -> bool:
        """Return whether the value of a label, or None if it is absent, is as expected."""


class ExactMatcher:
    """Matcher that requires equal values."""

    def matches(self, expected: str, found: str | None) -> bool:
        """Return whether the label is present with the expected value."""
        return expected == found


EXACT_MATCHER = ExactMatcher()


def first_mismatch(
    selector: Mapping[str, str],
    labels: Mapping[str, str],
    matcher: LabelMatcher,
) -> str | None:
    """Return the first label of a selector that does not match, or None if all match."""
    for label, expected in selector.items():
        if not matcher.matches(expected, labels.get(label)):
            return label
    return None
