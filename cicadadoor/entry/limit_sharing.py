"""Apply what backend servers ask for in their responses, here and at other hosts.

A limit that a server names applies to all hosts together: heartbeats tell of it, and a
few hosts share it.
"""

from functools import lru_cache
from http import HTTPStatus

from cicadadoor.decisions.backpressure import limit_sender_count
from cicadadoor.decisions.domain_summaries import ReportedLimit, youngest_limits
from cicadadoor.decisions.placement import WeightedServer, rank
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.messages import ResponseHead
from cicadadoor.entry.model import HostRecord
from cicadadoor.telemetry import logs

log = logs.logger('backends')

_AGE_DIGITS = 3
_SELECTION_CACHE_SIZE = 1024


class LimitSharing:
    """Decide when this host sends to a server that limits all hosts together."""

    def __init__(self, own: HostRecord) -> None:
        self._own = own
        self._live = [own]

    def update_hosts(self, others: list[HostRecord]) -> None:
        """Store the other live hosts."""
        self._live = [self._own, *others]

    def may_send(self, backend: Backend, now_s: float) -> bool:
        """Tell whether what the server has asked for allows a request now."""
        if backend.backpressure.rate_limit_per_s is None:
            return backend.backpressure.may_send(now_s, is_sender=True)
        is_chosen = self._own.host in self._senders(backend)
        return backend.backpressure.may_send(now_s, is_sender=is_chosen)

    def begin(self, backend: Backend, now_s: float) -> None:
        """Count a request that is about to be sent."""
        if backend.backpressure.rate_limit_per_s is not None:
            backend.backpressure.begin(now_s, len(self._senders(backend)))

    def _senders(self, backend: Backend) -> frozenset[str]:
        """Return the hosts that send to a limited server.

        They are live hosts of its region, or of all regions if it has none.
        """
        near = [each.host for each in self._live if each.region == backend.region]
        hosts = near or [each.host for each in self._live]
        limit_per_s = backend.backpressure.rate_limit_per_s or 0
        return select_senders(
            backend.record.instance_id,
            tuple(hosts),
            limit_sender_count(limit_per_s, len(hosts)),
        )


@lru_cache(_SELECTION_CACHE_SIZE)
def select_senders(
    instance_id: str, hosts: tuple[str, ...], count: int
) -> frozenset[str]:
    """Return the few hosts that send to a server, the same ones on all hosts."""
    if count >= len(hosts):
        return frozenset(hosts)
    order = rank([WeightedServer(name, 1) for name in hosts], instance_id)
    return frozenset(order[:count])


def note_response(
    backend: Backend, head: ResponseHead, sent_s: float, now_s: float
) -> None:
    """Record what a server asks for in a response to a request sent at `sent_s`."""
    name = backend.record.instance_id
    backpressure, asked = backend.backpressure, head.flow_control
    known_limit_per_s = backpressure.rate_limit_per_s
    backpressure.note_limit(now_s, sent_s, asked.rate_limit_per_s)
    if backpressure.rate_limit_per_s != known_limit_per_s:
        log.info(
            'backend_limit',
            backend_server=name,
            rate_per_s=backpressure.rate_limit_per_s,
        )
    if asked.is_leaving and not backpressure.is_leaving:
        backpressure.is_leaving = True
        log.info('backend_leaving', backend_server=name)
    is_turned_away = head.status == HTTPStatus.SERVICE_UNAVAILABLE
    if is_turned_away and asked.retry_after_s is not None:
        backpressure.note_retry_after(now_s, asked.retry_after_s)
        log.info('backend_held', backend_server=name, hold_s=asked.retry_after_s)


def reported_limits(backends: list[Backend], now_s: float) -> dict[int, ReportedLimit]:
    """Return what this host's heartbeat says of limits."""
    return {
        backend.name_hash: (
            backend.backpressure.rate_limit_per_s,
            round(age_s, _AGE_DIGITS),
        )
        for backend in backends
        if (age_s := backend.backpressure.limit_age_s(now_s)) is not None
    }


def apply_reported_limits(
    backends: list[Backend], heartbeats: list[HostHeartbeat], now_s: float
) -> None:
    """Apply the limits that servers have named to other hosts."""
    limits = youngest_limits(heartbeat.limits for heartbeat in heartbeats)
    for backend in backends:
        if backend.name_hash in limits:
            rate_limit_per_s, age_s = limits[backend.name_hash]
            backend.backpressure.note_reported_limit(now_s, age_s, rate_limit_per_s)
