"""Test the memory limit for unfinished responses."""

from hypothesis import given
from hypothesis import strategies as st

from cicadadoor.decisions.memory_account import MemoryAccount, Owner, Reservation

_LIMIT_BYTES = 100


class Responses:
    """Hold unfinished responses of one backend server by name."""

    def __init__(self) -> None:
        self.account = MemoryAccount(_LIMIT_BYTES)
        self._held: dict[object, Reservation] = {}
        self._evicted: list[object] = []

    def take(self, holder: object, size_bytes: int) -> object:
        """Add received bytes; return the holder that is aborted, if any."""
        self._evicted.clear()
        if holder not in self._held:
            reservation = self.account.open('response', Owner('server'))
            reservation.on_evict = lambda: self._evicted.append(holder)
            self._held[holder] = reservation
        if not self._held[holder].grow(size_bytes):
            self._evicted.append(holder)
        for evicted in self._evicted:
            self.release(evicted)
        return self._evicted[0] if self._evicted else None

    def release(self, holder: object) -> None:
        """Release the bytes of a response."""
        if holder in self._held:
            self._held.pop(holder).release()


class TestBudget:
    """The largest response is aborted when the memory is short."""

    def test_answers_within_the_limit_are_all_kept(self):
        budget = Responses()
        assert budget.take('a', 60) is None
        assert budget.take('b', 40) is None

    def test_largest_answer_is_aborted_for_a_small_one(self):
        budget = Responses()
        budget.take('endless', 90)
        budget.take('small', 5)
        assert budget.take('small', 6) == 'endless'
        assert budget.account.held_bytes == 11

    def test_growing_answer_is_aborted_if_it_is_the_largest(self):
        budget = Responses()
        budget.take('small', 5)
        assert budget.take('endless', 96) == 'endless'

    def test_released_bytes_can_be_taken_again(self):
        budget = Responses()
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
        budget = Responses()
        for holder, size_bytes, is_done in steps:
            budget.take(holder, size_bytes)
            assert 0 <= budget.account.held_bytes <= _LIMIT_BYTES
            if is_done:
                budget.release(holder)
