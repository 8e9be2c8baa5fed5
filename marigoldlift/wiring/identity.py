"""Identity of an entry, and the objects that all its parts share."""

import aiohttp
import msgspec

from marigoldlift.ids import FailureDomain, Incarnation, VmId
from marigoldlift.settings.settings import Settings
from marigoldlift.telemetry.metrics import Metrics
from marigoldlift.telemetry.tracing import Tracing

__all__ = ('Common', 'common_of')

#: Finished spans kept in memory, which the `trace` command reads.
SPAN_CAPACITY = 2000


class Common(msgspec.Struct):
    """Identity, settings and objects that all parts of an entry share.

    Attributes:
        incarnation: identifies this run of the entry; a restarted entry has another one.
        session: HTTP client for the platform and the workers.
        http_address: advertised `host:port` for callers and operators.
        grpc_address: advertised `host:port` for other entries.
    """

    settings: Settings
    incarnation: Incarnation
    session: aiohttp.ClientSession
    metrics: Metrics
    tracing: Tracing
    http_address: str
    grpc_address: str

    @property
    def vm_id(self) -> VmId:
        """Return the VM id of this entry."""
        return self.settings.vm_id

    @property
    def failure_domain(self) -> FailureDomain:
        """Return the failure domain of this entry."""
        return self.settings.failure_domain

    @property
    def holder(self) -> str:
        """Return the name under which this incarnation of the entry holds leases and claims keys."""
        return f'{self.vm_id}/{self.incarnation}'


def common_of(
    settings: Settings,
    incarnation: Incarnation,
    session: aiohttp.ClientSession,
    http_port: int,
    grpc_port: int,
) -> Common:
    """Create the shared objects of an entry; the ports are those that it actually listens on."""
    return Common(
        settings=settings,
        incarnation=incarnation,
        session=session,
        metrics=Metrics(),
        tracing=Tracing(settings.vm_id, SPAN_CAPACITY),
        http_address=with_port(settings.http_advertise, http_port),
        grpc_address=with_port(settings.grpc_advertise, grpc_port),
    )


def with_port(address: str, port: int) -> str:
    """Return an address with its port replaced by `port` if it is 0."""
    host, _, given = address.rpartition(':')
    return address if int(given) else f'{host}:{port}'
