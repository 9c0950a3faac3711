"""Read and validate the settings of a daemon, a JSON5 file."""

import ipaddress
import math
from pathlib import Path
from typing import Any

import json5

from cicadadoor.errors import ErrorKind, Failure

_MAX_PORT = 65535
_NAME_MAX_LENGTH = 63
_MIN_RECLAIM_RATIO = 1.5
_LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')


class Address:
    """Hold an IP address and a port."""

    __slots__ = ('host_ip', 'port')

    def __init__(self, host_ip: str, port: int) -> None:
        self.host_ip = host_ip
        self.port = port

    def __str__(self) -> str:
        if ':' in self.host_ip:
            return f'[{self.host_ip}]:{self.port}'
        return f'{self.host_ip}:{self.port}'

    def is_loopback(self) -> bool:
        """Tell whether the address is reachable from this host only."""
        return ipaddress.ip_address(self.host_ip).is_loopback


class Settings:
    """Hold the settings of the daemons of one entry host."""

    __slots__ = (
        'agent_link',
        'agent_peers',
        'answer_ttl_ms',
        'callers',
        'callers_url',
        'failure_domain',
        'gate_peers',
        'grace_s',
        'host',
        'leave_margin_s',
        'log_level',
        'operators',
        'peer_ca_file',
        'peer_certificate_file',
        'platform_url',
        'region',
        'seat_isolation_s',
        'seat_reclaim_s',
        'seat_index',
        'seed_peers',
        'store_calls_per_s',
        'tls_certificate_file',
        'tls_key_file',
        'trace_sample_ratio',
    )

    def __init__(self, **fields: Any) -> None:
        for name in self.__slots__:
            setattr(self, name, fields[name])

    @property
    def stop_s(self) -> float:
        """Return how long a stop may take; only its phases have time limits."""
        return math.inf


class FieldRule:
    """Define how one field of a settings file is parsed and described."""

    __slots__ = ('allowed', 'default', 'parse', 'required')

    def __init__(
        self,
        parse: Any,
        allowed: str,
        default: Any = None,
        *,
        required: bool = False,
    ) -> None:
        self.parse = parse
        self.allowed = allowed
        self.default = default
        self.required = required


def load(path: str) -> Settings | Failure:
    """Read and validate a settings file; a failure names file, field and value."""
    fields = load_fields(path, _RULES)
    if isinstance(fields, Failure):
        return fields
    return _check_dependencies(path, Settings(**fields))


def load_fields(path: str, rules: dict[str, FieldRule]) -> dict[str, Any] | Failure:
    """Read a settings file and validate each field against its rule."""
    try:
        document = json5.loads(Path(path).read_text(encoding='utf-8'))
    except OSError as error:
        return _invalid(path, 'file', path, f'a readable file ({error.strerror})')
    except ValueError as error:
        return _invalid(path, 'file', path, f'JSON with comments ({error})')
    if not isinstance(document, dict):
        return _invalid(path, 'file', type(document).__name__, 'an object')
    return check_fields(path, document, rules)


def check_fields(
    path: str,
    document: dict[str, Any],
    rules: dict[str, FieldRule],
) -> dict[str, Any] | Failure:
    """Validate each field against its rule; a failure names field and value.

    A missing or null field has its default.
    """
    for name in document:
        if name not in rules:
            return _invalid(path, name, document[name], _suggest_field(name, rules))
    fields = {}
    for name, rule in rules.items():
        value = document.get(name)
        value = rule.default if value is None else value
        if value is None and rule.required:
            return _invalid(path, name, 'a missing value', f'{rule.allowed} (required)')
        parsed = None if value is None else rule.parse(value)
        if value is not None and parsed is None:
            return _invalid(path, name, value, rule.allowed)
        fields[name] = parsed
    return fields


def _check_dependencies(path: str, settings: Settings) -> Settings | Failure:
    if not settings.agent_link.is_loopback():
        return _invalid(path, 'agent_link', settings.agent_link, 'a loopback address')
    has_certificates = settings.peer_certificate_file and settings.peer_ca_file
    for name in ('agent_peers', 'gate_peers'):
        address = getattr(settings, name)
        if not address.is_loopback() and not has_certificates:
            return _invalid(
                path,
                name,
                address,
                'a loopback address, or peer_certificate_file and peer_ca_file set',
            )
    if not settings.operators.is_loopback() and not settings.tls_certificate_file:
        return _invalid(
            path,
            'operators',
            settings.operators,
            'a loopback address, or tls_certificate_file set',
        )
    return _check_seat_times(path, settings)


def _check_seat_times(path: str, settings: Settings) -> Settings | Failure:
    # The margin covers the rounds of messages in which hosts learn of each other.
    min_s = settings.seat_isolation_s * _MIN_RECLAIM_RATIO
    if settings.seat_reclaim_s < min_s:
        return _invalid(
            path,
            'seat_reclaim_s',
            settings.seat_reclaim_s,
            f'at least {_MIN_RECLAIM_RATIO} times seat_isolation_s, here {min_s}',
        )
    return settings


def _invalid(path: str, field: str, value: Any, allowed: str) -> Failure:
    return Failure(
        ErrorKind.SETTINGS_INVALID,
        f'{path}: {field}: {value!s} is not allowed; allowed: {allowed}',
    )


