"""Answer the directory requests of callers."""

import random

import msgspec

from cicadadoor.decisions.host_pressure import thin_out
from cicadadoor.entry.membership import Membership
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.pressure import PressureReport
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
    """Return the live hosts of the caller's region, or all if there are none.

    Hosts that are short of memory are named in few of the answers.
    """

    name = 'directory'

    def __init__(self) -> None:
        self._state: EntryState
        self._membership: Membership
        self._pressure: PressureReport

    async def start(self, kernel: Kernel) -> None:
        """Look up the services that this one uses."""
        self._state = kernel.find('state')
        self._membership = kernel.find('membership')
        self._pressure = kernel.find('pressure')

    def look_up(self, region: str, failure_domain: str) -> DirectoryResponse | Failure:
        """Return hosts for a caller, those of its failure domain first."""
        hosts = self._membership.serving_hosts()
        near = [host for host in hosts if host.region == region]
        chosen = near if len(near) >= _MIN_NEAR_HOSTS else hosts
        if not chosen:
            return Failure(
                ErrorKind.DRAINING, 'this host is draining and no other is known'
            )
        chosen = thin_out(chosen, self._is_pressed, random.random)
        chosen.sort(key=lambda host: _distance(host, failure_domain))
        return DirectoryResponse(
            addresses=[host.callers for host in chosen[:_MAX_HOSTS]],
            ttl_s=min(_TTL_S, self._state.settings.directory_ttl_max_s),
        )

    def _is_pressed(self, host: HostRecord) -> bool:
        return self._pressure.is_pressed(host.host)


def _distance(host: HostRecord, failure_domain: str) -> int:
    return int(host.failure_domain != failure_domain)
