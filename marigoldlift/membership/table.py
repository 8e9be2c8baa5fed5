"""Table of the other entries, built from their heartbeats and from the VM list."""

from collections.abc import Iterable

import msgspec

from marigoldlift.ids import FailureDomain, VmId
from marigoldlift.membership.liveness import Liveness, LivenessLimits
from marigoldlift.peers.messages import Heartbeat, MemberState
from marigoldlift.platform.messages import VmDescription, VmRole, VmState

__all__ = ('Member', 'MemberTable')


class Member(msgspec.Struct):
    """Another entry.

    Attributes:
        heartbeat: its latest heartbeat.
        last_seen_s: loop time at which that heartbeat arrived.
        ready_since_s: loop time since which it has been ready without interruption.
        forwarded: requests forwarded to it since its last heartbeat, less those that have ended
            since then; the free slots of the heartbeat less this number are free now.
        listed_leaving: whether the VM list reports it as leaving.
    """

    heartbeat: Heartbeat
    last_seen_s: float
    ready_since_s: float
    forwarded: int = 0
    listed_leaving: bool = False

    @property
    def vm_id(self) -> VmId:
        """Return the VM id."""
        return self.heartbeat.vm_id

    @property
    def spare_slots(self) -> int:
        """Return the free slots of its last heartbeat, less those used by forwarded requests."""
        return self.heartbeat.free_slots - self.forwarded

    def take_back(self) -> None:
        """Count the slot of a forwarded request as free again after the request has ended.

        The count may fall below zero: a heartbeat that arrived while the request ran resets the
        count, and its number of free slots already excludes the slot of that request.
        """
        self.forwarded -= 1

    def take_nothing(self) -> None:
        """Count all slots as used until the next heartbeat: the member is full or unreachable."""
        self.forwarded = max(self.forwarded, self.heartbeat.free_slots)


class MemberTable:
    """Other entries by VM id; does no I/O, and the caller passes the loop time.

    Attributes:
        vm_id: VM id of this entry.
        failure_domain: failure domain of this entry.
        members: entries that sent a heartbeat and were not removed.
        listed: entries of the last VM list that contained any.
        seeds: gRPC addresses from the settings, to reach peers before the VM list is read.
    """

    def __init__(
        self,
        vm_id: VmId,
        failure_domain: FailureDomain,
        limits: LivenessLimits,
    ) -> None:
        """Create a table without other entries."""
        self.vm_id = vm_id
        self.failure_domain = failure_domain
        self.limits = limits
        self.members: dict[VmId, Member] = {}
        self.listed: dict[VmId, VmDescription] = {}
        self.seeds: tuple[str, ...] = ()

    def observe(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Apply a heartbeat of another entry; one of an older incarnation is ignored."""
        if heartbeat.vm_id == self.vm_id:
            return
        known = self.members.get(heartbeat.vm_id)
        if known is None or known.heartbeat.incarnation < heartbeat.incarnation:
            self.members[heartbeat.vm_id] = Member(heartbeat, now_s, now_s)
        elif known.heartbeat.incarnation == heartbeat.incarnation:
            self.refresh(known, heartbeat, now_s)

    def refresh(self, member: Member, heartbeat: Heartbeat, now_s: float) -> None:
        """Apply a later heartbeat of the incarnation that is in the table."""
        was_ready = self.is_ready(member, now_s)
        member.heartbeat = heartbeat
        member.last_seen_s = now_s
        member.forwarded = 0
        if not was_ready:
            member.ready_since_s = now_s

    def take_list(self, vms: Iterable[VmDescription]) -> None:
        """Apply the VM list; one without entries is ignored, as it is more likely an error."""
        entries = {vm.vm_id: vm for vm in vms if vm.role is VmRole.entry}
        if not entries:
            return
        self.listed = entries
        for vm_id, member in self.members.items():
            listed = entries.get(vm_id)
            member.listed_leaving = listed is not None and listed.state is VmState.leaving

    def expire(self, now_s: float) -> list[Member]:
        """Remove and return the members that have been silent for too long."""
        expired = [
            member
            for member in self.members.values()
            if self.liveness(member, now_s) is Liveness.removed
        ]
        for member in expired:
            self.members.pop(member.vm_id)
        return expired

    def liveness(self, member: Member, now_s: float) -> Liveness:
        """Return the liveness of a member by the time since its last heartbeat."""
        local = member.heartbeat.failure_domain == self.failure_domain
        return self.limits.judge(now_s - member.last_seen_s, local=local)

    def is_ready(self, member: Member, now_s: float) -> bool:
        """Return whether a member may get work: alive, ready and not leaving."""
        return (
            member.heartbeat.state is MemberState.ready
            and not member.listed_leaving
            and self.liveness(member, now_s) is Liveness.alive
        )

    def ready_in(self, failure_domain: FailureDomain, now_s: float) -> list[Member]:
        """Return the ready entries of a failure domain, without this entry."""
        return [
            member
            for member in self.members.values()
            if member.heartbeat.failure_domain == failure_domain and self.is_ready(member, now_s)
        ]

    def ready_elsewhere(self, now_s: float) -> list[Member]:
        """Return the ready entries of all other failure domains."""
        return [
            member
            for member in self.members.values()
            if member.heartbeat.failure_domain != self.failure_domain
            and self.is_ready(member, now_s)
        ]

    def addresses(self) -> dict[str, bool]:
        """Return the gRPC addresses to send heartbeats to, and whether each is in this failure domain.

        Seeds count as local, unless the VM list or a heartbeat gives their failure domain.
        """
        found = dict.fromkeys(self.seeds, True)
        for listed in self.listed.values():
            if listed.vm_id != self.vm_id:
                found[listed.address] = listed.failure_domain == self.failure_domain
        for member in self.members.values():
            heartbeat = member.heartbeat
            found[heartbeat.address] = heartbeat.failure_domain == self.failure_domain
        return found
