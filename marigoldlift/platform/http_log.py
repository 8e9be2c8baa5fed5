"""The platform's log over HTTP."""

from collections.abc import Sequence

import aiohttp
import msgspec
from yarl import URL

from marigoldlift.errors import (
    AppendOutcomeUnknownError,
    AppendRefusedError,
    LogUnavailableError,
    PlatformError,
    RetentionPassedError,
)
from marigoldlift.ids import Offset, StreamId
from marigoldlift.platform import http_calls
from marigoldlift.platform.messages import AppendRequest, AppendResult, RecordPage
from marigoldlift.util import MS_PER_S

__all__ = ('HttpLogService',)

APPEND_TIMEOUT_S = 3.0

# Added to the time that the log may wait for a record. An unresponsive log has to be detected early
# enough for the records to arrive from a peer within 4 s.
READ_GRACE_S = 1.5

APPEND_ANSWER_BYTES = 65_536
PAGE_BYTES = 8_388_608

HTTP_GONE = 410


class RetentionPassed(msgspec.Struct):
    """JSON body of status 410."""

    oldest: int


class HttpLogService:
    """`LogService` over HTTP."""

    def __init__(self, session: aiohttp.ClientSession, address: str) -> None:
        """Use the log at `host:port`.

        Raises:
            InvalidInputError: the address is not of this form.
        """
        self.session = session
        self.streams = http_calls.base_url(address) / 'streams'

    async def append(
        self,
        stream: StreamId,
        producer: str,
        sequence: int,
        payloads: Sequence[bytes],
    ) -> AppendResult:
        """Append the payloads as consecutive records; the request is sent at most once.

        Raises:
            LogUnavailableError: the log was not reached; nothing was appended.
            AppendOutcomeUnknownError: no usable answer; the append may have taken effect.
            AppendRefusedError: the log answered that nothing was appended.
        """
        batch = AppendRequest(producer, sequence, list(payloads))
        call = http_calls.HttpCall(
            'POST',
            self.records_url(stream),
            timeout_s=APPEND_TIMEOUT_S,
            body_limit=APPEND_ANSWER_BYTES,
            body=msgspec.msgpack.encode(batch),
            content_type=http_calls.MSGPACK,
        )
        try:
            answer = await http_calls.exchange(self.session, call)
        except http_calls.NotSentError as unsent:
            raise LogUnavailableError(unsent.reason) from unsent
        except http_calls.NoAnswerError as unanswered:
            raise AppendOutcomeUnknownError(unanswered.reason) from unanswered
        return append_result(answer)

    async def read(
        self,
        stream: StreamId,
        first: Offset,
        limit: int,
        wait_ms: int,
    ) -> RecordPage:
        """Read records from offset `first` on; wait up to `wait_ms` if there are none yet.

        Raises:
            RetentionPassedError: `first` is older than the oldest record kept.
            LogUnavailableError: the log did not answer, or answered with 5xx.
            PlatformError: the answer is too large, does not decode, or refuses the read.
        """
        call = http_calls.HttpCall(
            'GET',
            self.records_url(stream),
            timeout_s=wait_ms / MS_PER_S + READ_GRACE_S,
            body_limit=PAGE_BYTES,
            query={'from': str(first), 'limit': str(limit), 'wait_ms': str(wait_ms)},
        )
        try:
            answer = await http_calls.exchange(self.session, call)
        except http_calls.AnswerTooLargeError:
            raise
        except (http_calls.NotSentError, http_calls.NoAnswerError) as error:
            raise LogUnavailableError(error.reason) from error
        return record_page(answer)

    def records_url(self, stream: StreamId) -> URL:
        """Return the URL of a stream's records."""
        return self.streams / stream / 'records'


def append_result(answer: http_calls.HttpAnswer) -> AppendResult:
    """Decode the answer to an append.

    Raises:
        AppendRefusedError: a 4xx, or another status with a code and a reason of the log.
        AppendOutcomeUnknownError: any other answer, or a body that is not a result.
    """
    if answer.succeeded:
        return decode_result(answer.body)
    refusal = http_calls.decode_refusal(answer)
    if refusal is not None:
        raise AppendRefusedError(f'{answer.status} {refusal.code}: {refusal.reason}')
    if answer.client_error:
        raise AppendRefusedError(f'status {answer.status}')
    raise AppendOutcomeUnknownError(f'status {answer.status} without a reason')


def decode_result(body: bytes) -> AppendResult:
    """Decode a result.

    Raises:
        AppendOutcomeUnknownError: the body is not a result.
    """
    try:
        return msgspec.msgpack.decode(body, type=AppendResult)
    except msgspec.MsgspecError as error:
        raise AppendOutcomeUnknownError(f'append answer does not decode: {error}') from error


def record_page(answer: http_calls.HttpAnswer) -> RecordPage:
    """Decode the answer to a read.

    Raises:
        RetentionPassedError: status 410.
        LogUnavailableError: status 5xx.
        PlatformError: another status, or a body that does not decode.
    """
    if answer.status == HTTP_GONE:
        raise retention_passed(answer.body)
    if not (answer.succeeded or answer.client_error):
        raise LogUnavailableError(f'read answered with status {answer.status}')
    if answer.client_error:
        raise PlatformError(f'read refused with status {answer.status}')
    try:
        return msgspec.msgpack.decode(answer.body, type=RecordPage)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'page does not decode: {error}') from error


def retention_passed(body: bytes) -> PlatformError:
    """Return the error for a body of status 410."""
    try:
        return RetentionPassedError(msgspec.json.decode(body, type=RetentionPassed).oldest)
    except msgspec.MsgspecError as error:
        return PlatformError(f'status 410 without the oldest offset: {error}')
