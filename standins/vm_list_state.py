"""State of the VM list: the visible list, and newer ones that become visible after a lag."""

from collections import deque
from collections.abc import Callable, Sequence

import msgspec

from marigoldlift.ids import VmId
from marigoldlift.platform.messages import VmDescription, VmSnapshot, VmState

__all__ = ('VmListState',)


class VmListState:
    """List of VMs whose changes become visible after a lag, in the order they were made.

    Attributes:
        newest: the list with all changes, visible or not.
        lag_s: time in seconds until a change made from now on becomes visible.
    """

    def __init__(self, clock: Callable[[], float], vms: Sequence[VmDescription]) -> None:
        """Initialize with a list that is visible at once; `clock` returns seconds."""
        self.clock = clock
        self.lag_s: float = 0
        self.newest = VmSnapshot(1, list(vms))
        self.shown = self.newest
        self.hidden: deque[tuple[float, VmSnapshot]] = deque()

    def visible(self) -> VmSnapshot:
        """Return the list that is currently visible to readers."""
        now_s = self.clock()
        while self.hidden and self.hidden[0][0] <= now_s:
            self.shown = self.hidden.popleft()[1]
        return self.shown

    def replace(self, snapshot: VmSnapshot) -> VmSnapshot:
        """Replace the list; its version is raised if it is not above that of the newest list."""
        version = max(snapshot.version, self.newest.version + 1)
        self.newest = VmSnapshot(version, snapshot.vms)
        visible_s = self.clock() + self.lag_s
        self.hidden.append((visible_s, self.newest))
        return self.newest

    def change_state(self, vm_id: VmId, state: VmState) -> VmSnapshot:
        """Set the state of one VM.

        Raises:
            KeyError: the VM is not on the newest list.
        """
        self.require(vm_id)
        vms = [
            msgspec.structs.replace(vm, state=state) if vm.vm_id == vm_id else vm
            for vm in self.newest.vms
        ]
        return self.replace(VmSnapshot(0, vms))

    def remove(self, vm_id: VmId) -> VmSnapshot:
        """Remove one VM from the list.

        Raises:
            KeyError: the VM is not on the newest list.
        """
        self.require(vm_id)
        vms = [vm for vm in self.newest.vms if vm.vm_id != vm_id]
        return self.replace(VmSnapshot(0, vms))

    def require(self, vm_id: VmId) -> None:
        """Raise `KeyError` if the VM is not on the newest list."""
        if all(vm.vm_id != vm_id for vm in self.newest.vms):
            raise KeyError(vm_id)
