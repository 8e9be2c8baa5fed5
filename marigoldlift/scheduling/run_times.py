"""Feeds the ends of runs to the learner, reports what it has learned, and stores it for later leaders."""

import time
from collections.abc import Iterator
from weakref import WeakKeyDictionary

from loguru import logger

from marigoldlift.errors import PlatformError
from marigoldlift.orders.api import EndedRun, Worker
from marigoldlift.orders.runs import Run
from marigoldlift.orders.session import WorkerSession
from marigoldlift.replication.appender import Appender
from marigoldlift.runtimes.api import WorkKey
from marigoldlift.runtimes.learner import RunTimes
from marigoldlift.runtimes.samples import Measurement, RunSample, measure
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.run_time_records import RunTimesSummary
from marigoldlift.supervision import TaskSet
from marigoldlift.telemetry.metric_table import Metric
from marigoldlift.telemetry.metrics import Metrics

__all__ = ('LEARNING', 'RunTimeRecorder')

MS_PER_S = 1000

#: Name under which exceptions of the learning of run times are logged.
LEARNING = 'run times'

#: Time between two summaries in the log, and two reports, in s; a new leader lacks the ends since the last summary.
STORE_INTERVAL_S = 5.0

#: Ends since the last summary from which a new one is worth its record.
MIN_NEW_ENDS = 16

#: How long a summary waits for the store, in s; the next one replaces it.
WAIT_S = 2

#: Queues and failure domains in a log line.
MAX_REPORTED = 8


class RunTimeRecorder:
    """Connects a learner with the runs of one tenure.

    Attributes:
        times: the learner.
        new_ends: ends since the last summary.
        ratios: ratio of run time to estimate of each measured task, by step that is not done.
        stored_at: time of the last summary, in seconds of the monotonic clock.
    """

    def __init__(self, times: RunTimes, appender: Appender, metrics: Metrics) -> None:
        """Start without ends."""
        self.times = times
        self.appender = appender
        self.metrics = metrics
        self.new_ends = 0
        self.stored_at = times.clock()
        self.ratios: WeakKeyDictionary[StepRun, list[float]] = WeakKeyDictionary()
        self.tasks = TaskSet()

    def note_end(
        self, step: StepRun, session: WorkerSession, ended: EndedRun, known: Run | None
    ) -> None:
        """Learn from the end of a run; one that ran far from its data or from its gang tells nothing of others."""
        if known is None or step.step.long_running or step.step.fills:
            return
        if not is_near(step, session):
            return
        sample = measure(ended.kind, known, work_began_at(step, known), self.times.clock())
        if sample is not None and step.step.estimate_ms > 0:
            self.learn(step, self.slowest_of(step, session), sample)

    def learn(self, step: StepRun, worker: Worker, sample: RunSample) -> None:
        """Learn from the time of a run, and from the longest one once all tasks of the step are done."""
        self.new_ends += 1
        key = WorkKey(step.job.submission.policy.queue, step.number)
        estimate_s = step.step.estimate_ms / MS_PER_S
        ratio = self.times.note(key, estimate_s, worker, sample, is_gang=step.step.gang)
        if sample.measurement is not Measurement.whole:
            return
        ratios = self.ratios.setdefault(step, [])
        ratios.append(ratio)
        if step.step.gang or len(ratios) == step.step.count:
            self.times.note_longest(key, max(ratios))
            self.ratios.pop(step)

    def slowest_of(self, step: StepRun, session: WorkerSession) -> Worker:
        """Return the worker of a run, or of the slowest member of a gang, which the others wait for."""
        if not step.step.gang:
            return session.worker
        members = {other.session.worker.id: other.session.worker for other in step.active.values()}
        return max((session.worker, *members.values()), key=self.times.slowness)

    def restore(self, summary: RunTimesSummary | None) -> None:
        """Start with the summary of an earlier leader, if there is one."""
        if summary is not None:
            is_used = self.times.restore(summary, time.time() * MS_PER_S)
            logger.info(
                'run times restored: used={} distributions={}', is_used, len(summary.distributions)
            )

    def check(self) -> None:
        """Report and store what was learned, if that is due."""
        now = self.times.clock()
        if now - self.stored_at < STORE_INTERVAL_S or self.new_ends < MIN_NEW_ENDS:
            return
        self.stored_at = now
        self.report()
        self.new_ends = 0
        self.tasks.spawn(self.store(self.times.summary(time.time() * MS_PER_S)))

    def report(self) -> None:
        """Log what was learned, and set the gauges."""
        accuracy = self.times.accuracy
        queues = dict(self.times.medians())
        domains = dict(self.times.speeds.factors())
        for queue, factor in queues.items():
            self.metrics.set(Metric.run_time_factor, factor, queue=queue)
        for domain, slowness in domains.items():
            self.metrics.set(Metric.slowness, slowness, failure_domain=domain)
        self.metrics.add(Metric.run_time_ends, self.new_ends)
        self.metrics.set(Metric.run_time_error, accuracy.median_error.mean, of='learned')
        self.metrics.set(Metric.run_time_error, accuracy.estimate_error.mean, of='estimate')
        self.metrics.set(Metric.run_time_beyond, accuracy.beyond_median.mean, quantile='0.5')
        self.metrics.set(Metric.run_time_beyond, accuracy.beyond_tail.mean, quantile='0.95')
        logger.info(
            'run times learned: ends={} error={:.2f} estimate_error={:.2f} beyond_median={:.2f} beyond_p95={:.2f}'
            ' queues={} failure_domains={}',
            self.new_ends,
            accuracy.median_error.mean,
            accuracy.estimate_error.mean,
            accuracy.beyond_median.mean,
            accuracy.beyond_tail.mean,
            dict(first_of(queues)),
            dict(first_of(domains)),
        )

    async def store(self, summary: RunTimesSummary) -> None:
        """Append a summary to the log."""
        try:
            await self.appender.append(summary, WAIT_S)
        except PlatformError as fault:
            logger.info('run times not stored: {}', fault.reason)

    def cancel(self) -> None:
        """Cancel a summary that is being stored."""
        self.tasks.cancel()


def is_near(step: StepRun, session: WorkerSession) -> bool:
    """Return whether a run had its data, and the other members of a gang that wants one rack, in its worker's rack."""
    if step.step.data_rack and step.step.data_rack not in session.worker.labels:
        return False
    if not step.step.same_rack:
        return True
    racks = set(session.worker.labels[1:])
    return all(
        racks.intersection(other.session.worker.labels[1:]) for other in step.active.values()
    )


def work_began_at(step: StepRun, known: Run) -> float:
    """Return when the measured part of a run began; a gang works from the moment when all members are present."""
    own = known.measured.since if known.measured else 0
    if not step.step.gang:
        return own
    members = [
        other.session.run_table.runs.get(step.task(other.index)) for other in step.active.values()
    ]
    present = (run.measured for run in members if run is not None)
    return max((measured.since for measured in present if measured is not None), default=own)


def first_of(factors: dict[str, float]) -> Iterator[tuple[str, float]]:
    """Yield the first factors, rounded for the log."""
    for name, factor in list(factors.items())[:MAX_REPORTED]:
        yield name, round(factor, 2)
