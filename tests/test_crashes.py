"""Test the quarantine of requests that crash backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.decisions.crashes import (
    CRASH_WINDOW_S,
    QUARANTINE_S,
    SUSPECT_CRASHES,
    CrashTracker,
)

CULPRIT = 'culprit'
names = st.sampled_from(['a', 'b', 'c', 'd', CULPRIT])
# Each step: the requests in flight at a backend server, and the seconds to the next.
steps = st.lists(
    st.tuples(st.sets(names, min_size=1), st.floats(0, 100)),
    max_size=40,
)


class TestSchedules:
    """Guard against quarantine of a request that only ran beside the culprit."""

    @given(steps)
    @settings(derandomize=True, max_examples=300, deadline=None)
    def test_only_culprits_are_convicted(self, schedule):
        """Suspects run alone; the others share a server, which the culprit crashes."""
        tracker = CrashTracker()
        now_s = 0.0
        crash_count = 0
        for wanted, pause_s in schedule:
            quarantined = set(tracker.active_quarantines(now_s))
            assert quarantined <= {CULPRIT}
            allowed = wanted - quarantined
            suspects = {name for name in allowed if tracker.is_suspect(name, now_s)}
            together = allowed - suspects
            if CULPRIT in together:
                tracker.note_crash(together, now_s)
                crash_count += 1
            for name in suspects:
                if name == CULPRIT:
                    tracker.note_crash({name}, now_s)
                    tracker.start_quarantine(name, now_s + QUARANTINE_S)
                    crash_count += 1
                else:
                    tracker.clear(name)
            now_s += pause_s
        windows = now_s // CRASH_WINDOW_S + 1
        assert crash_count <= (SUSPECT_CRASHES + 1) * windows * 2

    def test_reported_quarantines_do_not_prolong_each_other(self):
        """A quarantine that hosts report to each other must still end."""
        tracker = CrashTracker()
        assert tracker.start_quarantine(CULPRIT, 100)
        assert not tracker.start_quarantine(CULPRIT, 200)
        assert tracker.quarantined_until_s(CULPRIT, 99) == 100
        assert not tracker.quarantined_until_s(CULPRIT, 100)
