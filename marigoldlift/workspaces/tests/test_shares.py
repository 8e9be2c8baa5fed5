"""Which submissions of a workspace count as within its share."""

import random
from collections import Counter

import pytest

from marigoldlift.ids import WorkspaceId
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.model import Workspace
from marigoldlift.workspaces.shares import READ_LAG_S, UNLIMITED, WorkspaceShares

#: Usual rate of a workspace as a part of its weight, and that of a surge as a multiple of the usual rate.
USUAL_SHARE = 1 / 1.9
SURGE_FACTOR = 7.5
SURGE_S = 6.5
WEIGHT = 19.0


class Play:
    """Shares of twenty workspaces of equal weight on a clock that the test advances."""

    def __init__(self):
        """Start at time 0."""
        self.now = 0
        self.names = [WorkspaceId(f'team{number}') for number in range(20)]
        directory = WorkspaceDirectory()
        directory.replace(1, [Workspace(name, WEIGHT) for name in self.names])
        self.shares = WorkspaceShares(directory, lambda: self.now)

    def send(self, rates, span_s):
        """Let workspaces send at random times, and count what is within and beyond their shares."""
        rng = random.Random(1)
        counts = Counter()
        while self.now < span_s:
            self.now += rng.expovariate(sum(rates.values()))
            name = rng.choices(list(rates), list(rates.values()))[0]
            ahead_s = self.shares.standing(name).ahead_s
            self.shares.count(name, ahead_s)
            counts[name, ahead_s > 0] += 1
        return counts


@pytest.mark.parametrize('surging', [1, 20])
def test_only_what_a_surge_sends_beyond_the_weight_is_beyond_the_share(surging):
    """Guards against a surge that takes the share of others, or that costs its own workspace more than the excess."""
    play = Play()
    usual = WEIGHT * USUAL_SHARE
    surge = dict.fromkeys(play.names[:surging], usual * SURGE_FACTOR)
    counts = play.send(dict.fromkeys(play.names, usual) | surge, SURGE_S)
    for name in surge:
        assert WEIGHT * SURGE_S * 0.9 <= counts[name, False] <= WEIGHT * (SURGE_S + 1) + 5
        assert counts[name, True] > counts[name, False]
    assert not any(counts[name, True] for name in play.names[surging:])


def test_records_read_at_once_after_a_pause_count_for_a_moment_only():
    """Guards against an entry that takes a share for a surge, as it reads in a moment what others accepted for long."""
    play = Play()
    for _ in range(int(WEIGHT * 60)):
        play.shares.count(play.names[0], 0)
    play.now += 2 * READ_LAG_S
    assert not play.shares.standing(play.names[0]).ahead_s


def test_workspaces_without_weight_have_no_limit():
    """Guards against a deployment without workspaces, or a caller without a key, that is served otherwise than before."""
    play = Play()
    play.shares.count(play.names[0], 0)
    play.shares.directory.replace(2, [Workspace(WorkspaceId('free'))])
    for name in (WorkspaceId(''), WorkspaceId('free'), play.names[0]):
        assert play.shares.standing(name) == UNLIMITED
