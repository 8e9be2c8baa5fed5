"""The platform's VM list over HTTP."""

import aiohttp
import msgspec

from marigoldlift.errors import PlatformError
from marigoldlift.platform.http_calls import HttpCall, base_url, exchange
from marigoldlift.platform.messages import VmSnapshot

__all__ = ('HttpVmDirectory',)

LIST_TIMEOUT_S = 5.0

# Limit for the whole list; 8,000 VMs of 500 bytes each are 4 MB.
LIST_BYTES = 16_777_216


NOT_MODIFIED = 304


class HttpVmDirectory:
    """`VmDirectory` over HTTP.

    Attributes:
        newest: last list read, None before the first. Its version goes into `If-None-Match`, so that an unchanged list
            is not sent again: the whole list of 7,700 workers, read every 2 s, would be 65 times the traffic that a
            node may have.
    """

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use the list at `host:port`.

        Raises:
            InvalidInputError: the address is not of this form.
        """
        self.session = session
        self.url = base_url(address) / 'vms'
        self.newest: VmSnapshot | None = None

    async def list_vms(self) -> VmSnapshot:
        """Return the newest list.

        Raises:
            PlatformError: no answer, a status other than 2xx, or a body that does not decode.
        """
        call = HttpCall(
            'GET',
            self.url,
            timeout_s=LIST_TIMEOUT_S,
            body_limit=LIST_BYTES,
            headers=if_none_match(self.newest),
        )
        answer = await exchange(self.session, call)
        if answer.status == NOT_MODIFIED and self.newest is not None:
            return self.newest
        if not answer.succeeded:
            raise PlatformError(f'VM list answered with status {answer.status}')
        self.newest = decode_list(answer.body)
        return self.newest


def if_none_match(known: VmSnapshot | None) -> dict[str, str]:
    """Return the header that requests the list only if its version differs from the known one."""
    return {} if known is None else {'If-None-Match': f'"{known.version}"'}


def decode_list(body: bytes) -> VmSnapshot:
    """Decode a list.

    Raises:
        PlatformError: it does not decode.
    """
    try:
        return msgspec.json.decode(body, type=VmSnapshot)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'VM list does not decode: {error}') from error
