"""Settings and states of the local mirrors of store keys."""

import enum

import attrs

from .const import CONFIRMATION_GAP_MAX_S, WATCH_PAUSE_S, WATCH_WAIT_MAX_S


class MirrorState(enum.Enum):
    """Which kind of store call the mirror makes, if any."""

    LISTING = "listing"
    WATCHING = "watching"
    RELAYED = "relayed"  # another instance passes the changes on


@attrs.frozen
class MirrorSettings:
    """Prefix to mirror; pause between watches and longest wait of one in seconds.

    What another instance confirms is relied on until `confirmation_gap_max_s` seconds
    after the store confirmed it. That is longer than the time between confirmations.
    Values of `private_keys` are not passed on to other instances.
    """

    prefix: str
    watch_pause_s: float = WATCH_PAUSE_S
    watch_wait_max_s: float = WATCH_WAIT_MAX_S
    confirmation_gap_max_s: float = CONFIRMATION_GAP_MAX_S
    private_keys: frozenset[str] = frozenset()
