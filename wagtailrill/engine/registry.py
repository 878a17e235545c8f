"""Registry of all peer messages."""

from ..configuration import messages as configuration
from ..crash_guard import messages as crash_guard
from ..idempotency import messages as idempotency
from ..limits import messages as limits
from ..membership import messages as membership
from ..ownership import messages as ownership
from ..peer.registry import MessageRegistry
from ..permits import messages as permits

PACKAGES = (
    membership,
    ownership,
    configuration,
    limits,
    permits,
    idempotency,
    crash_guard,
)


def make_registry() -> MessageRegistry:
    """Return a registry with the messages of every component."""
    registry = MessageRegistry()
    for package in PACKAGES:
        registry.register(package.SCHEMA_FILE, package.MESSAGES)
    return registry
