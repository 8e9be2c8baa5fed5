"""What the leader answers about the placement of a submission that it would make now."""

from enum import Enum

import msgspec

__all__ = ('PLACEMENT_PATH', 'Explanation', 'Place', 'Ruling', 'StepExplanation', 'StepReason')

#: Path of the question at the port for other entries.
PLACEMENT_PATH = '/placement'


class Ruling(Enum):
    """What rules a worker out for a step; the first that applies in this order.

    Attributes:
        draining: it is not ready for new tasks.
        unlisted: it is not in the list of workers, or has not been recorded by this leader yet.
        not_answering: it has not answered recently, or has not listed the runs of earlier leaders yet.
        paused: it has refused a start, or has not listed all its ends.
        quarantined: its last runs have failed.
        label: it lacks the label that the step requires.
        advice_denied: the advice has denied it for the step.
        no_ticket: the step holds no valid ticket for it.
        reserved: it is reserved for a gang that waits for room.
        start_limit: too many starts are under way there.
        failed_there: a task of the step has failed there recently.
        cpu: it has too little free processor time.
        memory: it has too little free memory.
        accelerators: it has too few free accelerators.
        spread_limit: it holds as many tasks of the step as it may.
        none: it has room for a further task.
    """

    draining = 'draining'
    unlisted = 'unlisted'
    not_answering = 'not_answering'
    paused = 'paused'
    quarantined = 'quarantined'
    label = 'label'
    advice_denied = 'advice_denied'
    no_ticket = 'no_ticket'
    reserved = 'reserved'
    start_limit = 'start_limit'
    failed_there = 'failed_there'
    cpu = 'cpu'
    memory = 'memory'
    accelerators = 'accelerators'
    spread_limit = 'spread_limit'
    none = 'none'


class StepReason(Enum):
    """Why a step is not placed completely, where the pass itself has no `PendingReason` for it.

    Attributes:
        placed: all its waiting tasks would be placed.
        nothing_waits: no task of it waits.
        predecessors: steps that it depends on are not done.
        not_due: its occurrence is not due yet.
        needs_advice: the advice would be asked for tickets first.
        start_limits: so many starts are under way that no further task may be placed.
        set_aside: its handling has raised, and is repeated later.
    """

    placed = 'placed'
    nothing_waits = 'nothing_waits'
    predecessors = 'predecessors'
    not_due = 'not_due'
    needs_advice = 'needs_advice'
    start_limits = 'start_limits'
    set_aside = 'set_aside'


class Place(msgspec.Struct, frozen=True):
    """Tasks of a step that would go to one worker."""

    worker: str
    failure_domain: str
    tasks: int


class StepExplanation(msgspec.Struct, frozen=True):
    """What would happen to one step in a scheduling pass.

    Attributes:
        step: name of the step.
        waiting: number of its tasks that wait.
        running: number of its tasks that run or are being started.
        service_class: class in the order of service, empty unless it may be placed now.
        position: position among the steps that may be placed now, from 1; 0 if it is not among them.
        ready_steps: number of these steps.
        task_s: expected time of its longest task, in s.
        remaining_s: expected time from its start until the submission is complete, in s.
        reason: why it is not placed completely, a `StepReason` or a `PendingReason`.
        places: workers to which tasks would go.
        ruled_out: number of the other workers of the service, by `Ruling`.
        to_ask: workers about which the advice would be asked.
    """

    step: str
    waiting: int
    running: int
    service_class: str
    position: int
    ready_steps: int
    task_s: float
    remaining_s: float
    reason: str
    places: list[Place] = []
    ruled_out: dict[str, int] = {}
    to_ask: list[str] = []


class Explanation(msgspec.Struct, frozen=True):
    """What would happen to a submission in a scheduling pass.

    Attributes:
        submission: its id; that of a trial if it is not handed in.
        leader: address of the entry that has answered.
        objective_s: time in which it should be complete, in s.
        steps: its steps; only the first ones of a long submission.
        omitted: number of the steps that are left out.
    """

    submission: str
    queue: str
    service: str
    workspace: str
    leader: str
    objective_s: float
    steps: list[StepExplanation]
    omitted: int = 0
