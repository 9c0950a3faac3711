"""Print the configuration of Knetwerk's Kursportal.

Addresses are from the documentation ranges; replace them with your own.
"""

from cicadadoor.config import Deployment, print_configuration
from cicadadoor.config.model import Route

DOMAINS = (
    'muenchen-1',
    'muenchen-2',
    'nuernberg-1',
    'nuernberg-2',
    'augsburg-1',
    'augsburg-2',
)
SEATS_PER_DOMAIN = 2
CLIENT_BLOCKS = {
    'muenchen': ('198.51.100.0/25', '2001:db8:1::/48'),
    'nuernberg': ('198.51.100.128/25', '2001:db8:2::/48'),
    'augsburg': ('203.0.113.0/25', '2001:db8:3::/48'),
}
# Name, requests per second over the whole fleet, burst.
ORGANISATIONS = (
    ('handwerkskammer', 600, 1200),
    ('volkshochschule', 400, 800),
    ('berufsschule-sued', 250, 500),
    ('berufsschule-nord', 60, 120),
    ('musikschule', 40, 80),
    ('innung-elektro', 40, 80),
    ('innung-metall', 30, 60),
    ('abendschule', 20, 40),
)


def describe() -> Deployment:
    """Describe regions, services, organisations and client blocks."""
    deployment = Deployment(delay_between_domains_ms=0.5, delay_to_clients_ms=3)
    for region, blocks in CLIENT_BLOCKS.items():
        domains = [domain for domain in DOMAINS if domain.startswith(region)]
        deployment.region(region, dict.fromkeys(domains, SEATS_PER_DOMAIN))
        for block in blocks:
            deployment.client_block(block, region)
    deployment.link_all_regions(capacity_bit_per_s=4e9, delay_ms=20)
    add_kursbuchung(deployment)
    add_schulakten(deployment)
    for name, rate_per_s, burst in ORGANISATIONS:
        deployment.organisation(
            name,
            rate_per_s=rate_per_s,
            burst=burst,
            serve_isolated_for_s=600,
        )
    return deployment


def add_kursbuchung(deployment: Deployment) -> None:
    """Add the interactive service; an enrolment must never be lost or run twice."""
    deployment.service(
        'kursbuchung',
        deadline_ms=10_000,
        probe_cost_ms=6,
        routes=(
            Route(path_prefix='/timetable', methods=('GET', 'HEAD')),
            Route(path_prefix='/search', methods=('POST',), idempotent=True),
            Route(path_prefix='/enrol', methods=('POST',)),
        ),
    )
    for number in range(12):
        deployment.backend_server(
            'kursbuchung',
            f'kursbuchung-{number + 1}',
            url=f'http://192.0.2.{number + 1}:8000',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=8,
            connections=330,
        )


def add_schulakten(deployment: Deployment) -> None:
    """Add the deferrable service, from which records are read overnight."""
    deployment.service(
        'schulakten',
        deferrable=True,
        deadline_ms=60_000,
        probe_cost_ms=6,
        routes=(
            Route(path_prefix='/records', methods=('GET', 'HEAD')),
            Route(path_prefix='/certificates', methods=('POST',)),
        ),
    )
    for number in range(14):
        deployment.backend_server(
            'schulakten',
            f'schulakten-{number + 1}',
            url=f'http://192.0.2.{number + 101}:8000',
            failure_domain=DOMAINS[number % len(DOMAINS)],
            slots=9,
            connections=330,
        )


if __name__ == '__main__':
    print_configuration(describe())
