"""How long a line at a backend server may grow."""

import pytest

from cicadadoor.decisions.waiting import WorkTimes, fullness_limits


class TestLimits:
    """The loads at which a server is passed over."""

    def test_line_fits_into_the_objective(self):
        limits = fullness_limits(objective_s=0.4, work_s=0.2, is_urgent=False)
        assert limits.most == pytest.approx(2.0)

    def test_urgent_requests_may_wait_longer(self):
        urgent = fullness_limits(objective_s=0.4, work_s=0.2, is_urgent=True)
        other = fullness_limits(objective_s=0.4, work_s=0.2, is_urgent=False)
        assert urgent.most > other.most

    @pytest.mark.parametrize('work_s', (0, 0.01, 0.4, 5.0))
    def test_limits_are_bounded_and_ordered(self, work_s):
        limits = fullness_limits(objective_s=0.4, work_s=work_s, is_urgent=False)
        assert 1 < limits.spill <= limits.most
        assert limits.most <= 3


class TestWorkTimes:
    """The time that requests take without a wait."""

    def test_lessons_are_measured_apart(self):
        times = WorkTimes()
        for _ in range(50):
            times.note('look', 0.2, is_known=True)
            times.note('look', 0.7, is_known=False)
        assert times.known_s('look') == pytest.approx(0.2)
        assert times.learning_s('look') == pytest.approx(0.7)

    def test_time_that_was_not_measured_is_none(self):
        assert WorkTimes().known_s('look') <= 0
