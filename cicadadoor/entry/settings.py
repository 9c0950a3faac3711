"""Load and validate the settings of an entry host (JSON with comments)."""

from typing import Any

from cicadadoor import settings as shared
from cicadadoor.errors import Failure
from cicadadoor.kernel import CLOSE_RESERVE_S
from cicadadoor.settings import FieldRule

# Reserved at the end for responses to aborted requests and for closing connections.
_SHUTDOWN_RESERVE_S = 0.65
_LEAVE_FRACTION = 0.56
# A core forwards about 300 requests per second; at 20 KB each these fill 50 Mbit/s.
_MBPS_PER_CORE = 50
# However long the stop may take: requests that are taken later may last longer than the
# rest of it, and would be cut while a backend server runs them.
_MAX_LEAVE_S = 2.95


class EntrySettings:
    """Hold the settings of one entry host."""

    __slots__ = (
        'callers',
        'cold_overrun',
        'cold_slack',
        'cores',
        'directory',
        'directory_ttl_max_s',
        'failure_domain',
        'host',
        'kill_after_s',
        'link_mbps',
        'log_level',
        'max_descriptors',
        'memory_mb',
        'metrics',
        'path',
        'peers',
        'quota_overrun',
        'quota_slack',
        'readiness',
        'region',
        'region_of_domain',
        'retry_ratio',
        'retry_slack',
        'store',
        'trace_sample_ratio',
    )

    def __init__(self, path: str, **fields: Any) -> None:
        self.path = path
        for name, content in fields.items():
            setattr(self, name, content)

    @property
    def leave_s(self) -> float:
        """Return how long callers are still served after SIGTERM, in seconds.

        Clients cache a directory answer for up to three times its `ttl_s`.
        """
        serving_s = self.kill_after_s - _SHUTDOWN_RESERVE_S
        return min(_MAX_LEAVE_S, serving_s * _LEAVE_FRACTION)

    @property
    def capacity(self) -> float:
        """Return the host's capacity for requests, in cores."""
        return round(min(self.cores, self.link_mbps / _MBPS_PER_CORE), 3)

    @property
    def grace_s(self) -> float:
        """Return how long requests in flight may take after `leave_s`, in seconds."""
        return self.kill_after_s - _SHUTDOWN_RESERVE_S - self.leave_s

    @property
    def stop_s(self) -> float:
        """Return how long a stop may take until the process ends, in seconds."""
        return self.leave_s + self.grace_s + CLOSE_RESERVE_S

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or an empty string if unknown."""
        return self.region_of_domain.get(failure_domain, '')


def load(path: str) -> EntrySettings | Failure:
    """Load and validate a settings file; a failure names file, field and value."""
    return _build(path, shared.load_fields(path, _RULES))


def check(path: str, document: dict[str, Any]) -> EntrySettings | Failure:
    """Validate settings that are already parsed."""
    return _build(path, shared.check_fields(path, document, _RULES))


def _build(path: str, fields: dict[str, Any] | Failure) -> EntrySettings | Failure:
    if isinstance(fields, Failure):
        return fields
    # The template language has no arithmetic, so the share is a field of its own.
    fields['cores'] *= fields.pop('cpu_share')
    return EntrySettings(path, **fields)


def _parse_regions(given: Any) -> dict[str, str] | None:
    if not isinstance(given, dict):
        return None
    is_text = all(isinstance(part, str) for pair in given.items() for part in pair)
    return given if given and is_text else None


_NAME = FieldRule(shared.parse_name, shared.NAME_ALLOWED, required=True)
_ADDRESS = FieldRule(shared.parse_address, shared.ADDRESS_ALLOWED, required=True)

_RULES = {
    'host': _NAME,
    'failure_domain': _NAME,
    'region': _NAME,
    'region_of_domain': FieldRule(
        _parse_regions,
        'a non-empty object that maps failure domains to regions',
        required=True,
    ),
    'callers': _ADDRESS,
    'readiness': _ADDRESS,
    'directory': _ADDRESS,
    'peers': _ADDRESS,
    'metrics': _ADDRESS,
    'store': _ADDRESS,
    # Time between SIGTERM and SIGKILL.
    'kill_after_s': FieldRule(
        shared.number_between(1, 3600),
        'seconds from 1 to 3600',
        6,
    ),
    # Maximum retries of a service's requests, as a fraction of its requests.
    'retry_ratio': FieldRule(
        shared.number_between(0, 1),
        'a number from 0 to 1',
        0.2,
    ),
    # Retries of a service's requests beyond the ratio, across all hosts.
    'retry_slack': FieldRule(
        shared.number_between(0, 10_000),
        'requests from 0 to 10000',
        50,
    ),
    # Across all hosts, an organisation may exceed its limit by this fraction of it,
    # plus the slack.
    'quota_overrun': FieldRule(
        shared.number_between(0, 1),
        'a number from 0 to 1',
        0.1,
    ),
    'quota_slack': FieldRule(
        shared.number_between(0, 10_000),
        'requests from 0 to 10000',
        20,
    ),
    # A cold backend server may get its rate times the overrun, plus the slack.
    'cold_overrun': FieldRule(
        shared.number_between(1, 10),
        'a number from 1 to 10',
        1.5,
    ),
    'cold_slack': FieldRule(
        shared.number_between(0, 1000),
        'requests from 0 to 1000',
        5,
    ),
    'directory_ttl_max_s': FieldRule(
        shared.number_between(1, 600),
        'seconds from 1 to 600',
        5,
    ),
    'trace_sample_ratio': FieldRule(
        shared.number_between(0, 1),
        'a number from 0 to 1',
        0,
    ),
    # Memory of the machine; the platform kills a process that exceeds it.
    'memory_mb': FieldRule(
        shared.number_between(64, 1_000_000),
        'megabytes from 64 to 1000000',
        300,
    ),
    # Open file descriptors of the process; 200 of them are for files.
    'max_descriptors': FieldRule(
        shared.number_between(256, 10_000_000),
        'descriptors from 256 to 10000000',
        4100,
    ),
    'link_mbps': FieldRule(
        shared.number_between(0.1, 1_000_000),
        'megabits per second from 0.1 to 1000000',
        1000,
    ),
    'cores': FieldRule(
        shared.number_between(0.01, 10_000),
        'cores from 0.01 to 10000',
        1,
    ),
    # Share of the machine's cores that the process may use.
    'cpu_share': FieldRule(
        shared.number_between(0.01, 1),
        'a number from 0.01 to 1',
        1,
    ),
    'log_level': FieldRule(
        shared.parse_log_level,
        'DEBUG, INFO, WARNING or ERROR',
        'INFO',
    ),
}
