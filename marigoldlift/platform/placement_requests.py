"""Answers where a submission would be placed now; an entry that does not lead asks the leader."""

from collections.abc import Callable
from http import HTTPStatus

import msgspec
from aiohttp import web

from marigoldlift.cell_node import CellNode
from marigoldlift.decoding import JsonDecoder
from marigoldlift.errors import InvalidInputError, MarigoldliftError, NotFoundError
from marigoldlift.ids import WorkspaceId
from marigoldlift.leadership.leader_view import LeaderView
from marigoldlift.platform.calls import CallUnansweredError, HttpClient
from marigoldlift.platform.configuration import CellConfiguration, Queue
from marigoldlift.platform.submission_parsing import (
    MAX_BODY_BYTES,
    parse_submission,
    submission_decoder,
)
from marigoldlift.scheduling.dispatcher import Dispatcher
from marigoldlift.scheduling.explanation import PLACEMENT_PATH
from marigoldlift.scheduling.placement_report import explain_job, trial_job
from marigoldlift.scheduling.job_run import JobRun
from marigoldlift.submissions.model import Submission, SubmissionId
from marigoldlift.workspaces.model import NO_WORKSPACE

__all__ = ('PlacementRequest', 'PlacementRequests')

#: Largest question, in bytes: the body of a submission and the other fields.
MAX_FIELD_BYTES = 4096
MAX_REQUEST_BYTES = MAX_BODY_BYTES + MAX_FIELD_BYTES

#: Timeout of the question to the leader, in s.
LEADER_WAIT_S = 5.0

#: Id of a submission that is not handed in; no caller can use it, since ids consist of hexadecimal digits.
TRIAL_ID = SubmissionId('trial')


class PlacementRequest(msgspec.Struct, frozen=True):
    """Question where a submission would be placed.

    Attributes:
        submission: id of an open submission, empty to ask for one that is not handed in.
        queue: name of the queue, or its host and a path below its prefix.
        workspace: workspace that would hand it in.
        body: body that the caller would send.
        is_forwarded: whether another entry has forwarded the question to this one as the leader.
    """

    submission: str = ''
    queue: str = ''
    workspace: str = ''
    body: msgspec.Raw = msgspec.Raw(b'null')
    is_forwarded: bool = False


request_decoder: JsonDecoder[PlacementRequest] = JsonDecoder(PlacementRequest, MAX_REQUEST_BYTES)


