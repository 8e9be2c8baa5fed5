"""Cost of the request queue, and waiting time of short requests beside long ones."""

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
LENGTHS = (100, 1_000, 10_000)
PAIRS = 5_000
REPEATS = 5
WORKSPACES = tuple(WorkspaceId(f'team-{number}') for number in range(24))
SERVICES = tuple(f'service-{number}' for number in range(8))

#: The replayed trace.
SLOTS = 16
LONG_SLOTS = 12
REQUESTS = 40_000
SHORT_S = 0.01
LONG_S = 0.4
LONG_SHARE = 0.05

#: Factors of the run time.
SPREAD = (0.5, 1.5)
LOAD = 0.8
SHORT_DEADLINE_S = 1.0
LONG_DEADLINE_S = 60.0
PERCENTILE = 99


class Services:
    """What the queue is told: a running count by service, against a limit of slots."""

    def __init__(self, limits: dict[str, int]) -> None:
        """Start with nothing running; a service without a limit may use all slots."""
        self.limits = limits
        self.running: Counter[str] = Counter()
        self.times = ServiceTimes()

    def has_free_slot(self, service: str) -> bool:
        """Tell whether a slot is free."""
        if self.running.total() >= SLOTS:
            return False
        return self.running[service] < self.slots(service)

    def slots(self, service: str) -> int:
        """Return the limit of slots."""
        return self.limits.get(service, SLOTS)

    def queue_limit(self, service: str) -> int:
        """Return no effective limit."""
        return REQUESTS

    def service_time(self, service: str) -> ServiceTime:
        """Return the time observed in this replay."""
        return self.times.estimate(service)


class FixedServices(Services):
    """Services of which some have no free slot, at no cost for the count."""

    def __init__(self, blocked: tuple[str, ...]) -> None:
        """Block some services."""
        super().__init__({})
        self.blocked = frozenset(blocked)

    def has_free_slot(self, service: str) -> bool:
        """Tell whether the service is not blocked."""
        return service not in self.blocked


class Queue(Protocol):
    """What the replay needs of a queue."""

    def offer(self, item: QueuedRequest, now_s: float) -> None:
        """Accept a request."""

    def take(self, now_s: float) -> QueuedRequest | None:
        """Return the next request."""


class Fifo:
    """First come, first served: a head without a free slot blocks what is behind it."""

    def __init__(self, services: Services) -> None:
        """Start empty."""
        self.services = services
        self.items: deque[QueuedRequest] = deque()

    def offer(self, item: QueuedRequest, now_s: float) -> None:
        """Accept a request."""
        item.offered_s = now_s
        self.items.append(item)

    def take(self, now_s: float) -> QueuedRequest | None:
        """Return the oldest request if its service has a slot."""
        if self.items and self.services.has_free_slot(self.items[0].service):
            return self.items.popleft()
        return None


class Arrival(msgspec.Struct):
    """A request of the trace; `run_s` is known to the replay only."""

    at_s: float
    run_s: float
    workspace: WorkspaceId
    service: str
    deadline_s: float


class Replay:
    """Discrete-event replay of a trace: one queue and some slots."""

    def __init__(self, trace: list[Arrival], services: Services, queue: Queue) -> None:
        """Start at the first arrival."""
        self.trace = trace
        self.services = services
        self.queue = queue
        self.ends: list[tuple[float, int, Arrival]] = []
        self.short_waits: list[float] = []
        self.missed_deadlines = 0

    def run(self) -> None:
        """Replay everything."""
        for number, arrival in enumerate(self.trace):
            self.end_until(arrival.at_s)
            self.offer(str(number), arrival)
            self.dispatch(arrival.at_s)
        self.end_until(math.inf)

    def offer(self, number: str, arrival: Arrival) -> None:
        """Put a request into the queue."""
        deadline_s = arrival.at_s + arrival.deadline_s
        item = QueuedRequest(number, arrival.workspace, arrival.service, deadline_s, arrival)
        try:
            self.queue.offer(item, arrival.at_s)
        except OverloadedError:
            self.count_miss(arrival)

    def end_until(self, until_s: float) -> None:
        """End what runs and start what waits, up to a time."""
        while self.ends and self.ends[0][0] <= until_s:
            now_s, _, arrival = heapq.heappop(self.ends)
            self.services.running[arrival.service] -= 1
            self.services.times.observe(arrival.service, arrival.run_s)
            self.dispatch(now_s)

    def dispatch(self, now_s: float) -> None:
        """Fill the free slots."""
        while item := self.queue.take(now_s):
            self.start(item, now_s)
        if isinstance(self.queue, RequestQueue):
            for expired in self.queue.expire(now_s):
                self.count_miss(expired.content)

    def start(self, item: QueuedRequest, now_s: float) -> None:
        """Let a request occupy a slot until its end."""
        arrival = cast(Arrival, item.content)
        self.services.running[item.service] += 1
        heapq.heappush(self.ends, (now_s + arrival.run_s, int(item.request_id), arrival))
        if now_s > item.deadline_s:
            self.count_miss(arrival)
        if is_short(arrival):
            self.short_waits.append(now_s - item.offered_s)

    def count_miss(self, arrival: object) -> None:
        """Count a short request that was refused, expired or started after its deadline."""
        if is_short(cast(Arrival, arrival)):
            self.missed_deadlines += 1


