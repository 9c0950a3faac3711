"""Test which requests are held back because servers crashed while running them."""

from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import HostHeartbeat, summarise
from cicadadoor.entry.quarantine import CRASHES_TO_REFUSE, CrashWatch
from tests.test_entry_backends import record_of
from tests.utils.heartbeats import heartbeat_of
from tests.utils.manual_timer import ManualTimer

REQUEST = 7


def watch() -> CrashWatch:
    found = CrashWatch()
    found._timer = ManualTimer()
    return found


def server(name: str, started_ms: int = 1) -> Backend:
    return Backend(record_of(name, started_ms=started_ms), 'muenchen')


def heartbeats_from(hosts: list[CrashWatch]) -> list[HostHeartbeat]:
    heartbeats = []
    for number, host in enumerate(hosts):
        fields: dict[str, object] = {}
        host.add_fields(fields)
        heartbeats.append(heartbeat_of(f'host-{number}', **fields))
    return heartbeats


class TestCrashWatch:
    """Check what counts as a crash."""

    def test_resets_of_one_server_do_not_hold_back_a_request(self):
        """One server that resets its connections would stop all requests."""
        hosts = [watch() for _ in range(3)]
        for host in hosts:
            for _ in range(4):
                host.note_crash(REQUEST, server('i-3'))
        heartbeats = heartbeats_from(hosts)
        hosts[0].on_heartbeats(heartbeats[1:])
        assert hosts[0].crash_count(REQUEST) == 1

    def test_crashes_of_several_servers_at_several_hosts_add_up(self):
        hosts = [watch() for _ in range(3)]
        for number, host in enumerate(hosts):
            host.note_crash(REQUEST, server(f'i-{number}'))
        heartbeats = heartbeats_from(hosts)
        hosts[0].on_heartbeats([summarise(heartbeats[1], heartbeats[2:])])
        assert hosts[0].crash_count(REQUEST) == CRASHES_TO_REFUSE

    def test_server_that_crashes_again_after_its_restart_counts_again(self):
        host = watch()
        for started_ms in range(CRASHES_TO_REFUSE):
            host.note_crash(REQUEST, server('i-0', started_ms))
        assert host.crash_count(REQUEST) == CRASHES_TO_REFUSE

    def test_answer_ends_the_suspicion_of_this_host(self):
        host = watch()
        host.note_crash(REQUEST, server('i-0'))
        host.note_response(REQUEST)
        assert host.crash_count(REQUEST) == 0
