"""Checks that the operators' page agrees with the program."""

from inspect import getmembers, isfunction
from pathlib import Path

import msgspec
import pytest

from marigoldlift.client.exits import ExitCode
from marigoldlift.client.verbs import Verbs
from marigoldlift.journal.messages import ObjectKind
from marigoldlift.settings.loader import SECTIONS, parse_settings
from marigoldlift.settings.settings import Settings


@pytest.fixture(scope='module')
def page():
    """Return the text of the operators' page."""
    return (Path(__file__).parents[3] / 'docs' / 'operators.md').read_text()


def cells_of(page, first):
    """Return the cells of the table row that begins with the given cell."""
    row = next(line for line in page.splitlines() if line.startswith(f'| {first}'))
    return [cell.strip() for cell in row.split('|')]


@pytest.mark.parametrize(('name', 'section'), SECTIONS)
def test_page_has_default_and_range(page, name, section):
    """Guards against a page whose defaults or ranges differ from those of the program."""
    for field in msgspec.inspect.type_info(section).fields:
        cells = cells_of(page, f'`{name}.{field.name}`')
        if name == 'logging':
            assert cells[3:5] == [field.default.value, 'debug, info, warning, error']
        else:
            lowest, highest = field.type.ge, field.type.le
            assert cells[3:5] == [str(field.default), f'{lowest} to {highest}']


def test_page_names_all_that_operators_use(page):
    """Guards against a setting, command, object kind or exit code that is missing from the page."""
    setting_names = [field.name for field in msgspec.structs.fields(Settings)]
    sections = {name for name, _ in SECTIONS}
    verbs = [name for name, _ in getmembers(Verbs, isfunction)]
    names = (*setting_names, *verbs, *(kind.value for kind in ObjectKind))
    for name in names:
        assert name in sections or cells_of(page, f'`{name}`')
    for code in ExitCode:
        assert cells_of(page, f'{code.value} |')


def test_example_of_settings_is_valid(page):
    """Guards against an example in the page that the program rejects."""
    example = page.partition('The smallest file:')[2].split('```')[1].removeprefix('json')

    assert parse_settings(example.encode()).vm_id == 'entry-1'
