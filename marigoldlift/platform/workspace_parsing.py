"""Converts the entries of workspaces in the operators' configuration, each by itself."""

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence

import msgspec
from loguru import logger

from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import InvalidInputError, MalformedMessageError
from marigoldlift.ids import WorkspaceId
from marigoldlift.platform.keys import KeyDigest, digest_of_key, is_usable_key, short_digest
from marigoldlift.platform.wire import CapBody, TenantBody, Weight
from marigoldlift.workspaces.model import ResourceCap, Workspace

__all__ = ('KeyedWorkspace', 'parse_workspaces')

#: Largest entry of one workspace, and largest of its fields that are decoded by themselves, in bytes.
MAX_TENANT_BYTES = 8_388_608
MAX_FIELD_BYTES = 8192

#: Longest name of a workspace, in bytes: it is part of the keys of records, which have 255 bytes.
MAX_NAME_BYTES = 128

#: Cap of a suspended workspace, under which its accepted work goes on task by task: the cap that the operator meant is
#: not known.
SUSPENDED_CAP = ResourceCap(cpu_m=1, mem_mb=1, gpus=1)

tenant_decoder: JsonDecoder[TenantBody] = JsonDecoder(TenantBody, MAX_TENANT_BYTES)
key_decoder: JsonDecoder[str] = JsonDecoder(str, MAX_FIELD_BYTES)
weight_decoder: JsonDecoder[float] = JsonDecoder(Weight, MAX_FIELD_BYTES)
cap_decoder: JsonDecoder[CapBody] = JsonDecoder(CapBody, MAX_FIELD_BYTES)


class KeyedWorkspace(msgspec.Struct, frozen=True):
    """A workspace with the keys of its callers.

    Attributes:
        suspended: whether its weight or cap cannot be read. Its callers may query and cancel, and nothing is accepted
            for it: with a guess, it could take what others are owed.
    """

    workspace: Workspace
    keys: frozenset[KeyDigest]
    suspended: bool = False


def parse_workspaces(entries: Iterable[msgspec.Raw]) -> list[KeyedWorkspace]:
    """Convert the entries of workspaces.

    What is malformed is left out with a log line: an entry without a usable name, one that repeats a name, a key that
    no header can carry, and a key of several workspaces, since its callers cannot be told apart.
    """
    found: dict[WorkspaceId, KeyedWorkspace] = {}
    for number, entry in enumerate(entries):
        path = f'tenants[{number}]'
        try:
            parsed = parse_workspace(path, entry)
        except InvalidInputError as fault:
            logger.error('workspace skipped: {} {}', path, fault)
            continue
        if parsed.workspace.name in found:
            logger.error('workspace skipped: {} repeats the name of another', path)
            continue
        found[parsed.workspace.name] = parsed
    return without_shared_keys(tuple(found.values()))


def parse_workspace(path: str, entry: msgspec.Raw) -> KeyedWorkspace:
    """Convert the entry of one workspace.

    Args:
        path: path of the entry in the configuration.
        entry: the encoded entry.

    Raises:
        InvalidInputError: it is no entry of a workspace, or has no usable name.
    """
    body = tenant_decoder.decode(bytes(entry))
    if not body.name.isprintable() or not 0 < len(body.name.encode()) <= MAX_NAME_BYTES:
        raise InvalidInputError(f'name: 1 to {MAX_NAME_BYTES} printable bytes are allowed')
    name = WorkspaceId(body.name)
    keys = frozenset(usable_keys(path, body.api_keys))
    try:
        workspace = Workspace(name, *parse_limits(body))
    except MalformedMessageError as fault:
        logger.error('workspace suspended: {} name={} {}', path, name, fault)
        return KeyedWorkspace(Workspace(name, cap=SUSPENDED_CAP), keys, suspended=True)
    return KeyedWorkspace(workspace, keys)


def parse_limits(body: TenantBody) -> tuple[float, ResourceCap]:
    """Return the weight and the cap of an entry.

    Raises:
        MalformedMessageError: one of them is of another type, or outside its range.
    """
    weight = weight_decoder.decode(bytes(body.weight))
    cap = cap_decoder.decode(bytes(body.cap))
    return weight, ResourceCap(cap.cpu, cap.mem_mb, cap.gpu)


def usable_keys(path: str, entries: Iterable[msgspec.Raw]) -> Iterator[KeyDigest]:
    """Yield the digests of the keys of one entry; others are left out with a log line."""
    for number, entry in enumerate(entries):
        try:
            key = key_decoder.decode(bytes(entry))
        except MalformedMessageError as fault:
            logger.error('key skipped: {}.api_keys[{}] {}', path, number, fault)
            continue
        if is_usable_key(key):
            yield digest_of_key(key)
        else:
            logger.error(
                'key skipped: {}.api_keys[{}] {} characters, not all usable',
                path,
                number,
                len(key),
            )


def without_shared_keys(workspaces: Sequence[KeyedWorkspace]) -> list[KeyedWorkspace]:
    """Return the workspaces without the keys that several of them hold."""
    holders = Counter(key for keyed in workspaces for key in keyed.keys)
    shared = {key for key, count in holders.items() if count > 1}
    for key in sorted(shared):
        logger.error(
            'key skipped: key={} is held by {} workspaces', short_digest(key), holders[key]
        )
    if not shared:
        return list(workspaces)
    return [msgspec.structs.replace(keyed, keys=keyed.keys - shared) for keyed in workspaces]
