"""Rates at which workspaces submit, measured against their weights.

Answers the load of one caller's surge: what a workspace submits beyond its weight is told apart from its share, so that
the work of others need not wait for it.
"""

import copy
import math
from collections.abc import Callable

import msgspec

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.directory import WorkspaceDirectory

__all__ = ('UNLIMITED', 'Standing', 'WorkspaceShares')

#: Submissions that a workspace may send at once within its share, as seconds of its weight and as a number: callers
#: arrive at random, so that one within its weight sends a few at once.
BURST_S = 1.0
BURST_SUBMISSIONS = 4

#: Time in which entries admit submissions that the others have not read yet, in s: the pause between two reads of the log,
#: and an append.
READ_LAG_S = 0.5


class Standing(msgspec.Struct, frozen=True):
    """How the next submission of a workspace relates to its weight.

    Attributes:
        weight: submissions that the workspace may send in a second, 0 without a limit.
        rate_per_s: submissions that it has sent in a second, over about the last window.
        ahead_s: time in which it would have sent at its weight what it has sent beyond it; 0 for a submission within its
            share.
        may_be_refused: whether the workspace has exceeded the limit as well.
    """

    weight: float
    rate_per_s: float
    ahead_s: float
    may_be_refused: bool


#: Standing of a submission whose workspace has no weight.
UNLIMITED = Standing(weight=0, rate_per_s=0, ahead_s=0, may_be_refused=False)


class Usage:
    """What one workspace has sent; both levels fall by its weight each second.

    Attributes:
        within: submissions within its share that its weight has not covered yet.
        sent: all submissions that its weight has not covered yet.
        rate_per_s: submissions in a second, with exponentially decaying weights over the window.
        updated_at: time of the values, in seconds of the monotonic clock.
    """

    __slots__ = ('rate_per_s', 'sent', 'updated_at', 'within')

    def __init__(self, now: float) -> None:
        """Start without submissions."""
        self.within: float = 0
        self.sent: float = 0
        self.rate_per_s: float = 0
        self.updated_at = now

    def advance(self, now: float, weight: float, window_s: float) -> None:
        """Let the time since the last update pass."""
        elapsed_s = max(0, now - self.updated_at)
        self.updated_at = now
        self.within = max(0, self.within - weight * elapsed_s)
        self.sent = max(0, self.sent - weight * elapsed_s)
        self.rate_per_s *= math.exp(-elapsed_s / window_s)


class WorkspaceShares:
    """Usage of all workspaces that have a weight, as one entry knows it.

    A restarted entry starts without usage, and one that has not read the log for a while knows what it has accepted
    itself: both take too much for being within a share, never too little.
    """

    def __init__(self, directory: WorkspaceDirectory, clock: Callable[[], float]) -> None:
        """Start without usage.

        Args:
            directory: weights of the workspaces, and how far they may be exceeded.
            clock: monotonic time in seconds.
        """
        self.directory = directory
        self.clock = clock
        self.version = directory.version
        self.usages: dict[WorkspaceId, Usage] = {}

    def weight_of(self, workspace: WorkspaceId) -> float:
        """Return the weight of a workspace, 0 if it has none."""
        found = self.directory.find(workspace)
        return found.weight if found else 0

    def usage_of(self, workspace: WorkspaceId, weight: float) -> Usage:
        """Return the present usage of a workspace, which is created on first use."""
        self.forget_removed()
        now = self.clock()
        usage = self.usages.get(workspace)
        if usage is None:
            usage = Usage(now)
            self.usages[workspace] = usage
        usage.advance(now, weight, self.directory.share_limits.window_s)
        return usage

    def forget_removed(self) -> None:
        """Drop the usage of workspaces that a newer configuration does not name."""
        if self.version == self.directory.version:
            return
        self.version = self.directory.version
        for workspace in self.usages.keys() - self.directory.workspaces.keys():
            self.usages.pop(workspace)

    def standing(self, workspace: WorkspaceId) -> Standing:
        """Return how the next submission of a workspace relates to its weight."""
        weight = self.weight_of(workspace)
        if not weight:
            return UNLIMITED
        usage = self.usage_of(workspace, weight)
        is_beyond = usage.within + 1 > weight * BURST_S + BURST_SUBMISSIONS
        is_over = usage.sent + 1 > self.directory.share_limits.burst(weight)
        return Standing(
            weight=weight,
            rate_per_s=usage.rate_per_s,
            ahead_s=max(usage.sent, usage.within) / weight if is_beyond else 0,
            may_be_refused=is_beyond and is_over,
        )

    def preview(self, workspace: WorkspaceId) -> Standing:
        """Return what `standing` would, on a copy of the usage."""
        preview = copy.copy(self)
        preview.usages = {name: copy.copy(usage) for name, usage in self.usages.items()}
        return preview.standing(workspace)

    def count(self, workspace: WorkspaceId, ahead_s: float) -> None:
        """Count an accepted submission.

        The levels are bounded, so that neither a surge that met free capacity nor the records read at once after a pause
        count against the workspace for long.

        Args:
            workspace: who has sent it.
            ahead_s: the mark of the submission, 0 if it is within the share.
        """
        weight = self.weight_of(workspace)
        if not weight:
            return
        usage = self.usage_of(workspace, weight)
        most_sent = (
            self.directory.share_limits.burst(weight)
            + weight * self.directory.share_limits.window_s
        )
        usage.sent = min(usage.sent + 1, most_sent)
        usage.rate_per_s += 1 / self.directory.share_limits.window_s
        if not ahead_s:
            most_within = weight * (BURST_S + READ_LAG_S) + BURST_SUBMISSIONS
            usage.within = min(usage.within + 1, most_within)

    def withdraw(self, workspace: WorkspaceId, ahead_s: float) -> None:
        """Take back the count of a submission that was not stored."""
        usage = self.usages.get(workspace)
        if usage is None:
            return
        usage.sent = max(0, usage.sent - 1)
        usage.rate_per_s = max(0, usage.rate_per_s - 1 / self.directory.share_limits.window_s)
        if not ahead_s:
            usage.within = max(0, usage.within - 1)
