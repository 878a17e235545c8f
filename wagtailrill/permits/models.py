"""Permits, refusals and settings."""

import enum
from collections.abc import Callable

import attrs


@attrs.frozen
class Permit:
    """The right to run one request on a backend server.

    With `may_connect` the request opens one new connection; otherwise it must use a
    connection that is already open.
    """

    permit_id: int
    backend_server: str
    request_id: int
    may_connect: bool


class DeniedReason(enum.Enum):
    """Reason why no permit was given."""

    DEADLINE = "deadline"
    NO_LEASE = "no_lease"
    NOT_ACCEPTING = "not_accepting"


@attrs.frozen
class PermitDenied:
    """No permit was given; nothing was sent for the request."""

    backend_server: str
    request_id: int
    reason: DeniedReason


PermitResult = Permit | PermitDenied
OnPermit = Callable[[PermitResult], None]


@attrs.frozen
class PermitSettings:
    """Settings of holder and home; durations in seconds.

    `keep_s`: how long an idle permit stays with its holder. `reuses`: how many
    released permits serve waiters of their holder for each one that goes back on a
    recall. `resend_s`: after which an unanswered request or grant is sent again.
    `reconcile_s`: after which a change that the home has not confirmed is reported
    again. `unknown_holdings_wait_s`: how long a new home holds back what a member
    dropped before its report may still use; it fits the 4 s within which a key is
    served again after a loss.
    """

    keep_s: float = 0.5
    reuses: int = 2
    resend_s: float = 0.1
    reconcile_s: float = 1.0
    unknown_holdings_wait_s: float = 1.0
