"""Tell callers which hosts to use."""

import msgspec

from cicadadoor.entry.membership import Membership
from cicadadoor.entry.model import HostRecord
from cicadadoor.entry.state import EntryState
from cicadadoor.errors import ErrorKind, Failure
from cicadadoor.kernel import Kernel, Service

# Callers learn of a lost host within this time.
_TTL_S = 2
_MAX_HOSTS = 64
# With fewer hosts in the caller's region, those of other regions are named too.
_MIN_NEAR_HOSTS = 1


class DirectoryAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Name hosts, and say for how long."""

    addresses: list[str]
    ttl_s: float


class Directory(Service):
    """Name the live hosts of the caller's region, or all if there are none."""

    name = 'directory'

    def __init__(self) -> None:
        self._state: EntryState
        self._membership: Membership

    async def start(self, kernel: Kernel) -> None:
        """Find the membership."""
        self._state = kernel.find('state')
        self._membership = kernel.find('membership')

    def look_up(self, region: str, failure_domain: str) -> DirectoryAnswer | Failure:
        """Return the hosts for callers of a region."""
        hosts = self._membership.serving_hosts()
        near = [host for host in hosts if host.region == region]
        chosen = near if len(near) >= _MIN_NEAR_HOSTS else hosts
        if not chosen:
            return Failure(ErrorKind.DRAINING, 'no other host is known')
        chosen.sort(key=lambda host: _distance(host, failure_domain))
        return DirectoryAnswer(
            addresses=[host.callers for host in chosen[:_MAX_HOSTS]],
            ttl_s=min(_TTL_S, self._state.settings.directory_ttl_max_s),
        )


def _distance(host: HostRecord, failure_domain: str) -> int:
    return int(host.failure_domain != failure_domain)
