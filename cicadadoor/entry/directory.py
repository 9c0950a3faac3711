"""Answer the directory requests of callers."""

import random

import msgspec

from cicadadoor.decisions.host_selection import select_hosts
from cicadadoor.entry.backends import Backends
from cicadadoor.entry.domain_steering import MIN_DOMAIN_HOSTS
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service

# Callers refresh the list within this time, and so stop using a host that is gone.
_TTL_S = 2
_MAX_HOSTS = 64
# With fewer hosts in the caller's region, hosts of all regions are returned.
_MIN_NEAR_HOSTS = 1


class DirectoryResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the addresses of hosts and how long callers may cache them."""

    addresses: list[str]
    ttl_s: float


class Directory(Service):
    """Return the live hosts of the caller's failure domain or region, or all."""

    name = 'directory'

    def __init__(self) -> None:
        self._state: EntryState
        self._membership: Membership
        self._backends: Backends
        self._random = random.Random()

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that this one uses."""
        self._state = kernel.find('state')
        self._membership = kernel.find('membership')
        self._backends = kernel.find('backends')

    def look_up(self, region: str, failure_domain: str) -> DirectoryResponse | Failure:
        """Return hosts for a caller, those of its failure domain first."""
        hosts = self._membership.serving_hosts()
        near = [host for host in hosts if host.region == region]
        chosen = near if len(near) >= _MIN_NEAR_HOSTS else hosts
        if self._backends.steering.is_on:
            own = [host for host in near if host.failure_domain == failure_domain]
            chosen = own if len(own) >= MIN_DOMAIN_HOSTS else chosen
            capacities = [host.capacity for host in chosen]
            chosen = [chosen[index] for index in select_hosts(capacities, self._random)]
        if not chosen:
            return Failure(
                ErrorKind.DRAINING, 'this host is draining and no other is known'
            )
        chosen.sort(key=lambda host: _distance(host, failure_domain))
        return DirectoryResponse(
            addresses=[host.callers for host in chosen[:_MAX_HOSTS]],
            ttl_s=min(_TTL_S, self._state.settings.directory_ttl_max_s),
        )


def _distance(host: HostRecord, failure_domain: str) -> int:
    return int(host.failure_domain != failure_domain)
