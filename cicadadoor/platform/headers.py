"""Convert between the platform's HTTP headers and the entry host's messages."""

import re
from collections.abc import Sequence
from http.cookies import CookieError, SimpleCookie

from cicadadoor.entry.messages import (
    CallerRequest,
    FlowControl,
    LoadReport,
    ResponseHead,
)

Headers = Sequence[tuple[bytes, bytes]]

_MS_PER_S = 1000
_AFFINITY_COOKIE = 'Affinity-Key'
_BEARER = b'bearer '
_LOAD_FIELDS = 3
# The fourth figure is how long work takes now, in per cent of the usual time. Later
# figures are not known yet and are ignored.
_USUAL_PERCENT = 100
_MAX_LOAD_BYTES = 128
_DECIMAL = re.compile(rb'[0-9]+(\.[0-9]*)?|\.[0-9]+')
_MAX_DECIMAL_BYTES = 32
# Hop-by-hop headers, the API key, and headers that this host sets itself.
_NOT_FORWARDED = frozenset(
    (
        b'authorization',
        b'connection',
        b'content-length',
        b'deadline-ms',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'target-instance',
        b'te',
        b'tenant',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
_NOT_RETURNED = frozenset(
    (
        b'connection',
        b'content-length',
        b'keep-alive',
        b'proxy-connection',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


def read_request(method: str, target: bytes, headers: Headers) -> CallerRequest:
    """Parse the head of a caller's request."""
    fields = {name.lower(): text for name, text in headers}
    cookies = b'; '.join(text for name, text in headers if name.lower() == b'cookie')
    hop_by_hop = _split_list(fields.get(b'connection', b''))
    forwarded = [
        (name, text)
        for name, text in headers
        if name.lower() not in _NOT_FORWARDED and name.lower() not in hop_by_hop
    ]
    return CallerRequest(
        request_id=fields.get(b'attempt-id', b'').decode('latin-1'),
        method=method,
        target=target,
        host_name=_parse_host_name(fields.get(b'host', b'')),
        affinity_key=_parse_affinity_key(cookies),
        api_key=_parse_api_key(fields.get(b'authorization', b'')),
        deadline_ms=_parse_int(fields.get(b'deadline-ms', b'')),
        headers=forwarded,
    )


def backend_headers(
    request: CallerRequest,
    *,
    left_ms: int,
    instance_id: str,
    organisation: str,
    body_bytes: int,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request to a backend server."""
    headers = list(request.headers)
    headers.append((b'Deadline-Ms', str(left_ms).encode()))
    headers.append((b'Target-Instance', instance_id.encode('latin-1')))
    if organisation:
        headers.append((b'Tenant', organisation.encode('latin-1')))
    if body_bytes or request.method not in {'GET', 'HEAD', 'OPTIONS', 'DELETE'}:
        headers.append((b'Content-Length', str(body_bytes).encode()))
    return headers


def read_response(status: int, headers: Headers) -> ResponseHead:
    """Parse the head of a backend server's response."""
    fields = {name.lower(): text for name, text in headers}
    hop_by_hop = _split_list(fields.get(b'connection', b''))
    return ResponseHead(
        status=status,
        request_id=fields.get(b'attempt-id', b'').decode('latin-1'),
        is_signed=b'response-signature' in fields,
        is_not_run=b'not-executed' in fields,
        is_encoded=fields.get(b'content-encoding', b'identity') != b'identity',
        instance_id=fields.get(b'instance-id', b'').decode('latin-1'),
        flow_control=FlowControl(
            load=_parse_load(fields.get(b'server-load', b'')),
            rate_limit_per_s=_parse_decimal(fields.get(b'server-limit', b'')),
            retry_after_s=_parse_decimal(fields.get(b'retry-after', b'')),
            is_leaving=fields.get(b'server-leaving', b'').strip() == b'1',
        ),
        idle_limit_s=_parse_idle_limit_s(fields.get(b'keep-alive', b'')),
        is_last=b'close' in hop_by_hop,
        headers=[
            (name, text)
            for name, text in headers
            if name.lower() not in _NOT_RETURNED and name.lower() not in hop_by_hop
        ],
    )


def retry_after(delay_s: float) -> tuple[bytes, bytes]:
    """Return the Retry-After header for a delay."""
    return (b'retry-after', f'{delay_s:.3f}'.encode())


def _split_list(text: bytes) -> frozenset[bytes]:
    return frozenset(part.strip().lower() for part in text.split(b','))


def _parse_host_name(text: bytes) -> str:
    return text.decode('latin-1').partition(':')[0].lower()


def _parse_affinity_key(cookies: bytes) -> str:
    if not cookies:
        return ''
    try:
        jar = SimpleCookie(cookies.decode('latin-1'))
    except CookieError:
        return ''
    morsel = jar.get(_AFFINITY_COOKIE)
    return morsel.value if morsel else ''


def _parse_api_key(text: bytes) -> str:
    if text[: len(_BEARER)].lower() != _BEARER:
        return ''
    return text[len(_BEARER) :].strip().decode('latin-1')


def _parse_int(text: bytes) -> int | None:
    return int(text) if text.isdigit() else None


def _parse_decimal(text: bytes) -> float | None:
    if len(text) > _MAX_DECIMAL_BYTES or not _DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def _parse_load(text: bytes) -> LoadReport | None:
    parts = [part.strip() for part in text.split(b',')]
    if len(text) > _MAX_LOAD_BYTES or len(parts) < _LOAD_FIELDS:
        return None
    if not all(part.isdigit() for part in parts[:_LOAD_FIELDS]):
        return None
    running, queued, slots = (int(part) for part in parts[:_LOAD_FIELDS])
    slowdown = _parse_slowdown(parts[_LOAD_FIELDS:])
    return LoadReport(running, queued, slots, slowdown)


def _parse_slowdown(parts: list[bytes]) -> float | None:
    percent = _parse_decimal(parts[0]) if parts else None
    # A machine that takes no time at all would attract every request.
    return percent / _USUAL_PERCENT if percent else None


def _parse_idle_limit_s(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, number = part.strip().partition(b'=')
        if name.lower() == b'timeout' and number.isdigit():
            return float(number)
    return None
