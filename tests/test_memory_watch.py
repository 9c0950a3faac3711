"""Test that a host tells when it uses more memory than its account explains."""

import gc
import weakref

import anyio

from cicadadoor.decisions.memory_account import MemoryAccount, Owner
from cicadadoor.decisions.memory_levels import MemoryAlert, MemoryLevels
from cicadadoor.entry.memory_watch import MemoryWatch
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry.process_memory import resident_bytes
from tests.utils.logs import captured_logs
from tests.utils.manual_timer import ManualTimer

_MB = 1_000_000
_PERIOD_S = 0.25


class TestLevels:
    """Guard against a process that is ended for its memory without a line about it."""

    def test_retained_bytes_are_told_from_held_ones(self):
        levels = MemoryLevels(300 * _MB, 200 * _MB)
        assert not levels.update(240 * _MB, 180 * _MB)
        assert levels.update(240 * _MB, 0) == [MemoryAlert.UNACCOUNTED]

    def test_memory_near_the_limit_is_reported_although_it_is_held(self):
        levels = MemoryLevels(300 * _MB, 200 * _MB)
        assert levels.update(280 * _MB, 190 * _MB) == [MemoryAlert.NEAR_LIMIT]

    def test_alert_is_repeated_only_after_further_growth(self):
        levels = MemoryLevels(300 * _MB, 200 * _MB)
        found = [levels.update(size_mb * _MB, 0) for size_mb in (101, 110, 117, 118)]
        assert [len(alerts) for alerts in found] == [1, 0, 1, 0]

    def test_alert_is_raised_again_after_it_ended(self):
        levels = MemoryLevels(300 * _MB, 200 * _MB)
        found = [levels.update(size_mb * _MB, 0) for size_mb in (101, 50, 101)]
        assert [len(alerts) for alerts in found] == [1, 0, 1]


class Node:
    """Refer to itself, so that only the garbage collector frees it."""

    def __init__(self) -> None:
        self.itself = self


class StateStub(Service):
    """Provide what the watch reads of a host."""

    name = 'state'

    def __init__(self) -> None:
        self.settings = self
        self.memory_mb = 300
        self.account = MemoryAccount(200 * _MB)


async def started(read_resident_bytes) -> tuple[MemoryWatch, ManualTimer, StateStub]:
    """Start a watch of a host with 300 MB, of which the account has 200 MB."""
    kernel, timer, state = Kernel(), ManualTimer(), StateStub()
    kernel.register(timer)
    kernel.register(state)
    watch = MemoryWatch(read_resident_bytes)
    await watch.start(kernel)
    return watch, timer, state


class TestWatch:
    """Check the lines that tell retained memory from held memory."""

    def test_line_names_what_is_held_by_kind(self):
        async def main() -> list[str]:
            watch, timer, state = await started(lambda: 290 * _MB)
            state.account.open('response', Owner('server')).grow(_MB)
            with captured_logs() as lines:
                await timer.advance(_PERIOD_S)
                await watch.stop(0)
            return lines

        unaccounted, _, near_limit, peak = anyio.run(main)
        assert 'event=memory_unaccounted resident_bytes=290000000' in unaccounted
        assert 'response_bytes=1000000' in unaccounted
        assert 'event=memory_near_limit' in near_limit
        assert 'event=memory_peak resident_bytes=290000000' in peak

    def test_garbage_is_collected_when_it_exceeds_the_allowance(self):
        async def main() -> list[str]:
            watch, timer, _ = await started(lambda: 150 * _MB)
            gc.disable()
            node = weakref.ref(Node())
            assert node() is not None
            with captured_logs() as lines:
                await timer.advance(_PERIOD_S)
            assert node() is None
            return lines

        try:
            lines = anyio.run(main)
        finally:
            gc.enable()
        assert any('event=memory_reclaimed' in line for line in lines)

    def test_memory_that_swings_is_collected_every_few_seconds_at_most(self):
        async def main() -> list[str]:
            used = [100]
            watch, timer, _ = await started(lambda: used[-1] * _MB)
            with captured_logs() as lines:
                for number in range(40):
                    used.append(130 if number % 2 else 50)
                    await timer.advance(_PERIOD_S)
            return lines

        lines = anyio.run(main)
        assert sum('event=memory_reclaimed' in line for line in lines) == 2

    def test_unexplained_memory_is_taken_from_the_account(self):
        async def main() -> None:
            used = [100]
            _, timer, state = await started(lambda: used[-1] * _MB)
            limits = []
            for used_mb in (100, 150, 500, 100):
                used.append(used_mb)
                await timer.advance(_PERIOD_S)
                limits.append(state.account.limit_bytes // _MB)
            assert limits == [200, 150, 50, 200]

        anyio.run(main)

    def test_resident_memory_of_this_process_is_read(self):
        assert _MB < resident_bytes() < 4000 * _MB
