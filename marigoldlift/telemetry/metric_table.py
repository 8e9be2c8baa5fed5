"""Table of all metrics: name, kind, unit, labels, help."""

from enum import Enum

import msgspec

__all__ = ('Metric', 'MetricKind', 'MetricSpec', 'full_name')

NAME_PREFIX = 'marigoldlift'


class MetricKind(Enum):
    """Kind of a metric, named as in the text exposition format."""

    counter = 'counter'
    gauge = 'gauge'
    summary = 'summary'


class MetricSpec(msgspec.Struct, frozen=True):
    """Definition of one metric.

    Attributes:
        unit: unit of the value, empty for a plain count.
        labels: names of the labels; each must have few distinct values.
    """

    kind: MetricKind
    unit: str
    labels: tuple[str, ...]
    help: str


COUNTER = MetricKind.counter
GAUGE = MetricKind.gauge
SUMMARY = MetricKind.summary
SECONDS = 'seconds'


class Metric(Enum):
    """All metrics; `full_name` derives the exposed name from the name of the member."""

    requests = MetricSpec(
        COUNTER, '', ('workspace', 'status'), 'Callers answered, by status and code.'
    )
    request = MetricSpec(SUMMARY, SECONDS, ('service',), 'Time to answer a caller.')
    http_requests_active = MetricSpec(GAUGE, '', (), 'HTTP requests in progress.')
    queue_length = MetricSpec(GAUGE, '', (), 'Requests waiting in the queue.')
    queue_wait = MetricSpec(SUMMARY, 'seconds', ('service',), 'Time in the queue until dispatch.')
    queue_refused = MetricSpec(COUNTER, '', ('reason',), 'Requests refused before dispatch.')
    forwards = MetricSpec(COUNTER, '', ('status',), 'Requests forwarded to a peer.')
    retries = MetricSpec(COUNTER, '', ('outcome',), 'Retries made or denied by the budget.')
    worker_call = MetricSpec(SUMMARY, 'seconds', ('call',), 'Time of a call to a worker.')
    worker_errors = MetricSpec(COUNTER, '', ('code',), 'Calls to workers that failed.')
    workers_owned = MetricSpec(GAUGE, '', (), 'Workers whose control lease is held.')
    worker_slots = MetricSpec(GAUGE, '', ('state',), 'Request slots of the owned workers.')
    lease_changes = MetricSpec(COUNTER, '', ('change',), 'Leases claimed, lost and released.')
    placement = MetricSpec(SUMMARY, 'seconds', ('kind',), 'Time to decide on a placement.')
    log_append = MetricSpec(SUMMARY, 'seconds', ('stream',), 'Time of an append to the log.')
    log_appends = MetricSpec(COUNTER, '', ('outcome',), 'Appends sent to the log.')
    log_records = MetricSpec(COUNTER, '', ('stream',), 'Records applied from the log.')
    log_reads = MetricSpec(
        COUNTER, '', ('stream', 'outcome'), 'Reads of the log; those cut off are read again.'
    )
    log_read_bytes = MetricSpec(
        COUNTER, '', ('stream', 'outcome'), 'Bytes received for reads of the log.'
    )
    log_reachable = MetricSpec(GAUGE, '', ('stream',), 'Whether the log answers: 1 or 0.')
    jobs = MetricSpec(GAUGE, '', ('state',), 'Jobs of the own failure domain.')
    tasks = MetricSpec(GAUGE, '', ('state',), 'Tasks of the own failure domain.')
    task_ends = MetricSpec(COUNTER, '', ('outcome',), 'Tasks ended on owned workers.')
    task_wait = MetricSpec(
        SUMMARY, 'seconds', ('kind',), 'Time from acceptance to start of a task.'
    )
    step_idle = MetricSpec(
        SUMMARY, 'seconds', ('reason',), 'Time in which a step had its turn and nothing running.'
    )
    step_idle_with_room = MetricSpec(
        SUMMARY, 'seconds', (), 'Longest part of it with room and a half free service.'
    )
    untracked_tasks = MetricSpec(
        GAUGE, '', ('finding',), 'Open tasks that the leader has lost track of, by what is wrong.'
    )
    submissions_refused = MetricSpec(
        COUNTER, '', ('reason',), 'Submissions that were refused and not stored.'
    )
    submissions_beyond_share = MetricSpec(
        COUNTER, '', ('workspace',), 'Submissions taken that were beyond the share of a workspace.'
    )
    service_backlog = MetricSpec(
        GAUGE, SECONDS, ('service',), 'Time for all workers to do what waits for room.'
    )
    submissions_gone = MetricSpec(
        COUNTER, '', (), 'Callers told that there is no such submission.'
    )
    early_cancellations = MetricSpec(
        GAUGE, '', (), 'Stored cancellations of submissions that were not accepted.'
    )
    faults_contained = MetricSpec(
        COUNTER, '', ('kind',), 'Unexpected exceptions, by kind of the item that was set aside.'
    )
    entries_skipped = MetricSpec(
        COUNTER, '', (), 'Entries of the list of workers that describe no worker.'
    )
    workspace_cap_share = MetricSpec(
        GAUGE, '', ('workspace',), 'Largest share of its cap that a workspace has running.'
    )
    workspaces = MetricSpec(
        GAUGE, '', ('state',), 'Workspaces with a cap, by the share of it that is in use.'
    )
    run_time_ends = MetricSpec(COUNTER, '', (), 'Ends of runs from which run times were learned.')
    run_time_factor = MetricSpec(
        GAUGE, '', ('queue',), 'Learned median of the ratio of run time to estimate.'
    )
    run_time_error = MetricSpec(
        GAUGE, '', ('of',), 'Mean distance of run times from the learned median, in doublings.'
    )
    run_time_beyond = MetricSpec(
        GAUGE, '', ('quantile',), 'Share of runs that took longer than a learned quantile.'
    )
    slowness = MetricSpec(
        GAUGE, '', ('failure_domain',), 'How many times as long runs take as elsewhere.'
    )
    leading = MetricSpec(GAUGE, '', (), 'Whether this entry gives the orders: 1 or 0.')
    log_age = MetricSpec(GAUGE, SECONDS, ('stream',), 'Time since the log last answered a read.')
    starts = MetricSpec(COUNTER, '', ('outcome',), 'Starts ordered, by answer.')
    configuration_version = MetricSpec(GAUGE, '', (), 'Offset of the last accepted change.')
    configuration_workspaces = MetricSpec(
        GAUGE, '', (), 'Workspaces of the configuration in force.'
    )
    configuration_keys = MetricSpec(GAUGE, '', (), 'Keys of callers in force.')
    callers_refused = MetricSpec(
        COUNTER, '', ('reason',), 'Callers refused for their key or workspace.'
    )
    members = MetricSpec(GAUGE, '', ('state',), 'Entries known, by state.')
    peer_call = MetricSpec(SUMMARY, 'seconds', ('method',), 'Time of a call to a peer.')
    peer_errors = MetricSpec(COUNTER, '', ('code',), 'Calls to peers that failed.')
    round_part = MetricSpec(
        SUMMARY,
        'seconds',
        ('part',),
        'Time for which a part of a scheduling round holds the loop.',
    )
    event_loop_delay = MetricSpec(SUMMARY, 'seconds', (), 'Lateness of a timer of the event loop.')
    process_cpu = MetricSpec(COUNTER, 'seconds', (), 'Processor time used by the process.')
    process_memory = MetricSpec(GAUGE, 'bytes', (), 'Resident memory of the process.')


def full_name(metric: Metric) -> str:
    """Return the exposed name: prefix, member name, unit, and `total` for a counter."""
    suffix = 'total' if metric.value.kind is COUNTER else ''
    parts = (NAME_PREFIX, metric.name, metric.value.unit, suffix)
    return '_'.join(part for part in parts if part)
