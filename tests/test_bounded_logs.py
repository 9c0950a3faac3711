"""Test that logging never blocks a daemon."""

import os

import pytest

from cicadadoor.telemetry.logs import BoundedSink, logger
from tests.utils.logs import captured_logs


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def line(event: str, text: str = '') -> str:
    return f'time=1 level=INFO part=entry event={event} {text}\n'


class TestBoundedSink:
    """Test log lines that are written to a pipe."""

    def test_line_is_written(self, pipe):
        reader, writer = pipe
        BoundedSink(writer).write(line('request_failed'))
        assert os.read(reader, 100) == line('request_failed').encode()

    def test_flood_of_one_event_leaves_room_for_others(self, pipe):
        reader, writer = pipe
        sink = BoundedSink(writer)
        for _ in range(1000):
            sink.write(line('request_failed'))
        sink.write(line('store_lost'))
        written = os.read(reader, 1_000_000)
        assert written.count(b'request_failed') < 400
        assert b'store_lost' in written

    def test_unread_pipe_does_not_block_the_writer(self, pipe):
        _, writer = pipe
        sink = BoundedSink(writer)
        for number in range(300):
            sink.write(line(f'event_{number}', 'x' * 3000))
        assert sink.dropped_writes > 0

    def test_long_line_is_truncated(self, pipe):
        reader, writer = pipe
        BoundedSink(writer).write(line('request_failed', 'x' * 10_000))
        assert len(os.read(reader, 100_000)) <= 4001


class TestExceptions:
    """Test that log lines name the cause of an exception."""

    def test_exception_group_does_not_hide_the_cause(self):
        with captured_logs() as lines:
            try:
                raise ExceptionGroup(
                    'unhandled errors in a TaskGroup',
                    [ExceptionGroup('inner', [OSError('busy'), ValueError('other')])],
                )
            except ExceptionGroup:
                logger('kernel').exception('ended_by_fault')
        assert 'error="OSError: busy"' in lines[0]
        assert 'errors=2' in lines[0]
