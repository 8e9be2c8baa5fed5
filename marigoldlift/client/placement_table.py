"""Formatting of the answer where a submission would be placed."""

from collections.abc import Iterable, Sequence

from marigoldlift.client.tables import draw_table
from marigoldlift.scheduling.explanation import Explanation, Place, Ruling, StepExplanation

__all__ = ('draw_placement',)

HEAD = (
    'STEP',
    'WAITING',
    'RUNNING',
    'CLASS',
    'POSITION',
    'TASK S',
    'REMAINING S',
    'RESULT',
    'WORKERS',
    'OTHER WORKERS',
)

#: Names in one cell; `--json` shows all.
MAX_NAMES = 6


def draw_placement(found: Explanation) -> str:
    """Draw one row for each step."""
    title = (
        f'submission {found.submission}, queue {found.queue}, service {found.service},'
        f' workspace {found.workspace or "-"}, objective {found.objective_s:.2f} s, answered by {found.leader}'
    )
    lines = [title, draw_table(HEAD, map(step_row, found.steps))]
    if found.omitted:
        lines.append(f'{found.omitted} more steps')
    lines.extend(
        f'advice would be asked for {step.step}: {shorten(step.to_ask)}'
        for step in found.steps
        if step.to_ask
    )
    return '\n'.join(lines)


def step_row(step: StepExplanation) -> Sequence[object]:
    """Return the cells of one step."""
    position = f'{step.position} of {step.ready_steps}' if step.position else '-'
    cells: list[object] = [step.step, step.waiting, step.running, step.service_class or '-']
    cells += [
        position,
        f'{step.task_s:.2f}',
        f'{step.remaining_s:.2f}',
        step.reason,
        shorten(map(place_text, step.places)) or '-',
        ', '.join(ruling_text(*pair) for pair in step.ruled_out.items()) or '-',
    ]
    return cells


def place_text(place: Place) -> str:
    """Return a worker with its failure domain and number of tasks."""
    return f'{place.worker} ({place.failure_domain}): {place.tasks}'


def ruling_text(ruling: str, workers: int) -> str:
    """Return the number of workers to which a ruling applies."""
    name = 'has room' if ruling == Ruling.none.value else ruling.replace('_', ' ')
    return f'{name}: {workers}'


def shorten(names: Iterable[str]) -> str:
    """Join names, the first ones only if there are many."""
    listed = list(names)
    more = len(listed) - MAX_NAMES
    shown = ', '.join(listed[:MAX_NAMES])
    return f'{shown} and {more} more' if more > 0 else shown
