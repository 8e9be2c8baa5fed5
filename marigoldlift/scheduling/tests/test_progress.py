"""Size of the progress of the largest submission."""

from types import SimpleNamespace

import pytest

from marigoldlift.platform.submission_parsing import MAX_TASKS
from marigoldlift.scheduling.progress import progress_of
from marigoldlift.scheduling.tasks import StepRun
from marigoldlift.submissions.model import Step, SubmissionId
from marigoldlift.submissions.record_codec import MAX_RECORD_BYTES, encode_record
from marigoldlift.submissions.records import Outcome, Progress, StepProgress

#: Number of workers, each with an id of 12 characters.
WORKERS = 3000


@pytest.mark.parametrize('checkpoint', ['', '00000bb87a21d94b'])
def test_progress_of_the_most_running_tasks_fits_into_a_record(checkpoint):
    """Guards against LOST: the log refuses each record of a submission, so that no end of its tasks is stored."""
    name = SubmissionId('5c0e7a21d94b36f8')
    step = Step(count=MAX_TASKS, cpu_m=1000, checkpointing=True)
    job = SimpleNamespace(
        submission=SimpleNamespace(id=name, steps=(step,), policy=SimpleNamespace(advice=None)),
        running={},
    )
    running = StepRun(job, 0, 0, StepProgress(0, 0, last_run=1))
    for index in range(MAX_TASKS):
        worker = SimpleNamespace(id=f'worker-{index % WORKERS:05}')
        table = SimpleNamespace(runs={})
        running.begin(index, SimpleNamespace(worker=worker, run_table=table), 1)
        running.save(index, checkpoint)
    progress = Progress(name, 1, Outcome.running, [progress_of(running, 1)])
    assert len(encode_record(progress)) <= MAX_RECORD_BYTES
