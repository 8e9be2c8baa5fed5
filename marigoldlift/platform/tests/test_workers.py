"""Parsing of the lists of runs in a worker's answer to a poll."""

import msgspec
import pytest

from marigoldlift.platform.wire import PollReply
from marigoldlift.platform.workers import parse_poll

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
