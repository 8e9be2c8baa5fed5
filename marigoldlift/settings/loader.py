"""Loading and validation of the settings file."""

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
    """Read and validate a settings file.

    Raises:
        SettingsError: the file is invalid; lists every error with its JSON path.
    """
    return parse_settings(read_file(path))


def parse_settings(text: bytes) -> Settings:
    """Parse and validate the content of a settings file.

    Raises:
        SettingsError: the content is invalid; lists every error with its JSON path.
    """
    errors: list[InvalidOption] = []
    reader = OptionReader(parse_json(text, errors), '', errors)
    fields = read_identity(reader)
    fields.update(read_addresses(reader))
    fields.update({name: reader.section(name, section) for name, section in SECTIONS})
    reader.report_unknown_options()
    loaded = Settings(**fields)
    errors.extend(check_relations(loaded, [error.path for error in errors]))
    if errors:
        raise SettingsError(tuple(f'{error.path}: {error.reason}' for error in errors))
    return loaded


def read_identity(reader: OptionReader) -> dict[str, object]:
    """Read the identity and location of the entry."""
    fields: dict[str, object] = {
        name: reader.required_name(name) for name in ('vm_id', 'failure_domain', 'region', 'rack')
    }
    fields['failure_domains'] = reader.names('failure_domains')
    return fields


def read_addresses(reader: OptionReader) -> dict[str, object]:
    """Read the addresses; an advertised address defaults to the listen address."""
    fields: dict[str, object] = {'seeds': reader.addresses('seeds')}
    for name in ('log_address', 'vm_list_address'):
        fields[name] = reader.address(name)
    for server in ('http', 'grpc'):
        listen = reader.address(f'{server}_listen', lowest_port=0)
        fields[f'{server}_listen'] = listen
        fields[f'{server}_advertise'] = read_advertised(reader, server, listen)
    return fields


def read_advertised(reader: OptionReader, server: str, listen: str) -> str:
    """Read the advertised address of a server, by default its listen address.

    It is required if the server listens on all interfaces, as peers cannot use that address.
    """
    name = f'{server}_advertise'
    if reader.has(name):
        return reader.address(name)
    if listen and is_unspecified(listen):
        reader.report_error(name, f'is required, since {server}_listen is on all interfaces')
    return listen


def read_file(path: str) -> bytes:
    """Read a file of at most `MAX_SETTINGS_BYTES`."""
    try:
        with Path(path).open('rb') as settings_file:
            text = settings_file.read(MAX_SETTINGS_BYTES + 1)
    except (OSError, ValueError) as fault:
        raise SettingsError((f'$: cannot read {path!r}: {fault}',)) from None
    if len(text) > MAX_SETTINGS_BYTES:
        raise SettingsError((f'$: {path!r} has more than {MAX_SETTINGS_BYTES} bytes',))
    return text


def parse_json(text: bytes, errors: list[InvalidOption]) -> object:
    """Parse JSON; report names that occur twice in one object."""
    hook = partial(build_json_object, errors)
    try:
        return json.loads(text, object_pairs_hook=hook)
    except (ValueError, RecursionError) as fault:
        raise SettingsError((f'$: not valid JSON: {fault}',)) from None


def build_json_object(errors: list[InvalidOption], pairs: JsonPairs) -> dict[str, object]:
    """Build a JSON object and report duplicate names, of which `json` silently keeps the last."""
    fields: dict[str, object] = {}
    for name, given in pairs:
        if name in fields:
            errors.append(InvalidOption('$', f'{name!r} is given twice in one object'))
        fields[name] = given
    return fields
