"""What a verb will do, decided before anything is sent.

The verbs return plans, so that an argument too many is reported before a call is made.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

import msgspec

from marigoldlift.client.exits import ExitCode
from marigoldlift.client.http import Answer, HttpCall, run_send
from marigoldlift.client.tables import draw_fields
from marigoldlift.errors import PeerUnavailableError

__all__ = ('CallPlan', 'Outcome', 'Output', 'Plan', 'TextPlan')

MULTIPLE_CHOICES = 300
INTERNAL_ERROR = 500

#: Statuses of answers that leave open whether a change happened.
UNCERTAIN_STATUSES = frozenset((INTERNAL_ERROR, 502))


class Output(Enum):
    """Form in which replies are printed."""

    table = 'table'
    json = 'json'


class Outcome(msgspec.Struct):
    """What to print where, and how to exit."""

    code: ExitCode
    text: str = ''
    error: str = ''


class Plan:
    """Base of what a verb will do."""

    def execute(self) -> Outcome:
        """Do it."""
        raise NotImplementedError


class TextPlan(Plan):
    """Prints what is known without a call.

    Attributes:
        text: what to print in a table's place.
        fields: what to print as JSON.
        output: form of the result.
    """

    def __init__(self, text: str, fields: Mapping[str, object], output: Output) -> None:
        """Keep both forms."""
        self.text = text
        self.fields = fields
        self.output = output

    def execute(self) -> Outcome:
        """Return the text."""
        if self.output is Output.json:
            return Outcome(ExitCode.done, msgspec.json.encode(self.fields).decode())
        return Outcome(ExitCode.done, self.text)


class CallPlan(Plan):
    """Calls an entry and prints its reply.

    Attributes:
        call: what to send.
        addresses: entries to try.
        output: form of the reply.
        reply_type: type of a good reply.
        draw: makes a table of a good reply.
    """

    def __init__(
        self,
        call: HttpCall,
        addresses: list[str],
        output: Output,
        reply_type: Any = dict,
        draw: Callable[[Any], str] = draw_fields,
    ) -> None:
        """Keep what to send and how to print."""
        self.call = call
        self.addresses = addresses
        self.output = output
        self.reply_type = reply_type
        self.draw = draw

    def execute(self) -> Outcome:
        """Send the call and prepare the reply for printing."""
        try:
            answer = run_send(self.call, self.addresses)
        except PeerUnavailableError as fault:
            in_doubt = fault.may_have_run and self.call.changes_state
            code = ExitCode.unknown if in_doubt else ExitCode.unreachable
            return Outcome(code, error=fault.reason + self.hint(code))
        code = exit_code(answer, self.call)
        if code is ExitCode.done:
            return self.reply(answer.body)
        text = self.pretty(answer.body) if self.output is Output.json else ''
        return Outcome(code, text, describe_error(answer) + self.hint(code))

    def reply(self, body: bytes) -> Outcome:
        """Print a good reply; one that this version does not know is printed as it came."""
        if self.output is Output.json:
            return Outcome(ExitCode.done, self.pretty(body))
        try:
            return Outcome(
                ExitCode.done, self.draw(msgspec.json.decode(body, type=self.reply_type))
            )
        except msgspec.MsgspecError:
            return Outcome(ExitCode.done, self.pretty(body))

    def pretty(self, body: bytes) -> str:
        """Indent JSON; return other text as it is."""
        try:
            return msgspec.json.format(body).decode()
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return body.decode(errors='replace')

    def hint(self, code: ExitCode) -> str:
        """Tell how to ask again when the outcome is unknown."""
        change_id = (self.call.body or {}).get('change_id')
        if code is not ExitCode.unknown or not change_id:
            return ''
        return f'; ask again with --change_id {change_id}'


def exit_code(answer: Answer, call: HttpCall) -> ExitCode:
    """Return the exit code that an answer stands for."""
    if answer.status < MULTIPLE_CHOICES:
        return ExitCode.done
    earlier_in_doubt = answer.in_doubt and answer.status >= INTERNAL_ERROR
    if call.changes_state and (answer.status in UNCERTAIN_STATUSES or earlier_in_doubt):
        return ExitCode.unknown
    return ExitCode.failed


def describe_error(answer: Answer) -> str:
    """Describe a reply with code, reason and path on a line, and the current versions."""
    try:
        fault = msgspec.json.decode(answer.body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return f'HTTP status {answer.status} without a typed reply'
    status = fault.get('status') or fault.get('code', '')
    place = fault.get('path')
    text = f'{status}: {fault.get("reason", "")}'
    located = f'{text} (at {place})' if place else text
    return '\n'.join((located, *map(describe_version, fault.get('current') or ())))


def describe_version(current: Mapping[str, object]) -> str:
    """Describe the current version of one object."""
    kind, name, version = (current.get(part) for part in ('kind', 'name', 'version'))
    return f'{kind} {name} is at version {version}'
