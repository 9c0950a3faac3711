"""Test how long the queue at a backend server may grow."""

import random

import pytest

from cicadadoor.decisions.queue_limits import ProcessingTimes, utilisation_limits


class TestLimits:
    """The loads at which a server is skipped."""

    def test_queue_fits_into_the_objective(self):
        limits = utilisation_limits(objective_s=0.4, processing_s=0.2, is_urgent=False)
        assert limits.maximum == pytest.approx(2.0)

    def test_urgent_requests_may_wait_longer(self):
        urgent = utilisation_limits(objective_s=0.4, processing_s=0.2, is_urgent=True)
        other = utilisation_limits(objective_s=0.4, processing_s=0.2, is_urgent=False)
        assert urgent.maximum > other.maximum

    @pytest.mark.parametrize('processing_s', (0, 0.01, 0.4, 5.0))
    def test_limits_are_bounded_and_ordered(self, processing_s):
        limits = utilisation_limits(
            objective_s=0.4, processing_s=processing_s, is_urgent=False
        )
        assert 1 < limits.spill <= limits.maximum
        assert limits.maximum <= 3


class TestProcessingTimes:
    """The time that requests take without waiting."""

    def test_learning_requests_are_measured_separately(self):
        times = ProcessingTimes()
        for _ in range(50):
            times.note('look', 0.2, is_cached=True)
            times.note('look', 0.7, is_cached=False)
        assert times.cached_s('look') == pytest.approx(0.2)
        assert times.uncached_s('look') == pytest.approx(0.7)

    def test_unmeasured_time_is_not_positive(self):
        assert ProcessingTimes().cached_s('look') <= 0

    def test_single_slow_requests_do_not_make_the_route_slow(self):
        """Guard against copies of all objects after some requests of 7 times the time.

        A route whose time at servers with the object exceeds the objective makes each
        request look for another server.
        """
        generator = random.Random(3)
        times = ProcessingTimes()
        largest_s = 0.0
        for _ in range(2000):
            took_s = generator.choices((0.16, 7 * 0.16), (97, 3))[0]
            times.note_bounded('look', took_s, is_cached=True)
            largest_s = max(largest_s, times.cached_s('look'))
        assert largest_s < 0.32

    def test_lasting_change_is_followed(self):
        times = ProcessingTimes()
        times.note_bounded('look', 0.1, is_cached=False)
        for _ in range(100):
            times.note_bounded('look', 1.0, is_cached=False)
        assert times.uncached_s('look') == pytest.approx(1.0, rel=0.01)
