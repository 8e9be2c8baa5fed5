"""A replica against a log and peers that fail."""

import asyncio

import pytest

from marigoldlift import errors
from marigoldlift.journal.messages import encode_record
from marigoldlift.journal.sequences import batch_sequence
from marigoldlift.journal.snapshots import split_snapshot
from marigoldlift.journal.tests.conftest import label, labels_of, propose_all

pytestmark = pytest.mark.looptime


async def test_proposals_return_their_own_verdicts(cluster):
    """Guards against a verdict of another record of the same batch."""
    async with cluster.running() as replica:
        first = replica.propose(label('a'), 5)
        second = replica.propose(label('no'), 5)
        outcomes = await asyncio.gather(first, second, replica.propose(label('fault'), 5))

    assert [outcome.offset for outcome in outcomes] == [1, 2, 3]
    assert [outcome.verdict.accepted for outcome in outcomes] == [True, False, False]
    assert replica.applier.skipped == 1


@pytest.mark.parametrize('fault', ['lost', 'late', 'twice', 'refused', 'unsent'])
async def test_append_fault_leads_to_one_application(cluster, fault):
    """Guards against a record lost or applied twice after a failed append."""
    cluster.log.faults.append(fault)
    async with cluster.running() as replica:
        await replica.propose(label('a'), 5)
        cluster.log.deliver_late()
        await replica.propose(label('b'), 5)
        await asyncio.sleep(1)

    assert labels_of(replica) == ['a', 'b']


async def test_buffered_record_is_surely_not_appended(cluster):
    """Guards against `surely not` for a record that appears after the outage."""
    cluster.log.reachable = False
    async with cluster.running() as replica:
        with pytest.raises(errors.LogUnavailableError) as caught:
            await replica.propose(label('a'), 2)
        assert caught.value.code == 'log_unavailable'
        cluster.log.reachable = True
        await replica.propose(label('b'), 5)

    assert labels_of(replica) == ['b']


async def test_batch_in_flight_is_in_doubt(cluster):
    """Guards against `surely not` for a record whose append is still in progress."""
    cluster.log.delay_s = 3
    async with cluster.running() as replica:
        with pytest.raises(errors.AppendOutcomeUnknownError):
            await replica.propose(label('a'), 1)
        with pytest.raises(errors.LogUnavailableError) as caught:
            await replica.propose(label('b'), 1)
        assert caught.value.code == 'log_unavailable'
        await asyncio.sleep(5)

    assert labels_of(replica) == ['a']


async def test_undecodable_record_is_skipped(cluster):
    """Guards against one bad record that stops every reader for good."""
    cluster.log.store(('other', 1025, [b'?']))
    heard = []
    async with cluster.running() as replica:
        replica.subscribe(lambda *told: heard.append(told))
        applied = await replica.propose(label('a'), 5)

    assert replica.applier.skipped == 1
    assert heard == [(2, label('a'), applied.verdict)]


async def test_wait_applied(cluster):
    """Guards against a read that does not see the write before it, or that waits for ever."""
    async with cluster.running() as reader, cluster.running() as writer:
        applied = await writer.propose(label('a'), 5)
        await reader.wait_applied(applied.offset, 5)
        assert labels_of(reader) == ['a']
        with pytest.raises(errors.LogUnavailableError):
            await reader.wait_applied(applied.offset + 1, 1)
        assert not reader.waiters


async def test_caught_up_only_at_the_end_of_the_log(cluster):
    """Guards against an entry that serves from the first page of what it has to read."""
    cluster.log.store(('other', batch_sequence(1, 20), (encode_record(label('a')),) * 20))
    heard = []
    async with cluster.running() as replica:
        replica.subscribe(lambda *_told: heard.append(replica.caught_up))
        await replica.wait_applied(20, 5)
        assert not any(heard) and len(heard) == 20
        assert replica.caught_up


async def test_page_that_is_too_large_is_read_in_parts(cluster, monkeypatch):
    """Guards against a replica that asks for the same unreadable page for ever."""
    read = cluster.log.read

    async def read_small(stream, first, limit, wait_ms):
        if limit > 2:
            raise errors.PlatformError('answer too large')
        return await read(stream, first, limit, wait_ms)

    monkeypatch.setattr(cluster.log, 'read', read_small)
    cluster.log.store(('other', batch_sequence(1, 9), (encode_record(label('a')),) * 9))
    async with cluster.running() as replica:
        await replica.wait_applied(9, 10)


async def test_no_peer_and_no_log_is_not_caught_up(cluster):
    """Guards against entries that restart together in an outage and agree on an empty state."""
    cluster.log.reachable = False
    async with cluster.running() as first:
        cluster.relay.peer = first
        async with cluster.running() as second:
            await asyncio.sleep(20)
            assert not (first.caught_up or second.caught_up)


@pytest.mark.parametrize('tail_records', [2, 100])
async def test_bootstrap_and_catch_up_from_peer(cluster, tail_records):
    """Guards against an entry that cannot start or follow while it cannot reach the log."""
    async with cluster.running(tail_records=tail_records) as peer:
        await propose_all(peer, 'abcde')
        cluster.log.reachable = False
        cluster.relay.peer = peer
        async with cluster.running() as late:
            await asyncio.sleep(3)
            assert late.caught_up
            assert not late.log_reachable
            cluster.log.reachable = True
            await late.propose(label('f'), 5)

    assert labels_of(late) == list('abcdef')


async def test_bootstrap_from_snapshot_after_retention(cluster):
    """Guards against state that is lost, or applied from the middle or twice, once its records expire."""
    repeated = ('other', batch_sequence(1, 1), [encode_record(label('a'))])
    cluster.log.store(repeated)
    async with cluster.running() as writer:
        await propose_all(writer, 'bc')
        assert await writer.write_snapshot_if_due(preferred=True)
        assert not await writer.write_snapshot_if_due(preferred=True)
        await writer.propose(label('d'), 5)
    cluster.log.oldest = 4
    cluster.log.store(repeated)
    async with cluster.running() as late:
        await asyncio.sleep(2)
        assert late.caught_up
    assert labels_of(late) == list('abcd')
    assert not late.is_snapshot_due(preferred=True)


async def test_gap_after_snapshot_needs_peer(cluster):
    """Guards against a restored snapshot whose following records have expired."""
    async with cluster.running() as writer:
        await propose_all(writer, 'a')
        chunks = split_snapshot(writer.snapshot(), 's1', 0)
        await propose_all(writer, 'b')
        await writer.propose(next(chunks), 5)
        await propose_all(writer, 'c')
        cluster.log.oldest = 3
        async with cluster.running() as late:
            await asyncio.sleep(5)
            assert (late.applied, late.caught_up) == (0, False)
            cluster.relay.peer = writer
            await asyncio.sleep(5)
            assert late.caught_up
    assert labels_of(late) == list('abc')


async def test_snapshot_never_moves_state_back(cluster):
    """Guards against a peer's older state that replaces a newer one."""
    async with cluster.running() as writer:
        await writer.propose(label('a'), 5)
        old = writer.snapshot()
        await writer.propose(label('b'), 5)
        assert not writer.applier.restore(old)
    assert (labels_of(writer), writer.applied) == (['a', 'b'], 2)
