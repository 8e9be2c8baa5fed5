"""Follows one stream: from the log, or from peers while the log is unreachable."""

import asyncio

from loguru import logger

from marigoldlift.errors import (
    LogUnavailableError,
    MarigoldliftError,
    PlatformError,
    RetentionPassedError,
)
from marigoldlift.ids import Offset, StreamId
from marigoldlift.journal.applier import StreamApplier
from marigoldlift.journal.scan import SnapshotScan
from marigoldlift.journal.settings import ReplicaSettings
from marigoldlift.journal.state import PeerRelay
from marigoldlift.platform.api import LogService
from marigoldlift.platform.messages import RecordPage

__all__ = ('StreamFollower',)

# Keeps a log that does not wait for records from being polled without a pause.
IDLE_PAUSE_S = 0.02

# Between attempts to get a state when neither the log nor a peer had a usable snapshot.
SEARCH_PAUSE_S = 1.0


class StreamFollower:
    """Reader of one stream.

    Attributes:
        caught_up: whether the end of the log, or of the best peer's records while the log was
            unreachable, was reached once.
        log_reachable: whether the last read was answered.
        scan: search for a snapshot while records that follow the state are missing.
    """

    def __init__(
        self,
        log: LogService,
        stream: StreamId,
        applier: StreamApplier,
        relay: PeerRelay | None,
        settings: ReplicaSettings,
    ) -> None:
        """Start at the applier's state."""
        self.log = log
        self.stream = stream
        self.applier = applier
        self.relay = relay
        self.settings = settings
        self.backoff = settings.new_backoff()
        self.page_records = settings.page_records
        self.caught_up = False
        self.log_reachable = False
        self.scan: SnapshotScan | None = None

    async def follow_once(self) -> None:
        """Read and apply once; on a failure ask the peers, then pause."""
        try:
            await self.follow_log()
        except PlatformError as error:
            self.note_unreachable(error)
            await self.follow_peers()
            await asyncio.sleep(self.backoff.next_delay_s())
        else:
            self.backoff.reset()

    async def follow_log(self) -> None:
        """Read once from the log.

        Raises:
            PlatformError: the log did not answer as it should.
        """
        if self.scan is None:
            await self.read_next()
        else:
            await self.search_snapshot(self.scan)

    async def read_next(self) -> None:
        """Read and apply the next records; start a scan when they are no longer kept.

        Raises:
            PlatformError: the log did not answer as it should.
        """
        first = Offset(self.applier.applied + 1)
        try:
            page = await self.read_page(first)
        except RetentionPassedError as passed:
            logger.warning('{} is kept from {}, needed from {}', self.stream, passed.oldest, first)
            self.scan = SnapshotScan(Offset(passed.oldest))
            return
        if page.next < first:
            raise PlatformError(f'log ends at {page.next}, state is at {first}')
        self.applier.apply_page(page.records)
        self.caught_up = self.caught_up or self.applier.applied + 1 >= page.next

    async def search_snapshot(self, scan: SnapshotScan) -> None:
        """Scan on for a snapshot; at the end of the log restore the newest, or a peer's.

        Raises:
            PlatformError: the log did not answer as it should.
        """
        try:
            page = await self.read_page(scan.cursor)
        except RetentionPassedError as passed:
            scan.skip_to(Offset(passed.oldest))
            return
        scan.add(page.records)
        if scan.cursor < page.next:
            return
        if self.restore_scanned(scan, page.oldest) or await self.restore_from_peer(page.oldest):
            self.scan = None
            return
        logger.error('no snapshot of {} reaches offset {}', self.stream, page.oldest)
        await asyncio.sleep(SEARCH_PAUSE_S)

    async def read_page(self, first: Offset) -> RecordPage:
        """Read a page of the log; asks for fewer records after a page that cannot be used.

        Raises:
            PlatformError: the log did not answer as it should.
        """
        wait_ms = self.settings.long_poll_ms if self.log_reachable else 0
        try:
            page = await self.log.read(self.stream, first, self.page_records, wait_ms)
        except PlatformError as error:
            self.note_failed_read(error)
            raise
        self.log_reachable = True
        if page.oldest > first:
            raise RetentionPassedError(page.oldest)
        self.page_records = min(self.settings.page_records, self.page_records * 2)
        if not page.records:
            await asyncio.sleep(IDLE_PAUSE_S)
        return page

    def note_failed_read(self, error: PlatformError) -> None:
        """Ask for fewer records after an answer that could not be used."""
        if isinstance(error, RetentionPassedError):
            self.log_reachable = True
        elif not isinstance(error, LogUnavailableError):
            self.page_records = max(1, self.page_records // 2)

    def restore_scanned(self, scan: SnapshotScan, oldest: Offset) -> bool:
        """Restore the newest snapshot of the scan if the records after it are still kept."""
        newest = scan.assembler.newest
        if newest is None or newest.as_of + 1 < oldest:
            return False
        return self.applier.restore(newest)

    async def restore_from_peer(self, oldest: Offset) -> bool:
        """Restore a peer's snapshot if the records from `oldest` on follow it without a gap."""
        if self.relay is None:
            return False
        try:
            snapshot = await self.relay.read_snapshot(self.stream)
        except MarigoldliftError as error:
            logger.info('no snapshot of {} from peers: {}', self.stream, error.reason)
            return False
        if snapshot is None or snapshot.as_of + 1 < oldest:
            return False
        return self.applier.restore(snapshot)

    async def follow_peers(self) -> None:
        """Catch up with the best peer as far as it answers."""
        if self.relay is None:
            return
        try:
            await self.catch_up_with_peers(self.relay)
        except MarigoldliftError as error:
            logger.info('no records of {} from peers: {}', self.stream, error.reason)

    async def catch_up_with_peers(self, relay: PeerRelay) -> None:
        """Read and apply until the best peer has no more.

        Raises:
            MarigoldliftError: no peer answered as it should.
        """
        progress = True
        while progress:
            before = self.applier.applied
            first = Offset(before + 1)
            page = await relay.read_records(self.stream, first, self.settings.page_records)
            await self.take_peer_page(page, first)
            progress = self.applier.applied > before

    async def take_peer_page(self, page: RecordPage, first: Offset) -> None:
        """Apply a peer's records, or its snapshot when they do not follow the state.

        A peer that has not caught up itself does not know the end of the stream, and says so by
        `next` 0.

        Raises:
            PlatformError: a record is missing.
        """
        if page.oldest > first:
            await self.restore_from_peer(page.oldest)
        else:
            self.applier.apply_page(page.records)
        if 0 < page.next <= self.applier.applied + 1:
            self.caught_up = True
            self.scan = None

    def note_unreachable(self, error: PlatformError) -> None:
        """Log the first failure after a success."""
        if self.log_reachable:
            logger.warning('log lost for {}: {} {}', self.stream, error.code, error.reason)
        self.log_reachable = False
