"""Test that the logs of other hosts tell how the run of a host has ended."""

import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from cicadadoor.entry.heartbeats import summarise
from cicadadoor.entry.host_runs import HostRuns
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.peers import PeerTable
from cicadadoor.telemetry import metrics
from tests.soak.fleet import Fleet, Host
from tests.utils.entry_hosts import run_deployed
from tests.utils.heartbeats import heartbeat_of
from tests.utils.logs import captured_logs
from tests.utils.waiting import until

ENDED = 'event=host_ended_unannounced'
SILENT = 'event=host_silent'
FIELDS = 'memory_percent=97 was_pressed=True'
_TEST_TIMEOUT_S = 60


def record_of(host: str, domain: str = 'muc-a') -> HostRecord:
    return HostRecord(
        host=host,
        instance=f'{host}-1',
        callers=f'{host}:80',
        peers=f'{host}:7200',
        failure_domain=domain,
        region='muenchen',
    )


@pytest.fixture
def table() -> PeerTable:
    """Return the table of a host of muc-a; `far` is in another failure domain."""
    peers = PeerTable('muenchen', 'muc-a')
    records = (record_of('b'), record_of('c'), record_of('far', 'muc-b'))
    peers.update_records({each.host: each for each in records}, 100.0)
    return peers


@pytest.fixture
def lines():
    with captured_logs() as captured:
        yield captured


def ends(lines: list[str], event: str = ENDED) -> list[str]:
    return [line.strip() for line in lines if event in line]


def hear(table: PeerTable, now_s: float, number: int, run: int = 1, **fields) -> None:
    """Receive a heartbeat of host b."""
    instance = f'b-{run}'
    table.record_heartbeat(
        heartbeat_of('b', number, instance=instance, **fields), now_s
    )


def log_silent(table: PeerTable, now_s: float) -> None:
    heard = {peer.record.host for peer in table.heard(now_s)}
    table.runs.log_silent(heard, now_s)


class TestUnannouncedEnd:
    """Guard against a host ended by its machine that no host's log tells of."""

    def test_line_has_what_the_former_run_said_last(self, table, lines):
        hear(table, 100.0, 1, memory_percent=40)
        hear(table, 100.25, 2, memory_percent=97, is_pressed=True)
        hear(table, 104.25, 1, run=2, memory_percent=15)
        assert ends(lines) == [f'{ENDED} host=b instance=b-1 silent_ms=4000 {FIELDS}']

    def test_host_whose_build_does_not_tell_its_memory_is_logged(self, table, lines):
        hear(table, 100.0, 1)
        hear(table, 104.0, 1, run=2)
        assert 'memory_percent=unknown was_pressed=False' in ends(lines)[0]

    def test_each_end_is_counted(self, table):
        before = metrics.HOSTS_ENDED_UNANNOUNCED._value.get()
        for run in range(3):
            hear(table, 100.0 + run, 1, run=run)
        assert metrics.HOSTS_ENDED_UNANNOUNCED._value.get() == before + 2

    def test_host_that_returns_after_its_record_was_removed_is_logged(
        self, table, lines
    ):
        hear(table, 100.0, 1, memory_percent=97)
        table.update_records({'c': record_of('c')}, 120.0)
        table.prune(120.0)
        assert table.find('b') is None
        table.update_records({'b': record_of('b')}, 160.0)
        hear(table, 160.0, 1, run=2)
        assert 'silent_ms=60000 memory_percent=97' in ends(lines)[0]


class TestOtherEnds:
    """Guard against lines that blame a machine for a stop, a pause or a late packet."""

    def test_announced_stop_is_not_logged(self, table, lines):
        hear(table, 100.0, 1)
        hear(table, 100.25, 2, is_leaving=True)
        hear(table, 104.0, 1, run=2)
        assert not ends(lines)

    def test_lost_announcement_is_made_up_for_by_the_next(self, table, lines):
        """Heartbeat 2, the first with the announcement, does not arrive."""
        hear(table, 100.0, 1)
        hear(table, 100.5, 3, is_leaving=True)
        hear(table, 104.0, 1, run=2)
        assert not ends(lines)

    def test_suspended_host_is_not_logged_as_ended(self, table, lines):
        hear(table, 100.0, 1)
        hear(table, 160.0, 2)
        assert not ends(lines)

    def test_late_heartbeat_of_an_announced_run_is_not_logged(self, table, lines):
        hear(table, 100.25, 2, is_leaving=True)
        hear(table, 104.0, 1, run=2)
        hear(table, 104.1, 1)
        hear(table, 104.25, 2, run=2)
        assert not ends(lines)

    def test_late_heartbeat_of_an_ended_run_is_not_logged_again(self, table, lines):
        hear(table, 100.0, 1)
        hear(table, 104.0, 1, run=2)
        hear(table, 104.1, 2)
        hear(table, 104.25, 2, run=2)
        assert len(ends(lines)) == 1

    def test_heartbeats_in_wrong_order_do_not_take_the_announcement_back(
        self, table, lines
    ):
        hear(table, 100.0, 1)
        hear(table, 104.0, 3, run=2, is_leaving=True)
        hear(table, 104.1, 2)
        hear(table, 104.2, 2, run=2)
        hear(table, 108.0, 1, run=3)
        assert len(ends(lines)) == 1

    def test_host_that_others_report_on_is_not_logged(self, table, lines):
        """A reporter may become an ordinary host, whose leave only its domain hears."""
        own, other = heartbeat_of('far'), heartbeat_of('far-2')
        table.record_heartbeat(summarise(own, [other]), 100.0)
        table.update_records(
            {each: record_of(each, 'muc-b') for each in ('far', 'far-2')}, 100.1
        )
        table.record_heartbeat(summarise(other, [own]), 100.25)
        restarted = heartbeat_of('far', instance='far-2nd')
        table.record_heartbeat(summarise(restarted, [other]), 200.0)
        assert not ends(lines)

    def test_only_host_of_another_failure_domain_is_logged(self, table, lines):
        own = heartbeat_of('far', memory_percent=97, is_pressed=True)
        table.record_heartbeat(summarise(own, []), 100.0)
        restarted = heartbeat_of('far', instance='far-2')
        table.record_heartbeat(summarise(restarted, []), 104.0)
        assert FIELDS in ends(lines)[0]


