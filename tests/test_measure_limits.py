"""Check the comparison of strategies for splitting limits."""

from measure.limits import Simulation


class TestComparison:
    """Guard against a strategy that ranks best because it exceeds the limits."""

    def test_shares_and_transfer_in_a_partition(self):
        """Fewer wrongful refusals must not come from exceeding the rate."""
        shared = Simulation('floors_shares_transfer', 'partition').run()
        floors = Simulation('floors_only', 'partition').run()
        assert shared.requests == floors.requests
        assert shared.over_limit == 0
        assert shared.wrongful_refusals < floors.wrongful_refusals
