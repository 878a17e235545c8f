"""Checks of a request at its arrival."""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.orders import CallerRequest
from ..core.refusals import Refusal
from ..declaration.models import Configuration, Route, Service, TenantKeyRule
from ..declaration.routing import RouteTable
from ..organisations.headers import check_headers, strip_headers
from ..organisations.keys import TenantKeys
from ..organisations.models import Tenant
from .models import RequestRow
from .refusals import NO_ROUTE, NOT_READY
from .split import SplitTable


@attrs.define
class ArrivalChecks:
    """Finds the route and the organisation of a request."""

    ctx: Context
    keys: TenantKeys
    strip: Callable[..., tuple[tuple[bytes, bytes], ...]] = strip_headers
    routes: RouteTable | None = None
    configuration: Configuration | None = None
    splits: SplitTable = attrs.field(factory=SplitTable)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.routes = RouteTable(configuration.declaration)
        self.keys.configure(configuration)

    def check(self, req: CallerRequest) -> RequestRow | Refusal:
        """Return the row of a request that may go on, or the refusal."""
        configuration = self.configuration
        if self.routes is None or configuration is None:
            return NOT_READY
        refusal = check_headers(req.headers)
        if refusal is not None:
            return refusal
        match = self.routes.match(req.method, req.path, req.host)
        if match is None:
            return NO_ROUTE
        route = match.route
        tenant = None
        if route.tenant_key is not TenantKeyRule.NONE:
            found = self.keys.authenticate_key(req.credential)
            if found.is_error():
                return found.error
            tenant = found.ok
        now_s = self.ctx.now_s
        time_left_s = route.timeout_s
        if req.time_left_s is not None:
            time_left_s = min(time_left_s, req.time_left_s)
        return RequestRow(
            req=req,
            service=self._service(configuration, route, match.service),
            route=route,
            arrived_s=now_s,
            deadline_s=now_s + time_left_s,
            tenant=tenant,
            headers=self.strip(req.headers),
            priority=self._priority(configuration, route, tenant),
            key_position=req.key_position,
        )

    def _service(
        self, configuration: Configuration, route: Route, service: Service
    ) -> Service:
        if not route.split:
            return service
        name = self.splits.pick(route)
        return configuration.services.get(name, service)

    def _priority(
        self, configuration: Configuration, route: Route, tenant: Tenant | None
    ) -> int:
        if tenant is not None:
            organisation = configuration.organisations.get(tenant.organisation)
            if organisation is not None and organisation.priority is not None:
                return organisation.priority
        return route.priority
