"""Loading of the settings file."""

import json
from functools import partial
from pathlib import Path

from marigoldlift.errors import SettingsError
from marigoldlift.settings.addresses import is_unspecified
from marigoldlift.settings.reader import InvalidOption, OptionReader
from marigoldlift.settings.relations import check_relations
from marigoldlift.settings.settings import (
    JournalSettings,
    LeaseSettings,
    LimitSettings,
    LoggingSettings,
    MembershipSettings,
    Settings,
)

__all__ = ('MAX_SETTINGS_BYTES', 'SECTIONS', 'load_settings', 'parse_settings')

#: A settings file is a few kilobytes; a larger one is the wrong file.
MAX_SETTINGS_BYTES = 1_048_576

JsonPairs = list[tuple[str, object]]

SECTIONS = (
    ('lease', LeaseSettings),
    ('membership', MembershipSettings),
    ('journal', JournalSettings),
    ('limits', LimitSettings),
    ('logging', LoggingSettings),
)


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    Raises:
        SettingsError: with every fault of the file, each with its JSON path.
    """
    return parse_settings(read_file(path))


def parse_settings(text: bytes) -> Settings:
    """Check the content of a settings file.

    Raises:
        SettingsError: with every fault, each with its JSON path.
    """
    errors: list[InvalidOption] = []
    reader = OptionReader(parse_json(text, errors), '', errors)
    found = read_identity(reader)
    found.update(read_addresses(reader))
    found.update({name: reader.section(name, section) for name, section in SECTIONS})
    reader.report_unknown_options()
    checked = Settings(**found)
    errors.extend(check_relations(checked, [fault.path for fault in errors]))
    if errors:
        raise SettingsError(tuple(f'{fault.path}: {fault.reason}' for fault in errors))
    return checked


def read_identity(reader: OptionReader) -> dict[str, object]:
    """Read who and where the entry is."""
    found: dict[str, object] = {
        name: reader.text(name) for name in ('vm_id', 'failure_domain', 'region', 'rack')
    }
    found['failure_domains'] = reader.names('failure_domains')
    return found


def read_addresses(reader: OptionReader) -> dict[str, object]:
    """Read the addresses; without an advertised one the address listened on is used."""
    found: dict[str, object] = {'seeds': reader.addresses('seeds')}
    for name in ('log_address', 'vm_list_address'):
        found[name] = reader.address(name)
    for server in ('http', 'grpc'):
        listen = reader.address(f'{server}_listen', lowest_port=0)
        found[f'{server}_listen'] = listen
        found[f'{server}_advertise'] = read_advertised(reader, server, listen)
    return found


def read_advertised(reader: OptionReader, server: str, listen: str) -> str:
    """Read one advertised address."""
    name = f'{server}_advertise'
    if reader.has(name):
        return reader.address(name)
    if listen and is_unspecified(listen):
        reader.fault(name, f'is required, since {server}_listen is on all interfaces')
    return listen


def read_file(path: str) -> bytes:
    """Read a file of bounded size."""
    try:
        with Path(path).open('rb') as settings_file:
            text = settings_file.read(MAX_SETTINGS_BYTES + 1)
    except (OSError, ValueError) as fault:
        raise SettingsError((f'$: cannot read {path!r}: {fault}',)) from None
    if len(text) > MAX_SETTINGS_BYTES:
        raise SettingsError((f'$: {path!r} has more than {MAX_SETTINGS_BYTES} bytes',))
    return text


def parse_json(text: bytes, errors: list[InvalidOption]) -> object:
    """Parse JSON and note names that occur twice in one object."""
    hook = partial(build_json_object, errors)
    try:
        return json.loads(text, object_pairs_hook=hook)
    except (ValueError, RecursionError) as fault:
        raise SettingsError((f'$: no valid JSON: {fault}',)) from None


def build_json_object(errors: list[InvalidOption], pairs: JsonPairs) -> dict[str, object]:
    """Build an object and note names that it has twice, of which JSON would drop one."""
    found: dict[str, object] = {}
    for name, given in pairs:
        if name in found:
            errors.append(InvalidOption('$', f'{name!r} is given twice in one object'))
        found[name] = given
    return found
