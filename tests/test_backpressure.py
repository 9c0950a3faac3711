"""Test what a host sends to a server that asks for fewer requests."""

import pytest

from cicadadoor.decisions.backpressure import Backpressure, limit_sender_count

# As the users define them: requests are counted over the window, and may exceed the
# limit by the overrun and the slack.
WINDOW_S = 4.0
OVERRUN = 1.5
SLACK = 5


def limited(rate_per_s: float, now_s: float = 10.0) -> Backpressure:
    backpressure = Backpressure()
    backpressure.note_limit(now_s, now_s - 0.2, rate_per_s)
    return backpressure


class TestSharedLimit:
    """Check the sum over hosts that all have more requests than the limit."""

    @pytest.mark.parametrize('rate_per_s', (0, 0.1, 1.4, 6, 30))
    @pytest.mark.parametrize('hosts', (1, 3, 11, 91, 1300))
    def test_senders_together_keep_to_the_limit_in_each_window(self, rate_per_s, hosts):
        senders = limit_sender_count(rate_per_s, hosts)
        fleet = [limited(rate_per_s) for _ in range(senders)]
        sent_s: list[float] = []
        for step in range(1200):
            now_s = 10.0 + 0.01 * step
            for host in fleet:
                if host.may_send(now_s, is_sender=True):
                    host.begin(now_s, senders)
                    sent_s.append(now_s)
        counts = [
            sum(1 for later_s in sent_s if start_s <= later_s <= start_s + WINDOW_S)
            for start_s in sent_s
        ]
        assert max(counts) <= OVERRUN * rate_per_s * WINDOW_S + SLACK
        assert len(sent_s) >= 0.8 * rate_per_s * 12

    def test_other_hosts_send_nothing_while_the_limit_is_confirmed(self):
        host = limited(1.4)
        for step in range(100):
            now_s = 10.0 + step
            host.note_reported_limit(now_s, 0.5, 1.4)
            assert not host.may_send(now_s, is_sender=False)

    def test_other_hosts_ask_again_once_no_host_has_had_an_answer_for_long(self):
        host = limited(1.4)
        assert not host.may_send(19.0, is_sender=False)
        assert host.may_send(21.0, is_sender=False)
        host.begin(21.0, 3)
        assert not host.may_send(21.5, is_sender=False)


class TestEndOfLimit:
    """Check when a limit no longer holds."""

    def test_limit_ends_with_the_first_answer_that_does_not_name_it(self):
        host = limited(1.4)
        host.begin(10.1, 3)
        host.note_limit(10.4, 10.1, None)
        assert host.may_send(10.4, is_sender=False)

    def test_answer_to_an_earlier_request_does_not_end_the_limit(self):
        host = limited(1.4)
        host.note_limit(10.4, 9.9, None)
        assert not host.may_send(10.4, is_sender=False)

    def test_end_is_reported_to_hosts_that_send_nothing(self):
        sender, other = limited(1.4), limited(1.4)
        sender.note_limit(12.0, 11.5, None)
        other.note_reported_limit(12.3, sender.limit_age_s(12.3), None)
        assert other.may_send(12.3, is_sender=False)

    def test_older_report_does_not_replace_a_later_answer(self):
        host = limited(1.4, now_s=10.0)
        host.note_reported_limit(10.5, 1.0, None)
        assert host.rate_limit_per_s == 1.4

    def test_report_of_another_host_is_not_passed_on(self):
        host = Backpressure()
        host.note_reported_limit(10.0, 0.1, 1.4)
        assert host.limit_age_s(10.1) is None


class TestRetryAfter:
    """Check the time for which a server wants no requests from this host."""

    def test_nothing_is_sent_until_the_time_has_passed(self):
        host = Backpressure()
        host.note_retry_after(10.0, 3.0)
        assert not host.may_send(12.9, is_sender=True)
        assert host.may_send(13.0, is_sender=True)

    def test_shorter_time_in_a_later_answer_does_not_end_it_early(self):
        host = Backpressure()
        host.note_retry_after(10.0, 3.0)
        host.note_retry_after(10.1, 0.5)
        assert not host.may_send(12.9, is_sender=True)

    def test_time_has_an_upper_bound(self):
        host = Backpressure()
        host.note_retry_after(10.0, 1e9)
        assert host.may_send(10.0 + 3600, is_sender=True)
