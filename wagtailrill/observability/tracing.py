"""Traces with a span per hop, carried by W3C trace context."""

import json
import sys
from collections.abc import Sequence
from typing import Any, TextIO

import attrs
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..core.headers import TRACE_HEADER
from ..core.orders import AttemptResult, CallerRequest, Order

HEX_TRACE_ID_DIGITS = 32
HEX_SPAN_ID_DIGITS = 16


class JsonSpanExporter(SpanExporter):
    """Writes finished spans as JSON lines."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stderr

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._stream.write(json.dumps(_fields(span)) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS


def _fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.get_span_context()
    assert context is not None
    start_ns, end_ns = span.start_time or 0, span.end_time or 0
    return {
        "span": span.name,
        "trace_id": f"{context.trace_id:0{HEX_TRACE_ID_DIGITS}x}",
        "span_id": f"{context.span_id:0{HEX_SPAN_ID_DIGITS}x}",
        "parent_id": (
            f"{span.parent.span_id:0{HEX_SPAN_ID_DIGITS}x}" if span.parent else None
        ),
        "start_unix_ns": start_ns,
        "duration_ms": (end_ns - start_ns) / 1e6,
        **dict(span.attributes or {}),
    }


@attrs.frozen
class RequestSpan:
    """Span of a caller's request; the tenant key is in none of its attributes."""

    span: Span
    context: Context

    def end(self, status: int, code: str) -> None:
        """End the span with the answer."""
        if self.span.is_recording():
            self.span.set_attribute("http.response.status_code", status)
            self.span.set_attribute("wagtailrill.code", code)
        self.span.end()


@attrs.frozen
class AttemptSpan:
    """Span of the hop to a backend server."""

    span: Span
    context: Context

    def propagate(self, order: Order) -> Order:
        """Return the order with the trace context of this hop."""
        carrier: dict[str, str] = {}
        TraceContextTextMapPropagator().inject(carrier, self.context)
        value = carrier.get("traceparent")
        if value is None:
            return order
        headers = (*order.headers, (TRACE_HEADER, value.encode()))
        return attrs.evolve(order, headers=headers)

    def end(self, result: AttemptResult) -> None:
        """End the span with the outcome."""
        if self.span.is_recording():
            self.span.set_attribute("wagtailrill.outcome", result.outcome.value)
        self.span.end()


class Tracing:
    """Creates spans; a fraction of the traces without a sampled parent is kept."""

    def __init__(self, sample_ratio: float, exporter: SpanExporter) -> None:
        sampler = ParentBased(TraceIdRatioBased(sample_ratio))
        self._provider = TracerProvider(sampler=sampler, shutdown_on_exit=False)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("wagtailrill")
        self._propagator = TraceContextTextMapPropagator()

    def start_request(self, req: CallerRequest) -> RequestSpan:
        """Start the span of a caller's request."""
        parent = None
        for name, value in req.headers:
            if name == TRACE_HEADER:
                carrier = {"traceparent": value.decode("latin-1")}
                parent = self._propagator.extract(carrier)
        span = self._tracer.start_span("request", parent, SpanKind.SERVER)
        if span.is_recording():
            span.set_attribute("http.request.method", req.method)
            span.set_attribute("url.path", req.path)
        return RequestSpan(span, trace.set_span_in_context(span, parent))

    def start_attempt(self, request: RequestSpan | None, order: Order) -> AttemptSpan:
        """Start the span of the hop to a backend server."""
        parent = request.context if request else None
        span = self._tracer.start_span("attempt", parent, SpanKind.CLIENT)
        if span.is_recording():
            span.set_attribute("wagtailrill.backend_server", order.backend_server)
        return AttemptSpan(span, trace.set_span_in_context(span, parent))

    def shutdown(self) -> None:
        """Write the spans that are still held."""
        self._provider.shutdown()
