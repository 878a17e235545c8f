"""Registry of all peer messages."""

from typing import Final

from ..configuration.messages import register_messages as register_configuration
from ..crash_guard.messages import register_messages as register_crash_guard
from ..idempotency.messages import register_messages as register_idempotency
from ..limits.messages import register_messages as register_limits
from ..membership.messages import register_messages as register_membership
from ..ownership.messages import register_messages as register_ownership
from ..peer.registry import MessageRegistry
from ..permits.messages import register_messages as register_permits

REGISTRARS: Final = (
    register_membership,
    register_ownership,
    register_configuration,
    register_limits,
    register_permits,
    register_idempotency,
    register_crash_guard,
)


def make_registry() -> MessageRegistry:
    """Return a registry with the messages of every component."""
    registry = MessageRegistry()
    for register in REGISTRARS:
        register(registry)
    return registry
