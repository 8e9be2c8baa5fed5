"""Circuit breaker of a worker: takes it out of rotation while everything on it fails."""

import msgspec

__all__ = ('FIRST_PAUSE_S', 'Breaker')

#: Failures in a row that take a worker out of rotation.
FAILURES_TO_OPEN = 3

#: Time out of rotation after the first opening, in seconds; doubled each time.
FIRST_PAUSE_S = 30.0
LONGEST_PAUSE_S = 600.0


class Breaker(msgspec.Struct):
    """Counts failures in a row; after a pause one probe decides.

    Attributes:
        failures: failures since the last success.
        open_until_s: loop time until which the worker gets nothing; 0 while closed.
        pause_s: length of the next pause in seconds.
        probing: whether a probe is out after a pause.
        probed_until_s: loop time from which another probe may go out, since one may run for long.
        subject: what the last failure was of, empty if it shall count each time.
    """

    failures: int = 0
    open_until_s: float = 0
    pause_s: float = FIRST_PAUSE_S
    probing: bool = False
    probed_until_s: float = 0
    subject: str = ''

    def allows(self, now_s: float) -> bool:
        """Tell whether the worker may get work now."""
        if not self.open_until_s:
            return True
        is_probed = self.probing and now_s < self.probed_until_s
        return now_s >= self.open_until_s and not is_probed

    def on_start(self, now_s: float) -> None:
        """Note that work was sent; while open it is the probe."""
        if self.open_until_s:
            self.probing = True
            self.probed_until_s = now_s + FIRST_PAUSE_S

    def on_refused(self) -> None:
        """Note that the work was not run, which tells nothing about the worker's health."""
        self.probing = False

    def on_success(self) -> None:
        """Close the breaker."""
        self.failures = 0
        self.subject = ''
        self.open_until_s = 0
        self.pause_s = FIRST_PAUSE_S
        self.probing = False

    def on_failure(self, now_s: float, subject: str = '', *, may_open: bool = True) -> None:
        """Count a failure; open after some in a row, and again after a failed probe.

        Args:
            now_s: loop time.
            subject: failures of the same subject in a row count once, since a job that always
                fails tells nothing about its workers.
            may_open: whether the worker can be spared.
        """
        if subject and subject == self.subject:
            self.probing = False
            return
        self.subject = subject
        self.failures += 1
        if not self.probing and (self.failures < FAILURES_TO_OPEN or not may_open):
            return
        if self.open_until_s and not self.probing:
            return
        self.open_until_s = now_s + self.pause_s
        self.pause_s = min(self.pause_s * 2, LONGEST_PAUSE_S)
        self.probing = False
