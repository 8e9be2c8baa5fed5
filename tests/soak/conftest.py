"""Store of the soak tests."""

import random

import pytest

from standins.cell.store import StoreServer

from tests.soak.clients import HOST, PREFIX

__all__ = ('configuration',)


def configuration(version, extra):
    """Return a configuration with the queue that clients use, and some more."""
    route = {'name': 'q1', 'host': HOST, 'path_prefix': PREFIX, 'service': 's'}
    others = [
        {**route, 'name': f'extra-{number}', 'path_prefix': f'/extra-{number}/'}
        for number in range(extra)
    ]
    routes = [{**route, 'timeout_ms': 3000 + version}, *others]
    return {'version': version, 'routes': routes, 'services': [{'name': 's'}], 'limits': {}}


@pytest.fixture
async def store():
    """Return a store with a configuration."""
    server = StoreServer(random.Random(1))
    await server.listen()
    await server.listen()
    server.configure(configuration(1, 1))
    yield server
    server.close()
