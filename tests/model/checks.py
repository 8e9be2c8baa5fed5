"""Checks of the invariants, based only on the workers' journals, the log's records and the callers' replies."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from itertools import chain

import msgspec

from marigoldlift.errors import InvalidInputError
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.jobs.task_ids import JobTaskRef, parse_task_id
from marigoldlift.journal.applier import StreamApplier
from marigoldlift.journal.messages import KeyStatus
from marigoldlift.journal.snapshots import SnapshotSchedule
from marigoldlift.journal.tail import RecordTail
from marigoldlift.peers.messages import ReplyStatus
from standins.messages import JournalEntry, JournalKind
from standins.worker_state import WorkerState

from tests.model.callers import Attempt, Sent, SentKind

__all__ = ('check_answers', 'check_journals', 'check_not_run', 'state_of_log', 'unfinished')

ENDS = frozenset((JournalKind.end, JournalKind.stop, JournalKind.lapse, JournalKind.killed))


class Run(msgspec.Struct):
    """One run of a task on a worker; `ended_s` is infinite while it runs."""

    task_id: str
    worker_id: str
    started_s: float
    ended_s: float = float('inf')

    @property
    def subject(self) -> str:
        """Return the request id, key id or job id that the task belongs to."""
        if '#' in self.task_id:
            return self.task_id.partition('#')[0]
        return self.task_id.rsplit('.', 2)[0]

    def __str__(self) -> str:
        """Describe the run for a failure message."""
        return f'{self.task_id} on {self.worker_id} {self.started_s:.3f}-{self.ended_s:.3f}'


def journal_entries(workers: Iterable[WorkerState]) -> list[JournalEntry]:
    """Return the journal entries of all workers, including ends that are due by now."""
    entries: list[JournalEntry] = []
    for worker in workers:
        worker.advance()
        entries.extend(worker.observer.journal)
    return entries


def runs_of(entries: Iterable[JournalEntry]) -> list[Run]:
    """Return all runs in the order of their starts."""
    runs: list[Run] = []
    open_runs: dict[tuple[str, str], Run] = {}
    for entry in entries:
        worker_task = (entry.worker_id, entry.task_id)
        if entry.kind is JournalKind.start:
            run = Run(entry.task_id, entry.worker_id, entry.at_s)
            runs.append(run)
            open_runs[worker_task] = run
        elif entry.kind in ENDS:
            open_runs.pop(worker_task).ended_s = entry.at_s
    return sorted(runs, key=lambda run: run.started_s)


def check_journals(workers: Iterable[WorkerState]) -> dict[str, list[Run]]:
    """Check invariants 1, 2 and 5 on the journals; return all runs by subject."""
    entries = journal_entries(workers)
    over_allocations = [entry for entry in entries if entry.kind is JournalKind.over_allocation]
    assert not over_allocations, f'invariant 1: {over_allocations[0]}'
    runs = runs_of(entries)
    check_places(runs)
    check_starts(runs)
    return by_subject(runs)


def check_places(runs: Iterable[Run]) -> None:
    """Check that no task of a job runs repeated at the same time (invariant 2)."""
    by_task = defaultdict(list)
    for run in runs:
        ref = durable_ref(run.task_id)
        if isinstance(ref, JobTaskRef):
            by_task[ref.job_id, ref.task_index].append(run)
    for task_runs in by_task.values():
        for earlier, later in zip(task_runs, task_runs[1:], strict=False):
            assert earlier.ended_s <= later.started_s, f'invariant 2: {earlier}, {later}'


def check_starts(runs: Iterable[Run]) -> None:
    """Check that each key, and each attempt of a task, starts at most once (invariant 5)."""
    starts = Counter(run.task_id for run in runs if durable_ref(run.task_id) is not None)
    repeated = [task_id for task_id, count in starts.items() if count > 1]
    assert not repeated, f'invariant 5: {[str(run) for run in runs if run.task_id in repeated]}'


def by_subject(runs: Iterable[Run]) -> dict[str, list[Run]]:
    """Group runs by subject."""
    found = defaultdict(list)
    for run in runs:
        found[run.subject].append(run)
    return found


def check_not_run(runs: Mapping[str, list[Run]], sent: Iterable[Sent]) -> None:
    """Check that nothing with a reply `not_run` has started (invariant 4)."""
    for one in sent:
        for attempt in one.attempts:
            if attempt.reply is not None and attempt.reply.status is ReplyStatus.not_run:
                started = list(contradicting_runs(runs, one, attempt))
                assert not started, f'invariant 4: {attempt.reply} but {started[0]}'


def contradicting_runs(
    runs: Mapping[str, list[Run]], sent: Sent, refused: Attempt
) -> Iterator[Run]:
    """Yield the runs that contradict an attempt's reply `not_run`.

    The reply covers all attempts up to this one. A later attempt may run, unless the reply has the
    handle of a key, which shows that the key was closed.
    """
    if sent.kind is SentKind.request:
        subjects = map(sent.subject, sent.attempts[: refused.number])
        yield from chain.from_iterable(runs.get(subject, ()) for subject in subjects)
        return
    final = sent.kind is SentKind.charge and bool(refused.reply.handle)
    later = [] if final else sent.attempts[refused.number :]
    until_s = min((attempt.sent_s for attempt in later), default=float('inf'))
    for run in runs.get(sent.handle, ()):
        if run.started_s < until_s:
            yield run


def check_answers(runs: Mapping[str, list[Run]], sent: Iterable[Sent]) -> None:
    """Check that a completed request got its own answer and has run (invariant 3)."""
    for one in sent:
        for attempt in one.attempts:
            if attempt.reply is None or attempt.reply.status is not ReplyStatus.completed:
                continue
            assert attempt.reply.answer == one.answer, f'invariant 3: {one}'
            assert one.subject(attempt) in runs, f'invariant 3: nothing ran for {one}'


def state_of_log(records) -> DomainState:
    """Return the state after applying the records of a domain stream."""
    state = DomainState()
    applier = StreamApplier(
        state,
        RecordTail(1, 1),
        SnapshotSchedule(1, 20_000),
        lambda record, position, applied: None,
        lambda: None,
    )
    applier.apply_page(records)
    return state


def unfinished(state: DomainState, sent: Iterable[Sent]) -> list[str]:
    """Return a line for each job or key that was accepted and has not ended, or is lost (invariant 9)."""
    found = [f'job {job_id} is open' for job_id in state.jobs.unfinished()]
    found += [
        f'key {entry.key_id} is claimed'
        for entry in state.keys.keys.values()
        if entry.status is KeyStatus.claimed
    ]
    found += [f'{one.handle} is lost' for one in sent if is_lost(state, one)]
    return found


def is_lost(state: DomainState, sent: Sent) -> bool:
    """Return whether the log lacks a job or key that a reply to a caller declared durable."""
    statuses = {attempt.reply.status for attempt in sent.attempts if attempt.reply is not None}
    if sent.kind is SentKind.job:
        return ReplyStatus.accepted in statuses and state.jobs.job(sent.handle) is None
    if sent.kind is SentKind.charge and ReplyStatus.completed in statuses:
        entry = state.keys.key(sent.handle)
        return entry is None or entry.status is not KeyStatus.completed
    return False


def durable_ref(task_id: str):
    """Return the job task or key that a task id refers to, None for a repeatable request."""
    try:
        return parse_task_id(task_id)
    except InvalidInputError:
        return None
