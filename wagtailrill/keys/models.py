"""Models of key ownership."""

import enum
import json
from bisect import bisect_right
from typing import Any

import attrs
from expression import Error, Ok, Result

from .const import KEY_POSITIONS


@attrs.frozen
class Former:
    """A process that may still hold keys which have been given to another."""

    owner: str
    start_id: str


@attrs.frozen
class Segment:
    """Positions from `first` to `last`, both included, and who holds them.

    `start_id` is the process start that was granted the keys, `fence` the fencing
    token of the grant. An empty `owner` holds nothing. The owner is asked only when
    all `formers` have given the keys up.
    """

    first: int
    last: int
    owner: str = ""
    start_id: str = ""
    fence: int = 0
    formers: tuple[Former, ...] = ()


@attrs.frozen
class KeyTable:
    """All segments of a service in order, without gaps.

    `fence` is the highest token that was ever used, and `duty_fence` that of the duty
    under which the table was written.
    """

    segments: tuple[Segment, ...]
    fence: int = 0
    duty_fence: int = 0

    def to_bytes(self) -> bytes:
        """Return the stored form."""
        document = {
            "fence": self.fence,
            "duty_fence": self.duty_fence,
            "segments": [attrs.astuple(segment) for segment in self.segments],
        }
        return json.dumps(document, separators=(",", ":")).encode()

    @classmethod
    def from_bytes(cls, content: bytes) -> "Result[KeyTable, str]":
        """Return the table, or why it is malformed."""
        try:
            document = json.loads(content)
            segments = tuple(_segment(*fields) for fields in document["segments"])
            table = cls(segments, int(document["fence"]), int(document["duty_fence"]))
        except (ValueError, KeyError, TypeError) as exc:
            return Error(f"malformed key table: {exc}")
        return Ok(table) if table.covers_all() else Error("the table has gaps")

    def covers_all(self) -> bool:
        """Return whether the segments hold each position once, in order."""
        expected = 0
        for segment in self.segments:
            if segment.first != expected or segment.last < segment.first:
                return False
            expected = segment.last + 1
        return expected == KEY_POSITIONS


def _segment(
    first: int, last: int, owner: str, start_id: str, fence: int, formers: Any
) -> Segment:
    return Segment(
        int(first),
        int(last),
        str(owner),
        str(start_id),
        int(fence),
        tuple(Former(str(name), str(former)) for name, former in formers),
    )


EMPTY_TABLE = KeyTable((Segment(0, KEY_POSITIONS - 1),))


class SegmentState(enum.Enum):
    """What the granter does with a segment."""

    VACANT = "vacant"  # nobody was ever given it
    RELEASING = "releasing"  # former owners give its keys up, or their grants end
    GRANTING = "granting"  # not yet confirmed by its owner
    SERVING = "serving"


@attrs.define(eq=False)
class FormerRow:
    """A former owner with the time at which its grant has ended at the latest."""

    former: Former
    held_until_s: float
    asked_s: float = float("-inf")
    calling: bool = False
    failed: bool = False
    done: bool = False


@attrs.define(eq=False)
class SegmentRow:
    """A segment with the granter's knowledge of its grant; times are monotonic.

    `held_until_s` is the time at which the owner's grant has ended at the latest,
    `target` the server that is to get the keys with the next write.
    """

    segment: Segment
    state: SegmentState = SegmentState.VACANT
    target: str = ""
    handover: str = ""
    sent_s: float = float("-inf")
    held_until_s: float = float("-inf")
    moved_s: float = float("-inf")
    failures: int = 0
    lost: bool = False
    calling: bool = False
    formers: list[FormerRow] = attrs.field(factory=list)

    def piece(self, first: int, last: int) -> "SegmentRow":
        """Return a row for a part of the segment with the same knowledge."""
        segment = attrs.evolve(self.segment, first=first, last=last)
        formers = [attrs.evolve(former, calling=False) for former in self.formers]
        return attrs.evolve(self, segment=segment, calling=False, formers=formers)


@attrs.frozen
class KeyRoutes:
    """Owners by position as members use them; an empty owner cannot be asked now."""

    starts: tuple[int, ...]
    owners: tuple[str, ...]
    duty_fence: int = 0
    sequence: int = 0

    def owner_of(self, position: int) -> str:
        """Return the owner of a position, empty if there is none."""
        return self.owners[bisect_right(self.starts, position) - 1]

    def is_newer_than(self, other: "KeyRoutes") -> bool:
        """Return whether these routes replace others."""
        return (self.duty_fence, self.sequence) > (other.duty_fence, other.sequence)


NO_ROUTES = KeyRoutes((0,), ("",))
