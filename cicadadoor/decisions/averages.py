"""Keep a running average for each name."""

_GAIN = 0.1


class Averages:
    """Fold samples into exponential averages; the first sample counts whole."""

    __slots__ = ('_averages',)

    def __init__(self) -> None:
        self._averages: dict[str, float] = {}

    def note(self, name: str, sample: float) -> None:
        """Take a sample."""
        average = self._averages.get(name, sample)
        self._averages[name] = average + _GAIN * (sample - average)

    def find(self, name: str, default: float = 0) -> float:
        """Return the average, or the default before the first sample."""
        return self._averages.get(name, default)
