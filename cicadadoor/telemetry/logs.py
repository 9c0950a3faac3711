"""Write one line of key=value pairs for each event."""

import os
import sys
import time
from typing import Any, TextIO

from loguru import logger as _loguru

_FORMAT = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} '
    'part={extra[part]} {message}\n'
)
_QUOTED_CHARACTERS = frozenset(' "=\n\r\t')
# A host that serves 50 requests/s logs one line for each; the limit is twice that.
_LINES_PER_S = 100.0
_BURST_LINES = 200.0
# Writes of up to 4096 bytes (PIPE_BUF) to a pipe are atomic.
_MAX_LINE_BYTES = 4000
_UNKNOWN_EVENT = 'other'
_SECRET_FIELDS = frozenset(('key', 'api_key', 'authorization', 'secret'))


def configure(level: str, stream: TextIO | None = None) -> None:
    """Write log lines of at least this level to a stream, by default standard error."""
    _loguru.remove()
    _loguru.add(
        stream or sys.stderr, level=level, format=_format_record, colorize=False
    )


def configure_bounded(level: str, descriptor: int) -> None:
    """Write log lines to a file descriptor without blocking on its reader.

    Each event has its own rate limit. The next line of the event that is written
    tells how many were dropped before it.
    """
    os.set_blocking(descriptor, False)
    _loguru.remove()
    _loguru.add(
        BoundedSink(descriptor), level=level, format=_format_record, colorize=False
    )


class _TokenBucket:
    __slots__ = ('dropped', 'refilled_s', 'tokens')

    def __init__(self, now_s: float) -> None:
        self.tokens = _BURST_LINES
        self.refilled_s = now_s
        self.dropped = 0

    def try_take(self, now_s: float) -> bool:
        elapsed_s = now_s - self.refilled_s
        self.refilled_s = now_s
        self.tokens = min(_BURST_LINES, self.tokens + elapsed_s * _LINES_PER_S)
        if self.tokens < 1:
            self.dropped += 1
            return False
        self.tokens -= 1
        return True


class BoundedSink:
    """Write lines with a rate limit per event; drop lines that cannot be written."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buckets: dict[str, _TokenBucket] = {}
        self.dropped_writes = 0

    def write(self, message: str) -> None:
        """Write one line, or count it as dropped."""
        event = _event_of(message)
        now_s = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = _TokenBucket(now_s)
            self._buckets[event] = bucket
        if not bucket.try_take(now_s):
            return
        if bucket.dropped:
            message = f'{message.rstrip()} dropped_before={bucket.dropped}\n'
            bucket.dropped = 0
        self._write_line(message)

    def _write_line(self, message: str) -> None:
        encoded = message.encode(errors='replace')
        if len(encoded) > _MAX_LINE_BYTES:
            encoded = encoded[:_MAX_LINE_BYTES] + b'\n'
        try:
            os.write(self._descriptor, encoded)
        except OSError:
            # The reader is slow or ended; a line about it could not be written either.
            self.dropped_writes += 1


class EventLogger:
    """Log events of one part of the system."""

    __slots__ = ('_logger',)

    def __init__(self, part: str) -> None:
        self._logger = _loguru.bind(part=part)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event of interest while debugging."""
        self._logger.opt(depth=1).debug(_format_line(event, fields))

    def info(self, event: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self._logger.opt(depth=1).info(_format_line(event, fields))

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may have to act on."""
        self._logger.opt(depth=1).warning(_format_line(event, fields))

    def exception(self, event: str, **fields: Any) -> None:
        """Log an unexpected error with the location where it was raised."""
        causes = _leaf_errors(sys.exc_info()[1])
        first = causes[0]
        fields['error'] = f'{type(first).__name__}: {first}'
        fields['at'] = _location_of(first)
        if len(causes) > 1:
            fields['errors'] = len(causes)
        self._logger.opt(depth=1).error(_format_line(event, fields))


def logger(part: str) -> EventLogger:
    """Return the logger of a part."""
    return EventLogger(part)


def _event_of(message: str) -> str:
    _, _, rest = message.partition(' event=')
    return rest.partition(' ')[0] or _UNKNOWN_EVENT


def _format_record(record: Any) -> str:
    record['extra'].setdefault('part', 'library')
    return _FORMAT


def _format_line(event: str, fields: dict[str, Any]) -> str:
    pairs = [f'event={event}']
    pairs.extend(
        f'{name}={_format_value(name, value)}' for name, value in fields.items()
    )
    return ' '.join(pairs)


def _format_value(name: str, value: Any) -> str:
    if name in _SECRET_FIELDS:
        return '[hidden]'
    text = str(value)
    if text and _QUOTED_CHARACTERS.isdisjoint(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    one_line = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{one_line}"'


def _leaf_errors(error: BaseException | None) -> list[BaseException | None]:
    """Return the errors inside a group; its own text names no cause or location."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [cause for inner in error.exceptions for cause in _leaf_errors(inner)]


def _location_of(error: BaseException | None) -> str:
    trace = error.__traceback__ if error else None
    if trace is None:
        return 'unknown'
    while trace.tb_next:
        trace = trace.tb_next
    return f'{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}'
