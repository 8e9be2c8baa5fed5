"""State of the log: streams, offsets, retention and the append rate limit."""

from collections import defaultdict, deque
from collections.abc import Callable

from marigoldlift.ids import Offset, StreamId
from marigoldlift.platform.messages import AppendRequest, AppendResult, LogRecord, RecordPage

from standins.errors import PastRetentionError, RateLimitedError
from standins.messages import LogStats, StreamStats

__all__ = ('LogState', 'StreamState')

FIRST_OFFSET = 1
RATE_WINDOW_S = 1


class StreamState:
    """One stream: the retained records, with consecutive offsets.

    Attributes:
        oldest: oldest retained offset; equals `next` when no record is retained.
        records: the retained records.
        appended_s: time in seconds at which each retained record was appended.
    """

    def __init__(self) -> None:
        """Initialize an empty stream."""
        self.oldest = FIRST_OFFSET
        self.records: list[LogRecord] = []
        self.appended_s: list[float] = []
        self.stats = StreamStats()

    @property
    def next(self) -> Offset:
        """Offset of the next record to be appended."""
        return Offset(self.oldest + len(self.records))

    def append(self, batch: AppendRequest, now_s: float) -> AppendResult:
        """Append the batch; batches sent twice are not deduplicated."""
        first = self.next
        for index, payload in enumerate(batch.payloads):
            self.records.append(
                LogRecord(Offset(first + index), batch.producer, batch.sequence, payload),
            )
            self.appended_s.append(now_s)
        self.stats.appends += 1
        self.stats.records += len(batch.payloads)
        self.stats.size_bytes += sum(map(len, batch.payloads))
        return AppendResult(first, self.next)

    def read(self, first: int, limit: int) -> RecordPage:
        """Return at most `limit` records, starting at offset `first`.

        Raises:
            PastRetentionError: `first` is below the oldest retained offset.
        """
        if first < self.oldest:
            raise PastRetentionError(self.oldest)
        begin = first - self.oldest
        records = self.records[begin : begin + limit]
        return RecordPage(Offset(self.oldest), self.next, records)

    def drop_oldest(self, retain_records: int, oldest_s: float) -> None:
        """Drop the oldest records in excess of `retain_records`, and those appended before `oldest_s`."""
        surplus = max(0, len(self.records) - retain_records)
        while surplus < len(self.records) and self.appended_s[surplus] < oldest_s:
            surplus += 1
        if surplus:
            self.drop(surplus)

    def drop(self, surplus: int) -> None:
        """Drop the `surplus` oldest records; their offsets are not reused."""
        self.records = self.records[surplus:]
        self.appended_s = self.appended_s[surplus:]
        self.oldest += surplus


class LogState:
    """All streams of the log; a stream is created at its first use.

    Attributes:
        retain_records: maximum number of records retained in each stream.
        retain_s: age in seconds after which a record is dropped.
        appends_per_s: maximum number of appends in any second, across all streams.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        *,
        retain_records: int,
        retain_s: float,
        appends_per_s: int,
    ) -> None:
        """Initialize an empty log; `clock` returns seconds."""
        self.clock = clock
        self.retain_records = retain_records
        self.retain_s = retain_s
        self.appends_per_s = appends_per_s
        self.streams: defaultdict[StreamId, StreamState] = defaultdict(StreamState)
        self.recent_appends_s: deque[float] = deque()
        self.stats = LogStats()

    def append(self, stream: StreamId, batch: AppendRequest) -> AppendResult:
        """Append a batch.

        Raises:
            RateLimitedError: too many appends within the last second; nothing was appended.
        """
        now_s = self.clock()
        self.check_rate_limit(now_s)
        appended = self.streams[stream].append(batch, now_s)
        self.drop_oldest(stream)
        return appended

    def read(self, stream: StreamId, first: int, limit: int) -> RecordPage:
        """Return at most `limit` records, starting at offset `first`.

        Raises:
            PastRetentionError: `first` is below the oldest retained offset.
        """
        self.drop_oldest(stream)
        return self.streams[stream].read(first, limit)

    def snapshot_stats(self) -> LogStats:
        """Return the totals of the log and of each stream."""
        self.stats.streams = {name: stream.stats for name, stream in self.streams.items()}
        return self.stats

    def drop_oldest(self, stream: StreamId) -> None:
        """Apply the retention limits to one stream."""
        oldest_s = self.clock() - self.retain_s
        self.streams[stream].drop_oldest(self.retain_records, oldest_s)

    def check_rate_limit(self, now_s: float) -> None:
        """Count an append against the rate limit.

        Raises:
            RateLimitedError: the limit has been reached.
        """
        recent = self.recent_appends_s
        while recent and recent[0] <= now_s - RATE_WINDOW_S:
            recent.popleft()
        if len(recent) >= self.appends_per_s:
            self.stats.refused += 1
            raise RateLimitedError(f'limit is {self.appends_per_s} appends a second')
        recent.append(now_s)
