"""Data of key ownership: the stored key table, the granter's state, and routes."""

import enum
import json
from bisect import bisect_right
from typing import Any

import attrs
from expression import Error, Ok, Result

from ..core.json_fields import get_integer, load_object, parse_integer, parse_list
from ..store.revision import FIRST_ERA, NUMBER_LIMIT, get_era
from .const import KEY_POSITIONS, RELEASE_RETRY_INTERVAL_S


def compute_token_floor(era: int) -> int:
    """Return the fencing token that all tokens of an era of the store exceed.

    After a restore of the store nobody knows the tokens that were granted since the
    copy was made, so the tokens of a later era begin above all of an earlier one.
    """
    return era * NUMBER_LIMIT


@attrs.frozen
class FormerOwner:
    """A server process that may still hold keys which another one now owns."""

    owner: str
    start_id: str


@attrs.frozen
class Segment:
    """Positions from `first` to `last`, both included, and their owner.

    `start_id` identifies the server process that was granted the keys, and `fence` is
    the fencing token of the grant. An empty `owner` means that nobody owns the keys.
    The owner is granted the keys only after all `formers` have ceased to hold them.
    """

    first: int
    last: int
    owner: str = ""
    start_id: str = ""
    fence: int = 0
    formers: tuple[FormerOwner, ...] = ()

    @property
    def process(self) -> FormerOwner:
        """Return the owner as a process that may hold the keys."""
        return FormerOwner(self.owner, self.start_id)


@attrs.frozen
class KeyTable:
    """All segments of a service in order, without gaps.

    `fence` is the highest fencing token that was ever used, and `duty_fence` the
    fencing token of the duty under which the table was written. It names the era of the
    store in which the table was complete.
    """

    segments: tuple[Segment, ...]
    fence: int = 0
    duty_fence: int = 0

    def is_older_than_era(self, era: int) -> bool:
        """Return whether owners may be missing that were lost by a restore."""
        return get_era(self.duty_fence) < era and era > FIRST_ERA

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
        """Parse the stored form; the error says why it is malformed."""
        try:
            document = load_object(content, "the table")
            rows = parse_list(document.get("segments"), "segments")
            table = cls(
                tuple(_parse_segment(*parse_list(row, "a segment")) for row in rows),
                get_integer(document, "fence"),
                get_integer(document, "duty_fence"),
            )
        except (ValueError, TypeError) as exc:
            return Error(f"malformed key table: {exc}")
        return (
            Ok(table)
            if table.covers_all_positions()
            else Error("segments of the key table have gaps or overlap")
        )

    def covers_all_positions(self) -> bool:
        """Return whether the segments contain each position once, in order."""
        expected = 0
        for segment in self.segments:
            if segment.first != expected or segment.last < segment.first:
                return False
            expected = segment.last + 1
        return expected == KEY_POSITIONS


def _parse_segment(
    first: Any, last: Any, owner: Any, start_id: Any, fence: Any, formers: Any
) -> Segment:
    return Segment(
        parse_integer(first, "first"),
        parse_integer(last, "last"),
        str(owner),
        str(start_id),
        parse_integer(fence, "fence"),
        tuple(
            FormerOwner(str(former_owner), str(former_start_id))
            for former_owner, former_start_id in formers
        ),
    )


EMPTY_TABLE = KeyTable((Segment(0, KEY_POSITIONS - 1),))


class SegmentState(enum.Enum):
    """Progress of a segment from its former owners to its owner."""

    VACANT = "vacant"  # never assigned, or not since the store was restored
    RELEASING = "releasing"  # former owners release its keys, or their grants expire
    GRANTING = "granting"  # not yet confirmed by its owner
    SERVING = "serving"
    REPLACED = "replaced"  # split, or read anew from the store: other rows take over


@attrs.define(eq=False)
class FormerOwnerRow:
    """The granter's state of the release by a former owner; times are monotonic.

    `held_until_s` is the latest time at which its grant expires. `keys_freed` means
    that neither it nor a later process under its name holds the keys: they were
    released, or the grant expired. `call_pending` concerns calls to release, and
    `asked_start_id` is the process that was known under the name at the last one.
    """

    process: FormerOwner
    held_until_s: float
    release_sent_s: float = float("-inf")
    call_pending: bool = False
    asked_start_id: str = ""
    release_failed: bool = False
    keys_freed: bool = False

    def is_release_due(self, now_s: float, known_start_id: str) -> bool:
        """Return whether the process known under the name is to be asked now.

        A later process than the one that was asked is asked at once, as that one has
        ended and does not answer.
        """
        if known_start_id != self.asked_start_id:
            return True
        return (
            not self.call_pending
            and now_s - self.release_sent_s >= RELEASE_RETRY_INTERVAL_S
        )

    def describe(self, now_s: float) -> str:
        """Return `server:seconds` with the time that its grant may have left."""
        return f"{self.process.owner}:{max(0.0, self.held_until_s - now_s):.3f}"


