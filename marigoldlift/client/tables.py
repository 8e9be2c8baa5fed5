"""Formatting of replies as text tables."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from marigoldlift.client.trace_tree import draw_tree
from marigoldlift.operators import messages

__all__ = (
    'draw_apply',
    'draw_explanation',
    'draw_fields',
    'draw_jobs',
    'draw_objects',
    'draw_status',
    'draw_table',
    'draw_trace',
)

GAP = '  '


def draw_table(head: Sequence[str], rows: Iterable[Sequence[object]]) -> str:
    """Draw a table with left-aligned columns, each as wide as its longest cell."""
    cells = [list(head), *([format_cell(cell) for cell in row] for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(draw_row(row, widths) for row in cells)


def draw_row(row: Sequence[str], widths: Sequence[int]) -> str:
    """Draw one line of a table."""
    padded = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
    return GAP.join(padded).rstrip()


def format_cell(cell: object) -> str:
    """Return the text of one cell; objects and lists become JSON on one line."""
    if isinstance(cell, str):
        return cell
    if isinstance(cell, bool):
        return 'yes' if cell else 'no'
    return msgspec.json.encode(cell).decode().strip('"')


def draw_fields(fields: Mapping[str, object]) -> str:
    """Draw the fields of any object, one row for each field."""
    return draw_table(('FIELD', 'VALUE'), list(fields.items()))


def draw_apply(reply: messages.ApplyReply) -> str:
    """Draw the version of an accepted change set and how far each entry has applied it."""
    everywhere = 'everywhere' if reply.in_force else 'NOT YET EVERYWHERE'
    title = f'accepted as version {reply.version}, in force {everywhere}'
    rows = [
        (entry.vm_id, entry.failure_domain, entry.applied, entry.in_force)
        for entry in reply.entries
    ]
    table = draw_table(('ENTRY', 'FAILURE DOMAIN', 'APPLIED', 'IN FORCE'), rows)
    return '\n'.join((title, f'change id {reply.change_id}', table))


def draw_objects(reply: messages.ObjectsReply) -> str:
    """Draw configuration objects."""
    rows = [(view.kind, view.name, view.version, view.value) for view in reply.views]
    title = f'version {reply.version}, applied offset {reply.applied}'
    return '\n'.join((title, draw_table(('KIND', 'NAME', 'VERSION', 'VALUE'), rows)))


def draw_status(reply: messages.StatusReply) -> str:
    """Draw the status of all entries."""
    head = (
        'ENTRY',
        'FAILURE DOMAIN',
        'STATE',
        'CONFIGURATION',
        'WORKERS',
        'FREE SLOTS',
        'QUEUE',
        'DELAY MS',
        'APPLIED',
    )
    rows = [
        (
            entry.vm_id,
            entry.failure_domain,
            'suspect' if entry.suspect else entry.state,
            entry.configuration_version,
            entry.owned_workers,
            entry.free_slots,
            entry.queue_length,
            entry.queue_delay_ms,
            entry.applied,
        )
        for entry in reply.entries
    ]
    return draw_table(head, rows)


def draw_jobs(reply: messages.JobsReply) -> str:
    """Draw a list of jobs, and notes on jobs that are missing from it."""
    head = ('HANDLE', 'WORKSPACE', 'KIND', 'STATE', 'TASKS', 'RUNNING', 'ENDED', 'PRIORITY')
    rows = [
        (
            job.handle,
            job.workspace,
            job.kind,
            job.state,
            job.tasks,
            job.running,
            job.ended,
            job.priority,
        )
        for job in reply.jobs
    ]
    notes = []
    if reply.truncated:
        notes.append('there are more jobs; select by workspace or state')
    notes.extend(f'failure domain {name} did not answer' for name in reply.missing)
    return '\n'.join((draw_table(head, rows), *notes))


def draw_explanation(reply: messages.ExplainReply) -> str:
    """Draw why a job or request is in its state, with one row for each task."""
    title = f'{reply.handle} {reply.state}: {reply.reason}'
    rows = [
        (task.task_index, task.attempt, task.state, task.worker_id or '', task.reason)
        for task in reply.tasks
    ]
    if not rows:
        return title
    return '\n'.join((title, draw_table(('TASK', 'ATTEMPT', 'STATE', 'WORKER', 'REASON'), rows)))


def draw_trace(reply: messages.TraceReply) -> str:
    """Draw the spans as a tree, and which entries did not answer."""
    missing = [f'entry {vm_id} did not answer' for vm_id in reply.missing]
    return '\n'.join((f'trace {reply.trace_id}', *draw_tree(reply.spans), *missing))
