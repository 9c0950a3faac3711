"""Report to other hosts how much memory this one uses, and whether it is short."""

from cicadadoor.decisions.host_pressure import PressureGauge
from cicadadoor.entry.heartbeats import HostHeartbeat, name_hash, pressed_hosts
from cicadadoor.entry.membership import HeartbeatPart, Membership
from cicadadoor.entry.memory_watch import MemoryWatch
from cicadadoor.entry.state import EntryState
from cicadadoor.kernel import Kernel
from cicadadoor.telemetry import logs, metrics
from cicadadoor.timer import TimerService

log = logs.logger('entry')


class PressureReport(HeartbeatPart):
    """Follow the memory account, and know which hosts are short of memory."""

    name = 'pressure'

    def __init__(self) -> None:
        self._state: EntryState
        self._timer: TimerService
        self._memory_watch: MemoryWatch
        self._gauge = PressureGauge()
        # The other hosts that report pressure, by the hash of their name.
        self._pressed: frozenset[int] = frozenset()

    async def start(self, kernel: Kernel) -> None:
        """Add this host's state to its heartbeats."""
        self._state = kernel.find('state')
        self._timer = kernel.find('timer')
        self._memory_watch = kernel.find('memory_watch')
        membership: Membership = kernel.find('membership')
        membership.add_part(self)

    def is_pressed(self, host: str) -> bool:
        """Tell whether a host is short of memory, as far as is known."""
        if host == self._state.settings.host:
            return self._gauge.is_pressed
        return name_hash(host) in self._pressed

    def add_fields(self, fields: dict[str, object]) -> None:
        """Add whether this host is short of memory, and how much it uses."""
        fields['is_pressed'] = self._gauge.is_pressed
        fields['memory_percent'] = self._memory_watch.used_percent

    def on_tick(self, heartbeats: list[HostHeartbeat]) -> None:
        """Sample the account, and collect what other hosts and domains report."""
        self._pressed = pressed_hosts(heartbeats)
        account = self._state.account
        was_pressed = self._gauge.is_pressed
        is_pressed = self._gauge.update(
            account.held_bytes / account.limit_bytes, self._timer.now_s()
        )
        if is_pressed is not was_pressed:
            log.info(
                'memory_pressure_began' if is_pressed else 'memory_pressure_ended',
                held_bytes=account.held_bytes,
                limit_bytes=account.limit_bytes,
            )
        metrics.MEMORY_PRESSURE.set(int(is_pressed))
