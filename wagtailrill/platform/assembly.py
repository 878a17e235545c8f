"""A process of the product with the platform around it."""

import secrets
from pathlib import Path
from typing import Final

import structlog

from ..core.context import Identity
from ..declaration.models import CallerLimits
from ..fleet.models import FleetSettings
from ..gateway.header_dialect import HeaderBackends, HeaderCallers
from ..gateway.json_control import JsonControl
from ..observability.tracer import NoTracing
from ..organisations.keys import OpaqueKeyFormat
from ..rates.models import RateSettings
from ..retries.extra_attempts import ExtraAttemptSettings
from ..router.models import (
    Allowances,
    DiscoveredServers,
    EnvironmentAdapter,
    RouterSettings,
)
from ..runtime.const import INCARNATION_BITS
from ..runtime.process import ProcessSettings, Surroundings
from ..servers.warmth import ColdSettings
from . import wire
from .configuration import PlatformConfigurations
from .control import CONTROL_NAMES
from .dialect import NAMES
from .discovery import PlatformServerEntries
from .settings import Bounds, PlatformSettings, parse_settings
from .store_client import PlatformStore

STORE_TIMEOUT_S: Final = 1.0
# The platform asks every second and takes an instance out after two misses.
BALANCER_LAG_S: Final = 2.6
# In force until the operator's configuration says otherwise.
FIRST_CALLER_LIMITS: Final = CallerLimits(16_384, 67_108_864, 3.0, 15.0)


def allowances_of(bounds: Bounds) -> Allowances:
    """Return what the whole fleet may do by the platform's bounds."""
    return Allowances(
        rates=RateSettings(
            bounds.quota_window_s, bounds.quota_excess, bounds.quota_allowance
        ),
        cold=ColdSettings(bounds.cold_excess_factor, bounds.cold_excess_requests),
        extra_attempts=ExtraAttemptSettings(
            share=bounds.retry_share,
            allowance=bounds.retry_allowance,
            window_s=bounds.retry_window_s,
        ),
    )


class SettingsFile:
    """The settings file; the platform may change it while the process runs."""

    def __init__(self, path: Path, cfg: PlatformSettings) -> None:
        self._path = path
        self._allowances = allowances_of(cfg.bounds)

    def reload(self) -> Allowances | None:
        """Return the allowances if they have changed."""
        try:
            parsed = parse_settings(self._path.read_bytes())
        except OSError as exc:
            reason = str(exc)
        else:
            if parsed.is_ok():
                return self._changed(allowances_of(parsed.ok.bounds))
            reason = parsed.error
        structlog.get_logger().warning("settings_invalid", reason=reason)
        return None

    def _changed(self, allowances: Allowances) -> Allowances | None:
        if allowances == self._allowances:
            return None
        self._allowances = allowances
        return allowances


def process_settings(path: Path, cfg: PlatformSettings) -> ProcessSettings:
    """Return the product's settings for a process of the platform."""
    peer_address = f"{cfg.ip}:{cfg.peer_port}"
    backends = HeaderBackends(NAMES)
    return ProcessSettings(
        router=RouterSettings(
            identity=Identity(
                cfg.instance, secrets.randbits(INCARNATION_BITS) + 1, cfg.data_centre
            ),
            fleet=FleetSettings(wire.FLEET_PREFIX, peer_address),
            key_table_prefix=wire.KEY_TABLE_PREFIX,
            claim_prefix=wire.CLAIM_PREFIX,
            allowances=allowances_of(cfg.bounds),
        ),
        adapter=EnvironmentAdapter(
            configuration_decoder=PlatformConfigurations(cfg.data_centres),
            servers=DiscoveredServers(wire.SERVER_PREFIX, PlatformServerEntries()),
            key_format=OpaqueKeyFormat(),
            is_reserved_header=backends.reserved,
        ),
        surroundings=Surroundings(
            store=PlatformStore((cfg.store_address,), STORE_TIMEOUT_S),
            callers=HeaderCallers(NAMES),
            backends=backends,
            control=JsonControl(CONTROL_NAMES),
            tracing=NoTracing(),
        ),
        caller_address=cfg.caller_address,
        peer_address=peer_address,
        admin_address=cfg.ready_address,
        caller_limits=FIRST_CALLER_LIMITS,
        balancer_lag_s=BALANCER_LAG_S,
        stop_s=cfg.bounds.stop_s,
        reload=SettingsFile(path, cfg).reload,
    )