def _suggest_field(name: str, rules: dict[str, FieldRule]) -> str:
    stem = name.rsplit('_', 1)[0]
    similar = [known for known in rules if known.rsplit('_', 1)[0] == stem]
    if similar:
        return f'field {similar[0]} (check the unit)'
    known_fields = ', '.join(sorted(rules))
    return f'one of the fields {known_fields}'


def parse_address(value: Any) -> Address | None:
    """Parse an IP address and a port, or return None."""
    if not isinstance(value, str):
        return None
    host_ip, separator, port_text = value.rpartition(':')
    if not separator or not port_text.isdecimal():
        return None
    host_ip = host_ip.removeprefix('[').removesuffix(']')
    try:
        ipaddress.ip_address(host_ip)
    except ValueError:
        return None
    port = int(port_text)
    return Address(host_ip, port) if 0 < port <= _MAX_PORT else None


def _parse_addresses(value: Any) -> list[Address] | None:
    if not isinstance(value, list):
        return None
    addresses = [parse_address(entry) for entry in value]
    return None if None in addresses else addresses


def parse_name(value: Any) -> str | None:
    """Parse a name of lower-case letters, digits and hyphens, or return None."""
    if not isinstance(value, str) or not 0 < len(value) <= _NAME_MAX_LENGTH:
        return None
    letters = value.replace('-', '')
    is_plain = letters.isascii() and letters.isalnum() and value == value.lower()
    return value if is_plain else None


def _parse_url(value: Any) -> str | None:
    if isinstance(value, str) and value.startswith(('http://', 'https://')):
        return value.rstrip('/')
    return None


def _parse_path(value: Any) -> str | None:
    return value if isinstance(value, str) and Path(value).is_file() else None


def parse_log_level(value: Any) -> str | None:
    """Parse the name of a log level, or return None."""
    return value if value in _LOG_LEVELS else None


def number_between(low: float, high: float) -> Any:
    """Return a parser that accepts numbers within the bounds."""

    def parse(value: Any) -> float | None:
        if isinstance(value, bool) or not isinstance(value, int | float):
            return None
        return value if low <= value <= high else None

    return parse


def _parse_index(value: Any) -> int | None:
    is_number = isinstance(value, int) and not isinstance(value, bool)
    return value if is_number and value >= 0 else None


NAME_ALLOWED = 'lower-case letters, digits and hyphens, at most 63'
ADDRESS_ALLOWED = 'IP address and port, such as "127.0.0.1:8080"'
_URL_ALLOWED = 'a URL that starts with http:// or https://'
_PATH_ALLOWED = 'the path of a file that exists'

_RULES = {
    'host': FieldRule(parse_name, NAME_ALLOWED, required=True),
    'region': FieldRule(parse_name, NAME_ALLOWED, required=True),
    'failure_domain': FieldRule(parse_name, NAME_ALLOWED, required=True),
    'platform_url': FieldRule(_parse_url, _URL_ALLOWED, required=True),
    'callers': FieldRule(parse_address, ADDRESS_ALLOWED, required=True),
    'callers_url': FieldRule(_parse_url, _URL_ALLOWED, required=True),
    'gate_peers': FieldRule(parse_address, ADDRESS_ALLOWED, required=True),
    'agent_link': FieldRule(parse_address, ADDRESS_ALLOWED, required=True),
    'agent_peers': FieldRule(parse_address, ADDRESS_ALLOWED, required=True),
    'operators': FieldRule(parse_address, ADDRESS_ALLOWED, required=True),
    'seed_peers': FieldRule(_parse_addresses, f'a list of {ADDRESS_ALLOWED}', []),
    'seat_index': FieldRule(
        _parse_index,
        'a whole number from 0',
        0,
    ),
    'answer_ttl_ms': FieldRule(
        number_between(100, 600_000),
        'milliseconds from 100 to 600000',
        5000,
    ),
    'grace_s': FieldRule(
        number_between(0, 3600),
        'seconds from 0 to 3600',
        30,
    ),
    # Time for the notice that a host leaves to reach the gates of all domains.
    'leave_margin_s': FieldRule(
        number_between(0, 600),
        'seconds from 0 to 600',
        10,
    ),
    'seat_isolation_s': FieldRule(
        number_between(1, 86_400),
        'seconds from 1 to 86400',
        1800,
    ),
    'seat_reclaim_s': FieldRule(
        number_between(1, 172_800),
        'seconds from 1 to 172800',
        3600,
    ),
    'store_calls_per_s': FieldRule(
        number_between(0.1, 1000),
        'calls per second from 0.1 to 1000',
        20,
    ),
    'trace_sample_ratio': FieldRule(
        number_between(0, 1),
        'a number from 0 to 1',
        0.01,
    ),
    'log_level': FieldRule(parse_log_level, 'DEBUG, INFO, WARNING or ERROR', 'INFO'),
    'tls_certificate_file': FieldRule(_parse_path, _PATH_ALLOWED),
    'tls_key_file': FieldRule(_parse_path, _PATH_ALLOWED),
    'peer_certificate_file': FieldRule(_parse_path, _PATH_ALLOWED),
    'peer_ca_file': FieldRule(_parse_path, _PATH_ALLOWED),
}
