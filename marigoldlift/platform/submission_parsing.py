"""Parses and checks the bodies of submissions."""

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.configuration import Queue
from marigoldlift.platform.wire import StepBody, SubmissionBody
from marigoldlift.submissions.model import Step, Submission, SubmissionId
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('parse_submission', 'submission_decoder')

MAX_CONTENT_BYTES = 4000

#: Largest submission: steps, and tasks over all occurrences. Its progress has to fit into one record.
MAX_STEPS = 1000
MAX_TASKS = 10_000

#: Largest body of a submission, in bytes.
MAX_BODY_BYTES = 262_144

submission_decoder: JsonDecoder[SubmissionBody] = JsonDecoder(SubmissionBody, MAX_BODY_BYTES)


def parse_submission(
    body: SubmissionBody,
    queue: Queue,
    name: SubmissionId,
    relay: str,
    workspace: WorkspaceId = NO_WORKSPACE,
) -> Submission:
    """Validate the body of a submission and convert it.

    Raises:
        InvalidInputError: there are no steps, the content is too long, there are too many tasks, or a step has no
            tasks or a wrong dependency.
    """
    check_submission(body)
    return Submission(
        id=name,
        content=body.spec,
        steps=tuple(map(parse_step, body.phases)),
        policy=queue.policy,
        relay=relay,
        occurrences=max(1, body.repeat_count),
        first_due_ms=body.start_at_ms if body.repeat_count else 0,
        interval_ms=body.interval_ms,
        workspace=workspace,
    )


def check_submission(body: SubmissionBody) -> None:
    """Validate the body of a submission beyond the types and ranges of its fields.

    Raises:
        InvalidInputError: it cannot be accepted.
    """
    if not 1 <= len(body.phases) <= MAX_STEPS:
        raise InvalidInputError(f'phases: 1 to {MAX_STEPS} steps are allowed')
    if len(body.spec.encode()) > MAX_CONTENT_BYTES:
        raise InvalidInputError(f'spec: longer than {MAX_CONTENT_BYTES} bytes')
    tasks = sum(phase.count for phase in body.phases) * max(1, body.repeat_count)
    if tasks > MAX_TASKS:
        raise InvalidInputError(f'phases: {tasks} tasks in total, allowed are {MAX_TASKS}')
    for number, phase in enumerate(body.phases):
        if not is_step_valid(number, phase):
            raise InvalidInputError(
                f'phases[{number}]: count is below 1, or after names no earlier step'
            )


def is_step_valid(number: int, phase: StepBody) -> bool:
    """Return whether a step has tasks and depends on earlier steps only."""
    return phase.count >= 1 and all(0 <= earlier < number for earlier in phase.after)


def parse_step(body: StepBody) -> Step:
    """Convert one step of a submission."""
    return Step(
        count=body.count,
        cpu_m=body.cpu,
        mem_mb=body.mem_mb,
        gpus=body.gpu,
        estimate_ms=body.est_ms,
        after=tuple(body.after),
        gang=body.gang,
        same_rack=body.same_rack,
        requires=body.requires,
        data_rack=body.data_rack,
        spread_limit=body.anti_affinity,
        checkpointing=body.checkpointing,
        speculative=body.speculative,
        long_running=body.long_running,
        fills=body.fills,
        may_be_away=body.may_miss,
    )
