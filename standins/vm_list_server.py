"""Simulated VM list of the platform over HTTP, with fault injection."""

from aiohttp import web

from marigoldlift.ids import VmId
from marigoldlift.platform.messages import VmSnapshot

from standins.messages import Refusal, VmFaults, VmSettings, VmStateChange
from standins.serving import (
    MS_PER_S,
    HttpListener,
    drop_connection,
    json_answer,
    loop_now,
    merge,
    read_body,
)
from standins.vm_list_state import VmListState

__all__ = ('VmListServer',)

LIST_PATH = '/v1/vms'
HTTP_NOT_MODIFIED = 304
HTTP_NOT_FOUND = 404


class VmListServer:
    """HTTP server of the VM list; tests change `state` directly or over HTTP.

    Attributes:
        faults: active faults.
        state: the VM list with its visibility lag.
    """

    def __init__(self, settings: VmSettings) -> None:
        """Create the list given by the settings."""
        self.state = VmListState(loop_now, settings.vms)
        self.apply_faults(VmFaults(lag_ms=settings.lag_ms))
        self.listener = HttpListener(
            (
                web.get(LIST_PATH, self.answer_list),
                web.put(LIST_PATH, self.replace),
                web.post(f'{LIST_PATH}/{{vm_id}}/state', self.change_state),
                web.delete(f'{LIST_PATH}/{{vm_id}}', self.remove),
                web.post('/v1/faults', self.change_faults),
            ),
            settings.port,
        )

    async def start(self) -> dict[str, str]:
        """Start to listen, and return the address under the name `vms`."""
        return {'vms': await self.listener.start()}

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.listener.stop()

    def apply_faults(self, faults: VmFaults) -> None:
        """Apply faults; the lag affects only changes made from now on."""
        self.faults = faults
        self.state.lag_s = faults.lag_ms / MS_PER_S

    async def answer_list(self, request: web.Request) -> web.Response:
        """Answer with the list that is currently visible, or 304 if its version matches `If-None-Match`."""
        if self.faults.outage:
            return drop_connection(request)
        shown = self.state.visible()
        if self.faults.empty:
            shown = VmSnapshot(shown.version, [])
        elif request.headers.get('If-None-Match') == f'"{shown.version}"':
            return web.Response(status=HTTP_NOT_MODIFIED)
        return json_answer(shown)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the whole list; answer with the newest one."""
        return json_answer(self.state.replace(await read_body(request, VmSnapshot)))

    async def change_state(self, request: web.Request) -> web.Response:
        """Set the state of a VM; answer with the newest list, or 404 if the VM is not on it."""
        change = await read_body(request, VmStateChange)
        try:
            snapshot = self.state.change_state(path_vm_id(request), change.state)
        except KeyError:
            return vm_not_found(request)
        return json_answer(snapshot)

    async def remove(self, request: web.Request) -> web.Response:
        """Remove a VM; answer with the newest list, or 404 if the VM is not on it."""
        try:
            snapshot = self.state.remove(path_vm_id(request))
        except KeyError:
            return vm_not_found(request)
        return json_answer(snapshot)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Merge the given faults into the active ones, and answer with the result."""
        self.apply_faults(await merge(request, self.faults))
        return json_answer(self.faults)


def path_vm_id(request: web.Request) -> VmId:
    """Return the VM id given in the request path."""
    return VmId(request.match_info['vm_id'])


def vm_not_found(request: web.Request) -> web.Response:
    """Return the 404 answer for a VM that is not on the list."""
    refusal = Refusal('not_found', f'no VM {path_vm_id(request)} on the list')
    return json_answer(refusal, HTTP_NOT_FOUND)
