"""Creation and connection of the objects that handle membership."""

from collections.abc import Callable

from marigoldlift.membership.heartbeats import HeartbeatSender, HeartbeatTimes
from marigoldlift.membership.liveness import LivenessLimits
from marigoldlift.membership.rendezvous import preferred
from marigoldlift.membership.table import MemberTable
from marigoldlift.peers.clients import PeerClients
from marigoldlift.peers.messages import Heartbeat
from marigoldlift.settings.settings import MembershipSettings
from marigoldlift.util import MS_PER_S, loop_now
from marigoldlift.wiring.identity import Common

__all__ = ('MembershipPart',)


class MembershipPart:
    """Table of the other entries, the clients that call them, and the heartbeats to them."""

    def __init__(self, common: Common, describe: Callable[[], Heartbeat]) -> None:
        """Create the objects; `describe` returns this entry's current heartbeat."""
        times = common.settings.membership
        self.members = MemberTable(common.vm_id, common.failure_domain, liveness_limits(times))
        self.members.seeds = common.settings.seeds
        self.clients = PeerClients(common.metrics)
        self.heartbeats = HeartbeatSender(
            self.members,
            self.clients,
            describe,
            HeartbeatTimes(
                local_s=times.heartbeat_ms / MS_PER_S,
                remote_s=times.remote_heartbeat_ms / MS_PER_S,
            ),
        )

    def ready_ids(self) -> list[str]:
        """Return the VM ids of this entry and of the other ready entries of its failure domain."""
        ready = self.members.ready_in(self.members.failure_domain, loop_now())
        return [self.members.vm_id, *(member.vm_id for member in ready)]

    def is_preferred(self, name: str) -> bool:
        """Return whether this entry is preferred for a name among those of `ready_ids`."""
        return preferred(name, self.ready_ids()) == self.members.vm_id


def liveness_limits(times: MembershipSettings) -> LivenessLimits:
    """Return the liveness limits of the settings, converted to seconds."""
    return LivenessLimits(
        suspect_s=times.suspect_ms / MS_PER_S,
        remote_suspect_s=times.remote_suspect_ms / MS_PER_S,
        remove_s=times.remove_ms / MS_PER_S,
        remote_remove_s=times.remote_remove_ms / MS_PER_S,
    )
