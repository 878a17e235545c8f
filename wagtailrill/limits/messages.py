"""Messages between the holders of shares and an organisation's home.

All amounts are totals since the start of (epoch, session), so that any later
message repairs the loss of an earlier one.
"""

from pathlib import Path
from typing import Final

import attrs

from ..peer.registry import MessageRegistry
from .const import SHARE_UNITS


@attrs.frozen
class CollectHoldings:
    """Ask a member for all its holdings in a partition under a new epoch."""

    partition: int
    epoch: int


@attrs.frozen
class HolderAccount:
    """What a holder has seen granted and has returned; shares in `SHARE_UNITS`.

    `returned_tokens` is in `TOKEN_UNITS`; `waiting` counts requests without a token.
    """

    organisation: str
    number: int
    granted_rate: int
    granted_burst: int
    returned_rate: int
    returned_burst: int
    returned_tokens: int
    demand_per_s: float
    waiting: int = 0


@attrs.frozen
class HolderReport:
    """Accounts of a holder; a complete report lists every account it has."""

    partition: int
    epoch: int
    session: int
    version: int
    complete: bool
    accounts: tuple[HolderAccount, ...] = ()


@attrs.frozen
class HomeAccount:
    """What the home has granted to a holder, and what it asks back.

    `answered` ends an ask, `denied` says that no token is left. A holder returns
    what exceeds `keep_rate` and `keep_burst`; if `recalled`, all that it can spare.
    """

    organisation: str
    acknowledged: int
    granted_rate: int
    granted_burst: int
    granted_tokens: int
    answered: bool = False
    denied: bool = False
    recalled: bool = False
    keep_rate: int = SHARE_UNITS
    keep_burst: int = SHARE_UNITS


@attrs.frozen
class HomeGrant:
    """Accounts of the home with one holder."""

    partition: int
    epoch: int
    session: int
    version: int
    accounts: tuple[HomeAccount, ...] = ()


MESSAGES: Final[dict[int, type]] = {
    50: CollectHoldings,
    51: HolderReport,
    52: HomeGrant,
}


def register_messages(registry: MessageRegistry) -> None:
    """Register the messages of this package."""
    registry.register(Path(__file__).with_name("limits.capnp"), MESSAGES)
