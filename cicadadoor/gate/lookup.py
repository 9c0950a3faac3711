"""Tell callers which entry hosts to use."""

import msgspec

from cicadadoor.config.view import ConfigView
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.gate.at_most_once import AtMostOnce
from cicadadoor.gate.state import GateState
from cicadadoor.kernel import Kernel, Service


class EntryHost(msgspec.Struct, frozen=True, kw_only=True):
    """Describe the location of a gate that accepts callers."""

    url: str
    failure_domain: str
    region: str


class LookupResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Represent the response to a look-up, preferred host first."""

    hosts: list[EntryHost]
    ttl_ms: int
    generation: int
    idempotency_prefix: str


class Lookup(Service):
    """Answer look-ups from memory."""

    name = 'lookup'
    max_hosts = 8

    def __init__(self) -> None:
        self._state: GateState
        self._at_most_once: AtMostOnce
        self._other_hosts: list[EntryHost] = []
        self._hosts_by_region: dict[str, list[EntryHost]] = {}
        self._cached_hosts: dict[tuple[int, str, str], list[EntryHost]] = {}

    async def start(self, kernel: Kernel) -> None:
        """Name only this host until other hosts are known."""
        self._state = kernel.find('state')
        self._at_most_once = kernel.find('at_most_once')
        self.set_hosts([])

    def set_hosts(self, others: list[EntryHost]) -> None:
        """Replace the list of other hosts that accept callers."""
        self._other_hosts = others
        settings = self._state.settings
        own = EntryHost(
            url=settings.callers_url,
            failure_domain=settings.failure_domain,
            region=settings.region,
        )
        by_region: dict[str, list[EntryHost]] = {}
        # Without other hosts, a leaving host still names itself: callers would find
        # no host in an empty list, and this one still serves.
        if not self._state.is_leaving or not others:
            by_region[own.region] = [own]
        for host in others:
            by_region.setdefault(host.region, []).append(host)
        self._hosts_by_region = by_region
        self._cached_hosts.clear()

    def remove_self(self) -> None:
        """Stop naming this host; the state has to be marked as leaving first."""
        self.set_hosts(self._other_hosts)

    def other_urls(self) -> list[str]:
        """Return URLs of other hosts that a refused caller can try."""
        own_url = self._state.settings.callers_url
        urls = [
            host.url
            for hosts in self._hosts_by_region.values()
            for host in hosts
            if host.url != own_url
        ]
        return urls[: self.max_hosts]

    def find_hosts(self, service: str, client_ip: str) -> LookupResponse | Failure:
        """Return hosts in the region chosen for the client, then in other regions."""
        view = self._state.view
        if view is None:
            return Failure(
                ErrorKind.NOT_READY, 'this host has not received a configuration yet'
            )
        if service not in view.services:
            return Failure(
                ErrorKind.UNKNOWN_SERVICE,
                f'service {service!r} does not exist',
            )
        try:
            regions = view.steer(service, client_ip)
        except ValueError:
            return Failure(ErrorKind.BAD_REQUEST, f'{client_ip!r} is not an IP address')
        return LookupResponse(
            hosts=self._hosts(view, service, regions),
            ttl_ms=int(self._state.settings.answer_ttl_ms),
            generation=view.generation,
            idempotency_prefix=self._idempotency_prefix(service),
        )

    def _idempotency_prefix(self, service: str) -> str:
        # Only the process that issued a prefix can dispatch requests under it, and
        # this process is shutting down.
        if self._state.is_leaving:
            return ''
        return self._at_most_once.issue_prefix(service)

    def _hosts(
        self,
        view: ConfigView,
        service: str,
        regions: list[str],
    ) -> list[EntryHost]:
        cache_key = (view.generation, service, regions[0])
        cached = self._cached_hosts.get(cache_key)
        if cached is not None:
            return cached
        hosts: list[EntryHost] = []
        for region in regions:
            hosts.extend(self._hosts_by_region.get(region, ()))
        limited = hosts[: self.max_hosts]
        self._cached_hosts[cache_key] = limited
        return limited
