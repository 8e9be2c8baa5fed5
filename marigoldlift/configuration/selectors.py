"""Selectors, which match objects by their labels.

A selector maps label names to patterns, and all of them must match:

* `a`: the label has this value; `a|b`: it has one of these values;
* `!a` and `!a|b`: the label has none of these values, or is absent;
* `*`: the label is present with any value.
"""

from collections.abc import Iterable, Mapping
from functools import lru_cache

import msgspec

from marigoldlift.configuration.names import MAX_LABELS, NAME_RULE, is_name
from marigoldlift.errors import InvalidInputError

__all__ = (
    'MAX_ALTERNATIVES',
    'Pattern',
    'PatternMatcher',
    'accepted_values',
    'check_labels',
    'check_selector',
    'matches',
    'parse_pattern',
)

#: Maximum values that one pattern may list.
MAX_ALTERNATIVES = 16

#: Maximum parsed patterns cached; a cell uses far fewer distinct ones.
PATTERN_CACHE_SIZE = 1024

PRESENT = '*'
NEGATION = '!'
SEPARATOR = '|'


class Pattern(msgspec.Struct, frozen=True):
    """Parsed pattern for one label.

    Attributes:
        alternatives: values listed; None if any value matches.
        negated: whether the listed values are excluded rather than accepted.
    """

    alternatives: frozenset[str] | None
    negated: bool = False

    def accepts(self, label: str | None) -> bool:
        """Return whether a label value, or None for an absent label, matches."""
        if self.alternatives is None:
            return label is not None
        return (label in self.alternatives) != self.negated


@lru_cache(maxsize=PATTERN_CACHE_SIZE)
def parse_pattern(text: str) -> Pattern:
    """Parse one pattern.

    Raises:
        InvalidInputError: the text is not a valid pattern.
    """
    if text == PRESENT:
        return Pattern(None)
    negated = text.startswith(NEGATION)
    alternatives = text.removeprefix(NEGATION).split(SEPARATOR)
    if len(alternatives) > MAX_ALTERNATIVES:
        raise InvalidInputError(f'at most {MAX_ALTERNATIVES} alternatives are allowed')
    if not all(map(is_name, alternatives)):
        raise InvalidInputError(
            f'{text!r} is no pattern; allowed are `*`, `a`, `a|b`, `!a` and `!a|b`, '
            + f'each value of {NAME_RULE}',
        )
    return Pattern(frozenset(alternatives), negated)


def matches(selector: Mapping[str, str], labels: Mapping[str, str]) -> bool:
    """Return whether the labels match all patterns of a selector.

    Raises:
        InvalidInputError: a pattern is invalid, which `check_selector` would have found.
    """
    return all(
        parse_pattern(pattern).accepts(labels.get(label)) for label, pattern in selector.items()
    )


def accepted_values(selector: Mapping[str, str], label: str, values: Iterable[str]) -> list[str]:
    """Return the given values of a label that a selector accepts."""
    pattern = parse_pattern(selector.get(label, PRESENT))
    return [value for value in values if pattern.accepts(value)]


class PatternMatcher:
    """Label matcher of the placement that supports patterns in selectors."""

    def matches(self, expected: str, found: str | None) -> bool:
        """Return whether a label value, or None for an absent label, matches a pattern."""
        return parse_pattern(expected).accepts(found)


def check_selector(selector: Mapping[str, str], path: str = 'selector') -> None:
    """Check the number of entries, the label names and the patterns.

    Raises:
        InvalidInputError: with the path of the first error.
    """
    check_label_names(selector, path)
    for label, pattern in selector.items():
        try:
            parse_pattern(pattern)
        except InvalidInputError as fault:
            raise InvalidInputError(fault.reason, f'{path}.{label}') from None


def check_labels(labels: Mapping[str, str], path: str = 'labels') -> None:
    """Check the number of labels, their names and values.

    Raises:
        InvalidInputError: with the path of the first error.
    """
    check_label_names(labels, path)
    for label, text in labels.items():
        if not is_name(text):
            raise InvalidInputError(f'a label value has {NAME_RULE}', f'{path}.{label}')


def check_label_names(labels: Mapping[str, str], path: str) -> None:
    """Check the number and the names of labels."""
    if len(labels) > MAX_LABELS:
        raise InvalidInputError(f'at most {MAX_LABELS} labels are allowed', path)
    for label in labels:
        if not is_name(label):
            raise InvalidInputError(f'label name {label!r} is wrong; it has {NAME_RULE}', path)
