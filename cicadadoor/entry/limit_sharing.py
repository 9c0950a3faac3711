"""Share the limits that backend servers name among the hosts that send to them."""

from http import HTTPStatus

from cicadadoor.decisions.backpressure import limit_sender_count
from cicadadoor.decisions.domain_summaries import ReportedLimit, youngest_limits
from cicadadoor.decisions.placement import WeightedServer, rank
from cicadadoor.entry.backend_table import Backend
from cicadadoor.entry.heartbeats import HostHeartbeat
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.messages import ResponseHead
from cicadadoor.telemetry import logs

log = logs.logger('backends')

_AGE_DIGITS = 3


class LimitSharing:
    """Decide when this host sends to a server that limits all hosts together."""

    def __init__(self, host: str, membership: Membership) -> None:
        self._host = host
        self._membership = membership

    def may_send(self, backend: Backend, now_s: float) -> bool:
        """Tell whether what the server has asked for allows a request now."""
        backpressure = backend.backpressure
        if backpressure.rate_limit_per_s is None:
            return backpressure.may_send(now_s, is_sender=True)
        hosts = self._near_hosts(backend, now_s)
        senders = limit_sender_count(backpressure.rate_limit_per_s, len(hosts))
        return backpressure.may_send(
            now_s, is_sender=is_sender(self._host, hosts, senders, backend)
        )

    def begin(self, backend: Backend, now_s: float) -> None:
        """Count a request that is about to be sent."""
        rate_limit_per_s = backend.backpressure.rate_limit_per_s
        if rate_limit_per_s is not None:
            hosts = self._near_hosts(backend, now_s)
            backend.backpressure.begin(
                now_s, limit_sender_count(rate_limit_per_s, len(hosts))
            )

    def _near_hosts(self, backend: Backend, now_s: float) -> list[str]:
        """Return the live hosts of the server's region, or all if it has none."""
        own = self._membership.own_record
        live = [own, *(peer.record for peer in self._membership.peers.heard(now_s))]
        near = [record.host for record in live if record.region == backend.region]
        return near or [record.host for record in live]


def is_sender(host: str, hosts: list[str], senders: int, backend: Backend) -> bool:
    """Tell whether a host is among the few that send to a server."""
    if senders >= len(hosts):
        return host in hosts
    order = rank(
        [WeightedServer(name, 1) for name in hosts], backend.record.instance_id
    )
    return host in order[:senders]


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
