"""What a workspace has running, derived from runs and records, and how many more tasks its cap admits."""

import math
from types import SimpleNamespace

import msgspec
import pytest
from hypothesis import given, strategies as st

from marigoldlift.leadership.earlier_leaders import EarlierLeaders
from marigoldlift.orders.api import Worker
from marigoldlift.orders.runs import UNKNOWN_DEMAND, HeldTasks, Phase, Run, RunTable
from marigoldlift.scheduling.cap_report import set_cap_gauges
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.scheduling.tasks import PendingReason
from marigoldlift.scheduling.workspace_caps import CONFIGURATION_LAG_S, MAX_REFUSED, WorkspaceCaps
from marigoldlift.scheduling.workspace_usage import ResourceUse, WorkspaceUsage, fitting_in_cap
from marigoldlift.submissions.model import (
    AdvicePolicy,
    Policy,
    Step,
    Submission,
    SubmissionId,
    TaskRef,
)
from marigoldlift.submissions.records import Outcome, Progress, StepProgress, UnansweredStart
from marigoldlift.submissions.state import CellState, Job
from marigoldlift.supervision import FaultBoundary
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.directory import WorkspaceDirectory
from marigoldlift.workspaces.model import ResourceCap, Workspace

WORKER = Worker('w', '10.0.0.1:80', 'a', 'service', True, 1, 8000, 8000, 0, ())
STEPS = (Step(count=3, cpu_m=1000), Step(count=3, cpu_m=500, fills=True, gang=True))
ADVICE = AdvicePolicy(450, 6.5, 2000)
LAB = Workspace('lab', cap=ResourceCap(cpu_m=4000))


@pytest.fixture
def state():
    """Return the state of a cell with the submission `job` of `lab` and the submission `free` of no workspace."""
    found = CellState(int)
    for name, workspace in (('job', 'lab'), ('free', '')):
        policy = Policy('queue', 'service', 1, 3, 2.0, 1000)
        found.accept(
            0, Submission(SubmissionId(name), '', STEPS, policy, 'e0', workspace=workspace)
        )
    return found


@pytest.fixture
def manager():
    """Return what the derivation uses of the sessions, with two workers."""
    held = HeldTasks()
    tables = {name: RunTable(WORKER, held) for name in ('w0', 'w1')}
    return SimpleNamespace(
        sessions={
            name: SimpleNamespace(run_table=table, token=7) for name, table in tables.items()
        },
        held_tasks=held,
        earlier_orders=SimpleNamespace(unreachable={}, leaders=EarlierLeaders('e0', int)),
        faults=FaultBoundary(int, Metrics()),
    )


@pytest.fixture
def directory():
    """Return a directory that holds `lab`."""
    found = WorkspaceDirectory()
    found.replace(1, [LAB])
    return found


@pytest.fixture
def caps(directory, state, manager):
    """Return caps whose clock stands at 0."""
    return WorkspaceCaps(directory, WorkspaceUsage(state, manager), int)


def run_of(name, step, index, demand=None):
    """Return a run of a task."""
    task = TaskRef(SubmissionId(name), 0, step, index)
    return Run(task, 1, demand or STEPS[step], Phase.held, 0)


@pytest.mark.parametrize(
    ('cap', 'step', 'running', 'fitting'),
    [
        (ResourceCap(), Step(count=9, cpu_m=1000), 5, 9),
        (ResourceCap(cpu_m=4500), Step(count=9, cpu_m=1000), 1, 3),
        (ResourceCap(cpu_m=9000, mem_mb=100), Step(count=9, cpu_m=1, mem_mb=60), 1, 0),
        (ResourceCap(gpus=2), Step(count=9, cpu_m=1000, gpus=1), 0, 2),
        (ResourceCap(cpu_m=900), Step(count=9, mem_mb=60), 1, 0),
        (ResourceCap(cpu_m=900), Step(count=9, cpu_m=1000), 0, 1),
    ],
)
def test_tasks_fit_up_to_each_limit(cap, step, running, fitting):
    """Guards against starts above a limit, and against a single task that waits for ever as it is larger than its cap."""
    used = ResourceUse()
    used.add_tasks(Step(count=1, cpu_m=1000, mem_mb=60), running)
    assert fitting_in_cap(cap, used, step) == fitting


