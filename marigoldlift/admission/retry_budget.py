"""Retry budget, which keeps retries from amplifying an overload."""

__all__ = ('DEFAULT_BURST', 'DEFAULT_RATIO', 'RetryBudget')

#: Retries allowed per request.
DEFAULT_RATIO = 0.1

#: Maximum number of retries saved up while few are made.
DEFAULT_BURST = 10

#: Tokens are counted in integer thousandths: as floats, ten times 0.1 adds up to less than a whole token.
PARTS_PER_TOKEN = 1000


class RetryBudget:
    """Token bucket: each request adds a fraction of a token, each retry consumes a whole one."""

    def __init__(self, ratio: float = DEFAULT_RATIO, burst: int = DEFAULT_BURST) -> None:
        """Start with a full bucket.

        Args:
            ratio: retries allowed per request, from 0 to 1, in steps of a thousandth.
            burst: maximum number of tokens in the bucket.
        """
        self.share = round(ratio * PARTS_PER_TOKEN)
        self.capacity = burst * PARTS_PER_TOKEN
        self.parts = self.capacity

    def on_request(self) -> None:
        """Add the share of one request; call this for first attempts only."""
        self.parts = min(self.capacity, self.parts + self.share)

    def try_retry(self) -> bool:
        """Consume a token; return False when the retry must not be made."""
        if self.parts < PARTS_PER_TOKEN:
            return False
        self.parts -= PARTS_PER_TOKEN
        return True
