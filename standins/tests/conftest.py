"""Fixtures for the tests of the stand-ins."""

from contextlib import AsyncExitStack

import aiohttp
import pytest

from standins.serving import running


class ManualClock:
    """Clock that advances only when the test does so."""

    def __init__(self):
        """Start at 100 seconds."""
        self.now_s = 100.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now_s

    def advance(self, seconds):
        """Advance the clock."""
        self.now_s += seconds


@pytest.fixture
def clock():
    """Provide a clock that advances only when the test does so."""
    return ManualClock()


@pytest.fixture
async def http():
    """Provide an HTTP client session."""
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def observer():
    """Provide a second HTTP session, whose connections carry no calls of the worker API."""
    async with aiohttp.ClientSession() as session:
        yield session


@pytest.fixture
async def serve():
    """Provide a function that runs a stand-in until the end of the test and returns its addresses."""
    async with AsyncExitStack() as stack:

        async def start(stand_in):
            return await stack.enter_async_context(running(stand_in))

        yield start
