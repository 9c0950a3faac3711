"""Record spans and propagate the trace context."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    SimpleSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBasedTraceIdRatio
from opentelemetry.trace import Span
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

from cicadadoor.telemetry import logs

log = logs.logger('trace')
_propagator = TraceContextTextMapPropagator()
_NS_PER_US = 1000


class _Sampling:
    """Hold whether any new traces are sampled."""

    is_on = True


_sampling = _Sampling()


class LogSpanExporter(SpanExporter):
    """Write each finished span as a log line."""

    def export(self, spans: 'tuple[ReadableSpan, ...]') -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            _log_span(span)
        return SpanExportResult.SUCCESS


def configure(process: str, sample_ratio: float) -> None:
    """Sample a ratio of new traces; the caller's sampling decision takes precedence."""
    _sampling.is_on = sample_ratio > 0
    provider = TracerProvider(
        resource=Resource.create({'service.name': process}),
        sampler=ParentBasedTraceIdRatio(sample_ratio),
    )
    provider.add_span_processor(SimpleSpanProcessor(LogSpanExporter()))
    trace.set_tracer_provider(provider)


@contextmanager
def record_span(name: str, headers: Mapping[str, str] | None = None) -> Iterator[Span]:
    """Record a span, as a child of the trace context in the headers if there is one."""
    if not _sampling.is_on and headers is None and not _is_in_trace():
        yield trace.INVALID_SPAN
        return
    context = _propagator.extract(headers) if headers else None
    tracer = trace.get_tracer('cicadadoor')
    with tracer.start_as_current_span(name, context=context) as span:
        yield span


def _is_in_trace() -> bool:
    return trace.get_current_span().get_span_context().is_valid


def inject(headers: dict[str, str]) -> None:
    """Add the current trace context to outgoing headers."""
    _propagator.inject(headers)


def _log_span(span: ReadableSpan) -> None:
    context = span.context
    started_ns = span.start_time or 0
    ended_ns = span.end_time or started_ns
    log.info(
        'span',
        name=span.name,
        trace_id=f'{context.trace_id:032x}',
        span_id=f'{context.span_id:016x}',
        parent_id=f'{span.parent.span_id:016x}' if span.parent else '-',
        duration_us=(ended_ns - started_ns) // _NS_PER_US,
        **{str(name): value for name, value in (span.attributes or {}).items()},
    )
