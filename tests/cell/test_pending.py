"""What entries say of submissions that wait."""

import asyncio

from marigoldlift.submissions.acceptance import Answer
from marigoldlift.submissions.model import Step

LEAD_S = 1.5


def test_placed_submission_that_has_not_begun_counts_as_waiting(play):
    """Guards against "nothing waits" while all starts get no answer."""

    async def story(cell):
        await asyncio.sleep(LEAD_S)
        for entry in cell.entries:
            entry.calls.faults.late = 1
        first = cell.entries[0]
        assert await cell.submit(first, 'job', (Step(count=1, cpu_m=500),)) is Answer.done
        await asyncio.sleep(0.3)
        assert 'p/job' in ' '.join(cell.log.newest)
        for asked in cell.entries:
            assert asked.node.acceptance.pending('queue') == 1
        for healed in cell.entries:
            healed.calls.faults.late = 0
        await cell.settle(['job'], 60)
        assert first.node.acceptance.pending('queue') == 0

    play(story)
