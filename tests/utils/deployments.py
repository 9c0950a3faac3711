"""Build small configurations for tests."""

from cicadadoor.config import Deployment
from cicadadoor.config.model import Route

BOOKING_ROUTES = (
    Route(path_prefix='/', methods=('GET', 'HEAD')),
    Route(path_prefix='/enrol', methods=('POST',)),
    Route(path_prefix='/quote', methods=('POST',), idempotent=True),
    Route(path_prefix='/public', methods=('GET',), open_to_all=True),
)


def small_deployment(domains: dict[str, tuple[str, int]]) -> Deployment:
    """Describe a deployment with two services and two organisations.

    `domains` maps each failure domain to its region and number of seats.
    """
    deployment = Deployment(delay_between_domains_ms=0.5, delay_to_clients_ms=3)
    regions: dict[str, dict[str, int]] = {}
    for domain, (region, seats) in domains.items():
        regions.setdefault(region, {})[domain] = seats
    for region, seats_by_domain in regions.items():
        deployment.region(region, seats_by_domain)
    deployment.link_all_regions(capacity_bit_per_s=4e9, delay_ms=20)
    deployment.service('kursbuchung', deadline_ms=10_000, routes=BOOKING_ROUTES)
    deployment.service('schulakten', deferrable=True, deadline_ms=60_000)
    deployment.organisation('guild-a', rate_per_s=1000, burst=500)
    deployment.organisation('guild-b', rate_per_s=1000, burst=500)
    deployment.client_block('127.0.0.0/8', next(iter(regions)))
    return deployment
