"""Capture the log lines of the code under test."""

from collections.abc import Iterator
from contextlib import contextmanager

from loguru import logger


@contextmanager
def captured_logs() -> Iterator[list[str]]:
    """Collect the lines logged while the context is open."""
    lines: list[str] = []
    sink = logger.add(lines.append, format='{message}', level='DEBUG')
    try:
        yield lines
    finally:
        logger.remove(sink)
