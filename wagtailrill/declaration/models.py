"""Models of the services declaration."""

import enum

import attrs

from .const import (
    DEFAULT_SLOW_START_SLOTS,
    DEFAULT_SLOW_START_STEP_S,
    DEFAULT_TIMEOUT_S,
    DEFAULT_WEIGHT,
)


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
class Route:
    """Requests of a method and path; `{key}` in the path names the key segment."""

    method: str
    path: str
    idempotent: bool
    tenant_key: TenantKeyRule = TenantKeyRule.REQUIRED
    deferrable: bool = False
    timeout_s: float = DEFAULT_TIMEOUT_S


@attrs.frozen
class BackendServerEntry:
    """A backend server; `slots` is its concurrency, fleet-wide."""

    name: str
    address: str
    data_centre: str
    slots: int
    connections: int
    state: BackendServerState = BackendServerState.IN


@attrs.frozen
class SlowStart:
    """Ramp after a start: `slots` at first, one more every `step_s` seconds."""

    slots: int = DEFAULT_SLOW_START_SLOTS
    step_s: float = DEFAULT_SLOW_START_STEP_S


@attrs.frozen
class Service:
    """A service and its backend servers; a keyed one is divided by key slot."""

    name: str
    routes: tuple[Route, ...]
    backend_servers: tuple[BackendServerEntry, ...]
    depends_on: tuple[str, ...] = ()
    keyed: bool = False
    checks_grants: bool = False
    slow_start: SlowStart = SlowStart()


@attrs.frozen
class TenantKeyHash:
    """A tenant key as it is stored: SHA-256 of salt and secret, both hexadecimal."""

    key_id: str
    salt: str
    sha256: str


@attrs.frozen
class Organisation:
    """An organisation with its fleet-wide rate (requests/s) and burst (requests)."""

    name: str
    rate_per_s: float
    burst: float
    weight: float = DEFAULT_WEIGHT
    tenant_keys: tuple[TenantKeyHash, ...] = ()


@attrs.frozen
class Declaration:
    """A whole, checked services declaration."""

    deployment: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    organisations: tuple[Organisation, ...]


@attrs.frozen
class Configuration:
    """A declaration with its version, the store revision that accepted it."""

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
        put = object.__setattr__
        put(self, "services", {s.name: s for s in declaration.services})
        put(self, "organisations", {o.name: o for o in declaration.organisations})
        pairs = [(b, s) for s in declaration.services for b in s.backend_servers]
        put(self, "backend_servers", {b.name: b for b, _ in pairs})
        put(self, "service_of", {b.name: s for b, s in pairs})
        open_data_centres = {
            d.name for d in declaration.data_centres if d.state is DataCentreState.IN
        }
        available = frozenset(
            b.name
            for b, _ in pairs
            if b.state is BackendServerState.IN and b.data_centre in open_data_centres
        )
        put(self, "_available", available)

    def accepts_work(self, backend_server: str) -> bool:
        """Return whether new work may go to a backend server."""
        return backend_server in self._available
