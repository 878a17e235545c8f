"""Models of the services declaration and of the configuration made from it."""

import enum
from typing import Final

import attrs

from ..core.findings import Finding
from .const import (
    DEFAULT_ATTEMPTS_MAX,
    DEFAULT_SLOW_START_SLOTS,
    DEFAULT_SLOW_START_STEP_S,
    DEFAULT_TIMEOUT_S,
    DEFAULT_WEIGHT,
)

# Peer messages carry priorities as 16-bit numbers.
PRIORITY_MAX: Final = 65_535


class DataCentreState(enum.StrEnum):
    """Whether a data centre takes new work."""

    IN = "in"
    OUT = "out"


class BackendServerState(enum.StrEnum):
    """Whether a backend server takes new work."""

    IN = "in"
    LEAVING = "leaving"


class TenantKeyRule(enum.StrEnum):
    """Whether a route needs a tenant key."""

    REQUIRED = "required"
    NONE = "none"


@attrs.frozen
class DataCentre:
    """A data centre of the deployment."""

    name: str
    region: str = "default"
    state: DataCentreState = DataCentreState.IN


@attrs.frozen
class SplitPart:
    """A service that gets a share of a route's requests in proportion to `weight`."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """How requests of a method and path are handled.

    The segment `{key}` of the path stands for the key. With `by_prefix` the path is a
    prefix, which ends with a slash, and any method matches. An empty `host` matches
    every host. `priority` is a rank, 0 the highest. An answer within `target_latency_s`
    is as useful as an immediate one. At most `attempts_max` backend servers run a
    request. Without `split` all requests go to the service that has the route.
    """

    method: str
    path: str
    idempotent: bool
    tenant_key: TenantKeyRule = TenantKeyRule.REQUIRED
    deferrable: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S
    name: str = ""
    host: str = ""
    by_prefix: bool = False
    priority: int = 0
    target_latency_s: float | None = None
    attempts_max: int = DEFAULT_ATTEMPTS_MAX
    split: tuple[SplitPart, ...] = ()

    @property
    def target_s(self) -> float:
        """Return the target latency in seconds, by default the timeout."""
        return self.target_latency_s or self.timeout_s


@attrs.frozen
class BackendServerEntry:
    """A backend server with its limits for the whole fleet.

    `slots` limits its concurrent requests, `connections` the connections to it.
    """

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int
    state: BackendServerState = BackendServerState.IN


@attrs.frozen
class SlowStart:
    """Slow start of a backend server.

    It has `slots` at first, and one more every `step_s` seconds.
    """

    slots: int = DEFAULT_SLOW_START_SLOTS
    step_s: float = DEFAULT_SLOW_START_STEP_S


@attrs.frozen
class ColdStart:
    """Rate limit of a cold backend server, in requests/s for the whole fleet.

    A server is cold for up to `duration_s` seconds after its start.
    """

    duration_s: float
    requests_per_s: float


@attrs.frozen
class Service:
    """A service and its backend servers; a keyed service is partitioned by key.

    `connections_max` applies to each backend server that is discovered rather than
    declared. Keys that move without a handover are slow for `transfer_warm_s` seconds.
    """

    name: str
    routes: tuple[Route, ...]
    backend_servers: tuple[BackendServerEntry, ...]
    depends_on: tuple[str, ...] = ()
    keyed: bool = False
    checks_grants: bool = False
    slow_start: SlowStart = SlowStart()
    cold_start: ColdStart | None = None
    connections_max: int = 0
    health_path: str = ""
    transfer_warm_s: float = 0.0


@attrs.frozen
class TenantKeyHash:
    """A tenant key as it is stored: SHA-256 of salt and secret, both hexadecimal."""

    key_id: str
    salt: str
    sha256: str


@attrs.frozen
class Organisation:
    """An organisation with its fleet-wide rate (requests/s) and burst (requests).

    An infinite rate means no limit. A `priority` overrides those of the routes.
    """

    name: str
    rate_per_s: float
    burst: float
    weight: float = DEFAULT_WEIGHT
    tenant_keys: tuple[TenantKeyHash, ...] = ()
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on a caller's request, in bytes, and connection timeouts, in seconds."""

    header_max_bytes: int
    body_max_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class Declaration:
    """A complete services declaration that has passed all checks.

    `version_number` rises with each declaration, None if the declarations have none.
    `findings` are the words that the decoder does not know, and what it did instead.
    """

    deployment: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]
    caller_limits: CallerLimits | None = None
    version_number: int | None = None
    findings: tuple[Finding, ...] = ()


@attrs.frozen
class Configuration:
    """A declaration with indexes by name.

    `version` is the store revision at which it was written. `service_of` is keyed by
    the name of the backend server.
    """

    version: int
    declaration: Declaration
    services: dict[str, Service] = attrs.field(init=False, repr=False, eq=False)
    organisations: dict[str, Organisation] = attrs.field(
        init=False, repr=False, eq=False
    )
    backend_servers: dict[str, BackendServerEntry] = attrs.field(
        init=False, repr=False, eq=False
    )
    service_of: dict[str, Service] = attrs.field(init=False, repr=False, eq=False)
    _available: frozenset[str] = attrs.field(init=False, repr=False, eq=False)

    def __attrs_post_init__(self) -> None:
        declaration = self.declaration
        set_field = object.__setattr__
        set_field(self, "services", {s.name: s for s in declaration.services})
        set_field(self, "organisations", {o.name: o for o in declaration.organisations})
        server_service_pairs = [
            (b, s) for s in declaration.services for b in s.backend_servers
        ]
        set_field(self, "backend_servers", {b.name: b for b, _ in server_service_pairs})
        set_field(self, "service_of", {b.name: s for b, s in server_service_pairs})
        open_data_centre_names = {
            d.name for d in declaration.data_centres if d.state is DataCentreState.IN
        }
        available_names = frozenset(
            b.name
            for b, _ in server_service_pairs
            if b.state is BackendServerState.IN
            and b.data_centre in open_data_centre_names
        )
        set_field(self, "_available", available_names)

    @property
    def closed_data_centres(self) -> frozenset[str]:
        """Return the names of the data centres that take no new work."""
        return frozenset(
            d.name
            for d in self.declaration.data_centres
            if d.state is DataCentreState.OUT
        )

    def accepts_work(self, backend_server: str) -> bool:
        """Return whether new work may be sent to a backend server."""
        return backend_server in self._available
