"""Requests of other entries at an entry that was paused."""

import pytest
from aiohttp.test_utils import RawTestServer, TestClient

from marigoldlift.platform.calls import Reply
from marigoldlift.platform.servers import PeerRequestHandler
from marigoldlift.platform.store_route import RELAY_PREFIX
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.record_codec import encode_record
from marigoldlift.submissions.records import Cancelled

RECORD = encode_record(Cancelled(SubmissionId('job')))


class Backend:
    """Route and appender that record what reaches them."""

    last_response_s = 0

    def __init__(self):
        self.reached = []

    async def relay_call(self, method, path, body, wait_s):
        self.reached.append(path)
        return Reply(200, b'')

    async def append(self, record, wait_s, doubt_s):
        self.reached.append(record)


@pytest.mark.parametrize(('was_away', 'status', 'count'), [(False, 200, 2), (True, 503, 0)])
async def test_append_that_waited_through_a_pause_is_refused(was_away, status, count):
    """Guards against records that an entry stores for another one minutes late, because it was paused meanwhile."""
    backend = Backend()
    handler = PeerRequestHandler(backend, None, backend, lambda: was_away)
    async with TestClient(RawTestServer(handler.handle)) as client:
        relayed = await client.post(f'{RELAY_PREFIX}/-/log-append?topic=t', data=b'')
        appended = await client.post('/append?wait_ms=100', data=RECORD)
        assert (relayed.status, appended.status) == (status, status)
        assert len(backend.reached) == count
        read = await client.get(f'{RELAY_PREFIX}/-/log-read?topic=t')
        assert read.status == 200
