"""Status polls of workers, and parsing of the lists of runs in their answers."""

import asyncio
from functools import partial

import msgspec
import pytest
from aiohttp import web

from marigoldlift.errors import WorkerUnavailableError
from marigoldlift.orders.api import Worker
from marigoldlift.platform.calls import HttpClient
from marigoldlift.platform.wire import PollReply
from marigoldlift.platform.workers import MAX_CHECKPOINT_CHARS, PlatformWorkers, parse_poll

HELD = ['5c0e7a21d94b36f8.0.1.17', 2, '', 41]
ENDED = [58, '5c0e7a21d94b36f8.0.1.9', 1, 'done', '']


def poll(running, finished):
    """Parse a poll answer with both lists."""
    fields = {'clock_ms': 1, 'running': running, 'finished': finished}
    return parse_poll(msgspec.convert(fields, PollReply))


@pytest.mark.parametrize(
    ('running', 'finished'),
    [
        ([HELD, ['no task', 2, '', 41]], [ENDED]),
        ([HELD], [ENDED, [59, '5c0e7a21d94b36f8.0.1.10', 1, 'other', '']]),
    ],
)
def test_list_with_an_unreadable_row_is_not_whole(running, finished):
    """Guards against starting a task again while its run is on the worker, because the run's row was unreadable."""
    assert poll([HELD], [ENDED]).whole
    status = poll(running, finished)
    assert not status.whole
    assert (len(status.running), len(status.ended)) == (1, 1)


def test_full_page_of_ends_is_not_the_last_one():
    """Guards against TWICE at a takeover: a status with 500 ends counted as a list of all of them."""
    page = [[number, f'5c0e7a21d94b36f8.0.1.{number}', 1, 'done', ''] for number in range(1, 501)]
    assert poll([], page).more_ends
    assert not poll([], page).whole
    assert not poll([], page[1:]).more_ends


@pytest.mark.parametrize('length', [MAX_CHECKPOINT_CHARS, MAX_CHECKPOINT_CHARS + 1])
def test_checkpoint_that_is_too_long_is_left_out(length):
    """Guards against records and starts that grow without a limit, and against a run that is lost with its checkpoint."""
    checkpoint = 'x' * length
    held = [*HELD[:2], checkpoint, HELD[3]]
    ended = [*ENDED[:4], checkpoint]
    kept = checkpoint if length <= MAX_CHECKPOINT_CHARS else ''
    found = poll([held], [ended])
    assert [run.checkpoint for run in (*found.running, *found.ended)] == [kept, kept]


@pytest.fixture
async def may_answer(server):
    """Return the event while which the server answers polls."""
    allowed = asyncio.Event()

    async def answer(_request):
        await allowed.wait()
        return web.json_response({'clock_ms': 7})

    server.reply = answer
    yield allowed
    allowed.set()


@pytest.fixture
async def poll_worker(server):
    """Return a function that polls the worker at the server."""
    calls = HttpClient()
    worker = Worker('w', server.address, 'a', 'service', True, 1, 8000, 8000, 0, ())
    yield partial(PlatformWorkers(calls).poll, worker, 1, 0, None, 0)
    await calls.close()


async def test_every_second_poll_waits_longer_for_a_worker_that_leaves_them_unanswered(
    monkeypatch, may_answer, poll_worker
):
    """Guards against runs that lapse with their lease on a worker that is only slow to answer."""
    monkeypatch.setattr('marigoldlift.platform.workers.ANSWER_TIMEOUT_S', 0.05)
    monkeypatch.setattr('marigoldlift.platform.workers.PATIENT_TIMEOUT_S', 10)
    with pytest.raises(WorkerUnavailableError):
        await poll_worker()
    patient = asyncio.create_task(poll_worker())
    await asyncio.sleep(0.2)
    may_answer.set()
    assert (await patient).clock_ms == 7
    may_answer.clear()
    with pytest.raises(WorkerUnavailableError):
        await poll_worker()
