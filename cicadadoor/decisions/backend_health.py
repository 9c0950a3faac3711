"""Judge a backend server by the outcome of the requests that it was sent.

Answers crashed, silent, slow and partly failing servers: few requests are lost to
them before they are left alone, and one request at a time finds out whether they are
back.
"""

import math

_FIRST_PAUSE_S = 0.5
_LONGEST_PAUSE_S = 4.0
_GAIN = 0.15
_DOUBTFUL_RATIO = 0.25
_LEAST_SAMPLES = 4


class BackendHealth:
    """Hold what one host knows of one server; times on the boot clock."""

    __slots__ = (
        '_bad_ratio',
        '_samples',
        'failed_s',
        'last_answer_s',
        'pause_s',
        'paused_until_s',
        'recovered_s',
        'trial_until_s',
    )

    def __init__(self) -> None:
        self._bad_ratio = 0.0
        self._samples = 0
        self.last_answer_s = -math.inf
        self.failed_s = -math.inf
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        self.recovered_s = -math.inf

    def note_answer(self, now_s: float, *, is_bad: bool) -> None:
        """Count an answer; a bad one is a failure that the server answered itself."""
        if self.is_paused:
            self.recovered_s = now_s
        self.last_answer_s = now_s
        self.pause_s = 0.0
        self.paused_until_s = -math.inf
        self.trial_until_s = -math.inf
        self._samples += 1
        self._bad_ratio += _GAIN * (int(is_bad) - self._bad_ratio)

    def note_unreachable(self, now_s: float, sent_s: float) -> None:
        """Count a request that got no answer; others that got one since outweigh it."""
        if self.last_answer_s > sent_s:
            self._samples += 1
            self._bad_ratio += _GAIN * (1 - self._bad_ratio)
            return
        if now_s < self.paused_until_s:
            return
        self.failed_s = now_s
        self.pause_s = min(_LONGEST_PAUSE_S, max(_FIRST_PAUSE_S, 2 * self.pause_s))
        self.paused_until_s = now_s + self.pause_s
        self.trial_until_s = -math.inf

    def hear_unreachable(self, now_s: float, failed_age_s: float) -> None:
        """Take another host's word, unless this host had an answer since."""
        failed_s = now_s - failed_age_s
        if failed_s > self.last_answer_s and not self.is_paused:
            self.note_unreachable(now_s, failed_s)

    @property
    def is_paused(self) -> bool:
        """Tell whether the server has not answered since it failed."""
        return self.pause_s > 0

    @property
    def is_doubtful(self) -> bool:
        """Tell whether the server fails many of the requests that it answers."""
        return self._samples >= _LEAST_SAMPLES and self._bad_ratio > _DOUBTFUL_RATIO

    def may_try(self, now_s: float) -> bool:
        """Tell whether a request may be sent now."""
        if not self.is_paused:
            return True
        return now_s >= self.paused_until_s and now_s >= self.trial_until_s

    def begin(self, now_s: float, limit_s: float) -> None:
        """Note that a request is being sent; after a failure it goes alone."""
        if self.is_paused:
            self.trial_until_s = now_s + limit_s
