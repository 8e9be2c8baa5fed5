"""What the operators' routes need from the daemon."""

from collections.abc import Sequence
from typing import Protocol

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.journal.messages import ConfigurationChanged
from marigoldlift.operators import messages

__all__ = ('OperatorBackend',)


class OperatorBackend(Protocol):
    """Daemon as the operators' routes see it.

    Every method may also raise `NotFoundError`, `InvalidInputError`, `ConflictError`,
    `OverloadedError`, `LogUnavailableError` or `PeerUnavailableError`, which the routes turn into
    a typed reply.
    """

    def configuration(self) -> ConfigurationState:
        """Return the configuration in force at this entry; the routes only read it.

        Raises:
            LogUnavailableError: the entry has no configuration yet.
        """

    async def propose(
        self,
        record: ConfigurationChanged,
        timeout_s: float,
    ) -> messages.ProposalOutcome:
        """Append a change set and wait until it was read back.

        Raises:
            AppendOutcomeUnknownError: the record may be in the stream or come into it later.
            LogUnavailableError: the record is not in the stream and never will be.
        """

    def entries(self) -> Sequence[messages.EntryStatus]:
        """Return this entry and all entries that were not removed, each as last heard of."""

    async def list_jobs(self, job_filter: messages.JobFilter) -> messages.JobsReply:
        """Return the jobs of all failure domains that match; the backend bounds their number."""

    async def explain(self, handle: str) -> messages.ExplainReply:
        """Tell why a job or key is in its state."""

    async def trace(self, trace_id: str) -> messages.TraceReply:
        """Collect the spans of a trace from all entries."""

    async def cancel(self, handle: str) -> messages.CancelReply:
        """Cancel a job and wait until the cancellation was read back.

        Raises:
            AppendOutcomeUnknownError: the job may be cancelled later; cancelling again is harmless.
        """
