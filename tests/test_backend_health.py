"""Test the health that one host derives from the outcomes of requests."""

from cicadadoor.decisions.backend_health import BackendHealth


class TestUnreachable:
    """Check the pauses of servers that do not respond."""

    def test_server_is_paused_after_one_failure(self):
        health = BackendHealth()
        health.note_unreachable(10.0, sent_s=9.7)
        assert not health.may_try(10.2)

    def test_paused_server_is_probed_by_one_request_at_a_time(self):
        health = BackendHealth()
        health.note_unreachable(10.0, sent_s=9.7)
        assert health.may_try(10.6)
        health.begin(10.6, limit_s=1.0)
        assert not health.may_try(10.7)
        assert health.may_try(11.7)

    def test_answer_ends_the_pause(self):
        health = BackendHealth()
        health.note_unreachable(10.0, sent_s=9.7)
        health.note_response(10.6, is_bad=False)
        assert health.may_try(10.6)
        assert not health.is_paused

    def test_pauses_grow_up_to_a_maximum(self):
        health = BackendHealth()
        now_s = 10.0
        for _ in range(8):
            health.note_unreachable(now_s, sent_s=now_s - 0.3)
            now_s = health.paused_until_s
        assert health.pause_s == 4.0

    def test_failure_of_a_request_sent_before_the_last_answer_is_ignored(self):
        health = BackendHealth()
        health.note_response(10.0, is_bad=False)
        health.note_unreachable(10.5, sent_s=9.5)
        assert health.may_try(10.5)


class TestPeerReports:
    """Check failures that other hosts report."""

    def test_report_of_another_host_pauses_the_server(self):
        health = BackendHealth()
        health.note_reported_unreachable(10.0, failed_age_s=0.2)
        assert not health.may_try(10.1)

    def test_report_older_than_the_last_answer_is_ignored(self):
        health = BackendHealth()
        health.note_response(9.9, is_bad=False)
        health.note_reported_unreachable(10.0, failed_age_s=0.2)
        assert health.may_try(10.0)

    def test_repeated_report_does_not_prolong_the_pause(self):
        health = BackendHealth()
        health.note_reported_unreachable(10.0, failed_age_s=0.1)
        for number in range(1, 13):
            age_s = 0.25 * number
            health.note_reported_unreachable(10.0 + age_s, failed_age_s=0.1 + age_s)
        assert health.may_try(12.0)
        assert not health.is_suspect(13.0)

    def test_reports_of_one_failure_end_although_no_host_sends_a_request(self):
        hosts = [BackendHealth() for _ in range(5)]
        hosts[0].note_connect_failure(10.0, sent_s=9.7)
        for step in range(60):
            now_s = 10.0 + 0.25 * step
            ages_s = [health.reported_age_s(now_s) for health in hosts]
            for health in hosts:
                for age_s in ages_s:
                    if age_s is not None:
                        health.note_reported_unreachable(now_s, age_s)
        assert not any(health.is_suspect(now_s) for health in hosts[1:])
        assert not any(health.reported_age_s(now_s) for health in hosts)

    def test_failure_is_not_reported_back_to_a_host_that_has_got_an_answer_since(self):
        first, second = BackendHealth(), BackendHealth()
        first.note_connect_failure(10.0, sent_s=9.7)
        second.note_reported_unreachable(10.3, first.reported_age_s(10.3))
        first.note_response(10.2, is_bad=False)
        assert second.reported_age_s(10.4) is None
        assert first.may_try(10.4)

    def test_request_that_timed_out_is_not_reported(self):
        health = BackendHealth()
        health.note_unreachable(10.0, sent_s=9.0)
        assert health.is_suspect(10.1)
        assert health.reported_age_s(10.1) is None


class TestUnreliable:
    """Check servers whose responses are often failures."""

    def test_server_that_fails_often_is_unreliable(self):
        health = BackendHealth()
        for number in range(20):
            health.note_response(float(number), is_bad=number % 2 == 0)
        assert health.is_unreliable(19.0)

    def test_server_that_rarely_fails_is_not_unreliable(self):
        health = BackendHealth()
        for number in range(100):
            health.note_response(float(number), is_bad=number % 20 == 0)
        assert not health.is_unreliable(99.0)

    def test_bad_ratio_decays_without_further_answers(self):
        health = BackendHealth()
        for _ in range(10):
            health.note_response(10.0, is_bad=True)
        assert health.is_unreliable(10.0)
        assert not health.is_unreliable(40.0)


class TestRefusals:
    """Check servers that refuse connections."""

    def test_refused_connection_is_remembered_until_the_next_answer(self):
        health = BackendHealth()
        health.note_refused(10.0)
        assert health.restart.shows_restart(10.0)
        assert not health.may_try(10.1)
        health.note_response(11.0, is_bad=False)
        assert not health.restart.shows_restart(11.0)

    def test_unreachable_server_does_not_count_as_refusing(self):
        health = BackendHealth()
        health.note_unreachable(10.0, sent_s=9.0)
        assert not health.restart.shows_restart(11.0)
