"""Events of worker sessions, for the holder of the sessions."""

from typing import Protocol, TypeVar

from marigoldlift.orders.api import EndedRun, HeldRun
from marigoldlift.orders.runs import Run
from marigoldlift.submissions.model import Step
from marigoldlift.supervision import ItemKind

__all__ = ('RunObserver',)

Session = TypeVar('Session', contravariant=True)


class RunObserver(Protocol[Session]):
    """Receives the events of worker sessions of a type."""

    def run_ended(self, session: Session, ended: EndedRun, known: Run | None) -> None:
        """Handle an ended run that a worker lists for the first time."""

    def run_found(self, session: Session, held: HeldRun) -> Step | None:
        """Handle a listed run that this leader did not start; return its step if it may continue."""

    def run_superseded(self, session: Session, held: HeldRun) -> None:
        """Handle a listed run beside another one of its task that is ordered at the same worker."""

    def run_confirmed(self, session: Session, run: Run) -> None:
        """Handle a run that its worker lists although its start has not been answered."""

    def run_vanished(self, session: Session, run: Run) -> None:
        """Handle a run that is certainly absent and will never be listed as ended."""

    def start_missed(self, session: Session, run: Run) -> None:
        """Handle a run that its worker has not started, while only a later incarnation of the worker may."""

    def fenced(self, session: Session) -> None:
        """Handle a refusal because another holder has a higher token."""

    def handling_failed(self, kind: ItemKind, name: str, fault: Exception) -> None:
        """Log and count an exception of the observer itself; the run or end is offered again with the next status."""

    def capacity_changed(self) -> None:
        """Handle more free capacity on a worker, or its answering again."""

    def run_moved(self, session: Session, successor: Session, run: Run) -> None:
        """Handle the transfer of a run with uncertain outcome to the session of the worker's next incarnation."""

    def worker_restarted(self, session: Session, born_ms: int) -> None:
        """Handle a restart of the worker under the same id."""

    def may_act(self) -> bool:
        """Return whether orders may be sent now."""
