"""Prometheus metrics of an instance.

Labels take few values, which bounds the number of time series.
"""

from collections.abc import Callable, Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

LATENCY_BUCKETS_S = [0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0]
GaugeSource = Callable[[], Mapping[str, float]]


class Metrics:
    """Metrics with their own registry, so that tests can create several."""

    def __init__(self) -> None:
        self.registry = Registry()
        self._gauge_sources: list[GaugeSource] = []
        self._answers = self._make_counter(
            "wagtailrill_answers_total", "Answers to callers by status and code."
        )
        self._latency = self._make_histogram(
            "wagtailrill_request_seconds", "Time from arrival to answer."
        )
        self._attempts = self._make_counter(
            "wagtailrill_attempts_total", "Attempts at backend servers by outcome."
        )
        self._attempt_latency = self._make_histogram(
            "wagtailrill_attempt_seconds", "Time of attempts at backend servers."
        )
        self._store_calls = self._make_counter(
            "wagtailrill_store_calls_total", "Calls to the store by operation, result."
        )
        self._control_calls = self._make_counter(
            "wagtailrill_control_calls_total", "Control calls by operation and result."
        )
        self._configuration_delay = self._make_histogram(
            "wagtailrill_configuration_delay_seconds",
            "Longest time that a configuration can have been stored until in force.",
        )
        self._failed_steps = self._make_counter(
            "wagtailrill_failed_steps_total", "Events whose handling failed."
        )
        self._state = Gauge(
            "wagtailrill_state", "State of this instance.", registry=self.registry
        )

    def add_gauge_source(self, source: GaugeSource) -> None:
        """Add a source of gauges, which is read whenever metrics are rendered."""
        self._gauge_sources.append(source)

    def record_answer(self, status: int, code: str, elapsed_s: float) -> None:
        """Count an answer and observe its latency in seconds."""
        self._answers.inc({"status": str(status), "code": code})
        self._latency.observe({}, elapsed_s)

    def record_attempt(self, outcome: str, elapsed_s: float) -> None:
        """Count an attempt and observe its latency in seconds."""
        self._attempts.inc({"outcome": outcome})
        self._attempt_latency.observe({"outcome": outcome}, elapsed_s)

    def record_store_call(self, operation: str, result: str) -> None:
        """Count a call to the store."""
        self._store_calls.inc({"operation": operation, "result": result})

    def record_control_call(self, operation: str, result: str) -> None:
        """Count a control call to a backend server."""
        self._control_calls.inc({"operation": operation, "result": result})

    def record_configuration_delay(self, delay_max_s: float) -> None:
        """Observe how long a configuration can have waited until it was in force."""
        self._configuration_delay.observe({}, delay_max_s)

    def record_failed_step(self, event: str) -> None:
        """Count an event or command whose handling failed."""
        self._failed_steps.inc({"event": event})

    def render_text(self) -> tuple[bytes, str]:
        """Return the metrics in the Prometheus text format, and their content type."""
        for source in self._gauge_sources:
            for name, value in source().items():
                self._state.set({"name": name}, value)
        content, headers = render(self.registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")

    def _make_counter(self, name: str, description: str) -> Counter:
        return Counter(name, description, registry=self.registry)

    def _make_histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            name, description, registry=self.registry, buckets=LATENCY_BUCKETS_S
        )
