"""Follow the era of the store, which rises each time it comes back from a copy."""

from collections.abc import Callable

from cicadadoor.telemetry import logs, metrics

log = logs.logger('platform')

_MAX_ERA = 9_007_199_254_740_992
# Of a header that is logged.
_MAX_SHOWN = 40

OnEra = Callable[[int], None]


class StoreEra:
    """Read the era from the store's answers; 0 until one names it."""

    __slots__ = ('_is_confirmed', '_leap', '_logged', '_subscribers', 'current')

    def __init__(self) -> None:
        self.current = 0
        # Whether two answers have named the first era.
        self._is_confirmed = False
        # An era beyond the next one, which a second answer has to name.
        self._leap = 0
        self._subscribers: list[OnEra] = []
        # Faults of the header that have been logged, each of which is logged once.
        self._logged: set[str] = set()

    def subscribe(self, on_era: OnEra) -> None:
        """Call `on_era` with each later era."""
        self._subscribers.append(on_era)

    def note(self, header: str | None) -> bool:
        """Return whether an answer with this header is of the current era.

        An answer that names no era counts as one of the current era.
        """
        era = _parse(header)
        if era is None:
            if self.current:
                self._log_once('missing' if header is None else 'malformed', header)
            return True
        if era == self.current:
            self._is_confirmed = True
            return True
        if self._is_confirmed and era < self.current:
            self._log_once('lower', header)
            return False
        if self._is_confirmed and era not in {self.current + 1, self._leap}:
            self._leap = era
            self._log_once('leaping', header)
            return False
        self._change_to(era)
        return True

    def _change_to(self, era: int) -> None:
        former, self.current = self.current, era
        metrics.STORE_ERA.set(era)
        if not former:
            return
        log.warning('store_era_changed', era=era, former=former)
        for on_era in self._subscribers:
            on_era(era)

    def _log_once(self, fault: str, header: str | None) -> None:
        if fault not in self._logged:
            self._logged.add(fault)
            shown = repr(header)[:_MAX_SHOWN]
            log.warning('store_era_unusable', fault=fault, header=shown)


def _parse(header: str | None) -> int | None:
    # int() takes signs, underscores and digits of other scripts too.
    if header is None or not (header.isascii() and header.isdecimal()):
        return None
    digits = header.lstrip('0')[: len(str(_MAX_ERA)) + 1]
    era = int(digits or 0)
    return era if 0 < era <= _MAX_ERA else None
