"""The platform's list of VMs over HTTP, with fault controls."""

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
    """Serves the VM list; tests change `state` directly or over HTTP.

    Attributes:
        faults: faults in force.
        state: the list.
    """

    def __init__(self, settings: VmSettings) -> None:
        """Make the list of the settings."""
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
        """Listen, and return the address under the name `vms`."""
        return {'vms': await self.listener.start()}

    async def stop(self) -> None:
        """Close the listener and all connections."""
        await self.listener.stop()

    def apply_faults(self, faults: VmFaults) -> None:
        """Put faults in force; the lag applies to changes made from now on."""
        self.faults = faults
        self.state.lag_s = faults.lag_ms / MS_PER_S

    async def answer_list(self, request: web.Request) -> web.Response:
        """Answer with the list as readers see it now."""
        if self.faults.outage:
            return drop_connection(request)
        shown = self.state.visible()
        if self.faults.empty:
            shown = VmSnapshot(shown.version, [])
        elif request.headers.get('If-None-Match') == f'"{shown.version}"':
            return web.Response(status=HTTP_NOT_MODIFIED)
        return json_answer(shown)

    async def replace(self, request: web.Request) -> web.Response:
        """Replace the whole list; answers with the newest one."""
        return json_answer(self.state.replace(await read_body(request, VmSnapshot)))

    async def change_state(self, request: web.Request) -> web.Response:
        """Set a VM live or leaving; answers with the newest list, or 404."""
        change = await read_body(request, VmStateChange)
        try:
            snapshot = self.state.change_state(named_vm(request), change.state)
        except KeyError:
            return unknown_vm(request)
        return json_answer(snapshot)

    async def remove(self, request: web.Request) -> web.Response:
        """Take a VM off the list; answers with the newest list, or 404."""
        try:
            snapshot = self.state.remove(named_vm(request))
        except KeyError:
            return unknown_vm(request)
        return json_answer(snapshot)

    async def change_faults(self, request: web.Request) -> web.Response:
        """Put the given faults in force; answers with all that are in force."""
        self.apply_faults(await merge(request, self.faults))
        return json_answer(self.faults)


def named_vm(request: web.Request) -> VmId:
    """Return the VM that the path names."""
    return VmId(request.match_info['vm_id'])


def unknown_vm(request: web.Request) -> web.Response:
    """Return a 404 answer."""
    refusal = Refusal('not_found', f'no VM {named_vm(request)} on the list')
    return json_answer(refusal, HTTP_NOT_FOUND)
