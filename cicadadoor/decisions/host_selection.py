"""Select the hosts that a caller is told to use.

Answers demand on hosts of unequal size: callers pick one of the named hosts at random,
so a small host is named less often, in proportion to its capacity. Requests of an
organisation then also meet fewer hosts, each with a larger part of its limit.
"""

import random
from collections.abc import Mapping, Sequence

# Hosts that are named at least, so that a caller can go on to another one when the host
# that it uses is gone.
_MIN_NAMED = 3


def select_hosts(capacities: Sequence[float], generator: random.Random) -> list[int]:
    """Return the indexes of the hosts to name; all of them if they are equal.

    A host that is larger than its part of the named hosts is always named.
    """
    largest = max(capacities, default=0.0)
    if largest <= 0:
        return list(range(len(capacities)))
    count = max(_MIN_NAMED, round(sum(capacities) / largest))
    left = {index: each for index, each in enumerate(capacities) if each > 0}
    named: list[int] = []
    while left and len(named) < count:
        index = max(left, key=left.__getitem__)
        if left[index] * (count - len(named)) < sum(left.values()):
            break
        named.append(index)
        left.pop(index)
    return named + _sample(left, count - len(named), generator)


def _sample(
    capacities: Mapping[int, float], count: int, generator: random.Random
) -> list[int]:
    """Select hosts with a probability in proportion to capacity (systematic sampling).

    Drawing one after the other without replacement would name small hosts too often.
    """
    if not capacities or count <= 0:
        return []
    step = sum(capacities.values()) / count
    next_point = generator.random() * step
    passed = 0.0
    selected: list[int] = []
    for index in generator.sample(sorted(capacities), len(capacities)):
        passed += capacities[index]
        if passed > next_point:
            selected.append(index)
            next_point += step
    return selected
