"""Grants and releases of one service's segments at backend servers."""

from collections import Counter
from collections.abc import Callable

import attrs
from expression import Result

from ..core.context import Context
from ..core.log_events import LogName
from ..core.orders import LoadReport
from ..servers.control import (
    ControlError,
    ControlErrorKind,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from ..servers.table import ServerTable
from .const import (
    CALLS_MAX,
    GRANT_FAILURES_MAX,
    GRANT_MARGIN_S,
    GRANT_RENEW_S,
    GRANT_RETRY_S,
    GRANT_S,
    SERVER_CLOCK_BOUND,
)
from .models import Segment, SegmentRow, SegmentState

HELD_S = GRANT_S * (1.0 + SERVER_CLOCK_BOUND) + GRANT_MARGIN_S


@attrs.frozen
class GrantParts:
    """What the calls need; `may_act` tells whether the duty is still held."""

    ctx: Context
    servers: ServerTable
    service: str
    may_act: Callable[[], bool]
    on_change: Callable[[], None]
    on_load: Callable[[str, LoadReport], None]


class Grants:
    """Calls the owners of segments and follows what the answers mean."""

    def __init__(self, parts: GrantParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._calls: Counter[str] = Counter()

    def run(self, row: SegmentRow) -> None:
        """Do what is due for a segment."""
        handler = {
            SegmentState.GRANTING: self._grant_if_due,
            SegmentState.SERVING: self._grant_if_due,
            SegmentState.EXPIRING: self._expire_if_due,
        }.get(row.state)
        if handler is not None:
            handler(row)

    def release(self, row: SegmentRow) -> None:
        """Take a segment from its owner; it is vacant once the owner has let go."""
        row.state = SegmentState.RELEASING
        self._call_release(row)

    def expire(self, row: SegmentRow, reason: str) -> None:
        """Let a segment's grant end, because its owner cannot be asked."""
        row.state = SegmentState.EXPIRING
        self._ctx.log(
            LogName.KEY_OWNER_LOST,
            service=self._parts.service,
            backend_server=row.segment.owner,
            first=row.segment.first,
            last=row.segment.last,
            reason=reason,
            held_for_s=round(max(0.0, row.held_until_s - self._ctx.now_s), 3),
        )

    def vacate(self, row: SegmentRow) -> None:
        """Note that nobody holds a segment any more."""
        row.state = SegmentState.VACANT
        row.failures = 0
        self._parts.on_change()

    def _expire_if_due(self, row: SegmentRow) -> None:
        if self._ctx.now_s >= max(row.held_until_s, row.unanswered_until_s):
            self.vacate(row)

    def _grant_if_due(self, row: SegmentRow) -> None:
        interval_s = GRANT_RETRY_S if row.failures else GRANT_RENEW_S
        if row.state is SegmentState.GRANTING and not row.failures:
            interval_s = 0.0
        if row.calling or self._ctx.now_s - row.sent_s < interval_s:
            return
        if not self._parts.may_act():
            return
        segment = row.segment
        if self._calls[segment.owner] >= CALLS_MAX:
            return
        self._calls[segment.owner] += 1
        row.calling = True
        row.sent_s = self._ctx.now_s
        former_until_s = row.held_until_s
        row.held_until_s = self._ctx.now_s + HELD_S
        operation = GrantKeys(
            segment.first, segment.last, segment.fence, GRANT_S, row.handover
        )
        self._ctx.call_backend(
            segment.owner,
            operation,
            lambda result: self._granted(row, segment, result, former_until_s),
        )

    def _granted(
        self,
        row: SegmentRow,
        segment: Segment,
        result: "Result[object, ControlError]",
        former_until_s: float,
    ) -> None:
        row.calling = False
        self._calls[segment.owner] -= 1
        if result.is_ok():
            granted = result.ok
            assert isinstance(granted, KeysGranted)
            if granted.load is not None:
                self._parts.on_load(segment.owner, granted.load)
            row.failures = 0
            row.confirmed_s = self._ctx.now_s
            if row.state is SegmentState.GRANTING:
                row.state = SegmentState.SERVING
                row.handover = ""
                self._log(LogName.KEYS_GRANTED, row)
                self._parts.on_change()
            return
        error = result.error
        row.failures += 1
        if error.kind is ControlErrorKind.NO_ANSWER:
            row.unanswered_until_s = row.sent_s + HELD_S
        else:
            row.held_until_s = former_until_s
        if row.state not in (SegmentState.GRANTING, SegmentState.SERVING):
            return
        self._log(LogName.KEYS_GRANT_FAILED, row, kind=error.kind.value)
        if error.kind is ControlErrorKind.FENCED:
            # Only a new token, which the next write gives, can be granted.
            self.vacate(row)
        elif error.kind is ControlErrorKind.REFUSED:
            self.expire(row, "grant refused")
        elif row.failures >= GRANT_FAILURES_MAX:
            self.expire(row, "grants unanswered")
            self._parts.on_change()

    def _call_release(self, row: SegmentRow) -> None:
        segment = row.segment
        row.calling = True
        self._ctx.call_backend(
            segment.owner,
            ReleaseKeys(segment.first, segment.last, segment.fence),
            lambda result: self._released(row, result),
        )

    def _released(
        self, row: SegmentRow, result: "Result[object, ControlError]"
    ) -> None:
        row.calling = False
        if row.state is not SegmentState.RELEASING:
            return
        if result.is_error():
            self._log(LogName.KEYS_RELEASE_FAILED, row, kind=result.error.kind.value)
            self.expire(row, "release failed")
            return
        released = result.ok
        assert isinstance(released, KeysReleased)
        row.handover = released.handover
        self._log(LogName.KEYS_RELEASED, row, handover=bool(released.handover))
        if self._ctx.now_s < row.unanswered_until_s:
            # A grant that was not answered may still be carried out.
            row.state = SegmentState.EXPIRING
            row.held_until_s = row.unanswered_until_s
        else:
            self.vacate(row)

    def _log(self, name: LogName, row: SegmentRow, **fields: str | bool) -> None:
        segment = row.segment
        self._ctx.log(
            name,
            service=self._parts.service,
            backend_server=segment.owner,
            first=segment.first,
            last=segment.last,
            fence=segment.fence,
            **fields,
        )
