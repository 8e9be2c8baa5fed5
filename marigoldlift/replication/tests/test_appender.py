"""Group commit under lost answers, refusals and fencing."""

import asyncio
import random

import pytest

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    SequenceMismatchError,
)
from marigoldlift.replication.api import Producer
from marigoldlift.replication.append_router import SLOW_RESPONSE_S
from marigoldlift.replication.appender import RESEND_S, Appender
from marigoldlift.submissions.model import SubmissionId
from marigoldlift.submissions.records import Cancelled
from marigoldlift.telemetry.metrics import Metrics
from standins.cell.log import LogClient, LogFault, MemoryLog

pytestmark = pytest.mark.looptime


def cancelled(number):
    """Return a record with a unique key."""
    return Cancelled(SubmissionId(f'job{number}'))


@pytest.fixture
async def client():
    """Return a log that loses every answer once a fault is set."""
    opened = LogClient(MemoryLog(), random.Random(1))
    opened.fault_share = 1
    return opened


@pytest.fixture
async def appender(client):
    """Return a running appender."""
    made = Appender(client, Producer('e', 1), asyncio.get_running_loop().time, Metrics())
    running = asyncio.create_task(made.run())
    yield made
    running.cancel()


async def test_records_of_many_callers_are_one_append(client, appender):
    """Guards against one call per record: the store accepts a few hundred calls per second."""
    offsets = await asyncio.gather(
        *(appender.append(cancelled(number), 1) for number in range(20))
    )
    assert offsets == list(range(20))
    assert appender.sequence == 1


async def test_lost_answer_stores_once(client, appender):
    """Guards against storing a record twice after the answer to its append was lost."""
    client.fault = LogFault.lose
    waiting = asyncio.create_task(appender.append(cancelled(1), 5))
    await asyncio.sleep(1)
    client.fault = None
    assert await waiting == 0
    assert len(client.log.records) == 1


async def test_group_is_stored_at_consecutive_offsets(client, appender):
    """Guards against offsets that count callers instead of records."""
    stored = await asyncio.gather(
        appender.append_all((cancelled(1), cancelled(2)), 1), appender.append(cancelled(3), 1)
    )
    assert stored == [0, 2]
    assert [found.key for found in client.log.records] == ['c/job1', 'c/job2', 'c/job3']


async def test_group_is_dropped_as_a_whole(client, appender):
    """Guards against storing part of a group after the log refused it until its caller timed out."""
    client.fault = LogFault.refuse
    with pytest.raises(AppendRefusedError):
        await appender.append_all((cancelled(1), cancelled(2)), 1)
    client.fault = None
    await appender.append(cancelled(3), 1)
    assert [found.key for found in client.log.records] == ['c/job3']


async def test_refusal_is_reported_only_when_nothing_was_stored(client, appender):
    """Guards against reporting a record as refused that was stored while its answer was lost."""
    client.fault = LogFault.refuse
    with pytest.raises(AppendRefusedError):
        await appender.append(cancelled(1), 1)
    await asyncio.sleep(1)
    client.fault = LogFault.lose
    with pytest.raises(AppendOutcomeUnknownError):
        await appender.append(cancelled(2), 0.5)
    assert [stored.key for stored in client.log.records] == ['c/job2']


async def test_later_epoch_fences_an_earlier_leader(client):
    """Guards against placements that an earlier leader stores after its successor has read the log."""
    clock = asyncio.get_running_loop().time
    earlier = Appender(client, Producer('leader', 5), clock, Metrics())
    later = Appender(client, Producer('leader', 9), clock, Metrics())
    running = [asyncio.create_task(made.run()) for made in (earlier, later)]
    await earlier.append(cancelled(1), 1)
    assert await later.fence()
    with pytest.raises(AppendRefusedError):
        await earlier.append(cancelled(2), 1)
    assert earlier.fenced
    await later.append(cancelled(3), 1)
    for task in running:
        task.cancel()


