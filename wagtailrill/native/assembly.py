"""Builds the settings of a process that uses wagtailrill's own interface.

Used by the daemon.
"""

import secrets
from typing import Final

from ..core.context import Identity
from ..declaration.models import CallerLimits
from ..fleet.models import FleetSettings
from ..gateway.header_dialect import HeaderBackendDialect, HeaderCallerDialect
from ..gateway.json_control import JsonControlDialect
from ..observability.tracer import NoTracing, Tracing
from ..organisations.keys import StructuredKeyFormat
from ..platform.store_client import PlatformStore
from ..router.models import DeclaredServers, EnvironmentAdapter, RouterSettings
from ..runtime.connection_limits import derive_connections_max, read_descriptors_max
from ..runtime.const import INCARNATION_BITS
from ..runtime.process import ExternalInterfaces, ProcessSettings
from ..servers.distance import DistanceSettings
from ..settings.models import InstanceSettings
from .configuration import NativeConfigurationDecoder, list_declared_servers
from .control import CONTROL_NAMES
from .dialect import HEADER_NAMES

HEADER_TIMEOUT_S: Final = 10.0
IDLE_TIMEOUT_S: Final = 75.0


def make_process_settings(cfg: InstanceSettings) -> ProcessSettings:
    """Return the process settings for an instance's settings."""
    backend_dialect = HeaderBackendDialect(HEADER_NAMES)
    store_prefix = cfg.deployment
    return ProcessSettings(
        router=RouterSettings(
            identity=Identity(
                cfg.instance, secrets.randbits(INCARNATION_BITS) + 1, cfg.data_centre
            ),
            fleet=FleetSettings(f"{store_prefix}/fleet/", cfg.peer_address),
            key_table_prefix=f"{store_prefix}/keys/",
            claim_prefix=f"{store_prefix}/claims/",
            distance=DistanceSettings(cfg.remote_bytes_per_s),
        ),
        adapter=EnvironmentAdapter(
            configuration_decoder=NativeConfigurationDecoder(cfg.deployment),
            servers=DeclaredServers(list_declared_servers),
            key_format=StructuredKeyFormat(),
            is_reserved_header=backend_dialect.is_reserved_header,
            needs_idempotency_key=True,
        ),
        external=ExternalInterfaces(
            store=PlatformStore(cfg.store_addresses, cfg.store_timeout_s),
            caller_dialect=HeaderCallerDialect(HEADER_NAMES),
            backend_dialect=backend_dialect,
            control_dialect=JsonControlDialect(CONTROL_NAMES),
            tracing=_make_tracing(cfg.trace_sample_ratio),
        ),
        caller_address=cfg.caller_address,
        peer_address=cfg.peer_address,
        admin_address=cfg.admin_address,
        caller_limits=CallerLimits(
            cfg.limits.header_max_bytes,
            cfg.limits.body_max_bytes,
            HEADER_TIMEOUT_S,
            IDLE_TIMEOUT_S,
        ),
        load_balancer_lag_s=cfg.load_balancer_lag_s,
        stop_timeout_s=cfg.load_balancer_lag_s + cfg.drain_s,
        body_memory_bytes=cfg.limits.body_memory_bytes,
        caller_connections_max=min(
            cfg.limits.caller_connections_max,
            derive_connections_max(read_descriptors_max()),
        ),
        peer_secrets=cfg.peer_secrets,
    )


def _make_tracing(sample_ratio: float) -> Tracing:
    if sample_ratio <= 0.0:
        return NoTracing()
    # The library takes 15 MB of memory, so it is imported only when tracing is on.
    from ..observability.tracing import JsonSpanExporter, OpenTelemetryTracing

    return OpenTelemetryTracing(sample_ratio, JsonSpanExporter())