class TestSilence:
    """Guard against a host that never returns and that no host's log tells of."""

    def test_silent_host_is_logged_once(self, table, lines):
        hear(table, 100.0, 1, memory_percent=97, is_pressed=True)
        for now_s in (100.5, 101.5, 102.0, 102.5):
            log_silent(table, now_s)
        assert ends(lines, SILENT) == [
            f'{SILENT} host=b instance=b-1 silent_ms=2000 {FIELDS}'
        ]

    def test_host_that_becomes_silent_again_is_logged_again(self, table, lines):
        hear(table, 100.0, 1)
        log_silent(table, 102.0)
        hear(table, 103.0, 2)
        log_silent(table, 105.0)
        assert len(ends(lines, SILENT)) == 2

    def test_host_that_leaves_is_not_logged(self, table, lines):
        hear(table, 100.0, 1, is_leaving=True)
        log_silent(table, 102.0)
        assert not ends(lines, SILENT)

    def test_listed_host_that_was_never_heard_is_not_logged(self, table, lines):
        log_silent(table, 110.0)
        assert not ends(lines, SILENT)


class TestBounds:
    """Guard against memory that grows with each name that a host has had."""

    def test_number_of_runs_is_bounded(self):
        runs = HostRuns()
        for number in range(5000):
            runs.record(heartbeat_of(f'host-{number}'), 100.0)
        assert len(runs._runs) == 1024


class TestLostAnnouncement:
    """Guard against a planned stop that one lost packet makes look like another end."""

    def test_announcement_is_repeated_until_the_stop(self):
        async def work(deployment) -> None:
            leaving = deployment.find('membership', 1)
            send = leaving._sender.send
            lost = []

            async def lose_first(heartbeat, **options) -> None:
                if heartbeat.is_leaving and not lost:
                    lost.append(heartbeat)
                    return
                await send(heartbeat, **options)

            peers = deployment.find('membership', 0).peers
            await until(lambda: peers.find('host-1').heartbeat)
            leaving._sender.send = lose_first
            await leaving.leave()
            assert lost
            assert peers.find('host-1').is_leaving

        run_deployed(work, hosts=2)


class TestProcesses:
    """Check the log of a host whose neighbour is killed, and then stopped."""

    def test_killed_host_is_logged_and_a_stopped_one_is_not(self, tmp_path):
        async def work(fleet: Fleet) -> None:
            neighbour, other = fleet.hosts
            await until(lambda: _heard_runs(neighbour, other.name) == 1)
            other.kill()
            await until(lambda: _lines(neighbour, SILENT))
            other.restart()
            await until(lambda: _heard_runs(neighbour, other.name) == 2)
            ended = _lines(neighbour, ENDED)
            assert len(ended) == 1
            assert f'host={other.name} ' in ended[0]
            assert 'memory_percent=unknown' not in ended[0]
            other.process.send(signal.SIGTERM)
            await until(lambda: not other.process.is_running())
            other.restart()
            await until(lambda: _heard_runs(neighbour, other.name) == 3)
            assert _lines(neighbour, ENDED) == ended
            assert len(_lines(neighbour, SILENT)) == 1

        _run_fleet(tmp_path, work)

    def test_suspended_host_is_silent_and_has_not_ended(self, tmp_path):
        async def work(fleet: Fleet) -> None:
            neighbour, other = fleet.hosts
            await until(lambda: _heard_runs(neighbour, other.name) == 1)
            await until(lambda: _heard_runs(other, neighbour.name) == 1)
            other.process.send(signal.SIGSTOP)
            await until(lambda: _lines(neighbour, SILENT))
            other.process.send(signal.SIGCONT)
            await until(lambda: _lines(other, 'event=was_suspended'))
            await until(lambda: len(_heard_lines(neighbour, other.name)) == 2)
            for host in fleet.hosts:
                assert not _lines(host, ENDED)
            assert not _lines(other, SILENT)

        _run_fleet(tmp_path, work)


def _run_fleet(folder: Path, work: Callable[[Fleet], Awaitable[None]]) -> None:
    """Run two hosts as processes."""

    async def main() -> None:
        fleet = Fleet(folder)
        with anyio.fail_after(_TEST_TIMEOUT_S):
            try:
                await fleet.start(2, 1)
                await work(fleet)
            finally:
                await fleet.stop()

    anyio.run(main)


def _lines(host: Host, event: str) -> list[str]:
    found = host.process.log_text().splitlines()
    return [line for line in found if f'{event} ' in line]


def _heard_lines(host: Host, other: str) -> list[str]:
    return [
        line for line in _lines(host, 'event=host_heard') if f' host={other} ' in line
    ]


def _heard_runs(host: Host, other: str) -> int:
    heard = _heard_lines(host, other)
    return len({line.rpartition('instance=')[2] for line in heard})
