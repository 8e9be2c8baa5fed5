"""Interface through which the routes for operators use the daemon."""

from collections.abc import Sequence
from typing import Protocol

from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.journal.messages import ConfigurationChanged
from marigoldlift.operators import messages

__all__ = ('OperatorBackend',)


class OperatorBackend(Protocol):
    """Operations that the daemon offers to the routes for operators.

    Every method may also raise `NotFoundError`, `InvalidInputError`, `ConflictError`,
    `OverloadedError`, `LogUnavailableError` or `PeerUnavailableError`, which the routes convert
    to an error reply.
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
        """Append a change set to the log and wait until it has been read back.

        Args:
            record: the change set.
            timeout_s: time limit for append and read-back, in seconds.

        Raises:
            AppendOutcomeUnknownError: the record may be in the stream or may be added to it later.
            LogUnavailableError: the record is not in the stream and will never be added.
        """

    def entries(self) -> Sequence[messages.EntryStatus]:
        """Return the status of this entry, and of each other known entry as of its last heartbeat.

        Entries that have been removed from the member table are left out.
        """

    async def list_jobs(self, job_filter: messages.JobFilter) -> messages.JobsReply:
        """Return the jobs that match, from all failure domains; the backend limits their number."""

    async def explain(self, handle: str) -> messages.ExplainReply:
        """Explain why a job or key is in its state."""

    async def trace(self, trace_id: str) -> messages.TraceReply:
        """Collect the spans of a trace from all entries."""

    async def cancel(self, handle: str) -> messages.CancelReply:
        """Cancel a job and wait until the cancellation has been read back from the log.

        Raises:
            AppendOutcomeUnknownError: the cancellation may take effect later; it is safe to repeat it.
        """
