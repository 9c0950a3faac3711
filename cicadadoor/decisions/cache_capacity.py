"""Learn how many objects a backend server keeps in its cache.

Answers caches of unknown size: a host that takes too many objects for cached sends
requests that have to load their object to servers without room for a load, and one that
takes too few has objects loaded again. All servers of a service have the same size.
"""

# Objects that are taken for cached until there is evidence.
_INITIAL_OBJECTS = 48
_MIN_OBJECTS = 8
_MAX_OBJECTS = 512
# Evidence is counted for groups of as many neighbouring positions.
_GROUP_SIZE = 4
# As many answers count for a group; older ones then count half.
_MAX_GROUP_EVIDENCE = 8.0
# Fewer misses prove nothing: one of 30 requests takes several times as long as usual.
_MIN_MISSES = 3
# The size grows after as many hits in the last quarter of the positions.
_HITS_TO_GROW = 8
_GROWTH_PART = 16
_LAST_QUARTER = 0.75
# With times that differ less, an answer doesn't show whether its object was cached.
_MIN_TIME_RATIO = 1.5
# Requests that take longer than this multiple of a load are slow for another reason.
_MAX_LOAD_FACTOR = 1.6


def was_hit(took_s: float, *, cached_s: float, uncached_s: float) -> bool | None:
    """Tell from its time whether a request found its object cached; None if unclear.

    `cached_s` and `uncached_s` are the averages of the route, 0 if not measured.
    """
    if cached_s <= 0 or uncached_s < _MIN_TIME_RATIO * cached_s:
        return None
    if took_s > _MAX_LOAD_FACTOR * uncached_s:
        return None
    return took_s < (cached_s + uncached_s) / 2


class CacheCapacity:
    """Estimate the number of objects that servers keep, those used last.

    The position of an object is the number of objects that the server has used since.
    Objects at positions below the size are cached, later ones are not.
    """

    __slots__ = ('_hits', '_late_hits', '_misses', 'objects')

    def __init__(self) -> None:
        self.objects = _INITIAL_OBJECTS
        self._hits = [0.0 for _ in range(_MAX_OBJECTS // _GROUP_SIZE)]
        self._misses = [0.0 for _ in range(_MAX_OBJECTS // _GROUP_SIZE)]
        self._late_hits = 0

    def note(self, position: int, *, is_hit: bool) -> None:
        """Add an answer to a request for an object that was taken for cached."""
        group = min(position, _MAX_OBJECTS - 1) // _GROUP_SIZE
        counts = self._hits if is_hit else self._misses
        counts[group] += 1
        if self._hits[group] + self._misses[group] > _MAX_GROUP_EVIDENCE:
            self._halve(group)
        if not is_hit:
            self._shrink()
        elif position >= _LAST_QUARTER * self.objects:
            self._grow()

    def _grow(self) -> None:
        self._late_hits += 1
        if self._late_hits >= _HITS_TO_GROW:
            self._late_hits = 0
            grown = self.objects + max(1, self.objects // _GROWTH_PART)
            self.objects = min(_MAX_OBJECTS, grown)

    def _shrink(self) -> None:
        """Shrink to the size at which the most answers are explained."""
        found = self._find_size()
        if found is None:
            return
        first_group = found // _GROUP_SIZE
        for group, _ in enumerate(self._hits[first_group:], first_group):
            # The size may grow again, and the evidence is then out of date.
            self._halve(group)
        self.objects = max(_MIN_OBJECTS, found)
        self._late_hits = 0

    def _find_size(self) -> int | None:
        """Return the smaller size above which misses outnumber hits the most."""
        largest_excess = 0.0
        excess = 0.0
        misses = 0.0
        found = None
        for group in range((self.objects - 1) // _GROUP_SIZE, -1, -1):
            misses += self._misses[group]
            excess += self._misses[group] - self._hits[group]
            if misses >= _MIN_MISSES and excess > largest_excess:
                largest_excess = excess
                found = group * _GROUP_SIZE
        return found

    def _halve(self, group: int) -> None:
        self._hits[group] /= 2
        self._misses[group] /= 2