class PlacementRequests:
    """Answers questions about placement at the port for other entries.

    Attributes:
        node: the entry's parts; its dispatcher answers while it leads.
        configuration: returns the configuration in force, None before the first one was read.
        calls: sends questions to the leader.
    """

    def __init__(
        self,
        node: CellNode,
        configuration: Callable[[], CellConfiguration | None],
        calls: HttpClient,
    ) -> None:
        """Keep the parts."""
        self.node = node
        self.configuration = configuration
        self.calls = calls
        self.leader_view = LeaderView(node.election)

    async def answer(self, content: bytes) -> web.Response:
        """Answer one question."""
        try:
            asked = request_decoder.decode(content)
        except InvalidInputError as fault:
            return fault_reply(HTTPStatus.BAD_REQUEST, fault)
        dispatcher = self.node.dispatcher
        if dispatcher is None or not dispatcher.events.may_act():
            return await self.forward(asked)
        if not dispatcher.planner.has_passed:
            return unavailable('the leader has not made a scheduling pass yet')
        try:
            job = self.find_job(asked, dispatcher)
        except NotFoundError as unknown:
            return fault_reply(HTTPStatus.NOT_FOUND, unknown)
        except InvalidInputError as malformed:
            return fault_reply(HTTPStatus.BAD_REQUEST, malformed)
        found = explain_job(dispatcher.planner, job, self.node.candidate.address)
        return json_reply(HTTPStatus.OK, msgspec.json.encode(found))

    async def forward(self, asked: PlacementRequest) -> web.Response:
        """Send a question to the leader, once."""
        address = self.leader_view.leader_address()
        if asked.is_forwarded or not address:
            return unavailable('no leader known')
        passed_on = msgspec.structs.replace(asked, is_forwarded=True)
        url = f'http://{address}{PLACEMENT_PATH}'
        try:
            reply = await self.calls.post(url, msgspec.json.encode(passed_on), LEADER_WAIT_S)
        except CallUnansweredError as fault:
            reason = f'leader {address} unreachable: {fault}'
            return json_reply(HTTPStatus.BAD_GATEWAY, fault_body('leader_unreachable', reason))
        return json_reply(reply.status, reply.body)

    def find_job(self, asked: PlacementRequest, dispatcher: Dispatcher) -> JobRun:
        """Return the submission that is asked for.

        Raises:
            NotFoundError: the submission, queue or workspace is not known.
            InvalidInputError: the body is malformed, or a workspace is missing.
        """
        if asked.submission:
            job = dispatcher.open_submissions.jobs.get(SubmissionId(asked.submission))
            if job is None:
                raise NotFoundError(f'no open submission {asked.submission!r}')
            return job
        submission = self.parse(asked)
        return trial_job(submission, dispatcher.clock())

    def parse(self, asked: PlacementRequest) -> Submission:
        """Return the submission that the body describes, with the mark that its acceptance would give it.

        Raises:
            NotFoundError: the queue or the workspace is not known.
            InvalidInputError: the body is malformed, or a workspace is missing.
        """
        configuration = self.configuration()
        queue = find_queue(configuration, asked.queue)
        workspace = WorkspaceId(asked.workspace)
        check_workspace(configuration, queue, workspace)
        body = submission_decoder.decode(bytes(asked.body))
        submission = parse_submission(
            body, queue, TRIAL_ID, self.node.candidate.address, workspace
        )
        ahead_s = self.node.acceptance.admission.shares.preview(workspace).ahead_s
        return msgspec.structs.replace(submission, ahead_s=ahead_s)


def find_queue(configuration: CellConfiguration | None, name: str) -> Queue:
    """Return the queue with a name, or the one that serves a host and path.

    Raises:
        NotFoundError: there is none.
    """
    if configuration is not None:
        for queue in configuration.queues.values():
            if queue.policy.queue == name:
                return queue
        host, _, path = name.partition('/')
        found = configuration.queue_of(host, f'/{path}')
        if found is not None:
            return found
    raise NotFoundError(f'unknown queue {name!r}')


def check_workspace(
    configuration: CellConfiguration | None, queue: Queue, workspace: WorkspaceId
) -> None:
    """Check that a workspace may hand in submissions to a queue.

    Raises:
        NotFoundError: the workspace is not known.
        InvalidInputError: the queue needs one, and none is given.
    """
    if configuration is None or configuration.workspace_of_key is None:
        known = {NO_WORKSPACE}
    else:
        known = {NO_WORKSPACE, *(listed.name for listed in configuration.workspaces)}
        if workspace == NO_WORKSPACE and not queue.anonymous:
            raise InvalidInputError(f'queue {queue.policy.queue!r} needs a workspace')
    if workspace not in known:
        raise NotFoundError(f'unknown workspace {workspace!r}')


def unavailable(reason: str) -> web.Response:
    """Build the response to a question that no leader answers now."""
    return json_reply(HTTPStatus.SERVICE_UNAVAILABLE, fault_body('unavailable', reason))


def fault_reply(status: HTTPStatus, fault: MarigoldliftError) -> web.Response:
    """Build the response to a question that cannot be answered."""
    return json_reply(status, fault_body(fault.code, str(fault)))


def fault_body(code: str, reason: str) -> bytes:
    """Return the body that says why a question is not answered, in the form that the client expects."""
    return msgspec.json.encode({'code': code, 'reason': reason})


def json_reply(status: int, body: bytes) -> web.Response:
    """Build a JSON response."""
    return web.Response(status=status, body=body, content_type='application/json')
