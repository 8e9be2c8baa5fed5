"""Decides who a caller is, and whether it may call a queue."""

from collections.abc import Mapping, Sequence
from enum import Enum
from http import HTTPStatus

from loguru import logger

from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.configuration import CellConfiguration, ConfigurationFreshness, Queue
from marigoldlift.platform.keys import KeyDigest, bearer_key, digest_of_key, short_digest
from marigoldlift.submissions.access import Caller
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('Gatekeeper', 'Refusal')


class Refusal(Enum):
    """Why a caller is refused, with the status that it is answered.

    Attributes:
        no_key: the request carries no key.
        malformed: its header holds something else than one key.
        unknown_key: the configuration does not hold its key.
        stale: the configuration may be too old to tell.
        suspended: the entry of its workspace in the configuration cannot be read as a whole.
    """

    no_key = 'no_key'
    malformed = 'malformed'
    unknown_key = 'unknown_key'
    stale = 'stale'
    suspended = 'suspended'

    @property
    def status(self) -> HTTPStatus:
        """Return the status of the answer; only callers who may come back with the same key get a 503."""
        if self in {Refusal.stale, Refusal.suspended}:
            return HTTPStatus.SERVICE_UNAVAILABLE
        return HTTPStatus.UNAUTHORIZED


class Gatekeeper:
    """Identifies callers by the keys of the configuration; counts and logs those that are refused."""

    def __init__(self, freshness: ConfigurationFreshness, metrics: Metrics) -> None:
        """Use the age of the configuration, and count on the entry's metrics."""
        self.freshness = freshness
        self.metrics = metrics

    def identify(
        self, headers: Sequence[str], configuration: CellConfiguration, queue: Queue
    ) -> Caller | Refusal:
        """Return who calls a queue, or why it may not.

        Args:
            headers: all `Authorization` headers of the request.
            configuration: the configuration in force.
            queue: the queue that is called.
        """
        name = queue.policy.queue
        keys = configuration.workspace_of_key
        if keys is None:
            return Caller(open_queue=name)
        found = self.look_up(headers, keys)
        if queue.anonymous:
            return Caller(NO_WORKSPACE if isinstance(found, Refusal) else found, name)
        if isinstance(found, Refusal):
            self.note(found, name, headers)
            return found
        return Caller(found)

    def look_up(
        self, headers: Sequence[str], keys: Mapping[KeyDigest, WorkspaceId]
    ) -> WorkspaceId | Refusal:
        """Return the workspace of the key in a request, or why there is none."""
        if self.freshness.are_keys_expired():
            return Refusal.stale
        key = bearer_key(headers)
        found = None if key is None else keys.get(digest_of_key(key))
        if found is not None:
            return found
        if self.freshness.may_be_stale():
            return Refusal.stale
        if key is not None:
            return Refusal.unknown_key
        return Refusal.malformed if headers else Refusal.no_key

    def refusal_to_submit(
        self, caller: Caller, configuration: CellConfiguration, queue: Queue
    ) -> Refusal | None:
        """Return why a caller may not hand in submissions, None if it may."""
        if caller.workspace not in configuration.suspended:
            return None
        self.note(Refusal.suspended, queue.policy.queue, ())
        return Refusal.suspended

    def note(self, refusal: Refusal, queue: str, headers: Sequence[str]) -> None:
        """Count and log a refused caller; the log shows no key, and warnings of one place are limited in number."""
        self.metrics.add(Metric.callers_refused, reason=refusal.value)
        key = bearer_key(headers)
        digest = '-' if key is None else short_digest(digest_of_key(key))
        logger.warning('caller refused: reason={} queue={} key={}', refusal.value, queue, digest)
