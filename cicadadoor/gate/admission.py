"""Admit requests within each organisation's rate and burst."""

import abc

from cicadadoor.config.model import Organisation
from cicadadoor.decisions.buckets import TokenBucket
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_MS_PER_S = 1000


class Admission(Service):
    """Decide whether an organisation may send one more request."""

    name = 'admission'

    @abc.abstractmethod
    def admit(self, organisation: Organisation) -> Failure | None:
        """Take one token; RATE_EXCEEDED tells when the next one is there."""


class FloorAdmission(Admission):
    """Admit within this gate's equal part of each organisation's floor."""

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._buckets: dict[str, TokenBucket] = {}

    async def start(self, kernel: Kernel) -> None:
        """Find the state and the timer."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')

    def admit(self, organisation: Organisation) -> Failure | None:
        """Take one token; RATE_EXCEEDED tells when the next one is there."""
        now_s = self._timer.now_s()
        bucket = self._bucket(organisation, now_s)
        if bucket.take(now_s):
            return None
        wait_ms = int(bucket.wait_s(now_s) * _MS_PER_S) + 1
        return Failure(
            ErrorKind.RATE_EXCEEDED,
            f'organisation {organisation.name} is over its rate at this host',
            wait_ms,
        )

    def _bucket(self, organisation: Organisation, now_s: float) -> TokenBucket:
        view = self._state.view
        parts = view.seat_count if view else 1
        rate_per_s = organisation.rate_per_s / parts
        burst = organisation.burst / parts
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            bucket = TokenBucket(rate_per_s, burst, now_s)
            self._buckets[organisation.name] = bucket
        bucket.resize(rate_per_s, burst, now_s)
        return bucket
