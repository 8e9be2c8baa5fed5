"""HTTP routes for operators, to be mounted at `PREFIX`."""

import re
import uuid
from collections.abc import Callable, Mapping
from enum import Enum
from types import MappingProxyType
from typing import TypeVar

import msgspec
from aiohttp import web

from marigoldlift.configuration.changes import ConfigurationObject
from marigoldlift.configuration.objects import encode_value
from marigoldlift.configuration.state import ConfigurationState
from marigoldlift.errors import InvalidInputError, NotFoundError
from marigoldlift.ids import VmId, WorkspaceId
from marigoldlift.journal.messages import ObjectKind
from marigoldlift.operators import messages
from marigoldlift.operators.backend import OperatorBackend
from marigoldlift.operators.publishing import Publisher
from marigoldlift.operators.web import json_response, read_json, read_query, reply_to_errors

__all__ = ('PREFIX', 'OperatorRoutes', 'operator_app')

PREFIX = '/v1/operator'

MAX_HANDLE_LENGTH = 200

#: Form of a trace id in W3C Trace Context.
trace_expression = re.compile('[0-9a-f]{32}')

APPLY_HTTP: Mapping[messages.ApplyStatus, int] = MappingProxyType(
    {
        messages.ApplyStatus.accepted: 200,
        messages.ApplyStatus.refused: 409,
        messages.ApplyStatus.unknown: 502,
        messages.ApplyStatus.unavailable: 503,
    }
)

ChoiceT = TypeVar('ChoiceT', bound=Enum)


def random_id() -> str:
    """Generate a random change id."""
    return uuid.uuid4().hex


def operator_app(
    backend: OperatorBackend,
    max_body_bytes: int,
    new_id: Callable[[], str] = random_id,
) -> web.Application:
    """Return the application to mount with `add_subapp(PREFIX, ...)`.

    Args:
        backend: the daemon.
        max_body_bytes: maximum length of the body of a request.
        new_id: generates change ids.
    """
    routes = OperatorRoutes(backend, max_body_bytes, new_id)
    app = web.Application(middlewares=[reply_to_errors])
    app.add_routes(
        [
            web.post('/configuration', routes.apply),
            web.get('/configuration', routes.read_configuration),
            web.get('/status', routes.status),
            web.get('/jobs', routes.list_jobs),
            web.get('/explain/{handle}', routes.explain),
            web.get('/traces/{trace_id}', routes.trace),
            web.post('/jobs/{handle}/cancel', routes.cancel),
            web.post('/drain/{vm_id}', routes.drain),
        ]
    )
    return app


class OperatorRoutes:
    """Handlers of the routes; each reads and checks its input before it calls the backend.

    Attributes:
        backend: the daemon.
        max_body_bytes: maximum length of the body of a request.
        publisher: publishes change sets.
    """

    def __init__(
        self,
        backend: OperatorBackend,
        max_body_bytes: int,
        new_id: Callable[[], str],
    ) -> None:
        """Store the backend and the limits."""
        self.backend = backend
        self.max_body_bytes = max_body_bytes
        self.publisher = Publisher(backend, new_id)

    async def apply(self, request: web.Request) -> web.Response:
        """Publish a change set."""
        given = await read_json(request, messages.ApplyInput, self.max_body_bytes)
        reply = await self.publisher.apply(given)
        return json_response(reply, APPLY_HTTP[reply.status])

    async def drain(self, request: web.Request) -> web.Response:
        """Publish that a VM gets no new work."""
        given = await read_json(request, messages.DrainInput, self.max_body_bytes)
        reply = await self.publisher.drain(VmId(request.match_info['vm_id']), given)
        return json_response(reply, APPLY_HTTP[reply.status])

    async def read_configuration(self, request: web.Request) -> web.Response:
        """Return the configuration in force at this entry."""
        query = read_query(request, 'kind', 'name')
        kind = read_choice(query, 'kind', ObjectKind)
        state = self.backend.configuration()
        found = select_objects(state, kind, query.get('name'))
        reply = messages.ObjectsReply(state.version, state.applied, list(map(view_of, found)))
        return json_response(reply)

    async def status(self, request: web.Request) -> web.Response:
        """Return the status of each entry."""
        read_query(request)
        return json_response(messages.StatusReply(list(self.backend.entries())))

    async def list_jobs(self, request: web.Request) -> web.Response:
        """List jobs."""
        query = read_query(request, 'workspace', 'state')
        workspace = query.get('workspace')
        job_filter = messages.JobFilter(
            WorkspaceId(workspace) if workspace else None,
            read_choice(query, 'state', messages.JobState),
        )
        return json_response(await self.backend.list_jobs(job_filter))

    async def explain(self, request: web.Request) -> web.Response:
        """Explain why a job or key is in its state."""
        read_query(request)
        return json_response(await self.backend.explain(read_handle(request)))

    async def trace(self, request: web.Request) -> web.Response:
        """Return the spans of a trace."""
        read_query(request)
        trace_id = request.match_info['trace_id']
        if not trace_expression.fullmatch(trace_id):
            raise InvalidInputError('allowed are 32 hexadecimal digits', 'trace_id')
        return json_response(await self.backend.trace(trace_id))

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a job."""
        read_query(request)
        return json_response(await self.backend.cancel(read_handle(request)))


def select_objects(
    state: ConfigurationState,
    kind: ObjectKind | None,
    name: str | None,
) -> list[ConfigurationObject]:
    """Return all objects, those of one kind, or a single object.

    Raises:
        InvalidInputError: a name is given without a kind.
        NotFoundError: there is no object of that kind and name.
    """
    if name is None:
        return [found for found in state.all_objects() if kind in {None, found.kind}]
    if kind is None:
        raise InvalidInputError('is required with a name', 'query.kind')
    found = state.get(kind, name)
    if found is None:
        raise NotFoundError(f'there is no {kind.value} {name!r}', 'query.name')
    return [found]


def view_of(configured: ConfigurationObject) -> messages.ObjectView:
    """Convert a configuration object to the form in which operators receive it."""
    return messages.ObjectView(
        configured.kind,
        configured.name,
        configured.version,
        msgspec.Raw(encode_value(configured.value).encode()),
    )


def read_choice(
    query: Mapping[str, str],
    name: str,
    choices: type[ChoiceT],
) -> ChoiceT | None:
    """Return the enum member whose value a query parameter gives, or None if the parameter is missing.

    Raises:
        InvalidInputError: no member has that value.
    """
    text = query.get(name)
    if text is None:
        return None
    by_value = {str(member.value): member for member in choices}
    if text not in by_value:
        allowed = ', '.join(by_value)
        raise InvalidInputError(f'given {text!r}, allowed is {allowed}', f'query.{name}')
    return by_value[text]


def read_handle(request: web.Request) -> str:
    """Return the handle in the path.

    Raises:
        InvalidInputError: the handle is too long.
    """
    handle = request.match_info['handle']
    if len(handle) > MAX_HANDLE_LENGTH:
        raise InvalidInputError(f'longer than {MAX_HANDLE_LENGTH} characters', 'handle')
    return handle
