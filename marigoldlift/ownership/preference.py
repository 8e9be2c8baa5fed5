"""Preferred owner of each worker, remembered while the ready entries stay the same."""

from collections.abc import Callable

from marigoldlift.ids import VmId, WorkerId
from marigoldlift.membership.rendezvous import preferred
from marigoldlift.membership.table import Member, MemberTable

__all__ = ('PreferredOwners',)

#: Age up to which the list of ready entries is used again, in seconds. Each session of a domain's
#: workers asks once a second.
READY_AGE_S = 0.1


class PreferredOwners:
    """Rendezvous choice among the ready entries of the failure domain.

    Attributes:
        ready: ready entries besides this one, by VM id.
        candidates: entries that the remembered choices were made among.
        chosen: preferred entry by worker.
    """

    def __init__(
        self,
        members: MemberTable,
        clock: Callable[[], float],
        is_departing: Callable[[], bool],
    ) -> None:
        """Keep the collaborators; a departing entry is preferred for nothing, if there are others."""
        self.members = members
        self.clock = clock
        self.is_departing = is_departing
        self.ready: dict[VmId, Member] = {}
        self.candidates: tuple[VmId, ...] = ()
        self.chosen: dict[WorkerId, VmId] = {}
        self.looked_s = float('-inf')

    def owner(self, worker_id: WorkerId) -> Member | None:
        """Return the preferred entry of a worker, None for this one."""
        self.look()
        vm_id = self.chosen.get(worker_id)
        if vm_id is None:
            vm_id = VmId(str(preferred(worker_id, self.candidates)))
            self.chosen[worker_id] = vm_id
        return self.ready.get(vm_id)

    def look(self) -> None:
        """Bring the candidates up to date."""
        now_s = self.clock()
        if now_s - self.looked_s < READY_AGE_S:
            return
        self.looked_s = now_s
        ready = self.members.ready_in(self.members.failure_domain, now_s)
        self.ready = {member.vm_id: member for member in ready}
        candidates = tuple(self.ready)
        if not self.ready or not self.is_departing():
            candidates = (self.members.vm_id, *candidates)
        if set(candidates) != set(self.candidates):
            self.candidates = candidates
            self.chosen.clear()
