"""Cost of the request queue, and queueing time of short requests mixed with long ones."""

import heapq
import math
import random
import statistics
import time
from collections import Counter, deque
from collections.abc import Callable, Iterator
from typing import Protocol, cast

import msgspec

from marigoldlift.admission.messages import QueuedRequest, QueueLimits, ServiceTime
from marigoldlift.admission.queue import RequestQueue
from marigoldlift.admission.service_times import ServiceTimes
from marigoldlift.errors import OverloadedError
from marigoldlift.ids import WorkspaceId
from marigoldlift.util import MS_PER_S

__all__ = ('run',)

US_PER_S = 1_000_000
QUEUE_LENGTHS = (100, 1_000, 10_000)

#: Pairs of one offer and one take in each timed repetition.
PAIRS = 5_000
REPEATS = 5
WORKSPACES = tuple(WorkspaceId(f'team-{number}') for number in range(24))
SERVICES = tuple(f'service-{number}' for number in range(8))

#: The replayed trace. Service `batch` may use `LONG_SLOTS` of the `SLOTS`.
SLOTS = 16
LONG_SLOTS = 12
REQUESTS = 40_000
SHORT_S = 0.01
LONG_S = 0.4
LONG_SHARE = 0.05

#: Range of the factor by which each run time is multiplied.
RUN_TIME_FACTORS = (0.5, 1.5)

#: Offered load, as a share of what the slots can serve.
LOAD = 0.8
SHORT_DEADLINE_S = 1.0
LONG_DEADLINE_S = 60.0
PERCENTILE = 99


class Services:
    """Simulated services that a queue asks for free slots, limits and service times."""

    def __init__(self, limits: dict[str, int]) -> None:
        """Start with nothing running.

        Args:
            limits: slots by service; a service without a limit may use all slots.
        """
        self.limits = limits
        self.running: Counter[str] = Counter()
        self.times = ServiceTimes()

    def has_free_slot(self, service: str) -> bool:
        """Return whether a slot is free and the service is below its limit."""
        if self.running.total() >= SLOTS:
            return False
        return self.running[service] < self.slots(service)

    def slots(self, service: str) -> int:
        """Return the number of slots that the service may use."""
        return self.limits.get(service, SLOTS)

    def queue_limit(self, service: str) -> int:
        """Return a limit that the replay never reaches."""
        return REQUESTS

    def service_time(self, service: str) -> ServiceTime:
        """Return the service time observed so far in this replay."""
        return self.times.estimate(service)


class FixedServices(Services):
    """Services of which a fixed set is blocked; the check costs no count of running requests."""

    def __init__(self, blocked: tuple[str, ...]) -> None:
        """Set the services that never have a free slot."""
        super().__init__({})
        self.blocked = frozenset(blocked)

    def has_free_slot(self, service: str) -> bool:
        """Return whether the service is not blocked."""
        return service not in self.blocked


class Queue(Protocol):
    """Queue operations that the replay uses."""

    def offer(self, item: QueuedRequest, now_s: float) -> None:
        """Add a request to the queue."""

    def take(self, now_s: float) -> QueuedRequest | None:
        """Remove and return the next request, or None if none can start."""


class Fifo:
    """First-come, first-served queue with head-of-line blocking.

    A request at the head whose service has no free slot blocks all requests behind it.
    """

    def __init__(self, services: Services) -> None:
        """Start empty."""
        self.services = services
        self.items: deque[QueuedRequest] = deque()

    def offer(self, item: QueuedRequest, now_s: float) -> None:
        """Add a request to the queue."""
        item.offered_s = now_s
        self.items.append(item)

    def take(self, now_s: float) -> QueuedRequest | None:
        """Remove and return the oldest request if its service has a free slot."""
        if self.items and self.services.has_free_slot(self.items[0].service):
            return self.items.popleft()
        return None


class Arrival(msgspec.Struct):
    """A request of the trace; the queue does not see `run_s`.

    Attributes:
        at_s: arrival time in seconds from the start of the trace.
        run_s: time for which the request occupies a slot, in seconds.
        deadline_s: time from the arrival to the deadline, in seconds.
    """

    at_s: float
    run_s: float
    workspace: WorkspaceId
    service: str
    deadline_s: float


