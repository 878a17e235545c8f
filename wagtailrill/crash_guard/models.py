"""Models of the crash guard."""

import enum

import attrs

from .const import BLOCK_S, CRASHES_IDEMPOTENT_MAX, CRASHES_OTHER_MAX


class CrashVerdict(enum.Enum):
    """What may happen to a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"  # runs while no other suspect runs on the same server
    BLOCKED = "blocked"


@attrs.frozen
class CrashGuardSettings:
    """Numbers of crashes that block a fingerprint, and for how many seconds."""

    crashes_idempotent_max: int = CRASHES_IDEMPOTENT_MAX
    crashes_other_max: int = CRASHES_OTHER_MAX
    block_s: float = BLOCK_S


@attrs.define
class Suspect:
    """A fingerprint that was running when a backend server crashed."""

    crashes: int
    expires_s: float
    seen: set[tuple[str, str]] = attrs.field(factory=set)
