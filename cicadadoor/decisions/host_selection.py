"""Select the hosts that a caller is told to use.

Answers demand on hosts of unequal size: callers pick one of the named hosts at random,
so a small host is named less often, in proportion to its capacity. Requests of an
organisation then also meet fewer hosts, each with a larger part of its limit.
"""

import random
from collections.abc import Sequence

# Hosts that are named at least, so that a caller can go on to another one when the host
# that it uses is gone.
_MIN_NAMED = 3


def select_hosts(capacities: Sequence[float], generator: random.Random) -> list[int]:
    """Return the indexes of the hosts to name; all of them if they are equal.

    Drawn without replacement, with the capacities as weights (Efraimidis, Spirakis).
    """
    largest = max(capacities, default=0.0)
    if largest <= 0:
        return list(range(len(capacities)))
    count = max(_MIN_NAMED, round(sum(capacities) / largest))
    keys = {
        index: generator.random() ** (largest / capacity)
        for index, capacity in enumerate(capacities)
        if capacity > 0
    }
    return sorted(keys, key=keys.__getitem__, reverse=True)[:count]
