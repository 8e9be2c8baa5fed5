"""When a question to the placement advice is useful, and into how many calls it is divided."""

import pytest

from marigoldlift.scheduling.candidates import is_useful, tasks_needed
from marigoldlift.scheduling.tickets import MIN_WORKERS_PER_CALL, smallest_part
from marigoldlift.submissions.model import AdvicePolicy


@pytest.mark.parametrize(
    ('waiting', 'running', 'gang', 'needed'),
    [(20, 0, True, 10), (20, 0, False, 1), (20, 5, False, 5), (2, 9, False, 1)],
)
def test_step_collects_room_while_some_of_its_tasks_run(waiting, running, gang, needed):
    """Guards against one question, with its fixed time, for each worker that comes free in a full service."""
    assert tasks_needed(waiting, running, gang=gang) == needed


@pytest.mark.parametrize(
    ('placeable', 'unjudged', 'useful'),
    [(20, 0, True), (0, 60, False), (0, 80, True), (15, 10, False), (15, 20, True)],
)
def test_gang_that_is_not_likely_to_fit_asks_nothing(placeable, unjudged, useful):
    """Guards against advice that renews the tickets of gangs without room while steps with room wait for it."""
    assert is_useful(placeable, unjudged, 20, 0.3) == useful


def test_question_with_a_high_fixed_cost_is_divided_into_few_calls():
    """Guards against six calls of 1.3 s each in place of one of 2 s when all entries are busy."""
    assert smallest_part(AdvicePolicy(1120, 10, 2000)) == 28
    assert smallest_part(AdvicePolicy(10, 10, 2000)) == MIN_WORKERS_PER_CALL
    assert smallest_part(None) == MIN_WORKERS_PER_CALL
