"""Decide whether callers are kept in their failure domain."""

from collections.abc import Iterable

from cicadadoor.entry.model import HostRecord
from cicadadoor.telemetry import logs

log = logs.logger('steering')

# With fewer hosts, the loss of a host or two would move the callers of a whole domain.
MIN_DOMAIN_HOSTS = 4
# Hosts count as unequal from this ratio of the largest to the smallest capacity.
_MIN_CAPACITY_RATIO = 2.0


class DomainSteering:
    """Note whether the hosts of the own failure domain are unequal.

    Where they are, callers are named the hosts of their own domain in proportion to
    capacity, and their objects are cached there. Deployments of equal hosts are served
    as before. It stays on once it is on: objects would be loaded again elsewhere each
    time the large hosts of a domain are replaced.
    """

    def __init__(self, failure_domain: str) -> None:
        self._failure_domain = failure_domain
        self.is_on = False

    def note_hosts(self, hosts: Iterable[HostRecord]) -> bool:
        """Note the listed hosts; return whether the steering has just begun."""
        capacities = [
            host.capacity
            for host in hosts
            if host.failure_domain == self._failure_domain
        ]
        if self.is_on or len(capacities) < MIN_DOMAIN_HOSTS:
            return False
        self.is_on = max(capacities) >= _MIN_CAPACITY_RATIO * min(capacities)
        if self.is_on:
            log.info('domain_steering_on', hosts=len(capacities))
        return self.is_on
