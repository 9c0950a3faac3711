"""Log how the runs of other hosts end, with what they last said of their memory.

A process that its machine ends writes no line, so that the other hosts have to.
"""

from collections.abc import Set

from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.telemetry import logs, metrics

log = logs.logger('membership')

# Far more than the hosts of any fleet. Runs are kept while their host is not listed,
# since a host may return long after its record was removed.
_MAX_RUNS = 1024


class HostRun:
    """Hold what the latest heartbeat of a run of a host said."""

    __slots__ = (
        'former_instance',
        'heard_s',
        'instance',
        'is_leaving',
        'is_pressed',
        'is_silence_logged',
        'memory_percent',
        'number',
    )

    def __init__(
        self, heartbeat: HostHeartbeat, former_instance: str, heard_s: float
    ) -> None:
        self.instance = heartbeat.instance
        self.number = heartbeat.number
        self.is_leaving = heartbeat.is_leaving
        self.is_pressed = heartbeat.is_pressed
        self.memory_percent = heartbeat.memory_percent
        self.former_instance = former_instance
        self.heard_s = heard_s
        self.is_silence_logged = False

    def is_outdated(self, heartbeat: HostHeartbeat) -> bool:
        """Return whether a heartbeat was sent before the latest one."""
        if heartbeat.instance == self.instance:
            return heartbeat.number <= self.number
        return heartbeat.instance == self.former_instance

    def describe(self, now_s: float) -> dict[str, object]:
        """Return the fields of a log line about the end of the run."""
        percent = self.memory_percent
        return {
            'instance': self.instance,
            'silent_ms': round((now_s - self.heard_s) * 1000),
            'memory_percent': 'unknown' if percent is None else percent,
            'was_pressed': self.is_pressed,
        }


class HostRuns:
    """Follow the runs of the hosts whose own heartbeats arrive."""

    def __init__(self) -> None:
        self._runs: dict[str, HostRun] = {}

    def record(self, heartbeat: HostHeartbeat, now_s: float) -> None:
        """Record a heartbeat; log if the former run ended without an announcement."""
        host = heartbeat.host
        run = self._runs.get(host)
        if run is None:
            if len(self._runs) >= _MAX_RUNS:
                self._runs.pop(next(iter(self._runs)))
            self._runs[host] = HostRun(heartbeat, '', now_s)
            return
        if run.is_outdated(heartbeat):
            return
        former_instance = run.former_instance
        if run.instance != heartbeat.instance:
            former_instance = run.instance
            if not run.is_leaving:
                log.warning('host_ended_unannounced', host=host, **run.describe(now_s))
                metrics.HOSTS_ENDED_UNANNOUNCED.inc()
        self._runs[host] = HostRun(heartbeat, former_instance, now_s)

    def discard(self, host: str) -> None:
        """Remove a host that only others report on, as they may miss its leave."""
        self._runs.pop(host, None)

    def log_silent(self, heard: Set[str], now_s: float) -> None:
        """Log once each host that is not heard and has not announced that it leaves."""
        for host, run in self._runs.items():
            if host in heard or run.is_leaving or run.is_silence_logged:
                continue
            run.is_silence_logged = True
            log.info('host_silent', host=host, **run.describe(now_s))
