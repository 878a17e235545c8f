"""Checks of a request on arrival; the request pipeline uses them."""

import re
from collections.abc import Callable
from typing import Final

import attrs
import xxhash

from ..claims.models import parse_uuid7_time_ms
from ..core.context import Context
from ..core.log_events import LogName
from ..core.refusals import Refusal
from ..core.request_models import CallerRequest
from ..declaration.models import Configuration, Route, Service, TenantKeyRule
from ..declaration.routing import RouteMatch, RouteTable
from ..keys.const import KEY_POSITIONS
from ..organisations.headers import check_headers, strip_headers
from ..organisations.keys import TenantKeys
from ..organisations.models import Tenant
from .models import RequestRow
from .refusals import (
    IDEMPOTENCY_KEY_INVALID,
    IDEMPOTENCY_KEY_REQUIRED,
    NOT_READY,
    ROUTE_UNKNOWN,
    build_withdrawn_refusal,
)
from .split import SplitTable

# `str.isdigit` is also true for digits that `int` refuses, such as superscripts.
_POSITION_PATTERN: Final = re.compile(r"[0-9]{1,5}")


@attrs.define
class ArrivalChecks:
    """Matches a request to its route and authenticates its tenant key.

    `is_reserved_header` tells which headers of callers are not passed on. If
    `needs_idempotency_key` is set, requests that are not idempotent must carry an
    idempotency key.
    """

    ctx: Context
    tenant_keys: TenantKeys
    is_reserved_header: Callable[[bytes], bool]
    needs_idempotency_key: bool
    route_table: RouteTable | None = None
    configuration: Configuration | None = None
    splits: SplitTable = attrs.field(factory=SplitTable)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self.configuration = configuration
        self.route_table = RouteTable(configuration.declaration)
        self.tenant_keys.configure(configuration)
        self._log_ambiguities(configuration)

    def _log_ambiguities(self, configuration: Configuration) -> None:
        """Log the routes that are not used and the keys that are refused."""
        assert self.route_table is not None
        version, revision = configuration.declaration.deployment, configuration.version
        for route in self.route_table.shadowed_routes:
            self.ctx.log(
                LogName.ROUTE_SHADOWED,
                route=route.name,
                host=route.host,
                path=route.path,
                version=version,
                revision=revision,
            )
        for shared_key in self.tenant_keys.list_shared_keys():
            self.ctx.log(
                LogName.TENANT_KEY_SHARED,
                key_id=shared_key.key_id,
                organisations=",".join(shared_key.organisations),
                version=version,
                revision=revision,
            )

    def check_request(self, req: CallerRequest) -> RequestRow | Refusal:
        """Return the row of a request that passes the checks, or its refusal."""
        configuration = self.configuration
        if self.route_table is None or configuration is None:
            return NOT_READY
        refusal = check_headers(req.headers)
        if refusal is not None:
            return refusal
        match = self.route_table.find_route(req.method, req.path, req.host)
        if match is None:
            return ROUTE_UNKNOWN
        route = match.route
        tenant = None
        if route.tenant_key is not TenantKeyRule.NONE:
            authenticated = self.tenant_keys.authenticate_key(req.credential)
            if authenticated.is_error():
                return authenticated.error
            tenant = authenticated.ok
        idempotency_key = None
        if self.needs_idempotency_key and not route.idempotent:
            idempotency_key = _parse_idempotency_key(req)
            if idempotency_key is None:
                return (
                    IDEMPOTENCY_KEY_REQUIRED
                    if req.idempotency_key is None
                    else IDEMPOTENCY_KEY_INVALID
                )
        now_s = self.ctx.now_s
        time_left_s = route.timeout_s
        if req.time_left_s is not None:
            time_left_s = min(time_left_s, req.time_left_s)
        return RequestRow(
            req=req,
            service=self._select_service(configuration, route, match.service),
            route=route,
            arrived_s=now_s,
            deadline_s=now_s + time_left_s,
            tenant=tenant,
            headers=strip_headers(req.headers, self.is_reserved_header),
            priority=self._get_priority(configuration, route, tenant),
            key_position=_get_key_position(req, match),
            idempotency_key=idempotency_key,
        )

    def is_tenant_valid(self, row: RequestRow) -> bool:
        """Return whether the tenant key of a request is still that of its tenant."""
        return row.tenant is None or self.tenant_keys.is_still_valid(row.tenant)

    def authenticate_again(self, row: RequestRow) -> Refusal | None:
        """Set the tenant that has the key of a request now, or return the refusal."""
        assert row.tenant is not None
        assert self.configuration is not None
        authenticated = self.tenant_keys.authenticate_key(row.req.credential)
        if authenticated.is_error():
            return build_withdrawn_refusal(row.tenant.key_id)
        row.tenant = authenticated.ok
        row.priority = self._get_priority(self.configuration, row.route, row.tenant)
        row.fingerprint = None
        return None

    def _select_service(
        self, configuration: Configuration, route: Route, service: Service
    ) -> Service:
        if not route.split:
            return service
        name = self.splits.pick_service(route)
        return configuration.services.get(name, service)

    def _get_priority(
        self, configuration: Configuration, route: Route, tenant: Tenant | None
    ) -> int:
        if tenant is not None:
            organisation = configuration.organisations.get(tenant.organisation)
            if organisation is not None and organisation.priority is not None:
                return organisation.priority
        return route.priority


def _parse_idempotency_key(req: CallerRequest) -> str | None:
    if req.idempotency_key is None:
        return None
    key = req.idempotency_key.decode("latin-1").lower()
    return None if parse_uuid7_time_ms(key) is None else key


def _get_key_position(req: CallerRequest, match: RouteMatch) -> int | None:
    """Return the position that the caller gave, or that of the key in the path."""
    if req.key_position is not None or match.key is None:
        return req.key_position
    return _hash_key(match.key)


def _hash_key(key: bytes) -> int:
    return xxhash.xxh3_64_intdigest(key) % KEY_POSITIONS


def parse_key_position(key: str) -> int:
    """Return the position of a key that an operator gave.

    A number below `KEY_POSITIONS` is the position itself; any other text is hashed.
    """
    if _POSITION_PATTERN.fullmatch(key) and int(key) < KEY_POSITIONS:
        return int(key)
    return _hash_key(key.encode())
