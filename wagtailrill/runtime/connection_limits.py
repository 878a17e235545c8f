"""Derives how many connections of callers a process may have."""

import resource

from .const import (
    CALLER_DESCRIPTORS_RATIO,
    CALLER_MEMORY_RATIO,
    CONNECTION_COST_BYTES,
    FILE_DESCRIPTORS,
)


def read_descriptors_max() -> int:
    """Return how many descriptors the system lets this process open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def derive_connections_max(
    descriptors_max: int, memory_bytes: int | None = None
) -> int:
    """Return how many caller connections fit into the descriptors and the memory.

    The other descriptors are left for files and for the connections to backend
    servers, peers and the store. Without `memory_bytes` only descriptors count.
    """
    connections_max = int(
        (descriptors_max - FILE_DESCRIPTORS) * CALLER_DESCRIPTORS_RATIO
    )
    if memory_bytes is not None:
        by_memory = int(memory_bytes * CALLER_MEMORY_RATIO / CONNECTION_COST_BYTES)
        connections_max = min(connections_max, by_memory)
    return max(connections_max, 1)
