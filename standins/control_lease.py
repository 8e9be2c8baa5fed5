"""Control lease of a worker: one holder at a time, with an epoch that grows with each claim."""

from marigoldlift.ids import Epoch
from marigoldlift.platform.messages import LeaseRequest

__all__ = ('ControlLease',)

MS_PER_S = 1000


class ControlLease:
    """Lease timed by the worker's clock; all times are in seconds.

    Attributes:
        holder: the last claimant; empty after a release, kept after an expiry.
        epoch: number of the last granted claim, used as fencing token.
        expires_s: time at which the lease expires.
        renewed_s: time at which the task leases were last extended. A claim does not extend them: a
            claim delayed in transit could keep a task alive that others consider stopped.
    """

    def __init__(self, now_s: float) -> None:
        """Initialize a lease without a holder."""
        self.holder = ''
        self.epoch = Epoch(0)
        self.expires_s = now_s
        self.renewed_s = now_s

    def is_live(self, now_s: float) -> bool:
        """Return whether the lease has a holder and has not expired."""
        return bool(self.holder) and now_s < self.expires_s

    def live_holder(self, now_s: float) -> str:
        """Return the holder, empty when the lease is free or has expired."""
        return self.holder if self.is_live(now_s) else ''

    def remaining_ms(self, now_s: float) -> int:
        """Return the time until the lease expires, in milliseconds; 0 when it is not held."""
        return int((self.expires_s - now_s) * MS_PER_S) if self.is_live(now_s) else 0

    def claim(self, request: LeaseRequest, now_s: float) -> bool:
        """Grant the lease if it is free, expired, or held by the same holder; return whether granted."""
        if self.live_holder(now_s) not in {'', request.holder}:
            return False
        self.holder = request.holder
        self.epoch = Epoch(self.epoch + 1)
        self.expires_s = now_s + request.ttl_ms / MS_PER_S
        return True

    def extend(self, request: LeaseRequest, now_s: float) -> None:
        """Extend the lease to the requested TTL from now, and restart the task leases."""
        self.renewed_s = now_s
        self.expires_s = now_s + request.ttl_ms / MS_PER_S

    def release(self) -> None:
        """Clear the holder; the epoch is kept."""
        self.holder = ''
