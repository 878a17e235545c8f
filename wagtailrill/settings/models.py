"""Models of the instance settings."""

import enum

import attrs

from .const import (
    DEFAULT_BODY_MAX_BYTES,
    DEFAULT_BODY_MEMORY_BYTES,
    DEFAULT_CALLER_CONNECTIONS_MAX,
    DEFAULT_CELL,
    DEFAULT_DEFERRABLE_QUEUE_MAX_REQUESTS,
    DEFAULT_DRAIN_S,
    DEFAULT_HEADER_MAX_BYTES,
    DEFAULT_LOAD_BALANCER_LAG_S,
    DEFAULT_QUEUE_MAX_REQUESTS,
    DEFAULT_REMOTE_BYTES_PER_S,
    DEFAULT_RESPONSE_MAX_BYTES,
    DEFAULT_STORE_TIMEOUT_S,
    DEFAULT_TRACE_SAMPLE_RATIO,
)


class LogLevel(enum.StrEnum):
    """Minimum level of the log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@attrs.frozen
class Limits:
    """Limits on the memory that callers and servers can make an instance use.

    `body_memory_bytes` is for all bodies together, of requests and responses.
    """

    body_max_bytes: int = DEFAULT_BODY_MAX_BYTES
    response_max_bytes: int = DEFAULT_RESPONSE_MAX_BYTES
    body_memory_bytes: int = DEFAULT_BODY_MEMORY_BYTES
    header_max_bytes: int = DEFAULT_HEADER_MAX_BYTES
    queue_max_requests: int = DEFAULT_QUEUE_MAX_REQUESTS
    deferrable_queue_max_requests: int = DEFAULT_DEFERRABLE_QUEUE_MAX_REQUESTS
    caller_connections_max: int = DEFAULT_CALLER_CONNECTIONS_MAX


@attrs.frozen
class InstanceSettings:
    """Settings of one instance; durations are in seconds, addresses are IP:port.

    Peer messages are signed with the first of `peer_secrets` and accepted with any of
    them.
    """

    instance: str
    deployment: str
    data_centre: str
    caller_address: str
    peer_address: str
    admin_address: str
    store_addresses: tuple[str, ...]
    peer_secrets: tuple[bytes, ...] = attrs.field(repr=False)
    cell: str = DEFAULT_CELL
    trace_sample_ratio: float = DEFAULT_TRACE_SAMPLE_RATIO
    drain_s: float = DEFAULT_DRAIN_S
    load_balancer_lag_s: float = DEFAULT_LOAD_BALANCER_LAG_S
    store_timeout_s: float = DEFAULT_STORE_TIMEOUT_S
    remote_bytes_per_s: float = DEFAULT_REMOTE_BYTES_PER_S
    log_level: LogLevel = LogLevel.INFO
    limits: Limits = Limits()
