"""Creation and connection of the replicas of the log's streams."""

import asyncio
from collections.abc import Callable

from marigoldlift.configuration.state import CONFIGURATION_STREAM, ConfigurationState
from marigoldlift.ids import StreamId
from marigoldlift.jobs.domain_state import DomainState
from marigoldlift.journal.batching import BatchLimits
from marigoldlift.journal.replica import StreamReplica
from marigoldlift.journal.settings import ReplicaSettings
from marigoldlift.journal.state import StateMachine
from marigoldlift.peers.relay import MemberRelay
from marigoldlift.platform.http_log import HttpLogService
from marigoldlift.platform.metered_log import MeteredLogService
from marigoldlift.settings.settings import JournalSettings
from marigoldlift.util import MS_PER_S
from marigoldlift.wiring.identity import Common
from marigoldlift.wiring.membership import MembershipPart

__all__ = ('StreamsPart',)

#: Time between two checks of whether a snapshot of a stream is due, in seconds.
SNAPSHOT_INTERVAL_S = 2.0

#: Appends per second to the configuration stream, shared by all entries of the cell. 3,300 changes
#: a day need far fewer.
CONFIGURATION_APPENDS_PER_S = 20


class StreamsPart:
    """Replicas of the configuration and of the failure domain's own stream."""

    def __init__(self, common: Common, membership: MembershipPart) -> None:
        """Create the replicas and connect them with the log and with other entries."""
        self.common = common
        self.membership = membership
        self.log = MeteredLogService(
            HttpLogService(common.session, common.settings.log_address),
            common.metrics,
        )
        self.configuration = ConfigurationState()
        self.domain = DomainState()
        domain_stream = StreamId(f'domain-{common.failure_domain}')
        self.configuration_replica = self.replica(
            CONFIGURATION_STREAM,
            self.configuration,
            self.configuration_pace_s,
        )
        self.domain_replica = self.replica(domain_stream, self.domain, self.domain_pace_s)
        self.replicas = {
            CONFIGURATION_STREAM: self.configuration_replica,
            domain_stream: self.domain_replica,
        }

    def replica(
        self,
        stream: StreamId,
        machine: StateMachine,
        pace_s: Callable[[], float],
    ) -> StreamReplica:
        """Create the replica of one stream; `pace_s` returns the shortest time between two appends."""
        settings = self.common.settings
        return StreamReplica(
            self.log,
            stream,
            self.common.holder,
            machine,
            MemberRelay(self.membership.members, self.membership.clients),
            pace=pace_s,
            settings=replica_settings(settings.journal),
        )

    def is_configured(self) -> bool:
        """Return whether the replica of the configuration stream has caught up at least once."""
        return self.configuration_replica.caught_up

    def domain_pace_s(self) -> float:
        """Return the shortest time between two appends, in seconds, to the failure domain's stream.

        All ready entries of the failure domain share one budget of appends.
        """
        entries = len(self.membership.ready_ids())
        return entries / self.common.settings.journal.appends_per_s

    def configuration_pace_s(self) -> float:
        """Return the shortest time between two appends, in seconds, to the configuration stream.

        All entries of the cell share one budget of appends.
        """
        entries = len(self.membership.members.members) + 1
        return entries / CONFIGURATION_APPENDS_PER_S

    def applied(self) -> dict[str, int]:
        """Return the last applied offset of each stream."""
        return {stream: replica.applied for stream, replica in self.replicas.items()}

    async def write_snapshots(self) -> None:
        """Write snapshots of the streams when they are due, until cancelled."""
        while True:
            await asyncio.sleep(SNAPSHOT_INTERVAL_S)
            for stream, replica in self.replicas.items():
                await replica.write_snapshot_if_due(self.membership.is_preferred(stream))


def replica_settings(journal: JournalSettings) -> ReplicaSettings:
    """Return the settings of a replica, with times converted to seconds."""
    return ReplicaSettings(
        retention_s=journal.retention_ms / MS_PER_S,
        snapshot_records=journal.snapshot_records,
        limits=BatchLimits(
            batch_records=journal.max_batch_records,
            batch_bytes=journal.max_batch_bytes,
            total_records=journal.max_pending_records,
        ),
    )
