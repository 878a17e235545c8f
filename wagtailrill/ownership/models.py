"""Models and interfaces of key slot ownership."""

import enum
from collections.abc import Callable
from typing import Protocol

import attrs

from ..membership.table import CellTable
from ..partitions.directory import Member, PartitionDirectory
from . import const

TableListener = Callable[[CellTable, int], None]
TableChange = Callable[[CellTable], CellTable | None]
ReportHandler = Callable[[Member, bytes], None]


class MembershipView(PartitionDirectory, Protocol):
    """The parts of membership that ownership uses."""

    @property
    def table(self) -> CellTable | None:
        """Return the last known cell table."""
        ...

    @property
    def table_version(self) -> int:
        """Return the version of the last known cell table."""
        ...

    def lease_remaining_s(self) -> float:
        """Return the rest of the member lease in seconds, as its holder counts it."""
        ...

    def coordinates(self) -> bool:
        """Return whether this member is the coordinator with authority now."""
        ...

    def in_outage_mode(self) -> bool:
        """Return whether the coordinator's authority comes from outage mode."""
        ...

    def acknowledged_by_all(self, version: int) -> bool:
        """Return whether every member acknowledged a version or was dropped."""
        ...

    def add_table_listener(self, listener: TableListener) -> None:
        """Call a listener with every new cell table."""
        ...

    def set_acknowledge_gate(self, gate: Callable[[int], bool]) -> None:
        """Ask a gate before a version is acknowledged."""
        ...

    def update_table(
        self, change: TableChange, on_done: Callable[[bool], None]
    ) -> None:
        """Change the cell table by compare-and-swap, as the coordinator."""
        ...

    def add_report(self, name: str, provider: Callable[[], bytes]) -> None:
        """Attach a payload to every heartbeat reply."""
        ...

    def on_report(self, name: str, handler: ReportHandler) -> None:
        """Handle a payload of members, as the coordinator."""
        ...


@attrs.frozen
class OwnershipSettings:
    """Durations and bounds; the defaults suit both deployments."""

    order_validity_s: float = const.ORDER_VALIDITY_S
    return_delay_s: float = const.RETURN_DELAY_S
    rebalance_interval_s: float = const.REBALANCE_INTERVAL_S
    rebalance_moves_max: int = const.REBALANCE_MOVES_MAX
    load_report_interval_s: float = const.LOAD_REPORT_INTERVAL_S
    hot_keys_max: int = const.HOT_KEYS_MAX


class RouteRefusal(enum.StrEnum):
    """Reason why a key cannot be routed now."""

    CUT_OFF = "cut_off"
    MOVING = "moving"
    NO_OWNER = "no_owner"
    OWNER_LOST = "owner_lost"
    OWNER_LEAVING = "owner_leaving"


@attrs.frozen
class SlotRoute:
    """Where an order goes; it must not run after `expires_unix_s`."""

    service: str
    backend_server: str
    slot: int
    epoch: int
    fence: int
    key_hash: int
    expires_s: float
    expires_unix_s: float


@attrs.frozen
class Explanation:
    """Why a key is routed as it is."""

    service: str
    slot: int
    hot: bool
    owner: str
    epoch: int
    state: str
    previous: str
    fence: int
    table_version: int
    reason: str


@attrs.define
class Churn:
    """Moves that were started, by reason, and the hot key changes."""

    moves: dict[str, int] = attrs.field(factory=dict)
    last_interval: int = 0
    promoted: int = 0
    demoted: int = 0

    def count(self, reason: str, number: int) -> None:
        """Add moves that were started for a reason."""
        self.moves[reason] = self.moves.get(reason, 0) + number
