"""Traces with a span per hop, propagated by W3C trace context."""

import json
import random
import sys
from collections.abc import Sequence
from typing import Any, Final, TextIO

import attrs
from opentelemetry import trace
from opentelemetry.context import Context
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from ..core.request_models import AttemptResult, BackendRequest, CallerRequest, Headers
from .tracer import CallerSpan

TRACE_HEADER: Final = b"traceparent"
HEX_TRACE_ID_DIGITS: Final = 32
HEX_SPAN_ID_DIGITS: Final = 16
SAMPLED_SUFFIX: Final = b"-01"
NO_HEADERS: Final[Headers] = ()


class JsonSpanExporter(SpanExporter):
    """Writes finished spans as JSON lines, by default to standard error."""

    def __init__(self, stream: TextIO | None = None) -> None:
        self._stream = stream or sys.stderr

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans."""
        for span in spans:
            self._stream.write(json.dumps(_make_span_fields(span)) + "\n")
        self._stream.flush()
        return SpanExportResult.SUCCESS


def _make_span_fields(span: ReadableSpan) -> dict[str, Any]:
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
    """Span of a caller's request; no attribute contains the tenant key.

    A request that is not sampled has no span; the caller's header is forwarded.
    """

    span: Span | None = None
    context: Context | None = None

    def end(self, status: int, code: str) -> None:
        """End the span with the answer."""
        if self.span is None:
            return
        self.span.set_attribute("http.response.status_code", status)
        self.span.set_attribute("wagtailrill.code", code)
        self.span.end()


NOT_SAMPLED: Final = RequestSpan()


@attrs.frozen
class AttemptSpan:
    """Span of the hop to a backend server, and the headers that propagate it."""

    span: Span | None = None
    headers: Headers = NO_HEADERS

    def end(self, result: AttemptResult) -> None:
        """End the span with the outcome."""
        if self.span is not None:
            self.span.set_attribute("wagtailrill.outcome", result.outcome.value)
            self.span.end()


NO_ATTEMPT_SPAN: Final = AttemptSpan()


class OpenTelemetryTracing:
    """Implements `Tracing`: creates spans for sampled requests.

    A caller's sampling decision is kept; of requests without one, the fraction
    `sample_ratio` is sampled. The decision is made here, because a span that the SDK
    drops costs nearly half as much as one that it keeps.
    """

    def __init__(self, sample_ratio: float, exporter: SpanExporter) -> None:
        self._sample_ratio = sample_ratio
        self._rng = random.Random()
        self._provider = TracerProvider(sampler=ALWAYS_ON, shutdown_on_exit=False)
        self._provider.add_span_processor(BatchSpanProcessor(exporter))
        self._tracer = self._provider.get_tracer("wagtailrill")
        self._propagator = TraceContextTextMapPropagator()

    def start_request(self, req: CallerRequest) -> RequestSpan:
        """Start the span of a caller's request, if it is sampled."""
        header = next(
            (value for name, value in req.headers if name == TRACE_HEADER), None
        )
        if header is None:
            if self._rng.random() >= self._sample_ratio:
                return NOT_SAMPLED
            parent = None
        elif not header.endswith(SAMPLED_SUFFIX):
            return NOT_SAMPLED
        else:
            carrier = {"traceparent": header.decode("latin-1")}
            parent = self._propagator.extract(carrier)
        span = self._tracer.start_span("request", parent, SpanKind.SERVER)
        span.set_attribute("http.request.method", req.method)
        span.set_attribute("url.path", req.path)
        return RequestSpan(span, trace.set_span_in_context(span, parent))

    def start_attempt(
        self, caller_span: CallerSpan | None, req: BackendRequest
    ) -> AttemptSpan:
        """Start the span of the hop to a backend server, if it is sampled."""
        if not isinstance(caller_span, RequestSpan) or caller_span.span is None:
            return NO_ATTEMPT_SPAN
        span = self._tracer.start_span("attempt", caller_span.context, SpanKind.CLIENT)
        span.set_attribute("wagtailrill.backend_server", req.backend_server)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, trace.set_span_in_context(span))
        headers = ((TRACE_HEADER, carrier["traceparent"].encode()),)
        return AttemptSpan(span, headers)

    def shutdown(self) -> None:
        """Export the spans that are still buffered."""
        self._provider.shutdown()
