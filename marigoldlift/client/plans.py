"""Plans of commands: what a command will do, without doing it yet.

The methods of `Verbs` return plans, so that surplus arguments are reported before any call is made.
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

#: HTTP statuses of answers after which it is unknown whether a change was made.
UNCERTAIN_STATUSES = frozenset((INTERNAL_ERROR, 502))


class Output(Enum):
    """Output format of replies."""

    table = 'table'
    json = 'json'


class Outcome(msgspec.Struct):
    """Result of a command.

    Attributes:
        code: exit code of the process.
        text: text for standard output.
        error: text for standard error.
    """

    code: ExitCode
    text: str = ''
    error: str = ''


class Plan:
    """Base class of plans."""

    def execute(self) -> Outcome:
        """Execute the command and return its result."""
        raise NotImplementedError


class TextPlan(Plan):
    """Plan of a command that prints a result without calling an entry.

    Attributes:
        text: result for the output format `table`.
        fields: result for the output format `json`.
        output: output format.
    """

    def __init__(self, text: str, fields: Mapping[str, object], output: Output) -> None:
        """Store the result in both formats."""
        self.text = text
        self.fields = fields
        self.output = output

    def execute(self) -> Outcome:
        """Return the result in the chosen format."""
        if self.output is Output.json:
            return Outcome(ExitCode.done, msgspec.json.encode(self.fields).decode())
        return Outcome(ExitCode.done, self.text)


class CallPlan(Plan):
    """Plan of a command that calls an entry and prints its reply.

    Attributes:
        call: call to send.
        addresses: addresses of the entries to try, in order.
        output: output format.
        reply_type: type of the reply to a successful call.
        draw: formats the reply to a successful call as a table.
    """

    def __init__(
        self,
        call: HttpCall,
        addresses: list[str],
        output: Output,
        reply_type: Any = dict,
        draw: Callable[[Any], str] = draw_fields,
    ) -> None:
        """Store the call and the output format."""
        self.call = call
        self.addresses = addresses
        self.output = output
        self.reply_type = reply_type
        self.draw = draw

    def execute(self) -> Outcome:
        """Send the call and format the reply."""
        try:
            answer = run_send(self.call, self.addresses)
        except PeerUnavailableError as fault:
            is_uncertain = fault.may_have_run and self.call.changes_state
            code = ExitCode.unknown if is_uncertain else ExitCode.unreachable
            return Outcome(code, error=fault.reason + self.hint(code))
        code = exit_code(answer, self.call)
        if code is ExitCode.done:
            return self.reply(answer.body)
        text = self.pretty(answer.body) if self.output is Output.json else ''
        return Outcome(code, text, describe_error(answer) + self.hint(code))

    def reply(self, body: bytes) -> Outcome:
        """Format the reply to a successful call.

        A reply that does not match `reply_type`, such as that of another version, is shown as indented JSON.
        """
        if self.output is Output.json:
            return Outcome(ExitCode.done, self.pretty(body))
        try:
            return Outcome(
                ExitCode.done, self.draw(msgspec.json.decode(body, type=self.reply_type))
            )
        except msgspec.MsgspecError:
            return Outcome(ExitCode.done, self.pretty(body))

    def pretty(self, body: bytes) -> str:
        """Return JSON with indentation, and other text unchanged."""
        try:
            return msgspec.json.format(body).decode()
        except (msgspec.MsgspecError, UnicodeDecodeError):
            return body.decode(errors='replace')

    def hint(self, code: ExitCode) -> str:
        """Return how to repeat a change set with unknown outcome, or an empty string in all other cases."""
        change_id = (self.call.body or {}).get('change_id')
        if code is not ExitCode.unknown or not change_id:
            return ''
        return f'; ask again with --change_id {change_id}'


def exit_code(answer: Answer, call: HttpCall) -> ExitCode:
    """Return the exit code for an answer."""
    if answer.status < MULTIPLE_CHOICES:
        return ExitCode.done
    may_have_run_before = answer.in_doubt and answer.status >= INTERNAL_ERROR
    if call.changes_state and (answer.status in UNCERTAIN_STATUSES or may_have_run_before):
        return ExitCode.unknown
    return ExitCode.failed


def describe_error(answer: Answer) -> str:
    """Describe an error reply: status or code, reason and path on one line, then the current versions."""
    try:
        error_reply = msgspec.json.decode(answer.body, type=dict[str, Any])
    except msgspec.MsgspecError:
        return f'HTTP status {answer.status} without a typed reply'
    status = error_reply.get('status') or error_reply.get('code', '')
    path = error_reply.get('path')
    text = f'{status}: {error_reply.get("reason", "")}'
    located = f'{text} (at {path})' if path else text
    return '\n'.join((located, *map(describe_version, error_reply.get('current') or ())))


def describe_version(current: Mapping[str, object]) -> str:
    """Describe the current version of one object."""
    kind, name, version = (current.get(part) for part in ('kind', 'name', 'version'))
    return f'{kind} {name} is at version {version}'
