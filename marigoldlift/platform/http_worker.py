"""Calls to one worker over HTTP."""

from typing import TypeVar

import aiohttp
import msgspec

from marigoldlift.errors import FencedError, WorkerRefusedError, WorkerUnavailableError
from marigoldlift.platform import messages
from marigoldlift.platform.http_calls import (
    HttpAnswer,
    HttpCall,
    NoAnswerError,
    NotSentError,
    Refusal,
    base_url,
    decode_refusal,
    exchange,
)
from marigoldlift.util import MS_PER_S

__all__ = ('HttpWorkerApi',)

# The lease is renewed every second and lasts 4 s, so a lost renewal leaves time for two more.
LEASE_TIMEOUT_S = 1.0
COMMAND_TIMEOUT_S = 2.0

# Added to the caller's deadline, so that an answer sent just before it still arrives.
ANSWER_GRACE_S = 0.5

# Limit for an answer; an inventory holds every running task and the results of the last 15 min.
ANSWER_BYTES = 8_388_608

FENCED = 'fenced'

#: Codes that mean, with any status, that a command had no effect.
REFUSAL_CODES = frozenset((FENCED, 'duplicate', 'leaving', 'full'))

Body = TypeVar('Body')


class HttpWorkerApi:
    """`WorkerApi` over HTTP; each command is sent at most once."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        *,
        lease_timeout_s: float = LEASE_TIMEOUT_S,
        command_timeout_s: float = COMMAND_TIMEOUT_S,
    ) -> None:
        """Use the worker at `host:port`; timeouts are in seconds.

        Raises:
            InvalidInputError: the address is not of this form.
        """
        self.session = session
        self.url = base_url(address)
        self.lease_timeout_s = lease_timeout_s
        self.command_timeout_s = command_timeout_s

    async def lease(self, request: messages.LeaseRequest) -> messages.LeaseGrant:
        """Claim, renew or release the control lease.

        Raises:
            WorkerUnavailableError: no usable answer.
            WorkerRefusedError: the worker refused the request.
        """
        answer = await self.post('lease', request, self.lease_timeout_s)
        return decode_answer(answer, messages.LeaseGrant)

    async def start_task(self, request: messages.StartTask) -> None:
        """Start a task that outlives the call.

        Raises:
            FencedError: incarnation or epoch is not the current one, or the lease lapsed.
            WorkerRefusedError: duplicate task id, leaving worker, or no free capacity.
            WorkerUnavailableError: no usable answer.
        """
        await self.post('tasks', request, self.command_timeout_s)

    async def stop_task(self, request: messages.StopTask) -> None:
        """Stop a task.

        Raises:
            FencedError: as for `start_task`.
            WorkerRefusedError: the worker refused the command.
            WorkerUnavailableError: no usable answer.
        """
        await self.post('tasks/stop', request, self.command_timeout_s)

    async def run_request(self, request: messages.RunRequest) -> messages.RequestResult:
        """Run one request and wait for its result until shortly after its deadline.

        Raises:
            FencedError: as for `start_task`; the request was not run.
            WorkerRefusedError: as for `start_task`; the request was not run.
            WorkerUnavailableError: no usable answer.
        """
        timeout_s = request.deadline_ms / MS_PER_S + ANSWER_GRACE_S
        answer = await self.post('requests', request, timeout_s)
        return decode_answer(answer, messages.RequestResult)

    async def post(self, path: str, request: msgspec.Struct, timeout_s: float) -> HttpAnswer:
        """Send a command and return the answer if it is a success.

        Raises:
            FencedError: the worker's refusal has the code `fenced`.
            WorkerRefusedError: the worker refused the command.
            WorkerUnavailableError: no usable answer.
        """
        call = HttpCall(
            'POST',
            self.url / path,
            timeout_s=timeout_s,
            body_limit=ANSWER_BYTES,
            body=msgspec.json.encode(request),
        )
        try:
            answer = await exchange(self.session, call)
        except NotSentError as unsent:
            raise WorkerUnavailableError(unsent.reason, may_have_run=False) from unsent
        except NoAnswerError as unanswered:
            raise WorkerUnavailableError(unanswered.reason, may_have_run=True) from unanswered
        if answer.succeeded:
            return answer
        raise refusal_error(answer)


def decode_answer(answer: HttpAnswer, body_type: type[Body]) -> Body:
    """Decode the body of a success.

    Raises:
        WorkerUnavailableError: the body has another form; the command may have run.
    """
    try:
        return msgspec.json.decode(answer.body, type=body_type)
    except msgspec.MsgspecError as error:
        raise WorkerUnavailableError(
            f'worker answer does not decode: {error}',
            may_have_run=True,
        ) from error


def refusal_error(answer: HttpAnswer) -> WorkerRefusedError | WorkerUnavailableError:
    """Return the error for an answer that is not a success."""
    refusal = decode_refusal(answer)
    if refusal is None or not proves_no_effect(answer, refusal):
        return WorkerUnavailableError(
            f'worker answered with status {answer.status}',
            may_have_run=True,
        )
    error_type = FencedError if refusal.code == FENCED else WorkerRefusedError
    return error_type(refusal.code, refusal.reason)


def proves_no_effect(answer: HttpAnswer, refusal: Refusal) -> bool:
    """Return whether the answer proves that the command had no effect."""
    return answer.client_error or refusal.code in REFUSAL_CODES
