"""Commands of the client; each checks its arguments and returns a plan."""

import os
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar
from urllib.parse import quote

from fire.decorators import SetParseFn

from marigoldlift.client import tables
from marigoldlift.client.http import HttpCall, parse_addresses
from marigoldlift.client.placement_table import draw_placement
from marigoldlift.client.plans import CallPlan, Output, Plan, TextPlan
from marigoldlift.configuration.decoding import decode_json
from marigoldlift.errors import InvalidInputError
from marigoldlift.operators import messages
from marigoldlift.scheduling.explanation import PLACEMENT_PATH, Explanation
from marigoldlift.settings.loader import load_settings
from marigoldlift.util import MS_PER_S
from marigoldlift.version import VERSION

__all__ = ('DEFAULT_ADDRESS', 'Verbs')

DEFAULT_ADDRESS = '127.0.0.1:8080'

OPERATOR = '/v1/operator'

#: Bytes read from an input file; an entry accepts only much smaller change sets and specifications.
MAX_FILE_BYTES = 16_777_216

#: Time that an entry gets to answer after the deadline has passed.
GRACE_S = 5

DEFAULT_DEADLINE_MS = '5000'

TABLE = Output.table.value

DecodedT = TypeVar('DecodedT')

#: Passes arguments as strings; Fire would convert a handle of digits to a number.
raw_arguments = SetParseFn(str)


