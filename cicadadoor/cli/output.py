"""Print results as text or, with --json, as JSON."""

import sys
from typing import Any

import msgspec

from cicadadoor.errors import ErrorKind, ExitStatus, Failure

_EXIT_BY_KIND = {
    ErrorKind.CONFIG_INVALID: ExitStatus.INVALID,
    ErrorKind.BAD_REQUEST: ExitStatus.USAGE,
    ErrorKind.CONFIG_CONFLICT: ExitStatus.CONFLICT,
    ErrorKind.STORE_CONFLICT: ExitStatus.CONFLICT,
    ErrorKind.OPERATION_HELD: ExitStatus.CONFLICT,
    ErrorKind.CAP_EXCEEDED: ExitStatus.CONFLICT,
    ErrorKind.MEASUREMENTS_STALE: ExitStatus.CONFLICT,
    ErrorKind.STORE_UNAVAILABLE: ExitStatus.UNAVAILABLE,
    ErrorKind.PEER_UNREACHABLE: ExitStatus.UNAVAILABLE,
    ErrorKind.STORE_OUTCOME_UNKNOWN: ExitStatus.UNKNOWN,
    ErrorKind.TIMED_OUT: ExitStatus.NOT_EVERYWHERE,
}


class Output:
    """Write results to standard output and messages to standard error."""

    __slots__ = ('_as_json',)

    def __init__(self, *, as_json: bool) -> None:
        self._as_json = as_json

    def result(self, lines: list[str], **fields: Any) -> None:
        """Write the lines, or the fields as one JSON object."""
        if self._as_json:
            sys.stdout.write(f'{msgspec.json.encode(fields).decode()}\n')
            return
        for line in lines:
            sys.stdout.write(f'{line}\n')

    def fail(self, failure: Failure, advice: str = '') -> ExitStatus:
        """Write the failure and return its exit code."""
        text = f'{failure.reason}; {advice}' if advice else failure.reason
        sys.stderr.write(f'error: {text}\n')
        if self._as_json:
            body = {'error': failure.kind.value, 'detail': text}
            sys.stdout.write(f'{msgspec.json.encode(body).decode()}\n')
        return _EXIT_BY_KIND.get(failure.kind, ExitStatus.ERROR)

    def warn(self, failure: Failure, advice: str) -> ExitStatus:
        """Write the failure as a warning after a result and return its exit code."""
        sys.stderr.write(f'warning: {failure.reason}; {advice}\n')
        return _EXIT_BY_KIND.get(failure.kind, ExitStatus.ERROR)

    def sections(self, generation: int, contents: dict[str, bytes]) -> None:
        """Write sections of the configuration as indented or plain JSON."""
        if self._as_json:
            body = {
                'generation': generation,
                'sections': {
                    name: msgspec.Raw(content) for name, content in contents.items()
                },
            }
            sys.stdout.write(f'{msgspec.json.encode(body).decode()}\n')
            return
        for name, content in sorted(contents.items()):
            text = msgspec.json.format(content, indent=2).decode()
            sys.stdout.write(f'section {name}\n{text}\n')