@given(
    changes=st.lists(
        st.tuples(
            st.booleans(),
            *map(st.sampled_from, ('wx', ['job', 'free', 'gone'], (0, 1), (0, 1, 2))),
        )
    )
)
def test_derived_usage_is_that_of_the_runs(changes):
    """Guards against sums that drift from the runs as these come and go, or move to a new session of their worker."""
    held = HeldTasks()
    manager = SimpleNamespace(sessions={}, held_tasks=held)
    manager.earlier_orders = SimpleNamespace(unreachable={})
    jobs = {
        name: SimpleNamespace(submission=SimpleNamespace(workspace=workspace))
        for name, workspace in (('job', 'lab'), ('free', ''))
    }
    usage = WorkspaceUsage(SimpleNamespace(jobs=jobs), manager)
    for is_taken, worker, *task in changes:
        if task[0] == 'gone' and not is_taken:
            manager.sessions.pop(worker, None)
        session = manager.sessions.setdefault(
            worker, SimpleNamespace(run_table=RunTable(WORKER, held))
        )
        run = run_of(*task, demand=UNKNOWN_DEMAND if task[0] == 'gone' else None)
        if is_taken:
            session.run_table.take(run)
        else:
            session.run_table.pop(run.task)
        running = [
            known
            for open_session in manager.sessions.values()
            for known in open_session.run_table.runs.values()
            if known.task.submission == 'job'
        ]
        used = usage.derive(()).get('lab', ResourceUse())
        assert used.tasks == len(running)
        assert used.cpu_m == sum(known.step.cpu_m for known in running)


@pytest.mark.parametrize('outcome', [Outcome.running, Outcome.cancelled])
def test_records_count_until_their_worker_has_listed_its_runs(state, manager, outcome):
    """Guards against a takeover that forgets what silent workers run, also of ended submissions, or counts it for ever."""
    progress = StepProgress(0, 0, placed={0: 'w0', 1: 'w1', 2: 'w1'})
    state.update_job(Progress(SubmissionId('job'), 1, outcome, [progress]))
    manager.earlier_orders.unreachable = {'w0': None, 'w1': None}
    usage = WorkspaceUsage(state, manager)
    usage.earlier_runs.begin()
    assert usage.derive(())['lab'].tasks == 3
    manager.sessions['w0'].run_table.take(run_of('job', 0, 0))
    assert usage.derive(())['lab'].tasks == 3
    manager.earlier_orders.unreachable.pop('w1')
    assert usage.derive(())['lab'].tasks == 1


def test_unanswered_start_of_an_ended_submission_keeps_its_room(state, manager):
    """Guards against starts beside an order of a cancelled submission that a restarted worker executes after a takeover."""
    progress = StepProgress(0, 0, placed={0: 'w0'}, unanswered={0: UnansweredStart(1, 1)})
    state.update_job(Progress(SubmissionId('job'), 1, Outcome.cancelled, [progress]))
    usage = WorkspaceUsage(state, manager)
    usage.earlier_runs.begin()
    assert usage.derive(())['lab'].tasks == 1
    assert manager.sessions['w0'].run_table.cpu_m == 7000


def test_room_of_gangs_is_kept(state, manager, caps):
    """Guards against a gang whose missing members, or whose turn, are lost to other steps of its workspace."""
    plain, gang = JobRun(state.jobs['job']).open_due(0)
    manager.sessions['w0'].run_table.take(run_of('free', 0, 0, Step(count=1, cpu_m=9000)))
    caps.begin_pass([plain, gang])
    assert caps.admit(plain) == 3
    caps.reserve(gang)
    assert (caps.admit(plain), caps.admit(gang)) == (2, 3)
    gang.gang_started_at = 0
    caps.begin_pass([plain, gang])
    assert (caps.admit(plain), caps.admit(gang)) == (2, 3)
    caps.note_placed(gang, 3)
    assert caps.admit(plain) == 2


