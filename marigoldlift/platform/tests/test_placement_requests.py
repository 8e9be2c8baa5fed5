"""Questions where a submission would be placed, at entries that lead, follow or know no leader."""

import asyncio
from functools import partial
from types import SimpleNamespace

import msgspec
import pytest
from aiohttp.test_utils import RawTestServer, TestClient

from marigoldlift.cell import Entry
from marigoldlift.decoding import JsonDecoder
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.calls import HttpClient
from marigoldlift.platform.configuration import CellConfiguration, Queue
from marigoldlift.platform.node_settings import parse_node_settings
from marigoldlift.platform.placement_requests import PlacementRequest, PlacementRequests
from marigoldlift.platform.tests.test_node_settings import GOOD
from marigoldlift.platform.workspace_parsing import KeyedWorkspace
from marigoldlift.scheduling.explanation import Explanation
from marigoldlift.workspaces.model import Workspace
from tests.cell.conftest import run_scenario  # noqa: F401 a fixture of this module's tests
from tests.cell.model import policy

SETTLED_S = 2.0
WORKSPACES = (KeyedWorkspace(Workspace(WorkspaceId('lab')), ()),)
QUEUES = (Queue('host', '/open/', policy(), True), Queue('host', '/keyed/', policy(), False))
BODY = b'{"spec": "s", "phases": [{"count": 2, "cpu": 1000}]}'


class Calls:
    """Calls that hand a question to the handlers of other entries, by URL."""

    def __init__(self):
        self.handlers = {}

    async def post(self, url, body, wait_s):
        reply = await self.handlers[url].answer(body)
        return SimpleNamespace(status=reply.status, body=reply.body)


def handlers_of(cell):
    """Return a handler for each entry of a cell, with calls among them."""
    calls = Calls()
    configuration = partial(CellConfiguration, 1, QUEUES, WORKSPACES)
    found = [PlacementRequests(entry.node, configuration, calls) for entry in cell.entries]
    calls.handlers = {
        f'http://{entry.name}/placement': handler
        for entry, handler in zip(cell.entries, found, strict=True)
    }
    return found


def question(**fields):
    """Return an encoded question about a submission to the open queue."""
    asked = {'queue': 'host/open/', 'body': msgspec.Raw(BODY), **fields}
    return msgspec.json.encode(PlacementRequest(**asked))


def test_each_entry_gives_the_answer_of_the_leader(run_scenario):  # noqa: F811
    """Guards against entries that answer from a state of their own, or that cannot ask the leader."""

    async def scenario(cell):
        await asyncio.sleep(SETTLED_S)
        cell.set_cap('lab')
        await asyncio.sleep(0.1)
        for workspace in ('', 'lab'):
            answers = [
                await handler.answer(question(workspace=workspace))
                for handler in handlers_of(cell)
            ]
            found = {
                JsonDecoder(Explanation, 10_000).decode(reply.body).leader for reply in answers
            }
            assert found == {cell.leader().name}

    run_scenario(scenario)


@pytest.mark.parametrize(
    ('content', 'status', 'reason'),
    [
        (b'{', 400, ''),
        (b'"' + b'x' * 300_000 + b'"', 400, 'bytes, allowed are'),
        (question(queue='none'), 404, "unknown queue 'none'"),
        (question(queue='host/none/'), 404, 'unknown queue'),
        (question(workspace='none'), 404, "unknown workspace 'none'"),
        (question(queue='host/keyed/'), 400, 'needs a workspace'),
        (question(body=msgspec.Raw(b'{"phases": 3}')), 400, 'phases'),
        (question(body=msgspec.Raw(b'{"phases": []}')), 400, '1 to 1000 steps'),
        (question(submission='00'), 404, "no open submission '00'"),
    ],
)
def test_wrong_question_is_told(run_scenario, content, status, reason):  # noqa: F811
    """Guards against a fault of the leader, or an answer for another submission, where a question is wrong."""

    async def scenario(cell):
        await asyncio.sleep(SETTLED_S)
        for handler in handlers_of(cell):
            reply = await handler.answer(content)
            assert (reply.status, reason in reply.text) == (status, True)

    run_scenario(scenario)


def test_no_leader_is_told(run_scenario):  # noqa: F811
    """Guards against a question that is passed on in a circle, or answered without a leader."""

    async def scenario(cell):
        handler = handlers_of(cell)[0]
        reply = await handler.answer(question())
        assert (reply.status, 'no leader known' in reply.text) == (503, True)
        await asyncio.sleep(SETTLED_S)
        follower = next(each for each in handlers_of(cell) if each.node.dispatcher is None)
        reply = await follower.answer(question(is_forwarded=True))
        assert (reply.status, 'no leader known' in reply.text) == (503, True)

    run_scenario(scenario)


async def test_unreachable_leader_is_told():
    """Guards against an exception where the leader does not answer."""
    node = SimpleNamespace(dispatcher=None, election=None)
    calls = HttpClient()
    handler = PlacementRequests(node, lambda: None, calls)
    handler.leader_view = SimpleNamespace(leader_address=lambda: '127.0.0.1:1')
    reply = await handler.answer(question())
    await calls.close()
    assert (reply.status, 'leader 127.0.0.1:1 unreachable' in reply.text) == (502, True)


async def test_entry_answers_at_its_peer_port():
    """Guards against an entry that serves other entries without the path of the question."""
    entry = Entry(parse_node_settings(GOOD))
    async with TestClient(RawTestServer(entry.peer_server.handle)) as client:
        reply = await client.post('/placement', data=question())
        assert (reply.status, 'no leader known' in await reply.text()) == (503, True)
    await entry.calls.close()
