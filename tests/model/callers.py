"""Callers of the entries; they record what they sent and the replies."""

import asyncio
from enum import Enum

import msgspec

from marigoldlift.jobs.task_ids import job_id_for, key_id_for
from marigoldlift.journal.messages import JobSpec
from marigoldlift.peers.messages import (
    CancelRequest,
    ExecuteReply,
    ExecuteRequest,
    SubmitRequest,
)
from marigoldlift.resources import Resources
from marigoldlift.util import MS_PER_S

from tests.model import steps
from tests.model.clock import spawn_outside
from tests.model.entry import DOMAIN, ModelEntry
from tests.model.network import LostCallError, Network

__all__ = ('Attempt', 'Callers', 'Sent', 'SentKind')

WORKSPACE = 'otica'
DEADLINE_MS = 5000

#: Time for which callers wait beyond their deadline, in seconds.
CALLER_GRACE_S = 1.0


class SentKind(Enum):
    """Kind of a send: repeatable request, non-repeatable request (charge), or job."""

    request = 'request'
    charge = 'charge'
    job = 'job'


class Attempt(msgspec.Struct):
    """One attempt: its number, the loop time when it was sent, and the reply if there was one."""

    number: int
    sent_s: float
    reply: ExecuteReply | None = None


class Sent(msgspec.Struct):
    """A request, charge or job with all its attempts."""

    number: int
    kind: SentKind
    payload: str
    deadline_ms: int
    spec: JobSpec | None = None
    attempts: list[Attempt] = []

    @property
    def key(self) -> str:
        """Return the idempotency key."""
        return f'k{self.number}'

    @property
    def answer(self) -> str:
        """Return the answer that the worker gives."""
        return f'a{self.number}'

    @property
    def handle(self) -> str:
        """Return the id of the key or job."""
        id_for = job_id_for if self.kind is SentKind.job else key_id_for
        return id_for(DOMAIN, WORKSPACE, self.key)

    def request_id(self, attempt: Attempt) -> str:
        """Return the request id of one attempt."""
        return f'r{self.number}-{attempt.number}'

    def subject(self, attempt: Attempt) -> str:
        """Return the id under which runs of an attempt are grouped; all attempts of a key or job share one."""
        return self.request_id(attempt) if self.kind is SentKind.request else self.handle


class Callers:
    """Sends to entries and keeps the replies."""

    def __init__(self, network: Network) -> None:
        """Start with nothing sent."""
        self.network = network
        self.sent: list[Sent] = []

    def earlier(self, number: int, *kinds: SentKind) -> Sent | None:
        """Return an earlier send of one of the kinds, chosen by a number; None if there is none."""
        found = [sent for sent in self.sent if sent.kind in kinds]
        return found[number % len(found)] if found else None

    def begin(self, kind: SentKind, step: steps.Request | steps.Charge) -> Sent:
        """Record a new request or charge, which is not sent yet."""
        number = len(self.sent)
        payload = msgspec.json.encode({'run_ms': step.run_ms, 'answer': f'a{number}'}).decode()
        sent = Sent(number, kind, payload, step.deadline_ms)
        self.sent.append(sent)
        return sent

    def submit(self, step: steps.Submit) -> Sent:
        """Record a new job, which is not sent yet."""
        spec = JobSpec(
            kind=step.kind,
            tasks=step.tasks,
            resources=Resources(cpu_milli=step.cpu_milli, memory_mb=100),
            run_ms=step.run_ms,
        )
        sent = Sent(len(self.sent), SentKind.job, '', DEADLINE_MS, spec)
        self.sent.append(sent)
        return sent

    def send(self, sent: Sent, entry: ModelEntry) -> None:
        """Send the next attempt."""
        loop = asyncio.get_running_loop()
        attempt = Attempt(len(sent.attempts) + 1, loop.time())
        sent.attempts.append(attempt)
        spawn_outside(self.wait_reply(sent, attempt, entry))

    async def wait_reply(self, sent: Sent, attempt: Attempt, entry: ModelEntry) -> None:
        """Send an attempt and record the reply."""
        if sent.kind is SentKind.job:
            method, request = entry.submit, submission(sent, attempt)
        else:
            method, request = entry.execute, execution(sent, attempt)
        attempt.reply = await self.call(entry, method, request)

    def cancel(self, sent: Sent, entry: ModelEntry) -> None:
        """Send a cancellation."""
        request = CancelRequest(WORKSPACE, sent.handle, DEADLINE_MS)
        spawn_outside(self.call(entry, entry.cancel, request))

    async def call(self, entry: ModelEntry, method, request) -> ExecuteReply | None:
        """Call an entry and return its reply, None if there is none in time."""
        wire = self.network.wire('caller', entry.name)
        timeout_s = request.deadline_ms / MS_PER_S + CALLER_GRACE_S
        try:
            return await wire.call('caller', lambda: method(request), timeout_s)
        except LostCallError:
            return None


def execution(sent: Sent, attempt: Attempt) -> ExecuteRequest:
    """Return the request message of an attempt."""
    return ExecuteRequest(
        request_id=sent.request_id(attempt),
        workspace=WORKSPACE,
        key=sent.key,
        service='fit' if sent.kind is SentKind.request else 'charge',
        payload=sent.payload,
        attempt=attempt.number,
        deadline_ms=sent.deadline_ms,
    )


def submission(sent: Sent, attempt: Attempt) -> SubmitRequest:
    """Return the message of an attempt to submit a job."""
    return SubmitRequest(
        workspace=WORKSPACE,
        key=sent.key,
        spec=sent.spec,
        attempt=attempt.number,
        deadline_ms=sent.deadline_ms,
    )
