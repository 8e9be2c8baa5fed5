"""Ids of jobs, keys and their starts on workers, and the home failure domain that they name.

A job or key id is `<failure domain>.<kind letter>.<digest>`. A task id appends `.<task
index>.<attempt>`; a key has one task and one attempt, because it is dispatched at most once.
"""

from collections.abc import Iterable, Mapping

import msgspec

from marigoldlift.configuration.objects import FAILURE_DOMAIN_LABEL
from marigoldlift.configuration.selectors import accepted_values
from marigoldlift.errors import InvalidInputError
from marigoldlift.ids import (
    FailureDomain,
    IdempotencyKey,
    JobId,
    KeyId,
    TaskId,
    WorkspaceId,
)
from marigoldlift.util import digest

__all__ = (
    'JobTaskRef',
    'KeyRef',
    'home_domain',
    'home_of',
    'job_id_for',
    'key_id_for',
    'parse_task_id',
    'task_id_of_job',
    'task_id_of_key',
)


JOB_LETTER = 'j'
KEY_LETTER = 'k'

#: Parts of a handle (domain, letter, digest) are split from the right: a domain may hold dots.
HANDLE_SPLITS = 2
TASK_SPLITS = 2
HANDLE_PARTS = HANDLE_SPLITS + 1

#: Task index and attempt of the only dispatch of a key.
KEY_SUFFIX = '.0.1'


class JobTaskRef(msgspec.Struct, frozen=True):
    """One attempt of one task of a job."""

    job_id: JobId
    task_index: int
    attempt: int


class KeyRef(msgspec.Struct, frozen=True):
    """The only dispatch of a key."""

    key_id: KeyId


def job_id_for(domain: FailureDomain, workspace: WorkspaceId, key: IdempotencyKey) -> JobId:
    """Return the id of the job that a workspace submits under a key."""
    return JobId(f'{domain}.{JOB_LETTER}.{digest(workspace, key)}')


def key_id_for(domain: FailureDomain, workspace: WorkspaceId, key: IdempotencyKey) -> KeyId:
    """Return the id of the non-repeatable request that a workspace sends under a key."""
    return KeyId(f'{domain}.{KEY_LETTER}.{digest(workspace, key)}')


def home_of(handle: str) -> FailureDomain:
    """Return the home failure domain that a job or key id names.

    Raises:
        InvalidInputError: the text is not a job or key id.
    """
    return FailureDomain(split_handle(handle)[0])


def home_domain(
    workspace: WorkspaceId,
    key: IdempotencyKey,
    failure_domains: Iterable[FailureDomain],
    selector: Mapping[str, str],
) -> FailureDomain:
    """Return the home failure domain of a key: by rendezvous hash among those it may run in.

    Raises:
        InvalidInputError: the selector accepts none of the failure domains.
    """
    domains = accepted_values(selector, FAILURE_DOMAIN_LABEL, sorted(failure_domains))
    if not domains:
        raise InvalidInputError(
            'no failure domain is accepted',
            f'selector.{FAILURE_DOMAIN_LABEL}',
        )
    best = max(domains, key=lambda domain: digest(domain, workspace, key))
    return FailureDomain(best)


def task_id_of_job(job_id: JobId, task_index: int, attempt: int) -> TaskId:
    """Return the id of one attempt of one task of a job."""
    return TaskId(f'{job_id}.{task_index}.{attempt}')


def task_id_of_key(key_id: KeyId) -> TaskId:
    """Return the id of the only dispatch of a key."""
    return TaskId(f'{key_id}{KEY_SUFFIX}')


def parse_task_id(task_id: TaskId) -> JobTaskRef | KeyRef:
    """Return what a task id names.

    Raises:
        InvalidInputError: the id belongs to neither a job nor a key, as those of repeatable
            requests, which are not durable.
    """
    parts = task_id.rsplit('.', TASK_SPLITS)
    numbers = [part for part in parts[1:] if part.isascii() and part.isdecimal()]
    if len(numbers) != TASK_SPLITS:
        raise InvalidInputError(f'not a task id of a job or key: {task_id}')
    handle = parts[0]
    if split_handle(handle)[1] == KEY_LETTER:
        return KeyRef(KeyId(handle))
    return JobTaskRef(JobId(handle), *map(int, numbers))


def split_handle(handle: str) -> list[str]:
    """Split a job or key id into domain, kind letter and digest."""
    parts = handle.rsplit('.', HANDLE_SPLITS)
    if len(parts) != HANDLE_PARTS or parts[1] not in {JOB_LETTER, KEY_LETTER}:
        raise InvalidInputError(f'not a job or key id: {handle}')
    return parts
