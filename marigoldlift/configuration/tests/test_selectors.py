"""Tests of matching and checking selectors."""

import pytest

from marigoldlift.configuration.selectors import accepted_values, check_selector, matches
from marigoldlift.errors import InvalidInputError


@pytest.mark.parametrize(
    ('pattern', 'accepted'),
    [
        ('a', {'a'}),
        ('a|b', {'a', 'b'}),
        ('!a', {'b', 'c', None}),
        ('!a|b', {'c', None}),
        ('*', {'a', 'b', 'c'}),
    ],
)
def test_pattern_accepts_exactly_its_values(pattern, accepted):
    """Guards against work on workers that the selector excludes, also by an absent label."""
    labels = ({'x': 'a'}, {'x': 'b'}, {'x': 'c'}, {})
    matched = {label_set.get('x') for label_set in labels if matches({'x': pattern}, label_set)}

    assert matched == accepted


def test_every_entry_must_match():
    """Guards against a selector that matches when only one of its labels does."""
    assert matches({}, {})
    assert not matches({'x': 'a', 'y': 'b'}, {'x': 'a'})


@pytest.mark.parametrize('pattern', ['', '!', '!*', '!!a', 'a|', '|', 'a||b', 'a b', '-a', 'a\n'])
def test_invalid_pattern_is_refused_with_its_path(pattern):
    """Guards against an invalid pattern that silently matches nothing or everything."""
    with pytest.raises(InvalidInputError) as raised:
        check_selector({'x': pattern}, 'vm_selector')

    assert raised.value.path == 'vm_selector.x'


@pytest.mark.parametrize(
    ('selector', 'expected'),
    [
        ({'d': 'a'}, 'a'),
        ({'d': 'a|b'}, 'ab'),
        ({'d': '!a'}, 'bc'),
        ({'d': '*'}, 'abc'),
        ({}, 'abc'),
    ],
)
def test_accepted_values_are_those_of_the_pattern(selector, expected):
    """Guards against choosing a home failure domain that the selector excludes."""
    assert accepted_values(selector, 'd', 'abc') == list(expected)
