"""Compute exponential moving averages by name."""

_GAIN = 0.1


class Averages:
    """Keep an exponential moving average per name, starting at the first sample."""

    __slots__ = ('_averages',)

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def note(self, name: str, sample: float) -> None:
        """Add a sample to the average of a name."""
        average = self._averages.get(name, sample)
        self._averages[name] = average + _GAIN * (sample - average)

    def find(self, name: str, default: float = 0) -> float:
        """Return the average of a name, or the default before its first sample."""
        return self._averages.get(name, default)