async def test_record_in_doubt_is_not_reported_as_refused_by_a_fence(client):
    """Guards against telling a caller that nothing was stored after an answer was lost and the epoch ended."""
    clock = asyncio.get_running_loop().time
    earlier = Appender(client, Producer('leader', 5), clock, Metrics())
    later = Appender(client, Producer('leader', 9), clock, Metrics())
    running = asyncio.create_task(earlier.run())
    client.fault = LogFault.lose
    waiting = asyncio.create_task(earlier.append(cancelled(1), 5))
    await asyncio.sleep(0.5)
    client.fault = None
    assert await later.fence()
    with pytest.raises(AppendOutcomeUnknownError):
        await waiting
    assert [stored.key for stored in client.log.records] == ['c/job1']
    running.cancel()


async def test_unanswered_batch_is_abandoned_after_its_callers_have_left(client):
    """Guards against a record that is stored minutes after its caller was told that the outcome is unknown."""
    loop = asyncio.get_running_loop()
    entry = Appender(client, Producer('e', 1), loop.time, Metrics(), may_abandon=True)
    running = asyncio.create_task(entry.run())
    client.fault = LogFault.silent
    with pytest.raises(AppendOutcomeUnknownError):
        await entry.append(cancelled(1), 1)
    await asyncio.sleep(RESEND_S + 5)
    client.fault = None
    await entry.append(cancelled(2), 1)
    with pytest.raises(SequenceMismatchError):
        client.log.produce([('c/job1', b'late')], Producer('e', 1), 0)
    assert [stored.key for stored in client.log.records] == ['c/job2']
    running.cancel()


async def test_batch_is_resent_while_a_caller_may_come_back(client):
    """Guards against giving up a batch during a short outage, or records of a leader, whose epoch has a meaning."""
    loop = asyncio.get_running_loop()
    appenders = [
        Appender(client, Producer(name, 1), loop.time, Metrics(), may_abandon=name == 'e')
        for name in ('e', 'leader')
    ]
    running = [asyncio.create_task(made.run()) for made in appenders]
    client.fault = LogFault.silent
    for number, made in enumerate(appenders):
        with pytest.raises(AppendOutcomeUnknownError):
            await made.append(cancelled(number), 1)
    await asyncio.sleep(RESEND_S / 2)
    client.fault = None
    await asyncio.sleep(2)
    assert sorted(stored.key for stored in client.log.records) == ['c/job0', 'c/job1']
    client.fault = LogFault.silent
    with pytest.raises(AppendOutcomeUnknownError):
        await appenders[1].append(cancelled(2), 1)
    await asyncio.sleep(2 * RESEND_S)
    client.fault = None
    await asyncio.sleep(2)
    assert client.log.records[-1].key == 'c/job2'
    for task in running:
        task.cancel()


async def test_caller_waits_longer_for_a_record_that_may_be_stored(client, appender):
    """Guards against callers that are left in doubt, and cannot ask again, although an answer comes in time for them."""
    client.fault = LogFault.lose
    waiting = asyncio.create_task(appender.append(cancelled(1), 1, 2))
    await asyncio.sleep(1.5)
    client.fault = None
    assert await waiting == 0


async def test_record_that_is_not_sent_is_refused_early(client, appender):
    """Guards against a wait for doubt where there is none: the caller could have gone to another entry."""
    client.fault = LogFault.lose
    first = asyncio.create_task(appender.append(cancelled(1), 1, 5))
    await asyncio.sleep(0.1)
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    with pytest.raises(AppendRefusedError):
        await appender.append(cancelled(2), 1, 5)
    assert loop.time() - began_at <= 2
    first.cancel()


async def test_append_in_progress_counts_as_response_time(client, appender):
    """Guards against records that queue behind an append in progress instead of going to the leader."""
    client.fault = LogFault.lose
    waiting = asyncio.create_task(appender.append(cancelled(1), 5))
    await asyncio.sleep(0.5)
    assert appender.response_s > SLOW_RESPONSE_S
    waiting.cancel()
