"""What callers within their share pay for the surge of another workspace."""

import asyncio
from collections import Counter
from statistics import fmean

import pytest

from marigoldlift.errors import ShareExceededError
from marigoldlift.ids import WorkspaceId
from marigoldlift.scheduling import planner
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.submissions.records import Outcome
from marigoldlift.workspaces.model import Workspace
from tests.cell.model import policy

ELECTION_S = 1.5
TASK_S = 1.0

#: Two workers of 8 cores finish 16 tasks of one core in a second. Twenty workspaces usually send half of that, and one of
#: them a third of this half.
USUAL_PER_S = {f'team{number}': 0.28 for number in range(19)} | {'large': 2.7}
WORKSPACES = [
    Workspace(WorkspaceId(name), max(1, rate * 1.9)) for name, rate in USUAL_PER_S.items()
]
SURGE_FACTOR = 7.5
SURGE_S = 5.0

#: Objective of each submission, in s; what a caller within its share may wait longer on the mean for another's surge, as a
#: part of it; and time after which all that was accepted is complete.
OBJECTIVE_S = 3.0
PAID_SHARE = 0.1
SETTLED_S = 40


class SurgePlay:
    """Callers of all workspaces: the time until each submission was complete, and refusals, by workspace."""

    def __init__(self, cell):
        """Let each entry read the workspaces."""
        self.cell = cell
        self.waits = {name: [] for name in USUAL_PER_S}
        self.refused = Counter()
        cell.duration_of = lambda task: TASK_S
        for entry in cell.entries:
            entry.calls.duration_of = cell.duration_of
            entry.node.workspaces.replace(1, WORKSPACES)

    async def run(self, factors, trouble):
        """Let all workspaces send at a multiple of their usual rate, and wait until what was accepted is complete."""
        await asyncio.sleep(ELECTION_S)
        sending = [
            asyncio.create_task(
                self.send(name, phase / len(USUAL_PER_S), rate * factors.get(name, 1))
            )
            for phase, (name, rate) in enumerate(USUAL_PER_S.items())
        ]
        await asyncio.sleep(SURGE_S / 2)
        trouble(self.cell)
        watching = [watch for group in await asyncio.gather(*sending) for watch in group]
        await asyncio.wait_for(asyncio.gather(*watching), SETTLED_S)

    async def send(self, workspace, phase, per_s):
        """Submit at even pauses, and return the tasks that wait for the outcomes."""
        watching = []
        until = self.cell.loop.time() + SURGE_S
        await asyncio.sleep(phase / per_s)
        while self.cell.loop.time() < until:
            watching.append(
                asyncio.create_task(self.submit(workspace, f'{workspace}-{len(watching)}'))
            )
            await asyncio.sleep(1 / per_s)
        return watching

    async def submit(self, workspace, name):
        """Submit at a running entry, and wait until the submission is complete."""
        running = [entry for entry in self.cell.entries if not entry.gate.stopped]
        entry = running[len(name) % len(running)]
        steps = (Step(count=1, cpu_m=1000, estimate_ms=TASK_S * 1000),)
        sent = Submission(SubmissionId(name), '', steps, policy(), entry.name, workspace=workspace)
        self.cell.checker.submissions[name] = sent
        sent_at = self.cell.loop.time()
        try:
            await entry.node.acceptance.submit(sent, OBJECTIVE_S)
        except ShareExceededError:
            self.refused[workspace] += 1
            return
        while self.cell.outcome(name) is not Outcome.complete:
            await asyncio.sleep(0.02)
        self.waits[workspace].append(self.cell.loop.time() - sent_at)

    def others_waits(self):
        """Return the waiting times of the workspaces that keep to their share."""
        return [wait for name, waits in self.waits.items() if name != 'large' for wait in waits]


@pytest.fixture
def play_surge(run_scenario):
    """Return a function that plays a load in a cell of two workers and returns what callers got."""

    def run(factors, trouble=bool):
        plays = []

        async def scenario(cell):
            plays.append(SurgePlay(cell))
            await plays[0].run(factors, trouble)

        run_scenario(scenario, workers=2)
        return plays[0]

    return run


def kill_leader(cell):
    """End the process of the leader for good."""
    cell.leader().kill()


def restart_follower(cell):
    """Replace the process of an entry that does not lead."""
    follower = next(entry for entry in cell.entries if entry is not cell.leader())
    follower.kill()
    follower.start()
    follower.node.workspaces.replace(1, WORKSPACES)


@pytest.mark.parametrize('trouble', [bool, kill_leader, restart_follower])
def test_surge_is_paid_by_its_own_workspace(play_surge, trouble):
    """Guards against callers within their share who wait for another's surge, also as entries end or start in it."""
    calm = play_surge({}, trouble)
    surge = play_surge({'large': SURGE_FACTOR}, trouble)
    assert fmean(surge.others_waits()) - fmean(calm.others_waits()) <= PAID_SHARE * OBJECTIVE_S
    assert max(surge.others_waits()) <= OBJECTIVE_S
    assert not surge.refused


def test_surge_without_marks_is_paid_by_others(play_surge, monkeypatch):
    """Guards against a load that is too small to show what the order of service does."""
    monkeypatch.setattr(planner, 'service_rank', lambda step, now, wall_ms: (step.job.since,))
    plain = play_surge({'large': SURGE_FACTOR})
    assert fmean(plain.others_waits()) > TASK_S + PAID_SHARE * OBJECTIVE_S


def test_only_what_cannot_be_served_is_refused(play_surge):
    """Guards against a cell that fills up with work that will be worthless, and against refusals for another's surge."""
    surge = play_surge({'large': SURGE_FACTOR * 3})
    assert set(surge.refused) == {'large'}
    assert max(surge.others_waits()) <= OBJECTIVE_S


def test_twenty_surges_at_once_leave_each_its_share(play_surge):
    """Guards against workspaces that get nothing, or are refused within their share, as all send too much."""
    crest = play_surge(dict.fromkeys(USUAL_PER_S, SURGE_FACTOR))
    for name, rate in USUAL_PER_S.items():
        in_time = sum(wait <= OBJECTIVE_S for wait in crest.waits[name])
        assert in_time >= int(rate * SURGE_S), name
