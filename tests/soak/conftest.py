"""Store fixture and queue configuration of the soak tests."""

import random

import pytest

from standins.cell.store import StoreServer

from tests.soak.clients import HOST, PREFIX

__all__ = ('configuration',)


def configuration(version, extra):
    """Return a configuration with the queue that the clients use, and `extra` others."""
    route = {'name': 'q1', 'host': HOST, 'path_prefix': PREFIX, 'service': 's'}
    others = [
        {**route, 'name': f'extra-{number}', 'path_prefix': f'/extra-{number}/'}
        for number in range(extra)
    ]
    routes = [{**route, 'timeout_ms': 3000 + version}, *others]
    return {'version': version, 'routes': routes, 'services': [{'name': 's'}], 'limits': {}}


@pytest.fixture
async def store():
    """Provide a configured store that listens at two addresses."""
    server = StoreServer(random.Random(1))
    await server.listen()
    await server.listen()
    server.configure(configuration(1, 1))
    yield server
    server.close()
