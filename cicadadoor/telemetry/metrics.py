"""Define the Prometheus metrics of the daemons."""

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
BACKEND_CONNECTIONS = Counter(
    'cicadadoor_backend_connections_total',
    'Connections opened to backend servers.',
)
INVALID_ANSWERS = Counter(
    'cicadadoor_invalid_answers_total',
    'Answers of backend servers that were given up as invalid, by service.',
    ('service',),
)
ENTRY_REQUESTS = Counter(
    'cicadadoor_entry_requests_total',
    'Requests of callers by service, outcome and the number of attempts.',
    ('service', 'outcome', 'attempts'),
)
ENTRY_SECONDS = Histogram(
    'cicadadoor_entry_seconds',
    'Time from a whole request to its answer, by service.',
    ('service',),
    buckets=(0.05, 0.1, 0.2, 0.4, 0.6, 1, 1.5, 2.5, 4, 6, 10),
)
HELD_BYTES = Gauge(
    'cicadadoor_held_bytes',
    'Memory held on behalf of clients and backend servers, by kind.',
    ('kind',),
)
RESIDENT_BYTES = Gauge(
    'cicadadoor_resident_bytes',
    'Memory that the process uses.',
)
UNACCOUNTED_BYTES = Gauge(
    'cicadadoor_unaccounted_bytes',
    'Memory that the process uses beyond what it holds for other parties.',
)
CLIENT_CONNECTIONS = Gauge(
    'cicadadoor_client_connections',
    'Open connections of clients, by group of addresses.',
    ('group',),
)
REJECTED_CLIENTS = Counter(
    'cicadadoor_rejected_clients_total',
    'Requests refused and connections closed because of a limit, by reason.',
    ('reason',),
)
REFUSED_HOLDINGS = Counter(
    'cicadadoor_refused_holdings_total',
    'Messages of other hosts and answers of the store without memory, by kind.',
    ('kind',),
)
MEMORY_PRESSURE = Gauge(
    'cicadadoor_memory_pressure',
    'Whether this host is short of memory, so that the directory names it less often.',
)
HOSTS_ENDED_UNANNOUNCED = Counter(
    'cicadadoor_hosts_ended_unannounced_total',
    'Runs of other hosts that ended without an announcement, seen at the next run.',
)
EVENT_LOOP_DELAY_SECONDS = Histogram(
    'cicadadoor_event_loop_delay_seconds',
    'Time by which timer callbacks ran late, as the event loop was busy or suspended.',
    buckets=(0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)
QUARANTINES = Gauge(
    'cicadadoor_quarantines',
    'Requests that are refused because backend servers crashed while running them.',
)
QUARANTINE_PROBES = Counter(
    'cicadadoor_quarantine_probes_total',
    'Quarantined requests that were sent to a backend server as a probe.',
)
STORE_ERA = Gauge(
    'cicadadoor_store_era',
    'Era of the store, which rises each time it comes back from a copy.',
)
COPY_REVISION = Gauge(
    'cicadadoor_copy_revision',
    'Revision of the store at which the copy of the records is, by topic.',
    ('topic',),
)
STORE_HISTORY_GONE = Counter(
    'cicadadoor_store_history_gone_total',
    'Watches from a revision whose history the store does not have, by topic.',
    ('topic',),
)
STORE_READS_IGNORED = Counter(
    'cicadadoor_store_reads_ignored_total',
    'Reads of the store that were older than the copy, by topic.',
    ('topic',),
)
GENERATION = Gauge('cicadadoor_generation', 'Configuration generation in use.')
TASK_FAILURES = Counter(
    'cicadadoor_task_failures_total',
    'Faults of background tasks, by task.',
    ('task',),
)
DROPPED_MESSAGES = Counter(
    'cicadadoor_dropped_messages_total',
    'Messages between processes that were dropped, by reason.',
    ('reason',),
)


def exposition() -> bytes:
    """Return all metrics in the text format of Prometheus."""
    return generate_latest(REGISTRY)
