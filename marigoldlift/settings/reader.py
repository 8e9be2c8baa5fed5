"""Checked getters for options; faults are collected, so that all are reported at once."""

import difflib
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, TypeVar

import msgspec

from marigoldlift.configuration.names import NAME_RULE, is_name
from marigoldlift.errors import InvalidInputError
from marigoldlift.settings.addresses import ADDRESS_RULE, parse_address

__all__ = ('InvalidOption', 'OptionReader')

#: Items of one list, such as failure domains or seeds.
MAX_LIST_LENGTH = 64

#: Stands for an option that is not given, since null is a value of JSON.
MISSING = object()

SectionT = TypeVar('SectionT', bound=msgspec.Struct)


class InvalidOption(NamedTuple):
    """What is wrong at one place of the settings."""

    path: str
    reason: str


class OptionReader:
    """Reads the options of one JSON object.

    A getter that finds a fault notes it and returns a value of the right type, so that the
    remaining options are still checked; the caller must look at `errors` before using any value.

    Attributes:
        options: the JSON object.
        path: JSON path of the object, empty for the whole file.
        errors: faults found, shared by the readers of one file.
        known: names asked for so far.
    """

    def __init__(self, options: object, path: str, errors: list[InvalidOption]) -> None:
        """Note a fault when the options are no JSON object."""
        self.path = path
        self.errors = errors
        self.known: set[str] = set()
        self.options: dict[str, object] = {}
        if isinstance(options, dict):
            self.options = options
        else:
            self.errors.append(InvalidOption(path or '$', 'must be an object'))

    def has(self, name: str) -> bool:
        """Tell whether the option is given."""
        self.known.add(name)
        return name in self.options

    def text(self, name: str) -> str:
        """Read a name."""
        return self.checked(name, self.required(name), check_name)

    def address(self, name: str, lowest_port: int = 1) -> str:
        """Read an IP:port."""
        return self.checked(
            name,
            self.required(name),
            lambda given: check_address(given, lowest_port),
        )

    def names(self, name: str) -> tuple[str, ...]:
        """Read a list of at least one name, all different."""
        given = self.required(name)
        found = self.texts(name, given, check_name)
        if isinstance(given, list) and not given:
            self.fault(name, 'must not be empty')
        if len(set(found)) < len(found):
            self.fault(name, 'contains the same name twice')
        return found

    def addresses(self, name: str) -> tuple[str, ...]:
        """Read a list of IP:port, which may be absent or empty."""
        given = self.options[name] if self.has(name) else []
        return self.texts(name, given, check_address)

    def section(self, name: str, section_type: type[SectionT]) -> SectionT:
        """Read a section whose options all have defaults; their types and bounds are the rules."""
        given = self.options[name] if self.has(name) else {}
        reader = OptionReader(given, name, self.errors)
        section_info = msgspec.inspect.type_info(section_type)
        found = {
            field.name: reader.section_option(field.name, field.type, field.default)
            for field in section_info.fields
        }
        reader.report_unknown_options()
        return section_type(**found)

    def section_option(self, name: str, rule: msgspec.inspect.Type, default: object) -> object:
        """Read an option by the rule of its type, a bounded integer or a choice."""
        if not self.has(name):
            return default
        given = self.options[name]
        if isinstance(rule, msgspec.inspect.EnumType):
            return self.choice(name, given, rule.cls, default)
        if type(given) is int and rule.ge <= given <= rule.le:  # noqa: WPS516 no bool
            return given
        self.fault(name, f'given {given!r}, allowed is an integer from {rule.ge} to {rule.le}')
        return default

    def choice(self, name: str, given: object, choices: type[Enum], default: object) -> object:
        """Read one of the values of an Enum."""
        by_value = {str(member.value): member for member in choices}
        if isinstance(given, str) and given in by_value:
            return by_value[given]
        allowed = ', '.join(by_value)
        self.fault(name, f'given {given!r}, allowed is {allowed}')
        return default

    def texts(
        self,
        name: str,
        given: object,
        check: Callable[[object], None],
    ) -> tuple[str, ...]:
        """Read a list of which each item is checked."""
        if given is MISSING:
            return ()
        if not isinstance(given, list) or len(given) > MAX_LIST_LENGTH:
            self.fault(name, f'must be a list of at most {MAX_LIST_LENGTH}')
            return ()
        return tuple(
            self.checked(f'{name}[{index}]', part, check) for index, part in enumerate(given)
        )

    def required(self, name: str) -> object:
        """Return the option, or `MISSING` after noting that it is missing."""
        if self.has(name):
            return self.options[name]
        self.fault(name, 'is required')
        return MISSING

    def checked(self, name: str, given: object, check: Callable[[object], None]) -> str:
        """Return the text that passes the check, or an empty one after noting the fault."""
        if given is MISSING:
            return ''
        try:
            check(given)
        except InvalidInputError as fault:
            self.fault(name, fault.reason)
            return ''
        return str(given)

    def fault(self, name: str, reason: str) -> None:
        """Note a fault at an option."""
        path = f'{self.path}.{name}' if self.path else name
        self.errors.append(InvalidOption(path, reason))

    def report_unknown_options(self) -> None:
        """Note the options that nobody asked for."""
        for name in self.options:
            if name not in self.known:
                self.fault(name, f'is unknown{suggest(name, self.known)}')


def suggest(name: str, known: Iterable[str]) -> str:
    """Return the nearest known name as an addition to a reason."""
    ordered = sorted(known)
    nearest = difflib.get_close_matches(name, ordered, n=1)
    if nearest:
        return f', did you mean {nearest[0]!r}?'
    return ', known are {0}'.format(', '.join(ordered))


def check_name(given: object) -> None:
    """Check that the option is a name."""
    if not isinstance(given, str) or not is_name(given):
        raise InvalidInputError(f'given {given!r}, allowed is text of {NAME_RULE}')


def check_address(given: object, lowest_port: int = 1) -> None:
    """Check that the option is an address."""
    if not isinstance(given, str):
        raise InvalidInputError(f'given {given!r}, {ADDRESS_RULE}')
    parse_address(given, lowest_port)