class Replay:
    """Discrete-event simulation of a trace with one queue and `SLOTS` slots.

    Attributes:
        completions: heap of running requests as (end time in seconds, request number, arrival).
        short_waits: queueing times of short requests in seconds.
        missed_deadlines: short requests that were refused, expired or started too late.
    """

    def __init__(self, trace: list[Arrival], services: Services, queue: Queue) -> None:
        """Create a replay with no request running."""
        self.trace = trace
        self.services = services
        self.queue = queue
        self.completions: list[tuple[float, int, Arrival]] = []
        self.short_waits: list[float] = []
        self.missed_deadlines = 0

    def run(self) -> None:
        """Replay the whole trace, until all requests that started have completed."""
        for number, arrival in enumerate(self.trace):
            self.complete_until(arrival.at_s)
            self.offer(str(number), arrival)
            self.dispatch(arrival.at_s)
        self.complete_until(math.inf)

    def offer(self, number: str, arrival: Arrival) -> None:
        """Offer a request to the queue; a refusal counts as a missed deadline."""
        deadline_s = arrival.at_s + arrival.deadline_s
        item = QueuedRequest(number, arrival.workspace, arrival.service, deadline_s, arrival)
        try:
            self.queue.offer(item, arrival.at_s)
        except OverloadedError:
            self.count_miss(arrival)

    def complete_until(self, until_s: float) -> None:
        """Complete requests that end up to `until_s` and start waiting requests in their slots."""
        while self.completions and self.completions[0][0] <= until_s:
            now_s, _, arrival = heapq.heappop(self.completions)
            self.services.running[arrival.service] -= 1
            self.services.times.observe(arrival.service, arrival.run_s)
            self.dispatch(now_s)

    def dispatch(self, now_s: float) -> None:
        """Start waiting requests in the free slots, then count the expired ones."""
        while item := self.queue.take(now_s):
            self.start(item, now_s)
        if isinstance(self.queue, RequestQueue):
            for expired in self.queue.expire(now_s):
                self.count_miss(expired.content)

    def start(self, item: QueuedRequest, now_s: float) -> None:
        """Start a request and record its queueing time or missed deadline."""
        arrival = cast(Arrival, item.content)
        self.services.running[item.service] += 1
        heapq.heappush(self.completions, (now_s + arrival.run_s, int(item.request_id), arrival))
        if now_s > item.deadline_s:
            self.count_miss(arrival)
        if is_short(arrival):
            self.short_waits.append(now_s - item.offered_s)

    def count_miss(self, arrival: object) -> None:
        """Count a request that was refused, expired or started late, if it is a short one."""
        if is_short(cast(Arrival, arrival)):
            self.missed_deadlines += 1


def is_short(arrival: Arrival) -> bool:
    """Return whether a request is a short one, judged by its run time."""
    return arrival.run_s < LONG_S * RUN_TIME_FACTORS[0]


class Scenario(msgspec.Struct):
    """Service, workspaces and deadline (in seconds) of the long requests of a trace."""

    title: str
    service: str
    deadline_s: float
    workspaces: tuple[WorkspaceId, ...] = WORKSPACES


SCENARIOS = (
    Scenario('5% long ones of another service', 'batch', LONG_DEADLINE_S),
    Scenario('5% long ones of one workspace', 'check', SHORT_DEADLINE_S, WORKSPACES[:1]),
    Scenario('5% stragglers like any other', 'check', SHORT_DEADLINE_S),
)


def make_trace(seed: int, scenario: Scenario) -> list[Arrival]:
    """Return Poisson arrivals; a share of `LONG_SHARE` are long requests."""
    rng = random.Random(seed)
    mean_s = SHORT_S * (1 - LONG_SHARE) + LONG_S * LONG_SHARE
    rate = LOAD * SLOTS / mean_s
    now_s = float(0)
    trace = []
    for _ in range(REQUESTS):
        now_s += rng.expovariate(rate)
        make = long_arrival if rng.random() < LONG_SHARE else short_arrival
        trace.append(make(rng, now_s, scenario))
    return trace


