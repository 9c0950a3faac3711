"""Decide when a host is short of memory, and name such hosts to fewer callers."""

import math
from collections.abc import Callable, Sequence
from typing import TypeVar

_Host = TypeVar('_Host')

# Parts of the memory account at which pressure begins and ends. The last tenth of the
# account is not available to large holders.
_BEGIN_FRACTION = 0.75
_END_FRACTION = 0.5
# Pressure lasts at least this long after its cause: a caller keeps an answer for 2 s.
_HOLD_S = 2.0
# Part of the answers that still name a host under pressure, so that it is found again
# by callers as soon as the others are under pressure as well.
_NAMED_FRACTION = 0.25


class PressureGauge:
    """Tell whether a host is short of memory, from samples of what it holds."""

    def __init__(self) -> None:
        self.is_pressed = False
        self._last_high_s = -math.inf

    def update(self, held_fraction: float, now_s: float) -> bool:
        """Record how much of the account is held; return whether that is too much."""
        limit = _END_FRACTION if self.is_pressed else _BEGIN_FRACTION
        if held_fraction >= limit:
            self._last_high_s = now_s
        self.is_pressed = now_s - self._last_high_s <= _HOLD_S
        return self.is_pressed


def thin_out(
    hosts: Sequence[_Host],
    is_pressed: Callable[[_Host], bool],
    draw: Callable[[], float],
) -> list[_Host]:
    """Leave out most of the hosts under pressure, if at least half are without it.

    Otherwise the others would get more than twice their callers, and be the next.
    `draw` returns a random number from 0 to 1.
    """
    calm = [host for host in hosts if not is_pressed(host)]
    if 2 * len(calm) < len(hosts):
        return list(hosts)
    return [host for host in hosts if not is_pressed(host) or draw() < _NAMED_FRACTION]
