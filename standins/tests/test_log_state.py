"""Tests of the streams, the retention and the rate limit of the log."""

import pytest

from marigoldlift.platform.messages import AppendRequest

from standins.errors import PastRetentionError, RateLimitedError
from standins.log_state import LogState


@pytest.fixture
def log(clock):
    """Provide a log that retains 4 records for 60 seconds and accepts 3 appends per second."""
    return LogState(clock, retain_records=4, retain_s=60, appends_per_s=3)


def batch(*payloads, sequence=1):
    """Return a batch from a fixed producer."""
    return AppendRequest('producer', sequence, list(payloads))


def test_no_gaps_and_repeats_are_kept(log):
    """Guards against a log that deduplicates a batch sent twice, or skips an offset."""
    log.append('s', batch(b'a', b'b'))
    again = log.append('s', batch(b'a', b'b'))

    page = log.read('s', 1, 10)
    assert (again.first_offset, again.next_offset, page.next) == (3, 5, 5)
    assert [record.offset for record in page.records] == [1, 2, 3, 4]
    assert [record.payload for record in page.records] == [b'a', b'b', b'a', b'b']
    assert {record.sequence for record in page.records} == {1}


def test_count_retention_moves_the_oldest_offset(log):
    """Guards against reads that silently skip dropped records."""
    log.append('s', batch(b'a', b'b', b'c', b'd', b'e'))

    with pytest.raises(PastRetentionError) as refused:
        log.read('s', 1, 10)
    assert refused.value.oldest == 2
    assert log.read('s', 2, 2).records[0].payload == b'b'


def test_age_retention_keeps_offsets(log, clock):
    """Guards against offsets that restart after all records have expired."""
    log.append('s', batch(b'a'))
    clock.advance(61)

    page = log.read('s', 2, 10)
    assert (page.oldest, page.next, page.records) == (2, 2, [])
    assert log.append('s', batch(b'b')).first_offset == 2


def test_rate_limit_counts_all_streams(log, clock):
    """Guards against a rate limit per stream, and against a refused append that takes effect."""
    for stream in ('s', 't', 'u'):
        log.append(stream, batch(b'a'))

    with pytest.raises(RateLimitedError):
        log.append('s', batch(b'b'))
    clock.advance(1)
    assert log.append('s', batch(b'c')).first_offset == 2
    assert log.snapshot_stats().refused == 1
