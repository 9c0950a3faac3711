"""Judge a backend server by the outcome of the requests that it was sent.

Answers crashed, silent, slow and partly failing servers: few requests are lost to
them before they are left alone, and one request at a time finds out whether they are
back.
"""

import math

_MIN_PAUSE_S = 0.5
_MAX_PAUSE_S = 4.0
_GAIN = 0.15
_UNRELIABLE_RATIO = 0.25
# A server that is passed over answers nothing that could clear it; time does.
_BAD_RATIO_HALF_LIFE_S = 8.0


class BackendHealth:
    """Hold what one host knows of one server; times on the boot clock."""

    __slots__ = (
        '_bad_ratio',
        '_bad_ratio_updated_s',
        'failed_s',
        'last_answer_s',
        'pause_s',
        'paused_until_s',
        'trial_until_s',
        'was_refused',
    )

    def __init__(self) -> None:
        self._bad_ratio = 0.0
        self._bad_ratio_updated_s = -math.inf
        self.last_answer_s = -math.inf
        self.failed_s = -math.inf
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        # Nothing listened at its address: it will come back as a new run.
        self.was_refused = False

    def note_answer(self, now_s: float, *, is_bad: bool) -> None:
        """Count an answer; a bad one is a failure that the server answered itself."""
        self.last_answer_s = now_s
        self.was_refused = False
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        self._update_bad_ratio(now_s, is_bad=is_bad)

    def note_refused(self, now_s: float) -> None:
        """Count a connection that was refused."""
        self.note_unreachable(now_s, now_s)
        self.was_refused = True

    def note_unreachable(self, now_s: float, sent_s: float) -> None:
        """Count a request that got no answer; others that got one since outweigh it."""
        if self.last_answer_s > sent_s:
            self._update_bad_ratio(now_s, is_bad=True)
            return
        if now_s < self.paused_until_s:
            return
        self.failed_s = now_s
        self.pause_s = min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, 2 * self.pause_s))
        self.paused_until_s = now_s + self.pause_s
        self.trial_until_s = -math.inf

    def note_reported_unreachable(self, now_s: float, failed_age_s: float) -> None:
        """Take another host's word, unless this host had an answer since."""
        failed_s = now_s - failed_age_s
        if failed_s > self.last_answer_s and not self.is_paused:
            self.note_unreachable(now_s, failed_s)

    @property
    def is_paused(self) -> bool:
        """Tell whether the server has not answered since it failed."""
        return self.pause_s > 0

    def is_unreliable(self, now_s: float) -> bool:
        """Tell whether the server failed many of the last requests that it answered."""
        return self._decayed_bad_ratio(now_s) > _UNRELIABLE_RATIO

    def may_try(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.is_paused:
            return True
        return now_s >= self.paused_until_s and now_s >= self.trial_until_s

    def begin(self, now_s: float, limit_s: float) -> None:
        """Note that a request is being sent; after a failure it goes alone."""
        if self.is_paused:
            self.trial_until_s = now_s + limit_s

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
