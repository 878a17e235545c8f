"""Settings and rows of membership."""

import attrs

from ..core.const import (
    COORDINATOR_LEASE_S,
    COORDINATOR_RENEW_INTERVAL_S,
    HEARTBEAT_INTERVAL_S,
    MEMBER_LEASE_S,
    PEER_CONFIRMATION_S,
    SUSPICION_TIMEOUT_S,
)
from ..partitions.directory import Member
from .const import CELL_SIZE_LIMIT, LEASE_CAP_S
from .messages import HeartbeatReply


@attrs.frozen
class MembershipSettings:
    """Settings of one cell; durations are in seconds."""

    cell: str
    deployment: str
    cell_size_limit: int = CELL_SIZE_LIMIT
    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    suspicion_timeout_s: float = SUSPICION_TIMEOUT_S
    member_lease_s: float = MEMBER_LEASE_S
    lease_cap_s: float = LEASE_CAP_S
    coordinator_lease_s: float = COORDINATOR_LEASE_S
    renew_interval_s: float = COORDINATOR_RENEW_INTERVAL_S
    peer_confirmation_s: float = PEER_CONFIRMATION_S

    @property
    def table_key(self) -> str:
        """Return the store key of the cell table."""
        return f"{self.deployment}/{self.cell}/table"

    @property
    def coordinator_key(self) -> str:
        """Return the store key that the coordinator's store lease holds."""
        return f"{self.deployment}/{self.cell}/coordinator"


@attrs.define(eq=False)
class PeerRow:
    """What the coordinator knows of one process; times are monotonic seconds."""

    member: Member
    heard_s: float = float("-inf")
    granted_until_s: float = float("-inf")
    confirmed_s: float = float("-inf")
    sent_s: float = float("-inf")
    sent_number: int = 0
    sent_times: dict[int, float] = attrs.field(factory=dict)
    join: int = 0
    lapsed_join: int = 0
    applied: int = 0
    acknowledged: int = 0
    leaving: bool = False
    last_reply: HeartbeatReply | None = None
