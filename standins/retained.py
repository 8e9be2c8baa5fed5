"""Results of finished tasks and requests, which a worker keeps until they are acknowledged."""

from standins.work import Work

__all__ = ('RetainedResults',)


class RetainedResults:
    """Retained results, numbered from 1 in the order in which the work ended."""

    def __init__(self, keep_s: float) -> None:
        """Initialize without results; each one is kept for at most `keep_s` seconds."""
        self.keep_s = keep_s
        self.last_sequence = 0
        self.kept: dict[int, Work] = {}

    def add(self, work: Work) -> None:
        """Assign the next sequence number to ended work and keep its result."""
        self.last_sequence += 1
        work.sequence = self.last_sequence
        self.kept[work.sequence] = work

    def acknowledge(self, sequence: int) -> None:
        """Drop all results up to and including the sequence number."""
        self.kept = {number: work for number, work in self.kept.items() if number > sequence}

    def expire(self, now_s: float) -> None:
        """Drop results older than `keep_s`; `ends_s` of kept work is its actual end."""
        oldest_s = now_s - self.keep_s
        if self.kept and next(iter(self.kept.values())).ends_s <= oldest_s:
            self.kept = {
                number: work for number, work in self.kept.items() if work.ends_s > oldest_s
            }
