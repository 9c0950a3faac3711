"""Reconstruct the events of one request from collected log files."""

import re
from pathlib import Path

from cicadadoor.cli.output import Output
from cicadadoor.errors import ErrorKind, ExitStatus, Failure

_FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Events that change the state from which a host decides about requests. The last
# ones before a request explain its outcome.
_STATE_EVENTS = frozenset(
    (
        'backend_draining',
        'backend_gone',
        'backend_known',
        'backend_missing',
        'backend_paused',
        'copy_adopted',
        'evacuations_changed',
        'host_gone',
        'host_heard',
        'policy_applied',
        'started',
        'stopping',
        'store_lost',
        'store_regained',
        'was_suspended',
    )
)
_REQUEST_EVENTS = frozenset(
    ('attempt_failed', 'request_answered', 'request_failed', 'request_refused')
)
_MAX_STATE_EVENTS = 12


class LogLine:
    """Hold one parsed log line and the name of its file."""

    __slots__ = ('fields', 'source', 'text')

    def __init__(self, source: str, text: str) -> None:
        self.source = source
        self.text = text
        self.fields = {
            name: content.strip('"') for name, content in _FIELD.findall(text)
        }

    @property
    def event(self) -> str:
        """Return the event's name."""
        return self.fields.get('event', '')


def explain(output: Output, request_id: str, files: tuple[str, ...]) -> ExitStatus:
    """Print the events of a request and the preceding state events of its host."""
    if not files:
        return output.fail(
            Failure(ErrorKind.BAD_REQUEST, 'no log file is given; name one or more')
        )
    try:
        lines = _read_log_lines(files)
    except OSError as error:
        return output.fail(Failure(ErrorKind.BAD_REQUEST, str(error)))
    request_lines = [
        line
        for line in lines
        if line.event in _REQUEST_EVENTS and line.fields.get('request_id') == request_id
    ]
    if not request_lines:
        return output.fail(_not_found_failure(request_id, lines))
    state_lines = _find_state_lines(lines, request_lines[-1])
    printed = ['state of the host before the request, oldest event first:']
    printed.extend(f'  {line.text}' for line in state_lines)
    printed.append('events of the request:')
    printed.extend(f'  {line.text}' for line in request_lines)
    output.result(
        printed,
        request=[line.fields for line in request_lines],
        beliefs=[line.fields for line in state_lines],
    )
    return ExitStatus.SUCCESS


def _read_log_lines(files: tuple[str, ...]) -> list[LogLine]:
    lines: list[LogLine] = []
    for name in files:
        content = Path(name).read_text(encoding='utf-8', errors='replace')
        lines.extend(LogLine(name, text) for text in content.splitlines())
    return lines


def _find_state_lines(lines: list[LogLine], last: LogLine) -> list[LogLine]:
    """Return the last state events in the file before the request that concern it."""
    servers = set(last.fields.get('backend_servers', '').split(','))
    found = []
    for line in lines:
        if line is last:
            break
        if line.source != last.source or line.event not in _STATE_EVENTS:
            continue
        server = line.fields.get('backend_server')
        if server is None or server in servers:
            found.append(line)
    return found[-_MAX_STATE_EVENTS:]


def _not_found_failure(request_id: str, lines: list[LogLine]) -> Failure:
    dropped = sum(
        int(line.fields.get('dropped_before', 0))
        for line in lines
        if line.event in _REQUEST_EVENTS
    )
    reason = f'request {request_id!r} not found in {len(lines)} log lines'
    if dropped:
        reason += f'; {dropped} request log lines were dropped under load'
    else:
        reason += '; it reached none of these hosts, or its headers could not be parsed'
    return Failure(ErrorKind.STORE_NOT_FOUND, reason)
