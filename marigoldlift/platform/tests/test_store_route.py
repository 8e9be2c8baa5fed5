"""Route to the store while the store does not serve this VM."""

import asyncio
from types import SimpleNamespace

import pytest

from marigoldlift.platform.calls import CallUnansweredError, Reply
from marigoldlift.platform.store_route import PROBE_PATH, RELAY_PREFIX, StoreRoute

pytestmark = pytest.mark.looptime

STORE = '10.0.0.1:1'
OWN = '10.0.0.2:1'
PATH = '/-/log-append?topic=t'
MS_PER_S = 1000


class PartitionedCalls:
    """HTTP client of a VM that may be cut off from the store and from its peers.

    Attributes:
        sent: addresses and paths of all calls.
        unreachable: addresses that do not answer.
    """

    def __init__(self):
        """Answer all calls."""
        self.sent = []
        self.unreachable = set()

    async def call(self, method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        """Answer a call, or let it time out."""
        address, _, path = url.removeprefix('http://').partition('/')
        self.sent.append((address, f'/{path}'))
        if address in self.unreachable:
            await asyncio.sleep(wait_s)
            raise CallUnansweredError('TimeoutError', was_sent=True)
        return Reply(200, b'')


@pytest.fixture
def calls():
    """Client whose calls are all answered."""
    return PartitionedCalls()


async def build(calls, peers=('10.0.0.3:1', '10.0.0.4:1')):
    """Return a route with some peers."""
    route = StoreRoute(calls, STORE, OWN, asyncio.get_running_loop().time)
    route.add_peers(peers)
    return route


async def cut_off_store(route, calls):
    """Cut the VM off from the store, and make one call that detects it."""
    calls.unreachable.add(STORE)
    with pytest.raises(CallUnansweredError):
        await route.call('POST', PATH, b'', 0.8)
    calls.sent.clear()


async def test_calls_do_not_wait_for_a_store_that_is_cut_off(calls):
    """Guards against calls that retry the direct route every second and wait for its timeout."""
    route = await build(calls)
    await cut_off_store(route, calls)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    for _ in range(20):
        assert (await route.call('POST', PATH, b'', 0.8)).status == 200
        await asyncio.sleep(0.2)
    assert loop.time() - started_at < 20 * 0.2 + 0.1
    appends = [address for address, path in calls.sent if path.endswith(PATH)]
    assert STORE not in appends
    assert len(set(appends)) == 1


async def test_direct_route_is_used_again(calls):
    """Guards against calls that are still relayed after the store has become reachable again."""
    route = await build(calls)
    await cut_off_store(route, calls)
    assert not route.is_direct
    calls.unreachable.clear()
    await asyncio.sleep(1)
    assert route.is_direct
    await route.call('POST', PATH, b'', 0.8)
    assert calls.sent[-1] == (STORE, PATH)


async def test_failing_peer_is_avoided(calls):
    """Guards against sending further calls to a peer that is cut off as well."""
    route = await build(calls)
    await cut_off_store(route, calls)
    await route.call('POST', PATH, b'', 0.8)
    first = route.peer
    calls.unreachable.add(first)
    with pytest.raises(CallUnansweredError):
        await route.call('POST', PATH, b'', 0.8)
    assert not route.is_relayed()
    await route.call('POST', PATH, b'', 0.8)
    assert route.is_relayed()
    assert route.peer not in {'', first}
    assert calls.sent[-1] == (route.peer, f'{RELAY_PREFIX}{PATH}')


async def test_search_finds_a_peer_that_is_not_cut_off(calls):
    """Guards against one timeout after another when most other entries are cut off too."""
    peers = [f'10.0.1.{number}:1' for number in range(12)]
    route = await build(calls, peers)
    calls.unreachable.update(peers[2:])
    await cut_off_store(route, calls)
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    while (await route.call('POST', PATH, b'', 0.8)).status != 200:
        assert not route.is_relayed()
    assert loop.time() - started_at < 2
    assert route.peer in peers[:2]


async def test_calls_share_one_search(calls):
    """Guards against a separate search, with its probes of other entries, for each waiting call."""
    route = await build(calls)
    await cut_off_store(route, calls)
    await asyncio.gather(*(route.call('POST', PATH, b'', 0.8) for _ in range(10)))
    assert len([path for _, path in calls.sent if path.startswith(RELAY_PREFIX)]) <= 10 + 2


async def test_calls_without_peers_are_refused(calls):
    """Guards against waiting when it is certain that nothing can be stored."""
    route = await build(calls, peers=())
    await cut_off_store(route, calls)
    assert (await route.call('POST', PATH, b'', 0.8)).status == 503


class FaultyCalls(PartitionedCalls):
    """HTTP client that raises an unexpected exception for some addresses.

    Attributes:
        faulty: addresses whose calls raise.
    """

    def __init__(self):
        """Answer all calls."""
        super().__init__()
        self.faulty = set()

    async def call(self, method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        """Answer a call, let it time out, or raise."""
        if url.removeprefix('http://').partition('/')[0] in self.faulty:
            raise RuntimeError('injected')
        return await super().call(method, url, body, headers, wait_s, idle_timeout_s)


async def test_direct_route_is_used_again_after_an_exception_in_a_probe():
    """Guards against an entry that never uses the direct route again because an exception ended its probing."""
    calls = FaultyCalls()
    route = await build(calls)
    await cut_off_store(route, calls)
    calls.faulty.add(STORE)
    await asyncio.sleep(1)
    calls.faulty.clear()
    calls.unreachable.clear()
    await asyncio.sleep(1)
    assert route.is_direct


async def test_search_continues_after_an_exception_in_one_probe():
    """Guards against calls that fail because the probe of one of several entries raised an exception."""
    calls = FaultyCalls()
    route = await build(calls)
    await cut_off_store(route, calls)
    calls.faulty.add('10.0.0.3:1')
    for _ in range(5):
        route.peer = ''
        route.searching = None
        assert (await route.call('POST', PATH, b'', 0.8)).status == 200
        assert route.peer == '10.0.0.4:1'


@pytest.mark.parametrize(
    ('probe_ms', 'answer_ms', 'given_up_ms'),
    [
        (240, 2000, None),
        (240, 500, None),
        (240, 4000, 2600),
        (10, 2000, 800),
        (5000, 2000, 800),
    ],
)
async def test_append_is_given_up_unless_the_store_is_slow(
    calls, probe_ms, answer_ms, given_up_ms
):
    """Guards against a slow store that gets each append again while the first still waits in its partition."""
    took_s = {PATH: answer_ms / MS_PER_S, PROBE_PATH: probe_ms / MS_PER_S}

    async def answer_late(method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        path = url.removeprefix(f'http://{STORE}')
        await asyncio.sleep(min(took_s[path], wait_s))
        if took_s[path] > wait_s:
            raise CallUnansweredError('TimeoutError', was_sent=True)
        return Reply(200, b'')

    calls.call = answer_late
    route = await build(calls, peers=())
    loop = asyncio.get_running_loop()
    started_at = loop.time()
    if given_up_ms is None:
        assert (await route.call('POST', PATH, b'', 0.8, patience_s=1.8)).status == 200
    else:
        with pytest.raises(CallUnansweredError):
            await route.call('POST', PATH, b'', 0.8, patience_s=1.8)
        assert round((loop.time() - started_at) * MS_PER_S) == given_up_ms
    assert route.is_direct == (given_up_ms is None)


async def test_late_call_beside_a_transfer_shows_no_outage():
    """Guards against calls that go through other entries because a large answer fills the link to the store."""
    late = asyncio.Event()

    async def share_link(method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        if url.endswith(PATH):
            await asyncio.sleep(wait_s)
            raise CallUnansweredError('TimeoutError', was_sent=True)
        while not late.is_set():
            await asyncio.sleep(0.1)
            transfer.note_part(1)
        return Reply(200, b'')

    route = await build(SimpleNamespace(call=share_link))
    large = asyncio.create_task(route.call('GET', '/-/log-newest?topic=t', b'', 8))
    with pytest.raises(CallUnansweredError):
        await route.call('POST', PATH, b'', 0.8)
    assert route.is_direct
    late.set()
    await large
    await asyncio.sleep(1)
    with pytest.raises(CallUnansweredError):
        await route.call('POST', PATH, b'', 0.8)
    assert not route.is_direct
    route.probing.cancel()


async def test_refused_connection_beside_a_transfer_shows_an_outage():
    """Guards against an entry that keeps to a direct route over which new calls are reset."""

    async def reset(method, url, body, headers, wait_s, idle_timeout_s=None, transfer=None):
        raise CallUnansweredError('ConnectionResetError', was_sent=True)

    route = await build(SimpleNamespace(call=reset))
    route.note_part()
    with pytest.raises(CallUnansweredError):
        await route.call('POST', PATH, b'', 0.8)
    assert not route.is_direct
    route.probing.cancel()
