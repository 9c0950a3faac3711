"""Remove this gate from look-ups before it refuses requests."""

from cicadadoor.gate.config_receiver import ConfigReceiver
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('departure')

_MS_PER_S = 1000
# The agent sends its gate a heartbeat every second.
AGENT_TIMEOUT_S = 3.0
# Peers drop a host that has been silent for this long.
PEER_EXPIRY_S = 10.0
# Extra time for an agent that is slow to accept the report that this gate leaves.
_REPORT_TIMEOUT_S = 5.0


class Departure(Service):
    """Leave look-ups, but continue to serve callers that cached a look-up."""

    name = 'departure'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._lookup: Lookup
        self._directory: GateDirectory
        self._receiver: ConfigReceiver

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that announce this gate."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._lookup = kernel.find('lookup')
        self._receiver = kernel.find('config_receiver')
        self._directory = kernel.find('directory')

    @property
    def leave_timeout_s(self) -> float:
        """Return the maximum duration of `leave`, if no peer could be notified."""
        return self._serving_time_s + PEER_EXPIRY_S + _REPORT_TIMEOUT_S

    @property
    def _serving_time_s(self) -> float:
        settings = self._state.settings
        return settings.answer_ttl_ms / _MS_PER_S + settings.leave_margin_s

    async def leave(self) -> None:
        """Leave look-ups, and wait until no cached look-up names this gate."""
        self._state.is_leaving = True
        self._lookup.remove_self()
        serves_s = self._serving_time_s
        log.info('left_lookups', serves_s=serves_s)
        await self._receiver.report()
        await self._timer.sleep(serves_s)
        if self._directory.agent_silence_s() > AGENT_TIMEOUT_S:
            # Without an agent the peers were not notified, so they name this gate
            # until its entry expires.
            log.warning('agent_silent', serves_s=PEER_EXPIRY_S)
            await self._timer.sleep(PEER_EXPIRY_S)

    def refuse(self) -> None:
        """Make the pipeline refuse new requests."""
        self._state.is_stopping = True

    def work_left(self) -> int:
        """Return the number of requests in flight, including those of other gates."""
        return self._state.in_flight
