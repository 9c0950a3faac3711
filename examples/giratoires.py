"""Print the configuration of Giratoires' Armor Parrainage.

Addresses are from the documentation ranges; replace them with your own.
"""

from cicadadoor.config import Deployment, print_configuration
from cicadadoor.config.model import Route

DOMAINS = (
    'finistere-1',
    'finistere-2',
    'morbihan-1',
    'morbihan-2',
    'ille-vilaine-1',
    'ille-vilaine-2',
)
SEATS_PER_DOMAIN = 2
CLIENT_BLOCKS = {
    'finistere': ('198.51.100.0/25', '2001:db8:29::/48'),
    'morbihan': ('198.51.100.128/25', '2001:db8:56::/48'),
    'ille-vilaine': ('203.0.113.0/25', '2001:db8:35::/48'),
}
# Name, requests per second over the whole fleet, burst.
ORGANISATIONS = (
    ('mairie-de-quimper', 400, 800),
    ('region-bretagne', 400, 800),
    ('imprimerie-quimper', 200, 600),
    ('mairie-de-vannes', 60, 120),
    ('mairie-de-rennes', 60, 120),
    ('club-nautique', 30, 60),
    ('comite-des-fetes', 30, 60),
    ('amicale-laique', 20, 40),
)


def describe() -> Deployment:
    """Describe regions, services, organisations and client blocks."""
    deployment = Deployment(delay_between_domains_ms=1, delay_to_clients_ms=1)
    for region, blocks in CLIENT_BLOCKS.items():
        domains = [domain for domain in DOMAINS if domain.startswith(region)]
        deployment.region(region, dict.fromkeys(domains, SEATS_PER_DOMAIN))
        for block in blocks:
            deployment.client_block(block, region)
    deployment.link_all_regions(capacity_bit_per_s=4e9, delay_ms=20)
    add_sponsor_desk(deployment)
    add_proof_room(deployment)
    for name, rate_per_s, burst in ORGANISATIONS:
        # Operators are away at night, so an isolated domain serves for an hour.
        deployment.organisation(
            name,
            rate_per_s=rate_per_s,
            burst=burst,
            serve_isolated_for_s=3600,
        )
    return deployment


def add_sponsor_desk(deployment: Deployment) -> None:
    """Add the interactive service; bookings and payments must not run twice."""
    deployment.service(
        'sponsor-desk',
        deadline_ms=15_000,
        routes=(
            Route(path_prefix='/listings', methods=('GET', 'HEAD')),
            Route(path_prefix='/listings/fetch', methods=('POST',), idempotent=True),
            Route(path_prefix='/book', methods=('POST',)),
            Route(path_prefix='/pay', methods=('POST',)),
        ),
    )
    for number in range(16):
        deployment.backend_server(
            'sponsor-desk',
            f'sponsor-desk-{number + 1}',
            url=f'http://192.0.2.{number + 1}:8000',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=6,
            connections=390,
        )


def add_proof_room(deployment: Deployment) -> None:
    """Add the deferrable service, whose requests have to complete by the morning."""
    deployment.service(
        'proof-room',
        deferrable=True,
        deadline_ms=120_000,
        routes=(
            Route(path_prefix='/reports', methods=('GET', 'HEAD')),
            Route(path_prefix='/proofs', methods=('POST',)),
        ),
    )
    for number in range(18):
        deployment.backend_server(
            'proof-room',
            f'proof-room-{number + 1}',
            url=f'http://192.0.2.{number + 101}:8000',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=6,
            connections=390,
        )


if __name__ == '__main__':
    print_configuration(describe())