def test_steps_ask_for_no_more_tickets_than_the_cap_has_room(state, caps):
    """Guards against questions of every waiting step of a workspace at its cap, whose tickets expire before they are used."""
    advised = msgspec.structs.replace(
        state.jobs['job'].submission, policy=Policy('queue', 'service', 1, 3, 2.0, 0, ADVICE)
    )
    steps = [next(JobRun(Job(advised, 0, 0)).open_due(0)) for _ in range(3)]
    caps.begin_pass(steps)
    asked = []
    for step in steps:
        asked.append(caps.room_to_ask(step, caps.admit(step)))
        step.ask_after = math.inf
        caps.note_question(step, asked[-1])
    assert asked == [3, 1, 0]
    assert [caps.admit(step) for step in steps] == [3, 3, 3]


def test_gang_larger_than_its_cap_waits_alone(directory, state, caps):
    """Guards against a gang that can never run and keeps the room of its workspace or counts as placeable."""
    plain, gang = JobRun(state.jobs['job']).open_due(0)
    directory.replace(2, [Workspace('lab', cap=ResourceCap(cpu_m=1400))])
    caps.reserve(gang)
    assert (caps.admit(gang), caps.admit(plain)) == (0, 1)
    assert caps.may_wait(gang)
    assert not caps.may_wait(plain)


@pytest.mark.parametrize(
    ('version', 'read_at', 'workspaces', 'admitted'),
    [
        (-1, 0, [], 0),
        (1, -3, [LAB], 0),
        (1, 0, [], 0),
        (1, CONFIGURATION_LAG_S + 0.1, [], 3),
        (1, 0, [LAB], 3),
    ],
)
def test_step_waits_until_its_cap_is_known(
    directory, state, caps, version, read_at, workspaces, admitted
):
    """Guards against starts under a cap that is unknown or out of date, and against waiting for one that was withdrawn."""
    step = next(JobRun(state.jobs['job']).open_due(0))
    directory.workspaces = {}
    directory.version = -1
    directory.replace(version, workspaces)
    directory.read_at = lambda: read_at
    assert caps.admit(step) == admitted
    assert (caps.pending_reason(step) is PendingReason.cap_unknown) == (not admitted)


def test_gauges_show_the_share_of_the_cap(directory, manager, caps):
    """Guards against a workspace at its cap that operators cannot tell from one without work."""
    directory.replace(2, [LAB, Workspace('club', cap=LAB.cap), Workspace('free')])
    for index in range(3):
        manager.sessions['w0'].run_table.take(run_of('job', 0, index, Step(count=3, cpu_m=1300)))
    metrics = Metrics()
    set_cap_gauges(caps, metrics)
    assert metrics.numbers[Metric.workspace_cap_share] == {('lab',): 0.975, ('club',): 0}
    assert metrics.number(Metric.workspaces, state='full') == 1
    assert metrics.number(Metric.workspaces, state='below_half') == 1


def test_withdrawn_workspace_keeps_its_last_cap(directory):
    """Guards against accepted work that runs without its limit, or never, once its workspace was withdrawn."""
    directory.replace(2, [])
    assert directory.find('lab') is None
    assert directory.find_last('lab') is LAB


def test_larger_task_is_not_overtaken_for_ever(state, manager, caps):
    """Guards against a task that never finds room in the cap because smaller ones of its workspace take what comes free."""
    plain = next(JobRun(state.jobs['job']).open_due(0))
    large = next(JobRun(state.jobs['job']).open_due(0))
    large.step = msgspec.structs.replace(large.step, cpu_m=2000)
    for index in range(3):
        manager.sessions['w0'].run_table.take(run_of('job', 0, index))
    caps.begin_pass([large, plain])
    assert (caps.admit(large), caps.admit(plain)) == (0, 1)
    caps.refuse(large)
    assert caps.admit(plain) == 0


def test_refused_steps_of_one_workspace_do_not_fill_the_pass(state, caps):
    """Guards against a pass that is slow for all while thousands of steps of one workspace wait for its cap."""
    step = next(JobRun(state.jobs['job']).open_due(0))
    caps.begin_pass([step])
    for _ in range(MAX_REFUSED):
        assert not caps.is_exhausted(step)
        caps.refuse(step)
    assert caps.is_exhausted(step)
    caps.begin_pass([step])
    assert not caps.is_exhausted(step)
