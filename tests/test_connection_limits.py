"""Test which connections give way, and how slowly a body may arrive."""

import pytest

from cicadadoor.decisions.connection_limits import (
    ConnectionBounds,
    ConnectionTable,
    ConnectionUse,
    Phase,
)
from cicadadoor.decisions.memory_account import (
    LARGE_BYTES,
    MemoryAccount,
    account_bytes,
)
from cicadadoor.decisions.progress_limits import MIN_BYTES_PER_S, BodyProgress

LEGAL_BODY_BYTES = 67_108_864
HEADER_TIMEOUT_S = 3.0


def fill(table: ConnectionTable, count: int, phase: Phase, address: str = ''):
    """Add connections that entered the phase one second after the other."""
    uses = [
        ConnectionUse(address or f'10.0.0.{number}', number) for number in range(count)
    ]
    for number, use in enumerate(uses):
        use.enter(phase, number)
        table.add(use)
    return uses


class TestBounds:
    """Guard against more sockets than the machine has descriptors."""

    @pytest.mark.parametrize('max_descriptors', (400, 1535, 4100, 8192))
    def test_each_running_request_has_a_descriptor_for_its_server(
        self, max_descriptors
    ):
        bounds = ConnectionBounds(max_descriptors)
        assert 2 * bounds.callers + bounds.platform <= max_descriptors - 200


class TestGivingWay:
    """Guard against new connections that cut running requests."""

    def test_there_is_room_below_the_bound(self):
        table = ConnectionTable(100)
        fill(table, 99, Phase.RUNNING)
        assert table.make_room('10.0.1.1', 1000) == []

    def test_longest_idle_gives_way_first(self):
        table = ConnectionTable(20)
        fill(table, 10, Phase.RUNNING)
        idle = fill(table, 10, Phase.IDLE)
        assert table.make_room('10.0.1.1', 1000) == [idle[0]]

    def test_connection_that_only_waits_for_its_end_gives_way_before_idle_ones(self):
        table = ConnectionTable(20)
        fill(table, 19, Phase.IDLE)
        closing = fill(table, 1, Phase.CLOSING)[0]
        assert table.make_room('10.0.1.1', 1000) == [closing]

    def test_slowest_gives_way_when_none_is_idle(self):
        table = ConnectionTable(20)
        uses = fill(table, 20, Phase.TRANSFERRING)
        for number, use in enumerate(uses):
            use.moved_bytes = 1000 * abs(number - 7)
        assert table.make_room('10.0.1.1', 1000) == [uses[7]]

    def test_new_connection_is_refused_when_all_requests_are_running(self):
        table = ConnectionTable(20)
        fill(table, 20, Phase.RUNNING)
        assert table.make_room('10.0.1.1', 1000) is None

    def test_address_with_half_of_the_connections_gives_way_itself(self):
        table = ConnectionTable(100)
        others = fill(table, 40, Phase.IDLE)
        crowd = fill(table, 55, Phase.IDLE, 'crowd')
        assert table.make_room('crowd', 1000) == [crowd[0]]
        assert table.make_room('10.0.1.1', 1000) == []
        assert others

    def test_address_with_half_of_the_connections_is_not_limited_below_the_bound(self):
        table = ConnectionTable(100)
        fill(table, 80, Phase.IDLE, 'gateway')
        assert table.make_room('gateway', 1000) == []


class TestBodyProgress:
    """Guard against bodies that keep a connection without moving."""

    def test_body_without_progress_is_late_after_the_allowance(self):
        progress = BodyProgress(100.0, HEADER_TIMEOUT_S)
        assert progress.due_s == 108.0
        progress.note(10_000_000, 105.0)
        assert progress.due_s == 113.0

    def test_trickle_is_late_after_the_allowance(self):
        progress = BodyProgress(100.0, HEADER_TIMEOUT_S)
        now_s = 100.0
        while now_s < progress.due_s:
            now_s += 1
            progress.note(16, now_s)
        assert now_s < 110

    def test_body_at_the_minimum_rate_is_never_late(self):
        progress = BodyProgress(100.0, HEADER_TIMEOUT_S)
        for second in range(1, 4096):
            assert 100 + second < progress.due_s
            progress.note(MIN_BYTES_PER_S, 100.0 + second)


class TestAccountSize:
    """Guard against an account that refuses a single request of legal size."""

    @pytest.mark.parametrize('memory_mb', (152, 300, 552))
    def test_body_of_legal_size_fits(self, memory_mb):
        account = MemoryAccount(account_bytes(memory_mb))
        assert account.has_room(LEGAL_BODY_BYTES + LARGE_BYTES)

    def test_account_leaves_room_for_the_process(self):
        assert account_bytes(152) < 152_000_000 - 55_000_000
