"""Interfaces of the components that the request pipeline uses."""

from collections.abc import Callable
from typing import Protocol

from ..core.orders import AttemptOutcome
from ..declaration.models import Route
from ..limits.models import TakeResult
from ..ownership.models import RouteRefusal, SlotRoute
from ..permits.models import OnPermit, Permit


class RateLimits(Protocol):
    """Fleet-wide limits of organisations."""

    def take(self, organisation: str, on_result: Callable[[TakeResult], None]) -> None:
        """Take a token, at once or after asking the organisation's home."""
        ...


class KeyRouter(Protocol):
    """Owners of key slots."""

    def route(self, service: str, key: bytes) -> SlotRoute | RouteRefusal:
        """Return the owner of a key, or why there is none now."""
        ...

    def order_started(self, order_id: int, route: SlotRoute) -> None:
        """Track an order that is about to be sent."""
        ...

    def order_ended(self, order_id: int, may_run: bool = False) -> None:
        """Stop tracking an order; with `may_run` it may still run for a while."""
        ...

    def report_unreachable(self, backend_server: str) -> None:
        """Ask for an immediate probe of a backend server."""
        ...


class PermitPool(Protocol):
    """Permits of backend servers."""

    def idle(self, backend_server: str) -> int:
        """Return the permits that can be used at once."""
        ...

    def acquire(
        self,
        backend_server: str,
        request_id: int,
        organisation: str,
        deadline_s: float,
        on_result: OnPermit,
    ) -> None:
        """Call back with a permit or a denial, now or later."""
        ...

    def cancel(self, request_id: int) -> None:
        """Stop waiting for a permit."""
        ...

    def release(
        self,
        permit: Permit,
        connection_open: bool,
        start_id: str = "",
        still_runs_s: float = 0.0,
    ) -> None:
        """Give back a permit."""
        ...

    def start_id_seen(
        self, backend_server: str, start_id: str, uptime_s: float
    ) -> None:
        """Learn the start id and uptime in seconds that a probe returned."""
        ...


class ServerChoice(Protocol):
    """Choice of backend servers for services without keys."""

    def choose(self, service: str, exclude: frozenset[str]) -> str | None:
        """Return a backend server for the next request."""
        ...

    def report_load(self, backend_server: str, load: float) -> None:
        """Learn a load report, which lags."""
        ...

    def record(
        self, backend_server: str, outcome: AttemptOutcome, latency_s: float
    ) -> None:
        """Learn how an attempt ended."""
        ...


class Retries(Protocol):
    """Budgets of retries and hedges."""

    def on_request(self, service: str) -> None:
        """Count a request."""
        ...

    def may_retry(
        self,
        service: str,
        route: Route,
        attempt_header: int,
        outcome: AttemptOutcome,
        attempts_made: int,
    ) -> bool:
        """Return whether another attempt may be made, and spend the budget."""
        ...

    def hedge_delay_s(self, service: str) -> float | None:
        """Return after how long a hedge may be sent, None without budget."""
        ...

    def take_hedge(self, service: str) -> bool:
        """Take a hedge from the budget, if there is one."""
        ...

    def hedge_ended(self, service: str, latency_s: float) -> None:
        """Charge the work of a hedge to the budget."""
        ...

    def backoff_s(self, attempts_made: int) -> float:
        """Return how long to wait before the next attempt."""
        ...

    def record(self, service: str, outcome: AttemptOutcome, latency_s: float) -> None:
        """Learn how an attempt ended."""
        ...
