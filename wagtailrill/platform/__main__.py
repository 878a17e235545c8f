"""Program that runs one instance on the platform."""

import os
import secrets
import sys
from pathlib import Path

import anyio

from ..core.context import Identity
from ..declaration.models import CallerLimits
from ..fleet.models import FleetSettings
from ..observability.logs import configure_logs
from ..organisations.keys import OpaqueKeyForm
from ..rates.models import RateSettings
from ..retries.extra_attempts import ExtraAttemptSettings
from ..router.models import RouterSettings
from ..router.router import Adapter
from ..runtime.process import Process, ProcessSettings
from ..servers.discovery import DiscoverySettings
from ..servers.warmth import ColdSettings
from ..settings.models import LogLevel
from . import wire
from .configuration import PlatformConfigurations
from .control import PlatformControl
from .dialect import PlatformBackends, PlatformCallers, forwarded_headers
from .discovery import PlatformServerEntries
from .settings import PlatformSettings, parse_settings
from .store_client import PlatformStore

SETTINGS_VARIABLE = "WAGTAILRILL_CONFIG"
STORE_TIMEOUT_S = 1.0
EXIT_USAGE = 2
INCARNATION_BITS = 62
# In force until the operator's configuration says otherwise.
FIRST_CALLER_LIMITS = CallerLimits(16_384, 67_108_864, 3.0, 15.0)


def process_settings(cfg: PlatformSettings) -> ProcessSettings:
    """Return the product's settings for a process of the platform."""
    incarnation = secrets.randbits(INCARNATION_BITS) + 1
    identity = Identity(cfg.instance, incarnation, cfg.data_centre)
    peer_address = f"{cfg.ip}:{cfg.peer_port}"
    bounds = cfg.bounds
    return ProcessSettings(
        router=RouterSettings(
            identity=identity,
            discovery=DiscoverySettings(wire.SERVER_PREFIX),
            fleet=FleetSettings("wagtailrill/fleet/", peer_address),
            key_table_prefix="wagtailrill/keys/",
            rates=RateSettings(
                bounds.quota_window_s, bounds.quota_excess, bounds.quota_allowance
            ),
            cold=ColdSettings(bounds.cold_excess_factor, bounds.cold_excess_requests),
            extra_attempts=ExtraAttemptSettings(
                share=bounds.retry_share,
                allowance=bounds.retry_allowance,
                window_s=bounds.retry_window_s,
            ),
        ),
        adapter=Adapter(
            configurations=PlatformConfigurations(cfg.data_centres),
            server_entries=PlatformServerEntries(),
            key_form=OpaqueKeyForm(),
            forwarded_headers=forwarded_headers,
        ),
        store=PlatformStore(cfg.store_address, STORE_TIMEOUT_S),
        callers=PlatformCallers(),
        backends=PlatformBackends(),
        control=PlatformControl(),
        peer_address=peer_address,
        caller_address=cfg.caller_address,
        probe_address=cfg.ready_address,
        caller_limits=FIRST_CALLER_LIMITS,
        stop_s=bounds.stop_s,
    )


async def async_main(cfg: PlatformSettings) -> None:
    """Run one instance until it is stopped."""
    configure_logs(LogLevel.INFO, cfg.instance)
    await Process(process_settings(cfg)).async_run()


def main() -> int:
    """Read the settings file and run one instance; return the exit status."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    try:
        result = parse_settings(Path(path).read_bytes())
    except OSError as exc:
        print(f"cannot read {path}: {exc.strerror}", file=sys.stderr)
        return EXIT_USAGE
    if result.is_error():
        print(f"{path}: {result.error}", file=sys.stderr)
        return EXIT_USAGE
    anyio.run(async_main, result.ok)
    return 0


if __name__ == "__main__":
    sys.exit(main())
