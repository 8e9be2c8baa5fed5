"""Number of waiting submissions that entries report, and acceptance after an outage of the log."""

import asyncio

import pytest

from marigoldlift.submissions.acceptance import AcceptanceResult
from marigoldlift.submissions.model import Step
from standins.cell.log import LogFault

ELECTION_S = 1.5
OUTAGE_S = 5


def test_placed_submission_that_has_not_begun_counts_as_waiting(run_scenario):
    """Guards against a report of no waiting submissions while all starts remain unanswered."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        for entry in cell.entries:
            entry.calls.faults.late = 1
        first = cell.entries[0]
        assert (
            await cell.submit(first, 'job', (Step(count=1, cpu_m=500),)) is AcceptanceResult.done
        )
        await asyncio.sleep(0.3)
        assert 'p/job' in ' '.join(cell.log.newest)
        for asked in cell.entries:
            assert asked.node.acceptance.pending('queue') == 1
        for healed in cell.entries:
            healed.calls.faults.late = 0
        await cell.wait_for_outcomes(['job'], 60)
        assert first.node.acceptance.pending('queue') == 0

    run_scenario(scenario)


@pytest.mark.parametrize('fault', [LogFault.silent, LogFault.refuse])
def test_every_entry_accepts_after_an_outage(run_scenario, fault):
    """Guards against an entry that refuses for ever: after several failures it made no append that could succeed."""

    async def scenario(cell):
        await asyncio.sleep(ELECTION_S)
        for failing in cell.entries:
            failing.log.fault = fault
        for second in range(OUTAGE_S):
            for entry in cell.entries:
                await cell.submit(entry, f'{entry.name}-{second}', (Step(count=1, cpu_m=500),))
            await asyncio.sleep(1)
        for healed in cell.entries:
            healed.log.fault = None
        await asyncio.sleep(2)
        names = [f'late{number}' for number, _ in enumerate(cell.entries)]
        for name, asked in zip(names, cell.entries, strict=True):
            assert (
                await cell.submit(asked, name, (Step(count=1, cpu_m=500),))
                is AcceptanceResult.done
            )
        await cell.wait_for_outcomes(names, 60)

    run_scenario(scenario)
