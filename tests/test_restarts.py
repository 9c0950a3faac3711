"""Test which servers count as cold although no entry says so."""

import anyio
import pytest

from cicadadoor.decisions.backend_health import BackendHealth
from cicadadoor.entry import forwarding
from cicadadoor.entry.backend_table import BackendTable
from tests.test_entry_backends import apply_entries, record_of
from tests.utils.entry_hosts import run_deployed

# What happens at a time: the kind of outcome, and when its request was sent.
REFUSED = 'note_refused'
NOT_CONNECTED = 'note_connect_failure'
RESET = 'note_reset'
UNANSWERED = 'note_unreachable'
RESPONSE = 'note_response'


def health_after(*outcomes: tuple[float, str]) -> BackendHealth:
    """Return the health after outcomes of requests sent 0.2 s before."""
    health = BackendHealth()
    for at_s, outcome in outcomes:
        if outcome == RESPONSE:
            health.note_response(at_s, is_bad=False)
        elif outcome == REFUSED:
            health.note_refused(at_s)
        else:
            getattr(health, outcome)(at_s, at_s - 0.2)
    return health


class TestEvidence:
    """Guard against servers that lost power and count as warm, or as cold too often."""

    @pytest.mark.parametrize(
        ('outcomes', 'is_restarted'),
        (
            ([(10.0, REFUSED)], True),
            ([(10.0, NOT_CONNECTED), (10.6, NOT_CONNECTED)], True),
            ([(10.0, UNANSWERED), (10.6, NOT_CONNECTED)], True),
            ([(10.0, UNANSWERED), (10.6, RESET)], True),
            ([(10.0, RESET), (10.1, RESET)], True),
            # A lost packet, or a connection that the server closed.
            ([(10.0, NOT_CONNECTED)], False),
            ([(10.0, RESET)], False),
            ([(10.0, RESET), (10.1, RESPONSE), (10.7, RESET)], False),
            # A busy server.
            ([(10.0, UNANSWERED), (10.6, UNANSWERED), (11.7, UNANSWERED)], False),
            # Another request was answered while the connection was reset.
            ([(10.0, RESET), (10.5, RESPONSE), (10.6, RESET), (10.65, RESET)], False),
        ),
    )
    def test_response_after_failures(self, outcomes, is_restarted):
        health = health_after(*outcomes)
        assert health.restart.shows_restart(12.0) == is_restarted
        health.note_response(12.0, is_bad=False)
        assert not health.restart.shows_restart(12.1)

    def test_resets_of_a_server_that_responds_at_once_are_no_restart(self):
        health = health_after((10.0, RESET), (10.1, RESET), (10.2, RESET))
        assert not health.restart.shows_restart(10.3)

    def test_failures_at_another_host_count_unless_the_server_responds_here(self):
        health = BackendHealth()
        health.note_response(9.0, is_bad=False)
        for number in range(4):
            health.note_reported_unreachable(10.0 + number / 4, 0.1 + number / 4)
        assert not health.restart.shows_restart(12.0)
        health.note_reported_unreachable(11.0, failed_age_s=0.2)
        assert health.restart.shows_restart(12.0)
        health.note_response(12.0, is_bad=False)
        health.note_reported_unreachable(12.1, failed_age_s=0.5)
        health.note_reported_unreachable(12.7, failed_age_s=0.1)
        assert not health.restart.shows_restart(14.0)


class TestEntriesAfterRestarts:
    """Check that what a server says itself counts."""

    def test_later_entry_of_the_same_run_ends_the_assumption(self):
        table = BackendTable()
        apply_entries(table, record_of('i-0', sequence=3))
        table.known['i-0'].extend_cold_until(14.0)
        apply_entries(table, record_of('i-0', sequence=3, slots=9))
        assert table.known['i-0'].is_cold(11.0)
        apply_entries(table, record_of('i-0', sequence=4))
        assert not table.known['i-0'].is_cold(11.0)

    def test_later_entry_may_say_that_the_server_is_cold(self):
        table = BackendTable()
        apply_entries(table, record_of('i-0', sequence=3))
        table.known['i-0'].extend_cold_until(14.0)
        apply_entries(table, record_of('i-0', sequence=4, cold_remaining_ms=2000))
        assert table.known['i-0'].is_cold(11.9)
        assert not table.known['i-0'].is_cold(12.1)


class TestHosts:
    """Check the same on a running host."""

    def test_server_that_reset_connections_and_answers_again_is_cold(self):
        async def work(deployment):
            deployment.workers['i-0'].script = ['reset', 'reset']
            await deployment.call('/book/1', method='POST')
            await anyio.sleep(0.6)
            await deployment.call('/book/1', method='POST')
            backend = deployment.find('backends').find('i-0')
            timer = deployment.find('timer')
            assert not backend.is_cold(timer.now_s())
            answer = await deployment.call('/book/1', method='POST')
            assert answer.status_code == 200
            assert backend.is_cold(timer.now_s())

        run_deployed(work)

    def test_single_resets_do_not_make_a_server_cold(self):
        async def work(deployment):
            backend = deployment.find('backends').find('i-0')
            timer = deployment.find('timer')
            for _ in range(4):
                deployment.workers['i-0'].script = ['reset']
                await deployment.call('/book/1', method='POST')
                await anyio.sleep(0.6)
                answer = await deployment.call('/book/1', method='POST')
                assert answer.status_code == 200
                assert not backend.is_cold(timer.now_s())

        run_deployed(work)

    def test_server_that_does_not_answer_is_tried_on_a_new_connection(
        self, monkeypatch
    ):
        """A kept connection does not tell a busy server from one without power."""
        opened: list[str] = []
        connect = forwarding.connect

        async def counted(address, *rest):
            opened.append(address)
            return await connect(address, *rest)

        async def work(deployment):
            await deployment.call('/look/1')
            backend = deployment.find('backends').find('i-0')
            now_s = deployment.find('timer').now_s()
            backend.health.note_unreachable(now_s, sent_s=now_s)
            backend.health.paused_until_s = now_s
            monkeypatch.setattr(forwarding, 'connect', counted)
            assert (await deployment.call('/look/1')).status_code == 200
            assert len(opened) == 1

        run_deployed(work)
