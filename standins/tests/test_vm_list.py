"""Tests of the VM list, its lag and its injected faults."""

import aiohttp
import msgspec
import pytest

from marigoldlift.platform.messages import VmDescription, VmRole, VmSnapshot, VmState

from standins.messages import VmSettings
from standins.vm_list_server import VmListServer
from standins.vm_list_state import VmListState

VMS = tuple(VmDescription(name, VmRole.worker, 'recife', 'r1', '') for name in ('w1', 'w2'))


@pytest.fixture
async def base(serve):
    """Provide the base URL of a running list of two VMs."""
    addresses = await serve(VmListServer(VmSettings(vms=list(VMS))))
    return f'http://{addresses["vms"]}/v1'


async def read_list(http, base):
    """Return the visible list."""
    async with http.get(f'{base}/vms') as answer:
        return msgspec.json.decode(await answer.read(), type=VmSnapshot)


def test_changes_show_after_the_lag_and_in_order(clock):
    """Guards against a shortened lag that makes a later change visible before an earlier one."""
    state = VmListState(clock, VMS)
    state.lag_s = 5
    state.change_state('w1', VmState.leaving)
    state.lag_s = 0
    state.remove('w2')

    assert state.visible() == VmSnapshot(1, list(VMS))
    clock.advance(5)
    shown = state.visible()
    assert [(vm.vm_id, vm.state) for vm in shown.vms] == [('w1', VmState.leaving)]
    assert shown.version == 3


async def test_changes_over_http(http, base):
    """Guards against control requests that succeed without changing the list."""
    await http.post(f'{base}/vms/w1/state', json={'state': 'leaving'})
    await http.delete(f'{base}/vms/w2')
    missing = await http.delete(f'{base}/vms/w2')

    shown = await read_list(http, base)
    assert missing.status == 404
    assert [(vm.vm_id, vm.state) for vm in shown.vms] == [('w1', VmState.leaving)]

    await http.put(f'{base}/vms', data=msgspec.json.encode(VmSnapshot(1, list(VMS))))
    assert await read_list(http, base) == VmSnapshot(4, list(VMS))


async def test_empty_and_outage(http, base):
    """Guards against an outage that is answered with an empty list."""
    await http.post(f'{base}/faults', json={'empty': True})
    assert await read_list(http, base) == VmSnapshot(1, [])

    await http.post(f'{base}/faults', json={'outage': True})
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await read_list(http, base)
