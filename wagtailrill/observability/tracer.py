"""Interface of tracing, and its implementation for tracing that is off."""

from typing import Protocol

from ..core.request_models import AttemptResult, BackendRequest, CallerRequest, Headers


class HopSpan(Protocol):
    """Span of the hop to a backend server."""

    @property
    def headers(self) -> Headers:
        """Return the headers that propagate the trace context."""
        ...

    def end(self, result: AttemptResult) -> None:
        """End the span with the outcome."""
        ...


class CallerSpan(Protocol):
    """Span of a caller's request."""

    def end(self, status: int, code: str) -> None:
        """End the span with the answer."""
        ...


class Tracing(Protocol):
    """Creates a span for each hop of a sampled request."""

    def start_request(self, req: CallerRequest) -> CallerSpan:
        """Start the span of a caller's request."""
        ...

    def start_attempt(
        self, caller_span: CallerSpan | None, req: BackendRequest
    ) -> HopSpan:
        """Start the span of the hop to a backend server."""
        ...

    def shutdown(self) -> None:
        """Export the spans that are still buffered."""
        ...


class NoSpan:
    """Span that records nothing; a caller's trace header is forwarded unchanged."""

    headers: Headers = ()

    def end(self, *_: object) -> None:
        """Record nothing."""


NO_SPAN = NoSpan()


class NoTracing:
    """Implements `Tracing` without spans; saves the memory of the tracing library."""

    def start_request(self, req: CallerRequest) -> CallerSpan:
        """Return a span that records nothing."""
        return NO_SPAN

    def start_attempt(
        self, caller_span: CallerSpan | None, req: BackendRequest
    ) -> HopSpan:
        """Return a span that records nothing."""
        return NO_SPAN

    def shutdown(self) -> None:
        """Do nothing."""
