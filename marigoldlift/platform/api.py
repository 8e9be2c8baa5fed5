"""Protocol types of the platform's services; adapters and stand-ins implement them."""

from collections.abc import Sequence
from typing import Protocol

from marigoldlift.ids import Offset, StreamId
from marigoldlift.platform import messages

__all__ = ('LogService', 'VmDirectory', 'WorkerApi')


class LogService(Protocol):
    """Append-only log of several streams; offsets start at 1, and old records are removed."""

    async def append(
        self,
        stream: StreamId,
        producer: str,
        sequence: int,
        payloads: Sequence[bytes],
    ) -> messages.AppendResult:
        """Append the payloads as consecutive records.

        Raises:
            AppendOutcomeUnknownError: no answer; the append may have taken effect.
            AppendRefusedError: the log answered that nothing was appended.
        """

    async def read(
        self,
        stream: StreamId,
        first: Offset,
        limit: int,
        wait_ms: int,
    ) -> messages.RecordPage:
        """Read records from offset `first` on; wait up to `wait_ms` if there are none yet.

        Raises:
            RetentionPassedError: `first` is older than the oldest record kept.
            LogUnavailableError: the log did not answer.
        """


class VmDirectory(Protocol):
    """List of live and leaving VMs, both entries and workers; it may be out of date."""

    async def list_vms(self) -> messages.VmSnapshot:
        """Return the newest list.

        Raises:
            PlatformError: the list could not be read.
        """


class WorkerApi(Protocol):
    """Calls to one worker; each carries the worker's incarnation and the lease's epoch.

    All calls raise `WorkerUnavailableError` when the worker does not answer.
    """

    async def lease(self, request: messages.LeaseRequest) -> messages.LeaseGrant:
        """Claim, renew or release the control lease."""

    async def start_task(self, request: messages.StartTask) -> None:
        """Start a task that outlives the call.

        Raises:
            FencedError: incarnation or epoch is not the current one, or the lease lapsed.
            WorkerRefusedError: duplicate task id, leaving worker, or no free capacity.
        """

    async def stop_task(self, request: messages.StopTask) -> None:
        """Stop a task; succeeds when the task is not running.

        Raises:
            FencedError: as for `start_task`.
        """

    async def run_request(self, request: messages.RunRequest) -> messages.RequestResult:
        """Run one request and wait for its result.

        Raises:
            FencedError: as for `start_task`; the request was not run.
            WorkerRefusedError: as for `start_task`; the request was not run.
        """
