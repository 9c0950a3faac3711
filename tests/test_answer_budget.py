"""Test the memory limit for unfinished responses."""

from hypothesis import given
from hypothesis import strategies as st

from cicadadoor.decisions.response_budget import ResponseBudget

_LIMIT_BYTES = 100


class TestBudget:
    """The largest response is aborted when the budget is full."""

    def test_answers_within_the_limit_are_all_kept(self):
        budget = ResponseBudget(_LIMIT_BYTES)
        assert budget.take('a', 60) is None
        assert budget.take('b', 40) is None

    def test_largest_answer_is_aborted_for_a_small_one(self):
        budget = ResponseBudget(_LIMIT_BYTES)
        budget.take('endless', 90)
        budget.take('small', 5)
        assert budget.take('small', 6) == 'endless'
        assert budget.held_bytes == 11

    def test_growing_answer_is_aborted_if_it_is_the_largest(self):
        budget = ResponseBudget(_LIMIT_BYTES)
        budget.take('small', 5)
        assert budget.take('endless', 96) == 'endless'

    def test_released_bytes_can_be_taken_again(self):
        budget = ResponseBudget(_LIMIT_BYTES)
        budget.take('a', 100)
        budget.release('a')
        budget.release('a')
        assert budget.take('b', 100) is None

    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(1, 99), st.booleans()),
        )
    )
    def test_limit_holds_after_every_step(self, steps):
        budget = ResponseBudget(_LIMIT_BYTES)
        for holder, size_bytes, is_done in steps:
            budget.take(holder, size_bytes)
            assert 0 <= budget.held_bytes <= _LIMIT_BYTES
            if is_done:
                budget.release(holder)
