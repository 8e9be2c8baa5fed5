"""Validating readers of options, which collect errors so that all are reported at once."""

import difflib
from collections.abc import Callable, Iterable
from enum import Enum
from typing import NamedTuple, TypeVar

import msgspec

from marigoldlift.configuration.names import NAME_RULE, is_name
from marigoldlift.errors import InvalidInputError
from marigoldlift.settings.addresses import ADDRESS_RULE, parse_address

__all__ = ('InvalidOption', 'OptionReader')

#: Maximum items of a list, such as failure domains or seeds.
MAX_LIST_LENGTH = 64

#: Placeholder for a missing option; None would be ambiguous, as JSON has null.
MISSING = object()

SectionT = TypeVar('SectionT', bound=msgspec.Struct)


class InvalidOption(NamedTuple):
    """Error in the settings, with the JSON path of the option."""

    path: str
    reason: str


class OptionReader:
    """Reads the options of one JSON object.

    A method that finds an invalid option adds an error and returns a value of the right type, so
    that the remaining options are still checked; the caller must check `errors` before it uses
    any value.

    Attributes:
        options: the JSON object.
        path: JSON path of the object, empty for the whole file.
        errors: errors found, shared by all readers of one file.
        known: names of options that were read or tested for presence.
    """

    def __init__(self, options: object, path: str, errors: list[InvalidOption]) -> None:
        """Add an error if the options are not a JSON object."""
        self.path = path
        self.errors = errors
        self.known: set[str] = set()
        self.options: dict[str, object] = {}
        if isinstance(options, dict):
            self.options = options
        else:
            self.errors.append(InvalidOption(path or '$', 'must be an object'))

    def has(self, name: str) -> bool:
        """Return whether the option is present, and add its name to `known`."""
        self.known.add(name)
        return name in self.options

    def required_name(self, name: str) -> str:
        """Read a required name."""
        return self.validated(name, self.required(name), check_name)

    def address(self, name: str, lowest_port: int = 1) -> str:
        """Read a required IP:port address."""
        return self.validated(
            name,
            self.required(name),
            lambda given: check_address(given, lowest_port),
        )

    def names(self, name: str) -> tuple[str, ...]:
        """Read a required list of distinct names, which must not be empty."""
        given = self.required(name)
        listed = self.text_list(name, given, check_name)
        if isinstance(given, list) and not given:
            self.report_error(name, 'must not be empty')
        if len(set(listed)) < len(listed):
            self.report_error(name, 'contains the same name twice')
        return listed

    def addresses(self, name: str) -> tuple[str, ...]:
        """Read an optional list of IP:port addresses, which may be empty."""
        given = self.options[name] if self.has(name) else []
        return self.text_list(name, given, check_address)

    def section(self, name: str, section_type: type[SectionT]) -> SectionT:
        """Read an optional section, whose options are validated by the field types of a struct.

        All options of a section have defaults.
        """
        given = self.options[name] if self.has(name) else {}
        reader = OptionReader(given, name, self.errors)
        section_info = msgspec.inspect.type_info(section_type)
        section_options = {
            field.name: reader.section_option(field.name, field.type, field.default)
            for field in section_info.fields
        }
        reader.report_unknown_options()
        return section_type(**section_options)

    def section_option(self, name: str, rule: msgspec.inspect.Type, default: object) -> object:
        """Return a bounded integer or enum value, or the default if it is absent or invalid."""
        if not self.has(name):
            return default
        given = self.options[name]
        if isinstance(rule, msgspec.inspect.EnumType):
            return self.choice(name, given, rule.cls, default)
        if type(given) is int and rule.ge <= given <= rule.le:  # noqa: WPS516 excludes bool
            return given
        self.report_error(
            name, f'given {given!r}, allowed is an integer from {rule.ge} to {rule.le}'
        )
        return default

    def choice(self, name: str, given: object, choices: type[Enum], default: object) -> object:
        """Return the enum member with the given value, or the default if there is none."""
        by_value = {str(member.value): member for member in choices}
        if isinstance(given, str) and given in by_value:
            return by_value[given]
        allowed = ', '.join(by_value)
        self.report_error(name, f'given {given!r}, allowed is {allowed}')
        return default

    def text_list(
        self,
        name: str,
        given: object,
        check: Callable[[object], None],
    ) -> tuple[str, ...]:
        """Return the items of a list, each validated by `check`."""
        if given is MISSING:
            return ()
        if not isinstance(given, list) or len(given) > MAX_LIST_LENGTH:
            self.report_error(name, f'must be a list of at most {MAX_LIST_LENGTH} items')
            return ()
        return tuple(
            self.validated(f'{name}[{index}]', list_item, check)
            for index, list_item in enumerate(given)
        )

    def required(self, name: str) -> object:
        """Return the option; add an error and return `MISSING` if it is absent."""
        if self.has(name):
            return self.options[name]
        self.report_error(name, 'is required')
        return MISSING

    def validated(self, name: str, given: object, check: Callable[[object], None]) -> str:
        """Return the text if it passes the check; add an error and return an empty text if not."""
        if given is MISSING:
            return ''
        try:
            check(given)
        except InvalidInputError as fault:
            self.report_error(name, fault.reason)
            return ''
        return str(given)

    def report_error(self, name: str, reason: str) -> None:
        """Add an error for an option."""
        path = f'{self.path}.{name}' if self.path else name
        self.errors.append(InvalidOption(path, reason))

    def report_unknown_options(self) -> None:
        """Add an error for each option that is not in `known`."""
        for name in self.options:
            if name not in self.known:
                self.report_error(name, f'is unknown{suggest(name, self.known)}')


def suggest(name: str, known: Iterable[str]) -> str:
    """Return a suffix for an error: the most similar known name, or else all known names."""
    ordered = sorted(known)
    nearest = difflib.get_close_matches(name, ordered, n=1)
    if nearest:
        return f', did you mean {nearest[0]!r}?'
    return ', known options are {0}'.format(', '.join(ordered))


def check_name(given: object) -> None:
    """Check that the option is a name.

    Raises:
        InvalidInputError: it is not.
    """
    if not isinstance(given, str) or not is_name(given):
        raise InvalidInputError(f'given {given!r}, allowed is text of {NAME_RULE}')


def check_address(given: object, lowest_port: int = 1) -> None:
    """Check that the option is an IP:port address.

    Raises:
        InvalidInputError: it is not.
    """
    if not isinstance(given, str):
        raise InvalidInputError(f'given {given!r}, {ADDRESS_RULE}')
    parse_address(given, lowest_port)
