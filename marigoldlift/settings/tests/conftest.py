"""Shared fixtures of the settings tests."""

import json

import pytest

from marigoldlift.errors import SettingsError
from marigoldlift.settings.loader import load_settings, parse_settings


@pytest.fixture
def options():
    """Return settings with only the required options."""
    return {
        'vm_id': 'entry-1',
        'failure_domain': 'recife',
        'region': 'northeast',
        'failure_domains': ['recife', 'fortaleza', 'salvador'],
        'rack': 'r1',
        'http_listen': '127.0.0.1:8080',
        'grpc_listen': '127.0.0.1:9090',
        'log_address': '127.0.0.1:7000',
        'vm_list_address': '127.0.0.1:7001',
    }


@pytest.fixture
def errors_of():
    """Return a function that parses settings and returns the reasons of their errors by path."""

    def find(content):
        try:
            parse_settings(json.dumps(content).encode())
        except SettingsError as error:
            return dict(fault.split(': ', 1) for fault in error.errors)
        return {}

    return find


@pytest.fixture
def load_text(tmp_path):
    """Return a function that loads a file with the given bytes."""

    def load(text):
        path = tmp_path / 'settings.json'
        path.write_bytes(text)
        return load_settings(str(path))

    return load
