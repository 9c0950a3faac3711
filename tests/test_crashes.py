"""Test the quarantine of requests that crash backend servers."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cicadadoor.decisions.crashes import (
    DEATH_WINDOW_S,
    QUARANTINE_S,
    SUSPECT_DEATHS,
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
        ledger = CrashTracker()
        now_s = 0.0
        deaths = 0
        for wanted, pause_s in schedule:
            convicted = set(ledger.convictions(now_s))
            assert convicted <= {CULPRIT}
            allowed = wanted - convicted
            suspects = {name for name in allowed if ledger.is_suspect(name, now_s)}
            together = allowed - suspects
            if CULPRIT in together:
                ledger.note_death(together, now_s)
                deaths += 1
            for name in suspects:
                if name == CULPRIT:
                    ledger.note_death({name}, now_s)
                    ledger.start_quarantine(name, now_s + QUARANTINE_S)
                    deaths += 1
                else:
                    ledger.clear(name)
            now_s += pause_s
        windows = now_s // DEATH_WINDOW_S + 1
        assert deaths <= (SUSPECT_DEATHS + 1) * windows * 2

    def test_reported_quarantines_do_not_prolong_each_other(self):
        """A quarantine that hosts report to each other must still end."""
        ledger = CrashTracker()
        assert ledger.start_quarantine(CULPRIT, 100)
        assert not ledger.start_quarantine(CULPRIT, 200)
        assert ledger.quarantined_until_s(CULPRIT, 99) == 100
        assert not ledger.quarantined_until_s(CULPRIT, 100)
