"""Interfaces of the components that requests use."""

from collections.abc import Callable
from typing import Protocol

import attrs

from ..core.refusals import RefusalCode


@attrs.frozen
class TakeResult:
    """Whether a request is within its organisation's limit, or when to come back.

    `decided_by` says what had no token for it.
    """

    admitted: bool
    retry_after_s: float = 0.0
    decided_by: str = ""


class RateLimits(Protocol):
    """Fleet-wide limits of organisations."""

    def take(self, organisation: str, on_result: Callable[[TakeResult], None]) -> None:
        """Take a token, at once or after asking for one."""
        ...


@attrs.frozen
class KeyOwner:
    """The backend server that holds a key."""

    backend_server: str


class KeyRouter(Protocol):
    """Owners of the keys of keyed services."""

    def owner(self, service: str, position: int) -> KeyOwner | RefusalCode:
        """Return the owner of a key, or why there is none now."""
        ...

    def misdirected(self, service: str, position: int, backend_server: str) -> None:
        """Learn that a backend server does not hold a key."""
        ...


class Retries(Protocol):
    """Budgets of extra attempts."""

    def count_request(self, service: str) -> None:
        """Count a request."""
        ...

    def has_budget(self, service: str) -> bool:
        """Return whether the budget has room for one extra attempt."""
        ...

    def take_attempt(self, service: str) -> bool:
        """Take one extra attempt from the budget, if there is one."""
        ...

    def record_latency(self, service: str, latency_s: float) -> None:
        """Learn the latency of an answer."""
        ...

    def get_hedge_delay_s(self, service: str) -> float | None:
        """Return after how long a second attempt may be made, None for never."""
        ...