class Verbs:
    """Scheduler for a cluster of workers.

    Exit codes: 0 done, 1 refused or failed, 2 bad usage or settings, 3 unreachable, 4 unknown.
    Run `entry --settings FILE` to start an entry.
    """

    @raw_arguments
    def apply(
        self,
        *,
        file: str,
        author: str = '',
        change_id: str = '',
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Publish the change set in FILE."""
        change_set = decode_file(file, dict[str, Any])
        change_set.setdefault('author', author or os.environ.get('USER') or 'unknown')
        change_set['change_id'] = change_id or change_set.get('change_id') or uuid.uuid4().hex
        call = HttpCall(
            'POST',
            f'{OPERATOR}/configuration',
            body=change_set,
            changes_state=True,
        )
        return plan(call, address, output, messages.ApplyReply, tables.draw_apply)

    @raw_arguments
    def get(
        self,
        kind: str = '',
        name: str = '',
        *,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Show the configuration in force: all objects, those of one KIND, or the object NAME of a KIND."""
        query = without_empty(kind=kind, name=name)
        call = HttpCall('GET', f'{OPERATOR}/configuration', query=query)
        return plan(call, address, output, messages.ObjectsReply, tables.draw_objects)

    @raw_arguments
    def status(self, *, address: str = DEFAULT_ADDRESS, output: str = TABLE) -> Plan:
        """Show the status of all entries."""
        call = HttpCall('GET', f'{OPERATOR}/status')
        return plan(call, address, output, messages.StatusReply, tables.draw_status)

    @raw_arguments
    def jobs(
        self,
        *,
        workspace: str = '',
        state: str = '',
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """List jobs: all of them, or only those of one WORKSPACE or in one STATE."""
        query = without_empty(workspace=workspace, state=state)
        call = HttpCall('GET', f'{OPERATOR}/jobs', query=query)
        return plan(call, address, output, messages.JobsReply, tables.draw_jobs)

    @raw_arguments
    def job(
        self,
        handle: str,
        *,
        workspace: str,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Show the job HANDLE of a workspace."""
        return plan(HttpCall('GET', job_path(workspace, handle)), address, output)

    @raw_arguments
    def submit(
        self,
        *,
        workspace: str,
        key: str,
        file: str,
        attempt: str = '1',
        deadline_ms: str = DEFAULT_DEADLINE_MS,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Submit the job specification in FILE; submitting it again with the same KEY gives the same job."""
        limit_ms = parse_count(deadline_ms, '--deadline_ms')
        body: dict[str, object] = {
            'key': key,
            'attempt': parse_count(attempt, '--attempt'),
            'deadline_ms': limit_ms,
            'spec': decode_file(file, dict[str, Any]),
        }
        call = HttpCall(
            'POST',
            f'/v1/workspaces/{quote_segment(workspace)}/jobs',
            body=body,
            changes_state=True,
            timeout_s=limit_ms / MS_PER_S + GRACE_S,
        )
        return plan(call, address, output)

    @raw_arguments
    def cancel(
        self,
        handle: str,
        *,
        workspace: str = '',
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Cancel the job HANDLE: on behalf of WORKSPACE if that is given, otherwise as an operator."""
        if workspace:
            call = HttpCall('DELETE', job_path(workspace, handle), changes_state=True)
        else:
            path = f'{OPERATOR}/jobs/{quote_segment(handle)}/cancel'
            call = HttpCall('POST', path, changes_state=True)
        return plan(call, address, output)

    @raw_arguments
    def drain(
        self,
        vm: str,
        *,
        reason: str = '',
        author: str = '',
        change_id: str = '',
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Drain the virtual machine VM: it gets no new work."""
        body: dict[str, object] = {
            'author': author or os.environ.get('USER') or 'unknown',
            'reason': reason,
            'change_id': change_id or uuid.uuid4().hex,
        }
        path = f'{OPERATOR}/drain/{quote_segment(vm)}'
        call = HttpCall('POST', path, body=body, changes_state=True)
        return plan(call, address, output, messages.ApplyReply, tables.draw_apply)

    @raw_arguments
    def explain(
        self,
        handle: str,
        *,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Explain why the job or request HANDLE is in its state."""
        call = HttpCall('GET', f'{OPERATOR}/explain/{quote_segment(handle)}')
        return plan(call, address, output, messages.ExplainReply, tables.draw_explanation)

    @raw_arguments
    def place(
        self,
        submission: str = '',
        *,
        entry: str,
        queue: str = '',
        file: str = '',
        workspace: str = '',
        json: str = '',
    ) -> Plan:
        """Show where the open SUBMISSION, or that in FILE for a QUEUE, would be placed now; hands nothing in.

        ENTRY is the address of any entry at which other entries call it; QUEUE is a name, or a host and path.
        """
        call = HttpCall('POST', PLACEMENT_PATH)
        if submission and not (queue or file or workspace):
            call.body = {'submission': submission}
        elif queue and file and not submission:
            body = decode_file(file, dict[str, Any])
            call.body = {'queue': queue, 'workspace': workspace, 'body': body}
        else:
            raise InvalidInputError('given neither a submission alone nor --queue with --file')
        output = Output.json.value if json else TABLE
        return plan(call, entry, output, Explanation, draw_placement)

    @raw_arguments
    def trace(
        self,
        trace_id: str,
        *,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Show the spans of the trace TRACE_ID as a tree."""
        call = HttpCall('GET', f'{OPERATOR}/traces/{quote_segment(trace_id)}')
        return plan(call, address, output, messages.TraceReply, tables.draw_trace)

    @raw_arguments
    def check(
        self,
        *,
        settings: str,
        address: str = DEFAULT_ADDRESS,
        output: str = TABLE,
    ) -> Plan:
        """Check the settings file SETTINGS and print every error in it; calls no entry."""
        parse_addresses(address)
        load_settings(settings)
        return TextPlan('the settings are valid', {'valid': True}, parse_output(output))

    @raw_arguments
    def version(self, *, address: str = DEFAULT_ADDRESS, output: str = TABLE) -> Plan:
        """Show the version of this program; calls no entry."""
        parse_addresses(address)
        return TextPlan(VERSION, {'version': VERSION}, parse_output(output))


def plan(
    call: HttpCall,
    address: str,
    output: str,
    reply_type: Any = dict,
    draw: Callable[[Any], str] = tables.draw_fields,
) -> Plan:
    """Check the arguments that all commands share, and build the plan of a call."""
    return CallPlan(call, parse_addresses(address), parse_output(output), reply_type, draw)


def parse_output(text: str) -> Output:
    """Parse the output format."""
    try:
        return Output(text)
    except ValueError:
        raise InvalidInputError(f'given {text!r}, allowed is table, json', '--output') from None


def parse_count(text: str, path: str) -> int:
    """Parse a positive integer; `path` names the argument in error messages."""
    if text.isascii() and text.isdigit() and text.strip('0'):
        return int(text)
    raise InvalidInputError(f'given {text!r}, allowed is a positive integer', path)


def decode_file(path: str, expected: type[DecodedT]) -> DecodedT:
    """Read and decode a JSON file.

    Raises:
        InvalidInputError: the file cannot be read, is too long, or is not JSON of the expected type.
    """
    try:
        with Path(path).open('rb') as json_file:
            text = json_file.read(MAX_FILE_BYTES)
    except (OSError, ValueError) as fault:
        raise InvalidInputError(f'cannot read {path!r}: {fault}', '--file') from None
    return decode_json(text, expected)


def without_empty(**options: str) -> dict[str, str]:
    """Return the query parameters that are not empty."""
    return {name: text for name, text in options.items() if text}


def job_path(workspace: str, handle: str) -> str:
    """Return the HTTP path of a job in the API for callers."""
    return f'/v1/workspaces/{quote_segment(workspace)}/jobs/{quote_segment(handle)}'


def quote_segment(text: str) -> str:
    """Quote one segment of an HTTP path."""
    return quote(text, safe='')