@attrs.define(eq=False)
class SegmentRow:
    """A segment with the granter's state of its grant; times are monotonic.

    `held_until_s` is the latest time at which the owner's grant expires, `target` the
    server that becomes the owner with the next write of the table, and `handover` what
    the former owner returned for the new one. `call_pending` concerns calls to grant.
    """

    segment: Segment
    state: SegmentState = SegmentState.VACANT
    target: str = ""
    handover: str = ""
    grant_sent_s: float = float("-inf")
    held_until_s: float = float("-inf")
    moved_s: float = float("-inf")
    grant_failures: int = 0
    grant_refused: bool = False
    call_pending: bool = False
    formers: list[FormerOwnerRow] = attrs.field(factory=list)

    @classmethod
    def from_outdated_segment(cls, segment: Segment) -> "SegmentRow":
        """Return the row of a segment from a table that a restore has made outdated.

        Its owner is preferred for the next grant, under a new fencing token.
        """
        return cls(attrs.evolve(segment, formers=()))

    @classmethod
    def from_segment(cls, segment: Segment, held_until_s: float) -> "SegmentRow":
        """Return the row of a stored segment whose grants expire by `held_until_s`."""
        formers = [FormerOwnerRow(former, held_until_s) for former in segment.formers]
        if not segment.owner:
            return cls(segment, formers=formers)
        state = SegmentState.RELEASING if formers else SegmentState.SERVING
        return cls(segment, state, held_until_s=held_until_s, formers=formers)

    def build_unmoved_segment(self) -> Segment:
        """Return the segment to store while it keeps its owner."""
        pending = tuple(f.process for f in self.formers if not f.keys_freed)
        return attrs.evolve(self.segment, formers=pending)

    def list_formers_of(
        self, new_owner: FormerOwner, now_s: float
    ) -> tuple[FormerOwner, ...]:
        """Return who may still hold the keys that move to a new owner."""
        return tuple(p for p in self.collect_holders(now_s) if p != new_owner)

    def may_hold_keys(self, now_s: float) -> bool:
        """Return whether a grant to the owner may be in force."""
        return bool(self.segment.owner) and now_s < self.held_until_s

    def collect_holders(self, now_s: float) -> "dict[FormerOwner, FormerOwnerRow]":
        """Return the processes that may hold the keys now, the owner included."""
        holders = {f.process: f for f in self.formers if not f.keys_freed}
        if self.may_hold_keys(now_s):
            process = self.segment.process
            holders[process] = FormerOwnerRow(process, self.held_until_s)
        return holders

    def may_get_grant(self, now_s: float) -> bool:
        """Return whether the owner may be granted the keys now.

        A write of the next owner lists who may hold the keys at its beginning. Until it
        is answered, an owner that is not in that list must not be granted them.
        """
        return not self.target or self.may_hold_keys(now_s)

    def split(self, first: int, last: int) -> "list[SegmentRow]":
        """Return the rows for the parts of the segment inside and outside a range.

        This row is returned if all of it is inside, or all of it outside. Otherwise it
        is replaced: results of its calls must not lead to further calls.
        """
        segment = self.segment
        is_outside = segment.last < first or segment.first > last
        if is_outside or (first <= segment.first and segment.last <= last):
            return [self]
        bounds = (
            (segment.first, first - 1),
            (max(segment.first, first), min(segment.last, last)),
            (last + 1, segment.last),
        )
        parts = [self._copy_part(*part) for part in bounds if part[0] <= part[1]]
        self.state = SegmentState.REPLACED
        return parts

    def _copy_part(self, first: int, last: int) -> "SegmentRow":
        """Return a row for a part of the segment, with the same state."""
        segment = attrs.evolve(self.segment, first=first, last=last)
        formers = [attrs.evolve(former, call_pending=False) for former in self.formers]
        return attrs.evolve(self, segment=segment, call_pending=False, formers=formers)


@attrs.frozen
class KeyRoutes:
    """Owners by position range, for routing; no requests go to an empty owner.

    Range `i` begins at position `starts[i]` and belongs to `owners[i]`. Routes are
    versioned by the pair of `duty_fence` and `sequence`.
    """

    starts: tuple[int, ...]
    owners: tuple[str, ...]
    duty_fence: int = 0
    sequence: int = 0

    def find_owner(self, position: int) -> str:
        """Return the owner of a position, empty if there is none."""
        return self.owners[bisect_right(self.starts, position) - 1]

    def is_newer_than(self, other: "KeyRoutes") -> bool:
        """Return whether these routes have a later version than others."""
        return (self.duty_fence, self.sequence) > (other.duty_fence, other.sequence)


NO_ROUTES = KeyRoutes((0,), ("",))
