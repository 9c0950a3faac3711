"""Write one line of key=value pairs for each event."""

import sys
from typing import Any

from loguru import logger as _loguru

_FORMAT = (
    'time={time:YYYY-MM-DDTHH:mm:ss.SSSZZ} level={level.name} '
    'part={extra[part]} {message}\n'
)
_NEEDS_QUOTES = frozenset(' "=\n\r\t')
_HIDDEN_FIELDS = frozenset(('key', 'api_key', 'authorization', 'secret'))


def configure(level: str) -> None:
    """Send log lines of the level and above to standard error."""
    _loguru.remove()
    _loguru.add(sys.stderr, level=level, format=_layout, colorize=False)


class EventLogger:
    """Log events of one part of the system."""

    __slots__ = ('_logger',)

    def __init__(self, part: str) -> None:
        self._logger = _loguru.bind(part=part)

    def debug(self, event: str, **fields: Any) -> None:
        """Log an event of interest while debugging."""
        self._logger.opt(depth=1).debug(_line(event, fields))

    def info(self, event: str, **fields: Any) -> None:
        """Log an ordinary event."""
        self._logger.opt(depth=1).info(_line(event, fields))

    def warning(self, event: str, **fields: Any) -> None:
        """Log an event that an operator may have to act on."""
        self._logger.opt(depth=1).warning(_line(event, fields))

    def exception(self, event: str, **fields: Any) -> None:
        """Log an unexpected error with the place where it was raised."""
        error = sys.exc_info()[1]
        fields['error'] = f'{type(error).__name__}: {error}'
        fields['at'] = _place(error)
        self._logger.opt(depth=1).error(_line(event, fields))


def logger(part: str) -> EventLogger:
    """Return the logger of a part."""
    return EventLogger(part)


def _layout(record: Any) -> str:
    record['extra'].setdefault('part', 'library')
    return _FORMAT


def _line(event: str, fields: dict[str, Any]) -> str:
    pairs = [f'event={event}']
    pairs.extend(f'{name}={_text(name, content)}' for name, content in fields.items())
    return ' '.join(pairs)


def _text(name: str, content: Any) -> str:
    if name in _HIDDEN_FIELDS:
        return '[hidden]'
    text = str(content)
    if text and _NEEDS_QUOTES.isdisjoint(text):
        return text
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    one_line = escaped.replace('\n', '\\n').replace('\r', '\\r')
    return f'"{one_line}"'


def _place(error: BaseException | None) -> str:
    trace = error.__traceback__ if error else None
    if trace is None:
        return 'unknown'
    while trace.tb_next:
        trace = trace.tb_next
    return f'{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}'
