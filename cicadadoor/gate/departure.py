"""Take this gate out of look-ups before it refuses requests."""

from cicadadoor.gate.config_receiver import ConfigReceiver
from cicadadoor.gate.directory import GateDirectory
from cicadadoor.gate.lookup import Lookup
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service
from cicadadoor.telemetry import logs
from cicadadoor.timer import TimerService

log = logs.logger('departure')

_MS_PER_S = 1000
# An agent tells its gate each second that it is alive.
AGENT_TIMEOUT_S = 3.0
# Peers drop a host that they have not heard for this long.
PEER_EXPIRY_S = 10.0
# Time to report the departure to an agent that is slow.
_REPORT_TIMEOUT_S = 5.0


class Departure(Service):
    """Leave the look-ups and serve callers that cached an answer."""

    name = 'departure'

    def __init__(self) -> None:
        self._state: GateState
        self._timer: TimerService
        self._lookup: Lookup
        self._directory: GateDirectory
        self._receiver: ConfigReceiver

    async def start(self, kernel: Kernel) -> None:
        """Find the services that tell others of this gate."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._lookup = kernel.find('lookup')
        self._receiver = kernel.find('config_receiver')
        self._directory = kernel.find('directory')

    @property
    def leave_timeout_s(self) -> float:
        """Return how long leaving may take, with peers that nobody has told."""
        return self._serving_time_s + PEER_EXPIRY_S + _REPORT_TIMEOUT_S

    @property
    def _serving_time_s(self) -> float:
        settings = self._state.settings
        return settings.answer_ttl_ms / _MS_PER_S + settings.leave_margin_s

    async def leave(self) -> None:
        """Stop being named, and return when no cached look-up names this gate."""
        self._state.is_leaving = True
        self._lookup.remove_self()
        serves_s = self._serving_time_s
        log.info('left_lookups', serves_s=serves_s)
        await self._receiver.report()
        await self._timer.sleep(serves_s)
        if self._directory.agent_silence_s() > AGENT_TIMEOUT_S:
            # Nobody told the peers, so they name this gate until they forget it.
            log.warning('agent_not_heard', serves_s=PEER_EXPIRY_S)
            await self._timer.sleep(PEER_EXPIRY_S)

    def refuse(self) -> None:
        """Let the pipeline refuse new requests."""
        self._state.is_stopping = True

    def work_left(self) -> int:
        """Return how many requests are in flight, also those of other gates."""
        return self._state.in_flight
