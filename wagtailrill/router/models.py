"""Settings of one instance's decisions."""

import attrs

from ..core.context import Identity
from ..fleet.models import FleetSettings
from ..rates.models import RateSettings
from ..retries.extra_attempts import ExtraAttemptSettings
from ..servers.choice import ChoiceSettings
from ..servers.discovery import DiscoverySettings
from ..servers.warmth import ColdSettings


@attrs.frozen
class RouterSettings:
    """Settings of one instance's decisions; all durations are in seconds."""

    identity: Identity
    discovery: DiscoverySettings
    fleet: FleetSettings
    key_table_prefix: str
    rates: RateSettings = attrs.field(factory=RateSettings)
    cold: ColdSettings = attrs.field(factory=ColdSettings)
    choice: ChoiceSettings = attrs.field(factory=ChoiceSettings)
    extra_attempts: ExtraAttemptSettings = attrs.field(factory=ExtraAttemptSettings)
