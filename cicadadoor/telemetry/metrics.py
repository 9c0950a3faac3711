"""Count and time what the daemons do, for prometheus_client."""

from prometheus_client import REGISTRY, Counter, Gauge, Histogram, generate_latest

REQUESTS = Counter(
    'cicadadoor_requests_total',
    'Steered requests by service, organisation and outcome.',
    ('service', 'organisation', 'outcome'),
)
LOOKUPS = Counter('cicadadoor_lookups_total', 'Look-ups answered.', ('outcome',))
REQUEST_SECONDS = Histogram(
    'cicadadoor_request_seconds',
    'Time from the first byte of a request to the last byte of its answer.',
    ('service',),
)
BACKEND_IN_FLIGHT = Gauge(
    'cicadadoor_backend_in_flight',
    'Requests in flight to a backend server.',
    ('backend_server',),
)
GENERATION = Gauge('cicadadoor_generation', 'Configuration generation in use.')
DROPPED_MESSAGES = Counter(
    'cicadadoor_dropped_messages_total',
    'Messages between processes that were dropped, by reason.',
    ('reason',),
)


def exposition() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
