"""Test that spans are recorded only if sampling or the caller requests it."""

import pytest
from opentelemetry import trace

from cicadadoor.telemetry import tracing


@pytest.fixture(autouse=True)
def _restore_sampling():
    yield
    tracing.configure('test', 1)


class TestSampling:
    """Guard against the cost of spans that are not sampled."""

    def test_nothing_is_recorded_without_sampling(self):
        tracing.configure('test', 0)
        with tracing.record_span('entry') as span:
            assert span is trace.INVALID_SPAN

    def test_trace_of_the_caller_continues_without_sampling(self):
        tracing.configure('test', 0)
        parent = '00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01'
        with tracing.record_span('gate', {'traceparent': parent}) as span:
            context = span.get_span_context()
            assert f'{context.trace_id:032x}' == '0af7651916cd43dd8448eb211c80319c'
            with tracing.record_span('backend_server') as inner:
                assert inner.get_span_context().trace_id == context.trace_id
