"""Interfaces of the components that the request pipeline calls."""

from collections.abc import Callable
from typing import Protocol

import attrs

from ..core.refusals import RefusalCode


@attrs.frozen
class RateLimitResult:
    """Whether a request is within its organisation's rate limit.

    If not, `retry_after_s` says when to send it again. `decided_by` then tells whether
    the token issuer or the instance's own share had no token for it, or whether the
    organisation is unknown.
    """

    admitted: bool
    retry_after_s: float = 0.0
    decided_by: str = ""


class RateLimits(Protocol):
    """Rate limits of organisations across the fleet."""

    def take_token(
        self,
        organisation: str,
        on_result: Callable[[RateLimitResult], None],
        patience_s: float,
    ) -> None:
        """Take a token; `on_result` gets the result, at once or after a short wait.

        The wait is up to `patience_s` while the issuers of tokens may be starting.
        """
        ...


@attrs.frozen
class KeyOwner:
    """The backend server that owns a key."""

    backend_server: str


class KeyRouter(Protocol):
    """Finds the owners of the keys of keyed services."""

    def find_owner(self, service: str, position: int) -> KeyOwner | RefusalCode:
        """Return the owner of a key, or the refusal code while it has none."""
        ...

    def report_misdirection(
        self, service: str, position: int, backend_server: str
    ) -> None:
        """Report that a backend server lacks the key of a request sent to it."""
        ...


class RetryBudget(Protocol):
    """Budget of retries and hedges for each service."""

    def count_request(self, service: str) -> None:
        """Count a request."""
        ...

    def has_budget(self, service: str) -> bool:
        """Return whether the budget has room for one extra attempt."""
        ...

    def take_attempt(self, service: str) -> bool:
        """Take one extra attempt from the budget; return False if there is none."""
        ...

    def record_latency(self, service: str, latency_s: float) -> None:
        """Record the latency of an answer in seconds."""
        ...

    def get_hedge_delay_s(self, service: str) -> float | None:
        """Return the delay before a hedge in seconds, None for no hedging."""
        ...
