"""Track the health of a backend server from the outcomes of its requests.

Works like a circuit breaker for servers that crash, hang, are slow or fail some of
their requests: a server that does not respond is paused, so that few requests are
lost, and then one trial request at a time checks whether it has recovered.
"""

import math

from cicadadoor.decisions.restarts import RestartEvidence

_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
# A failure counts at other hosts for this long, counted from the failure itself.
_REPORT_TTL_S = 3.0
# Many hosts receive a report, and their trial requests add up.
_REPORTED_PAUSE_S = 1.0
# Reports of one failure differ by the time that heartbeats take.
_REPORT_PRECISION_S = 0.4
_GAIN = 0.15
_UNRELIABLE_RATIO = 0.25
# An unreliable server gets no requests that could improve its ratio, so the ratio
# decays with time.
_BAD_RATIO_HALF_LIFE_S = 8.0


class BackendHealth:
    """Track one server's health as one host sees it; times are on the boot clock."""

    __slots__ = (
        '_bad_ratio',
        '_bad_ratio_updated_s',
        'connect_failed_s',
        'last_response_s',
        'pause_s',
        'paused_until_s',
        'reported_failed_s',
        'restart',
        'trial_until_s',
    )

    def __init__(self) -> None:
        self._bad_ratio = 0.0
        self._bad_ratio_updated_s = -math.inf
        self.last_response_s = -math.inf
        self.connect_failed_s = -math.inf
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        # The latest failure at another host.
        self.reported_failed_s = -math.inf
        self.restart = RestartEvidence()

    def note_response(self, now_s: float, *, is_bad: bool) -> None:
        """Record a response; a bad one reports a failure of the server itself."""
        self.last_response_s = now_s
        self.restart.clear()
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        self._update_bad_ratio(now_s, is_bad=is_bad)

    def note_refused(self, now_s: float) -> None:
        """Record a refused connection."""
        self.note_connect_failure(now_s, now_s)
        self.restart.refused = True

    def note_connect_failure(self, now_s: float, sent_s: float) -> None:
        """Record a connection that could not be opened."""
        self._pause(now_s, sent_s)
        self.note_reset(now_s, sent_s)
        self.connect_failed_s = now_s

    def note_reset(self, now_s: float, sent_s: float) -> None:
        """Record a connection that broke before a response.

        It does not show that the server is down, so the server is not paused.
        """
        if self.last_response_s <= sent_s:
            self.restart.note_connection_failure(now_s)

    def note_unreachable(self, now_s: float, sent_s: float) -> None:
        """Record a request without a response.

        The server is not paused if another request got a response since `sent_s`.
        """
        if self.last_response_s <= sent_s:
            self.restart.note_unanswered(now_s)
        self._pause(now_s, sent_s)

    def _pause(self, now_s: float, sent_s: float) -> None:
        if self.last_response_s > sent_s:
            self._update_bad_ratio(now_s, is_bad=True)
            return
        if now_s < self.paused_until_s:
            return
        self.pause_s = min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, 2 * self.pause_s))
        self.paused_until_s = now_s + self.pause_s
        self.trial_until_s = -math.inf

    def note_reported_unreachable(self, now_s: float, failed_age_s: float) -> None:
        """Record a failure that another host saw; a later response outweighs it."""
        failed_s = now_s - failed_age_s
        # A host repeats its report of one failure, with an age that is rounded.
        is_new = failed_s - self.reported_failed_s > _REPORT_PRECISION_S
        if is_new and failed_s >= self.last_response_s:
            self.restart.note_connection_failure(failed_s)
        self.reported_failed_s = max(self.reported_failed_s, failed_s)

    def reported_age_s(self, now_s: float) -> float | None:
        """Return the age of a failure to report to other hosts, or None.

        Only failed connects are reported. A request that timed out may have waited at a
        busy server that answers other hosts. Failures that other hosts reported are not
        passed on: hosts that repeat each other's reports would keep a failure alive.
        """
        age_s = now_s - self.connect_failed_s
        if self.connect_failed_s <= self.last_response_s or age_s >= _REPORT_TTL_S:
            return None
        return age_s

    @property
    def is_paused(self) -> bool:
        """Return whether the server has sent no response since it failed here."""
        return self.pause_s > 0

    def is_suspect(self, now_s: float) -> bool:
        """Return whether the server failed here, or recently at another host."""
        return self.is_paused or self._is_reported(now_s)

    def is_unreliable(self, now_s: float) -> bool:
        """Return whether many of the server's recent responses were failures."""
        return self._decayed_bad_ratio(now_s) > _UNRELIABLE_RATIO

    def may_try(self, now_s: float) -> bool:
        """Return whether a request may be sent now."""
        if not self.is_suspect(now_s):
            return True
        paused_until_s = self.paused_until_s
        if self._is_reported(now_s):
            paused_until_s = max(
                paused_until_s, self.reported_failed_s + _REPORTED_PAUSE_S
            )
        return now_s >= paused_until_s and now_s >= self.trial_until_s

    def begin(self, now_s: float, limit_s: float) -> None:
        """Record that a request is sent; on a suspect server it is the only trial."""
        if self.is_suspect(now_s):
            self.trial_until_s = now_s + limit_s

    def _is_reported(self, now_s: float) -> bool:
        return (
            self.reported_failed_s > self.last_response_s
            and now_s - self.reported_failed_s < _REPORT_TTL_S
        )

    def _update_bad_ratio(self, now_s: float, *, is_bad: bool) -> None:
        ratio = self._decayed_bad_ratio(now_s)
        self._bad_ratio = ratio + _GAIN * (int(is_bad) - ratio)
        self._bad_ratio_updated_s = now_s

    def _decayed_bad_ratio(self, now_s: float) -> float:
        if self._bad_ratio <= 0:
            return 0.0
        return self._bad_ratio * 0.5 ** (
            (now_s - self._bad_ratio_updated_s) / _BAD_RATIO_HALF_LIFE_S
        )
