"""Compute and limit the share of callers that a change of weights moves.

A rule's weights divide the hash range from 0 to 1 into pieces; a region may have
several pieces. A change of weights must alter only the pieces that move, because a
shifted boundary would also move callers between other regions.
"""

from collections.abc import Iterator, Mapping

from cicadadoor.config.model import RegionWeight, Weights

RuleKey = tuple[str, str]
RegionWeights = tuple[RegionWeight, ...]
Steering = dict[RuleKey, RegionWeights]

TOLERANCE = 1e-9
_DIGITS = 12


class Span:
    """Hold a part of the hash range with its region before and after a change."""

    __slots__ = ('after', 'before', 'length')

    def __init__(self, length: float, before: str, after: str) -> None:
        self.length = length
        self.before = before
        self.after = after


def spans(
    before: RegionWeights, after: RegionWeights, home_region: str
) -> Iterator[Span]:
    """Yield the spans of two rules; hash points beyond the sum stay at home."""
    old = _boundaries(before, home_region)
    new = _boundaries(after, home_region)
    position = 0.0
    while old and new:
        end = min(old[0][0], new[0][0])
        if end - position > 0:
            yield Span(end - position, old[0][1], new[0][1])
        position = end
        if old[0][0] <= end:
            old.pop(0)
        if new[0][0] <= end:
            new.pop(0)


def moved_share(before: RegionWeights, after: RegionWeights, home_region: str) -> float:
    """Return the share of a home region's callers that a change moves."""
    return sum(
        span.length
        for span in spans(before, after, home_region)
        if span.before != span.after
    )


def largest_move(before: Steering, after: Steering) -> tuple[float, RuleKey | None]:
    """Return the largest move of any rule, and which rule it is.

    A missing rule counts as one that sends all callers to their home region.
    """
    largest = 0.0
    moved_key: RuleKey | None = None
    for key in sorted(set(before) | set(after)):
        share = moved_share(before.get(key, ()), after.get(key, ()), key[1])
        if share > largest:
            largest = share
            moved_key = key
    return largest, moved_key


def move_towards(
    before: RegionWeights, after: RegionWeights, home_region: str, cap: float
) -> RegionWeights:
    """Return the rule that moves at most the cap from `before` towards `after`."""
    left = cap
    pieces: list[tuple[str, float]] = []
    for span in spans(before, after, home_region):
        if span.before == span.after:
            pieces.append((span.after, span.length))
            continue
        moved_weight = min(span.length, left)
        left -= moved_weight
        pieces.append((span.after, moved_weight))
        pieces.append((span.before, span.length - moved_weight))
    return _merge_adjacent(pieces)


def move_weight(
    pieces: RegionWeights, source: str, target: str, amount: float
) -> RegionWeights:
    """Move an amount of weight from source to target, starting at the last piece."""
    left = amount
    taken: list[tuple[str, float]] = []
    for piece in reversed(pieces):
        moved_weight = min(piece.weight, left) if piece.region == source else 0.0
        left -= moved_weight
        taken.append((target, moved_weight))
        taken.append((piece.region, piece.weight - moved_weight))
    return _merge_adjacent(reversed(taken))


def weight_of(pieces: RegionWeights, region: str) -> float:
    """Return the total weight of a region in all pieces."""
    return sum(piece.weight for piece in pieces if piece.region == region)


def steering_of(weights: Weights) -> Steering:
    """Return the rules by service and home region."""
    return {(rule.service, rule.home_region): rule.weights for rule in weights.rules}


class WeightRamp:
    """Make one gate follow accepted weights in moves no larger than the cap.

    A gate that was isolated during several steps would otherwise make them all at once.
    The period between moves is the time-to-live of lookup answers, because callers keep
    an answer for that long.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._in_use: Steering = {}
        self._target: Steering = {}
        self._moved_s: dict[RuleKey, float] = {}
        self._cap = 1.0

    @property
    def is_settled(self) -> bool:
        """Return whether the accepted weights are fully in use."""
        return self._in_use == self._target

    def set_target(self, steering: Mapping[RuleKey, RegionWeights], cap: float) -> None:
        """Set accepted weights as the target; new rules are used at once."""
        is_first = not self._target
        self._target = dict(steering)
        self._cap = cap
        for key in set(self._in_use) - set(self._target):
            self._in_use.pop(key)
        for key, pieces in self._target.items():
            if is_first or key not in self._in_use:
                self._in_use[key] = pieces

    def advance(self, now_s: float) -> Steering:
        """Make the moves that are due, and return the weights in use."""
        for key, target in self._target.items():
            present = self._in_use[key]
            if present == target or not self._is_due(key, now_s):
                continue
            if moved_share(present, target, key[1]) <= self._cap + TOLERANCE:
                self._in_use[key] = target
            else:
                self._in_use[key] = move_towards(present, target, key[1], self._cap)
            self._moved_s[key] = now_s
        return dict(self._in_use)

    def _is_due(self, key: RuleKey, now_s: float) -> bool:
        last_s = self._moved_s.get(key)
        return last_s is None or now_s - last_s >= self._period_s


def _boundaries(pieces: RegionWeights, home_region: str) -> list[tuple[float, str]]:
    edges = []
    position = 0.0
    for piece in pieces:
        position = min(1.0, position + piece.weight)
        edges.append((position, piece.region))
    if position < 1 - TOLERANCE:
        edges.append((1.0, home_region))
    elif edges:
        edges[-1] = (1.0, edges[-1][1])
    return edges


def _merge_adjacent(
    pieces: Iterator[tuple[str, float]] | list[tuple[str, float]],
) -> RegionWeights:
    merged: list[tuple[str, float]] = []
    for region, weight in pieces:
        if weight <= TOLERANCE:
            continue
        if merged and merged[-1][0] == region:
            merged[-1] = (region, merged[-1][1] + weight)
        else:
            merged.append((region, weight))
    return tuple(
        RegionWeight(region=region, weight=round(weight, _DIGITS))
        for region, weight in merged
    )
