"""Settings of a router, and its adapter to the environment that it runs in."""

from collections.abc import Callable

import attrs

from ..configuration.follower import ConfigurationDecoder
from ..core.context import Identity
from ..declaration.models import Configuration
from ..fleet.models import FleetSettings
from ..organisations.keys import TenantKeyFormat
from ..rates.models import RateSettings
from ..retries.extra_attempts import ExtraAttemptSettings
from ..rollouts.models import RolloutDialect, RolloutSettings
from ..servers.distance import DistanceSettings
from ..servers.entry_listing import EntryDecoder
from ..servers.models import ServerEntry
from ..servers.warmth import ColdSettings


@attrs.frozen
class Allowances:
    """Fleet-wide limits that the environment sets."""

    rates: RateSettings = attrs.field(factory=RateSettings)
    cold: ColdSettings = attrs.field(factory=ColdSettings)
    extra_attempts: ExtraAttemptSettings = attrs.field(factory=ExtraAttemptSettings)
    rollouts: RolloutSettings = attrs.field(factory=RolloutSettings)


@attrs.frozen
class RouterSettings:
    """Settings of one instance's router.

    `key_table_prefix` and `claim_prefix` are prefixes of the store keys that this
    deployment writes. With `is_first_start` the whole deployment starts for the first
    time, so that nothing has ended or left yet.
    """

    identity: Identity
    fleet: FleetSettings
    key_table_prefix: str
    claim_prefix: str
    allowances: Allowances = attrs.field(factory=Allowances)
    distance: DistanceSettings = attrs.field(factory=DistanceSettings)
    is_first_start: bool = False


@attrs.frozen
class DiscoveredServers:
    """Backend servers that register themselves under a key prefix of the store."""

    prefix: str
    decoder: EntryDecoder


@attrs.frozen
class DeclaredServers:
    """Backend servers that are listed in the configuration, by name."""

    list_entries: Callable[[Configuration], dict[str, ServerEntry]]


@attrs.frozen
class EnvironmentAdapter:
    """Reads the configuration, servers and tenant keys of one kind of environment.

    `is_reserved_header` returns whether a caller's header is not forwarded. With
    `needs_idempotency_key` a request that is not idempotent must carry an idempotency
    key. Without `rollouts` there are no roll-outs, and every version is allowed.
    """

    configuration_decoder: ConfigurationDecoder
    servers: DiscoveredServers | DeclaredServers
    key_format: TenantKeyFormat
    is_reserved_header: Callable[[bytes], bool]
    needs_idempotency_key: bool = False
    rollouts: RolloutDialect | None = None
