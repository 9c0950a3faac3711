"""Limit requests to each organisation's rate and burst."""

import abc
import math

from cicadadoor.config.model import Organisation
from cicadadoor.decisions.gate_limits import AdmissionResult
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.shares import GateShares
from cicadadoor.kernel import Kernel, Service
from cicadadoor.timer import TimerService

_MS_PER_S = 1000
_MAX_WAIT_S = 60


class Admission(Service):
    """Limit the request rate of each organisation."""

    name = 'admission'

    @abc.abstractmethod
    def admit(self, organisation: Organisation) -> Failure | None:
        """Take one token, or return RATE_EXCEEDED with the time until the next."""


class SeatAdmission(Admission):
    """Admit requests within the seats' guaranteed rates and the granted shares."""

    def __init__(self) -> None:
        self._shares: GateShares
        self._timer: TimerService

    async def start(self, kernel: Kernel) -> None:
        """Look up the shares and the timer."""
        self._shares = kernel.find('shares')
        self._timer = kernel.find('timer')

    def admit(self, organisation: Organisation) -> Failure | None:
        """Take one token, or return RATE_EXCEEDED with the time until the next.

        NOT_READY means that this gate holds no seat and admits no requests.
        """
        limits = self._shares.limits()
        # Checks the expiry of leases and seats at the time of use, so that a process
        # that was suspended does not admit requests on an expired one.
        now_s = self._timer.now_s()
        result = limits.admit(organisation.name, now_s)
        if result is AdmissionResult.ADMITTED:
            return None
        if result is AdmissionResult.NO_SEAT:
            return Failure(
                ErrorKind.NOT_READY,
                'this host holds no seat, so it cannot admit requests; '
                'use another host',
            )
        wait_s = limits.wait_s(organisation.name, now_s)
        wait_ms = 0
        if wait_s < math.inf:
            wait_ms = int(min(wait_s, _MAX_WAIT_S) * _MS_PER_S) + 1
        return Failure(
            ErrorKind.RATE_EXCEEDED,
            f'organisation {organisation.name} exceeded its rate limit at this host',
            wait_ms,
        )
