"""Shared fixtures of the configuration tests."""

import json

import pytest

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.journal.messages import ConfigurationChanged, ObjectChange, ObjectKind


@pytest.fixture
def change():
    """Return a factory of single changes; the content None removes the object."""

    def make(kind, name, base_version, content):
        text = None if content is None else json.dumps(content)
        return ObjectChange(ObjectKind(kind), name, base_version, text)

    return make


@pytest.fixture
def change_set():
    """Return a factory of change sets."""

    def make(change_id, *changes):
        return ConfigurationChanged(change_id, 'olga', changes)

    return make


@pytest.fixture
def state():
    """Return an empty configuration state."""
    return ConfigurationState()


@pytest.fixture
def replay():
    """Return a function that applies records, from offset 1 on, to a new state."""

    def run(records):
        replica = ConfigurationState()
        verdicts = [replica.apply(offset, record) for offset, record in enumerate(records, 1)]
        return replica, verdicts

    return run