def is_short(arrival: Arrival) -> bool:
    """Tell short requests from long ones."""
    return arrival.run_s < LONG_S * SPREAD[0]


class Scenario(msgspec.Struct):
    """Where the long requests of a trace come from, and how long they may wait."""

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
    """Return Poisson arrivals of which some run many times longer than the others."""
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
    """Return a short request of some workspace."""
    run_s = rng.uniform(*SPREAD) * SHORT_S
    return Arrival(now_s, run_s, rng.choice(WORKSPACES), 'check', SHORT_DEADLINE_S)


def long_arrival(rng: random.Random, now_s: float, scenario: Scenario) -> Arrival:
    """Return a long request as the scenario has it."""
    run_s = rng.uniform(*SPREAD) * LONG_S
    workspace = rng.choice(scenario.workspaces)
    return Arrival(now_s, run_s, workspace, scenario.service, scenario.deadline_s)


def replay_rows(seed: int, scenario: Scenario) -> Iterator[str]:
    """Yield a row for each kind of queue over the same trace."""
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
    """Return a queue without an effective bound and with equal weights."""
    return RequestQueue(QueueLimits(total=REQUESTS * 2), services, lambda _: 1)


QUEUES: tuple[tuple[str, Callable[[Services], Queue]], ...] = (
    ('first come, first served', Fifo),
    ('RequestQueue', make_queue),
)


def pair_cost_us(queue: Queue, length: int, rng: random.Random, names: tuple[str, ...]) -> float:
    """Return the time of one offer and one take at a steady length, in microseconds.

    `names` are the services of the offered requests; those that wait are of all services.
    """
    for _ in range(length):
        queue.offer(random_item(rng, SERVICES), 0)
    costs = []
    for _ in range(REPEATS):
        items = [random_item(rng, names) for _ in range(PAIRS)]
        begin_s = time.perf_counter()
        for item in items:
            queue.offer(item, 0)
            queue.take(0)
        costs.append((time.perf_counter() - begin_s) / PAIRS * US_PER_S)
    return statistics.median(costs)


def random_item(rng: random.Random, names: tuple[str, ...]) -> QueuedRequest:
    """Return a request with a deadline that is not reached."""
    deadline_s = rng.uniform(100, 200)
    return QueuedRequest('r', rng.choice(WORKSPACES), rng.choice(names), deadline_s)


def cost_rows(seed: int) -> Iterator[str]:
    """Yield the cost at each length, beside a plain deque."""
    for length in LENGTHS:
        open_services = FixedServices(())
        one_open = FixedServices(SERVICES[1:])
        cases = (
            ('RequestQueue', make_queue(open_services), SERVICES),
            ('with 7 of 8 services blocked', make_queue(one_open), SERVICES[:1]),
            ('plain FIFO', Fifo(open_services), SERVICES),
        )
        costs = (
            (name, pair_cost_us(queue, length, random.Random(seed), names))
            for name, queue, names in cases
        )
        shown = ', '.join(f'{name} {cost:.1f} us' for name, cost in costs)
        yield f'offer + take at {length} waiting: {shown}'


def run(seed: int) -> list[str]:
    """Return the measured rows."""
    replays = (row for scenario in SCENARIOS for row in replay_rows(seed, scenario))
    return [*cost_rows(seed), *replays]
