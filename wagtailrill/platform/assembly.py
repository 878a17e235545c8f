"""Builds the settings of a process that runs on the platform; used by `program`."""

import secrets
from pathlib import Path
from typing import Final

import structlog

from ..core.context import Identity
from ..declaration.models import CallerLimits
from ..fleet.models import FleetSettings
from ..gateway.header_dialect import HeaderBackendDialect, HeaderCallerDialect
from ..gateway.json_control import JsonControlDialect
from ..observability.tracer import NoTracing
from ..organisations.keys import OpaqueKeyFormat
from ..rates.models import RateSettings
from ..retries.extra_attempts import ExtraAttemptSettings
from ..rollouts.models import RolloutSettings
from ..router.models import (
    Allowances,
    DiscoveredServers,
    EnvironmentAdapter,
    RouterSettings,
)
from ..runtime.connection_limits import derive_connections_max, read_descriptors_max
from ..runtime.const import INCARNATION_BITS
from ..runtime.process import ExternalInterfaces, ProcessSettings
from ..servers.warmth import ColdSettings
from . import wire
from .configuration import PlatformConfigurationDecoder
from .control import CONTROL_NAMES
from .dialect import HEADER_NAMES
from .discovery import PlatformEntryDecoder
from .rollouts import PlatformRolloutDialect
from .settings import Bounds, PlatformSettings, parse_settings
from .store_client import PlatformStore

STORE_TIMEOUT_S: Final = 1.0
# The platform checks readiness every second and stops sending requests to an instance
# after two failed checks.
LOAD_BALANCER_LAG_S: Final = 2.6
# Part of a machine's memory for what is held for requests. While the parts of a body
# are joined it is held twice, and the program itself takes some 60 MB.
BODY_MEMORY_RATIO: Final = 0.3
BYTES_PER_MB: Final = 1_000_000
# Apply until the first configuration of the operator replaces them.
INITIAL_CALLER_LIMITS: Final = CallerLimits(16_384, 67_108_864, 3.0, 15.0)


# A processor that only places requests answers 3,000 of them in a second; question, end
# and answer take some 800 bytes on the link.
LINK_MBPS_PER_PROCESSOR: Final = 20.0


def compute_capacity(cfg: PlatformSettings) -> float:
    """Return what work of duties a machine bears, in processors."""
    return min(cfg.cpu_share * cfg.cores, cfg.link_mbps / LINK_MBPS_PER_PROCESSOR)


def make_allowances(bounds: Bounds, contracts: frozenset[str]) -> Allowances:
    """Return the fleet-wide limits that the platform's bounds set."""
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
        rollouts=RolloutSettings(
            wire.ROLLOUT_CONTRACT in contracts,
            bounds.expose_share,
            bounds.expose_slack,
            bounds.rollback_s,
        ),
    )


class SettingsFile:
    """Settings file, which the platform may change while the process runs."""

    def __init__(self, path: Path, cfg: PlatformSettings) -> None:
        self._path = path
        self._allowances = make_allowances(cfg.bounds, cfg.contracts)

    def reload_allowances(self) -> Allowances | None:
        """Return the allowances if they have changed, otherwise None.

        A file that cannot be read or parsed is logged and changes nothing.
        """
        try:
            parsed = parse_settings(self._path.read_bytes())
        except OSError as exc:
            reason = str(exc)
        else:
            if parsed.is_ok():
                changed_cfg = parsed.ok
                return self._replace_if_changed(
                    make_allowances(changed_cfg.bounds, changed_cfg.contracts)
                )
            reason = parsed.error
        structlog.get_logger().warning("settings_invalid", reason=reason)
        return None

    def _replace_if_changed(self, allowances: Allowances) -> Allowances | None:
        if allowances == self._allowances:
            return None
        self._allowances = allowances
        return allowances


def make_process_settings(path: Path, cfg: PlatformSettings) -> ProcessSettings:
    """Return the process settings for the platform's settings file at `path`."""
    peer_address = f"{cfg.ip}:{cfg.peer_port}"
    memory_bytes = cfg.memory_mb * BYTES_PER_MB
    backend_dialect = HeaderBackendDialect(HEADER_NAMES)
    return ProcessSettings(
        router=RouterSettings(
            identity=Identity(
                cfg.instance, secrets.randbits(INCARNATION_BITS) + 1, cfg.data_centre
            ),
            fleet=FleetSettings(wire.FLEET_PREFIX, peer_address, compute_capacity(cfg)),
            key_table_prefix=wire.KEY_TABLE_PREFIX,
            claim_prefix=wire.CLAIM_PREFIX,
            allowances=make_allowances(cfg.bounds, cfg.contracts),
            is_first_start=cfg.is_first_start,
        ),
        adapter=EnvironmentAdapter(
            configuration_decoder=PlatformConfigurationDecoder(cfg.data_centres),
            servers=DiscoveredServers(wire.SERVER_PREFIX, PlatformEntryDecoder()),
            key_format=OpaqueKeyFormat(),
            is_reserved_header=backend_dialect.is_reserved_header,
            rollouts=PlatformRolloutDialect(),
        ),
        external=ExternalInterfaces(
            store=PlatformStore((cfg.store_address,), STORE_TIMEOUT_S),
            caller_dialect=HeaderCallerDialect(HEADER_NAMES),
            backend_dialect=backend_dialect,
            control_dialect=JsonControlDialect(CONTROL_NAMES),
            tracing=NoTracing(),
        ),
        caller_address=cfg.caller_address,
        peer_address=peer_address,
        admin_address=cfg.admin_address,
        caller_limits=INITIAL_CALLER_LIMITS,
        load_balancer_lag_s=LOAD_BALANCER_LAG_S,
        stop_timeout_s=cfg.bounds.stop_s,
        body_memory_bytes=int(memory_bytes * BODY_MEMORY_RATIO),
        caller_connections_max=derive_connections_max(
            min(cfg.file_descriptors_max, read_descriptors_max()), memory_bytes
        ),
        reload_allowances=SettingsFile(path, cfg).reload_allowances,
    )
