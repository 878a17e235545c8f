"""Registry of the peer messages of all components; used by the runtime."""

from typing import Final

from ..configuration.messages import register_messages as register_configuration
from ..crash_guard.messages import register_messages as register_crash_guard
from ..fleet.messages import register_messages as register_fleet
from ..keys.messages import register_messages as register_keys
from ..peer.registry import MessageRegistry
from ..placement.messages import register_messages as register_placement
from ..rates.messages import register_messages as register_rates
from ..rollouts.messages import register_messages as register_rollouts
from ..servers.messages import register_messages as register_servers

REGISTRARS: Final = (
    register_configuration,
    register_crash_guard,
    register_fleet,
    register_keys,
    register_rates,
    register_placement,
    register_servers,
    register_rollouts,
)


def make_registry() -> MessageRegistry:
    """Return a registry with the peer messages of every component."""
    registry = MessageRegistry()
    for register in REGISTRARS:
        register(registry)
    return registry
