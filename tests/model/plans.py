"""Hypothesis strategies that draw lists of steps."""

from hypothesis import strategies as st

from marigoldlift.journal.messages import JobKind

from tests.model import steps
from tests.model.network import WireMode

__all__ = ('plans',)

#: Advances of the clock: from less than the delay of one message to more than a task lease, in seconds.
ADVANCES_S = (0.001, 0.003, 0.01, 0.05, 0.3, 1, 2.5, 4.5, 11, 22)

numbers = st.integers(0, 2)
earlier = st.integers(0, 7)
modes = st.sampled_from([mode for mode in WireMode if mode is not WireMode.intact])
run_times_ms = st.sampled_from((0, 20, 600, 3000))
task_times_ms = st.sampled_from((300, 2000, 15_000, 60_000))
deadlines_ms = st.sampled_from((5000, 5000, 400))
entry_names = st.sampled_from(('e0', 'e1', 'e2'))
worker_names = st.sampled_from(('w0', 'w1', 'w2'))

advances = st.builds(steps.Advance, st.sampled_from(ADVANCES_S))
requests = st.builds(steps.Request, numbers, run_times_ms, deadlines_ms)
charges = st.builds(steps.Charge, numbers, run_times_ms, deadlines_ms)
retries = st.builds(steps.Retry, earlier, numbers)
batches = st.builds(
    steps.Submit,
    numbers,
    st.just(JobKind.batch),
    st.integers(1, 6),
    st.sampled_from((500, 1500)),
    task_times_ms,
)
gangs = st.builds(
    steps.Submit,
    numbers,
    st.just(JobKind.gang),
    st.integers(2, 4),
    st.just(1500),
    task_times_ms,
)
cancellations = st.builds(steps.Cancel, earlier, numbers)

#: Requests at once, up to more than the cell has slots, so that some wait and some are refused.
bursts = st.integers(2, 14).flatmap(
    lambda count: st.lists(st.one_of(requests, charges), min_size=count, max_size=count),
)

#: The owner of a worker is unknown when the steps are drawn, so all entries lose the answers.
lost_answers = st.builds(
    lambda target, call, count: [
        steps.LoseAnswers(entry, target, call, count) for entry in range(3)
    ],
    worker_names,
    st.sampled_from(('lease', 'start', 'run', 'stop')),
    st.integers(1, 3),
)
one_work = st.one_of(requests, charges, charges, batches, gangs, retries, cancellations)
one_fault = st.one_of(
    st.builds(steps.Crash, numbers, st.sampled_from((0.2, 3, 15))),
    st.builds(steps.Pause, numbers, st.sampled_from((0.5, 3, 6, 25))),
    st.builds(steps.Break, numbers, worker_names, modes, st.sampled_from((1, 4, 12))),
    st.builds(steps.Break, numbers, entry_names, modes, st.sampled_from((1, 4))),
    st.builds(steps.Break, numbers, st.just('log'), modes, st.sampled_from((1, 4, 12))),
    st.builds(steps.LogOutage, modes, st.sampled_from((2, 8))),
    st.builds(steps.LoseAnswers, numbers, st.just('log'), st.just('append'), st.integers(1, 3)),
    st.builds(steps.RestartWorker, numbers),
    st.builds(steps.Isolate, numbers, modes, st.sampled_from((0.02, 1, 6, 45))),
)
#: A fault that recurs after the entry was paused, with advances of the clock between the steps.
recurring_faults = st.builds(
    lambda entry, target, mode, first_s, pause_s: [
        steps.Break(entry, target, mode, 12),
        steps.Advance(first_s),
        steps.Pause(entry, pause_s),
        steps.Advance(pause_s - 1),
        steps.Break(entry, target, mode, 4),
        steps.Advance(5),
    ],
    numbers,
    worker_names,
    modes,
    st.sampled_from((3, 8, 11)),
    st.sampled_from((3, 6, 28)),
)
chunks = st.one_of(
    one_work.map(lambda step: [step]),
    one_work.map(lambda step: [step]),
    one_fault.map(lambda step: [step]),
    one_fault.map(lambda step: [step]),
    advances.map(lambda step: [step]),
    advances.map(lambda step: [step]),
    lost_answers,
    bursts,
    recurring_faults,
)
plans = st.lists(chunks, min_size=4, max_size=25).map(
    lambda drawn: [step for chunk in drawn for step in chunk],
)
