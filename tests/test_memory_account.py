"""Test how memory held for other parties is limited and reclaimed."""

import random

import pytest

from cicadadoor.decisions.memory_account import MemoryAccount, Owner, Reservation

LIMIT_BYTES = 100_000_000
PIECE_BYTES = 65_536


class Holder:
    """Hold one reservation that can be reclaimed."""

    def __init__(self, account: MemoryAccount, address: str, left_bytes: int) -> None:
        self.reservation = account.open('body', Owner(address))
        self.reservation.left_bytes = left_bytes
        self.reservation.on_evict = self.end
        self.is_ended = False

    def end(self) -> None:
        """Record that the reservation was reclaimed."""
        self.is_ended = True

    def receive(self, size_bytes: int = PIECE_BYTES) -> bool:
        """Reserve the next piece of a body; a refused holder gives up."""
        size_bytes = min(size_bytes, self.reservation.left_bytes)
        if not self.reservation.grow(size_bytes):
            self.reservation.release()
            self.is_ended = True
            return False
        self.reservation.left_bytes -= size_bytes
        return True


class TestLimit:
    """Guard against growth beyond the limit and against bytes that are never freed."""

    def test_bytes_are_counted_by_kind_until_they_are_released(self):
        account = MemoryAccount(LIMIT_BYTES)
        body = account.open('body', Owner('1.1.1.1'))
        response = account.open('response', Owner('1.1.1.1'))
        assert body.grow(1000) and response.grow(50) and body.grow(500)
        body.shrink(200)
        assert account.held_bytes == 1350
        assert account.held_by_kind() == {'body': 1300, 'response': 50}
        body.release()
        body.release()
        assert account.held_by_kind() == {'body': 0, 'response': 50}

    def test_reservation_that_cannot_be_reclaimed_is_kept(self):
        account = MemoryAccount(LIMIT_BYTES)
        running = account.open('body', Owner('1.1.1.1'))
        assert running.grow(80_000_000)
        assert not account.open('body', Owner('2.2.2.2')).grow(30_000_000)
        assert running.held_bytes == account.held_bytes == 80_000_000

    def test_small_request_fits_beside_large_ones_that_cannot_be_reclaimed(self):
        account = MemoryAccount(LIMIT_BYTES)
        owner = Owner('1.1.1.1')
        granted = [account.open('body', owner).grow(1_000_000) for _ in range(120)]
        assert not all(granted)
        assert account.open('body', owner).grow(1000)

    @pytest.mark.parametrize('seed', range(5))
    def test_random_holders_never_exceed_the_limit(self, seed):
        chosen = random.Random(seed)
        account = MemoryAccount(LIMIT_BYTES)
        holders = [
            Holder(account, f'10.0.0.{number % 7}', 10**9) for number in range(60)
        ]
        for _ in range(5000):
            holder = chosen.choice(holders)
            if not holder.receive(chosen.randrange(1, 5_000_000)):
                holder.is_ended = False
            if chosen.random() < 0.05:
                holder.reservation.release()
            assert account.held_bytes <= LIMIT_BYTES
            assert account.held_bytes == sum(
                each.reservation.held_bytes for each in holders
            )


class TestFairness:
    """Guard against a crowd that takes the place of other callers."""

    def test_caller_of_another_address_displaces_the_crowd(self):
        account = MemoryAccount(LIMIT_BYTES)
        crowd = [Holder(account, 'crowd', 10_000_000) for _ in range(20)]
        for _ in range(200):
            for holder in crowd:
                if not holder.is_ended:
                    holder.receive()
        other = Holder(account, 'other', 20_000_000)
        while other.reservation.left_bytes:
            assert other.receive()
        assert not other.is_ended
        assert any(holder.is_ended for holder in crowd)

    def test_organisation_with_many_addresses_counts_as_one_group(self):
        account = MemoryAccount(LIMIT_BYTES)
        crowd = [Holder(account, f'10.0.0.{number}', 8_000_000) for number in range(20)]
        for holder in crowd:
            holder.reservation.owner.organisation = 'crowd'
        for holder in crowd:
            if not holder.is_ended:
                holder.receive(4_000_000)
        other = Holder(account, 'other', 30_000_000)
        assert other.receive(30_000_000)
        assert not other.is_ended

    def test_small_request_of_the_address_of_the_crowd_is_served(self):
        account = MemoryAccount(LIMIT_BYTES)
        crowd = [Holder(account, 'shared', 6_000_000) for _ in range(30)]
        for _ in range(100):
            for holder in crowd:
                if not holder.is_ended:
                    holder.receive()
        small = [Holder(account, 'shared', 40_000) for _ in range(500)]
        assert all(holder.receive(40_000) for holder in small)
        assert not any(holder.is_ended for holder in small)


class TestCompletion:
    """Guard against bodies that all stop short of their end."""

    def test_some_of_many_equal_bodies_become_complete(self):
        account = MemoryAccount(LIMIT_BYTES)
        bodies = [Holder(account, 'shared', 40_000_000) for _ in range(12)]
        for _ in range(700):
            for body in bodies:
                if not body.is_ended:
                    body.receive()
        complete = [body for body in bodies if not body.is_ended]
        assert complete
        assert all(body.reservation.left_bytes == 0 for body in complete)

    def test_bodies_stopped_just_short_of_their_end_make_room(self):
        account = MemoryAccount(LIMIT_BYTES)
        stopped = [Holder(account, 'shared', 20_000_001) for _ in range(4)]
        for holder in stopped:
            holder.receive(20_000_000)
        growing = Holder(account, 'shared', 60_000_000)
        while growing.reservation.left_bytes:
            assert growing.receive()
        assert any(holder.is_ended for holder in stopped)


class TestCallback:
    """Guard against an eviction that is reported twice or while bytes are held."""

    def test_bytes_are_released_before_the_holder_is_told(self):
        account = MemoryAccount(LIMIT_BYTES)
        seen: list[int] = []
        victim = account.open('body', Owner('crowd'))
        victim.left_bytes = 10**9
        victim.on_evict = lambda: _end(victim, seen)
        assert victim.grow(80_000_000)
        assert account.open('body', Owner('other')).grow(40_000_000)
        assert seen == [0]
        assert account.held_bytes == 40_000_000
        assert account.evictions == 1


def _end(victim: Reservation, seen: list[int]) -> None:
    seen.append(victim.held_bytes)
    victim.release()
