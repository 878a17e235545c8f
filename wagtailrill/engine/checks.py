"""Checks of a request at its arrival, before anything is spent on it."""

from collections.abc import Callable

import attrs

from ..core.const import CALLER_CLOCK_SKEW_S
from ..core.context import Context
from ..core.headers import ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER
from ..core.orders import CallerRequest, Headers
from ..core.refusals import Refusal
from ..declaration.models import Configuration, TenantKeyRule
from ..declaration.routing import RouteTable
from ..idempotency.keys import issued_ms
from ..organisations.headers import check_headers, strip_headers
from ..organisations.keys import TenantKeys
from ..partitions.directory import PartitionDirectory
from .models import RequestRow
from .refusal_texts import CUT_OFF, KEY_INVALID, KEY_REQUIRED, NO_ROUTE, NOT_READY

MS_PER_S = 1000
DROPPED_HEADERS = frozenset({b"host", b"content-length", b"traceparent", b"expect"})


@attrs.define
class ArrivalChecks:
    """Turns a caller's request into a row of the pipeline, or refuses it."""

    ctx: Context
    directory: PartitionDirectory
    # An instance that was cut off may have missed the withdrawal of a key.
    configuration_ready: Callable[[], bool]
    keys: TenantKeys
    routes: RouteTable | None = None

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.keys.configure(configuration)
        self.routes = RouteTable(configuration.declaration)

    def check(self, req: CallerRequest) -> RequestRow | Refusal:
        """Return the row of a request that may go on, or the refusal.

        A union spares the making of a Result for each request.
        """
        if self.routes is None or not self.configuration_ready():
            return NOT_READY
        refusal = check_headers(req.headers)
        if refusal is not None:
            return refusal
        match = self.routes.match(req.method, req.path)
        if match is None:
            return NO_ROUTE
        row = RequestRow(
            req=req,
            service=match.service,
            route=match.route,
            key=match.key if match.service.keyed else None,
            deadline_s=self.ctx.now_s + match.route.timeout_s,
            expires_unix_s=self.ctx.wall_s + match.route.timeout_s,
            attempt_header=_attempt_of(req.headers),
        )
        refusal = self._authenticate(row) or self._check_idempotency_key(row)
        if refusal is not None:
            return refusal
        row.headers = tuple(
            field
            for field in strip_headers(req.headers)
            if field[0] not in DROPPED_HEADERS
        )
        return row

    def _authenticate(self, row: RequestRow) -> Refusal | None:
        if not self.directory.has_lease():
            return CUT_OFF
        if row.route.tenant_key is TenantKeyRule.NONE:
            return None
        result = self.keys.authenticate(row.req.headers)
        if result.is_error():
            return result.error
        row.tenant = result.ok
        return None

    def _check_idempotency_key(self, row: RequestRow) -> Refusal | None:
        if row.route.idempotent:
            return None
        values = [v for n, v in row.req.headers if n == IDEMPOTENCY_KEY_HEADER]
        if len(values) != 1:
            return KEY_REQUIRED
        issued = issued_ms(values[0].decode("latin-1"))
        if issued is None:
            return KEY_INVALID
        latest_s = self.ctx.wall_s + CALLER_CLOCK_SKEW_S
        return KEY_INVALID if issued > latest_s * MS_PER_S else None


def _attempt_of(headers: Headers) -> int:
    for name, value in headers:
        if name == ATTEMPT_HEADER:
            return min(int(value), 100) if value.isdigit() else 1
    return 0


def idempotency_key_of(req: CallerRequest) -> str:
    """Return the checked idempotency key of a request, in lower case."""
    for name, value in req.headers:
        if name == IDEMPOTENCY_KEY_HEADER:
            return value.decode("latin-1").lower()
    return ""