def short_arrival(rng: random.Random, now_s: float, scenario: Scenario) -> Arrival:
    """Return a short request of a random workspace."""
    run_s = rng.uniform(*RUN_TIME_FACTORS) * SHORT_S
    return Arrival(now_s, run_s, rng.choice(WORKSPACES), 'check', SHORT_DEADLINE_S)


def long_arrival(rng: random.Random, now_s: float, scenario: Scenario) -> Arrival:
    """Return a long request with the service, workspaces and deadline of the scenario."""
    run_s = rng.uniform(*RUN_TIME_FACTORS) * LONG_S
    workspace = rng.choice(scenario.workspaces)
    return Arrival(now_s, run_s, workspace, scenario.service, scenario.deadline_s)


def replay_rows(seed: int, scenario: Scenario) -> Iterator[str]:
    """Yield a row for each kind of queue, all with the same trace."""
    trace = make_trace(seed, scenario)
    for name, make in QUEUES:
        services = Services({'batch': LONG_SLOTS})
        replay = Replay(trace, services, make(services))
        replay.run()
        waits_ms = [wait_s * MS_PER_S for wait_s in replay.short_waits]
        median_ms = statistics.median(waits_ms)
        p99_ms = statistics.quantiles(waits_ms, n=PERCENTILE + 1)[-1]
        waits = f'p50 {median_ms:.1f} ms, p99 {p99_ms:.1f} ms waiting'
        misses = f'{replay.missed_deadlines} refused, expired or late'
        yield f'short requests, {scenario.title}, {name}: {waits}; {misses}'


def make_queue(services: Services) -> RequestQueue:
    """Return a queue with equal weights and a bound that is never reached."""
    return RequestQueue(QueueLimits(total=REQUESTS * 2), services, lambda _: 1)


QUEUES: tuple[tuple[str, Callable[[Services], Queue]], ...] = (
    ('first come, first served', Fifo),
    ('RequestQueue', make_queue),
)


def pair_cost_us(
    queue: Queue, length: int, rng: random.Random, services: tuple[str, ...]
) -> float:
    """Return the time of one offer and one take at a constant queue length, in microseconds.

    Args:
        length: number of waiting requests, which are spread over all services.
        services: services of the requests that are offered while the time is taken.
    """
    for _ in range(length):
        queue.offer(random_item(rng, SERVICES), 0)
    costs = []
    for _ in range(REPEATS):
        items = [random_item(rng, services) for _ in range(PAIRS)]
        begin_s = time.perf_counter()
        for item in items:
            queue.offer(item, 0)
            queue.take(0)
        costs.append((time.perf_counter() - begin_s) / PAIRS * US_PER_S)
    return statistics.median(costs)


def random_item(rng: random.Random, services: tuple[str, ...]) -> QueuedRequest:
    """Return a request whose deadline is never reached."""
    deadline_s = rng.uniform(100, 200)
    return QueuedRequest('r', rng.choice(WORKSPACES), rng.choice(services), deadline_s)


def cost_rows(seed: int) -> Iterator[str]:
    """Yield the cost of the queue at each length, compared with a plain deque."""
    for length in QUEUE_LENGTHS:
        open_services = FixedServices(())
        one_open = FixedServices(SERVICES[1:])
        cases = (
            ('RequestQueue', make_queue(open_services), SERVICES),
            ('with 7 of 8 services blocked', make_queue(one_open), SERVICES[:1]),
            ('plain FIFO', Fifo(open_services), SERVICES),
        )
        costs = (
            (name, pair_cost_us(queue, length, random.Random(seed), services))
            for name, queue, services in cases
        )
        shown = ', '.join(f'{name} {cost:.1f} us' for name, cost in costs)
        yield f'offer + take at {length} waiting: {shown}'


def run(seed: int) -> list[str]:
    """Run the benchmark and return its rows."""
    replays = (row for scenario in SCENARIOS for row in replay_rows(seed, scenario))
    return [*cost_rows(seed), *replays]
