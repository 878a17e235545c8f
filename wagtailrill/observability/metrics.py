"""Prometheus metrics of an instance."""

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5]


class Metrics:
    """Metrics with a registry of their own, so that tests can make several."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._requests = self._counter(
            "wagtailrill_requests_total", "Answers to callers by status and code."
        )
        self._latency = Histogram(
            "wagtailrill_request_seconds",
            "Time from arrival to answer.",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._store_calls = self._counter(
            "wagtailrill_store_calls_total", "Calls to the platform store."
        )
        self._failed_steps = self._counter(
            "wagtailrill_failed_steps_total", "Events whose handling failed."
        )
        self._gauge = Gauge(
            "wagtailrill_state", "State of this instance.", registry=self.registry
        )

    def record_request(self, status: int, code: str, elapsed_s: float) -> None:
        """Count an answer and its latency."""
        self._requests.inc({"status": str(status), "code": code})
        self._latency.observe({}, elapsed_s)

    def count_store_call(self, operation: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"operation": operation})

    def count_failed_step(self, event: str) -> None:
        """Count an event whose handling failed."""
        self._failed_steps.inc({"event": event})

    def set_state(self, values: dict[str, float]) -> None:
        """Set gauges of the instance's state by name."""
        for name, value in values.items():
            self._gauge.set({"name": name}, value)

    def text(self) -> tuple[bytes, str]:
        """Return the metrics and their content type."""
        content, headers = render(self.registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)
