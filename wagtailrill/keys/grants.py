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
    OWNER_RETRY_S,
    OWNER_SILENT_S,
    RELEASE_RETRY_S,
    SERVER_CLOCK_BOUND,
)
from .models import FormerRow, Segment, SegmentRow, SegmentState

HELD_S = GRANT_S * (1.0 + SERVER_CLOCK_BOUND) + GRANT_MARGIN_S
CallResult = Result[object, ControlError]


@attrs.frozen
class GrantParts:
    """What the calls need.

    `may_act` tells whether the duty is still held, `heard_s` when a server last
    answered a request. `on_free` is called when another grant may go to a server.
    """

    ctx: Context
    servers: ServerTable
    service: str
    may_act: Callable[[], bool]
    on_change: Callable[[], None]
    on_load: Callable[[str, LoadReport], None]
    heard_s: Callable[[str], float]
    on_free: Callable[[str], None]


class Grants:
    """Calls the owners of segments and follows what the answers mean.

    Former owners are asked to release the keys under the new token, which bars every
    grant of an older one, however late it is carried out.
    """

    def __init__(self, parts: GrantParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._calls: Counter[str] = Counter()
        self._heard_s: dict[str, float] = {}
        # Grants to each owner that failed one after the other.
        self._failures: Counter[str] = Counter()
        self._failed_s: dict[str, float] = {}
        self._handlers: dict[SegmentState, Callable[[SegmentRow], None]] = {
            SegmentState.RELEASING: self._release,
            SegmentState.GRANTING: self._grant_if_due,
            SegmentState.SERVING: self._grant_if_due,
        }

    def run(self, row: SegmentRow) -> None:
        """Do what is due for a segment."""
        handler = self._handlers.get(row.state)
        if handler is not None:
            handler(row)

    # Grants

    def _grant_if_due(self, row: SegmentRow) -> None:
        interval_s = GRANT_RETRY_S if row.failures else GRANT_RENEW_S
        if row.state is SegmentState.GRANTING and not row.failures:
            interval_s = 0.0
        segment = row.segment
        if (
            row.calling
            or self._ctx.now_s - row.sent_s < interval_s
            or self._calls[segment.owner] >= CALLS_MAX
            or not self._parts.may_act()
        ):
            return
        row.calling = True
        row.sent_s = self._ctx.now_s
        self._calls[segment.owner] += 1
        former_until_s = row.held_until_s
        row.held_until_s = self._ctx.now_s + HELD_S
        self._ctx.call_backend(
            segment.owner,
            GrantKeys(
                segment.first, segment.last, segment.fence, GRANT_S, row.handover
            ),
            lambda result: self._granted(row, segment, result, former_until_s),
        )

    def _granted(
        self,
        row: SegmentRow,
        segment: Segment,
        result: CallResult,
        former_until_s: float,
    ) -> None:
        self._calls[segment.owner] -= 1
        current = row.segment is segment
        if current:
            row.calling = False
        if result.is_error():
            if current:
                self._grant_failed(row, result.error, former_until_s)
            return
        self._heard_s[segment.owner] = self._ctx.now_s
        self._failures[segment.owner] = 0
        granted = result.ok
        assert isinstance(granted, KeysGranted)
        if granted.load is not None:
            self._parts.on_load(segment.owner, granted.load)
        self._parts.on_free(segment.owner)
        if not current:
            return
        row.failures = 0
        if row.state is SegmentState.GRANTING:
            row.state = SegmentState.SERVING
            row.handover = ""
            self._log(LogName.KEYS_GRANTED, row, segment.owner)
            self._parts.on_change()

    def _grant_failed(
        self, row: SegmentRow, error: ControlError, former_until_s: float
    ) -> None:
        row.failures += 1
        self._failures[row.segment.owner] += 1
        self._failed_s[row.segment.owner] = self._ctx.now_s
        if error.kind is not ControlErrorKind.NO_ANSWER:
            row.held_until_s = former_until_s
        self._log(
            LogName.KEYS_GRANT_FAILED,
            row,
            row.segment.owner,
            kind=error.kind.value,
            failures=row.failures,
        )
        refused = error.kind in (ControlErrorKind.FENCED, ControlErrorKind.REFUSED)
        # The next write gives the keys to another server, or a new token.
        row.lost = row.lost or refused

    def owner_silent(self, owner: str) -> bool:
        """Return whether an owner has not been heard of for some time.

        All its keys are lost then: asking for each range would take seconds. It may get
        keys again after `OWNER_RETRY_S`.
        """
        if self._failures[owner] < GRANT_FAILURES_MAX:
            return False
        if self._ctx.now_s - self._failed_s[owner] >= OWNER_RETRY_S:
            self._failures[owner] = 0
            return False
        heard_s = max(
            self._heard_s.get(owner, float("-inf")), self._parts.heard_s(owner)
        )
        return self._ctx.now_s - heard_s >= OWNER_SILENT_S

    # Releases

    def _release(self, row: SegmentRow) -> None:
        for former in row.formers:
            if not former.done:
                self._check_former(row, former)
        if all(former.done for former in row.formers):
            row.state = SegmentState.GRANTING
            row.sent_s = float("-inf")
            self._grant_if_due(row)

    def _check_former(self, row: SegmentRow, former: FormerRow) -> None:
        now_s = self._ctx.now_s
        server = self._parts.servers.rows.get(former.former.owner)
        if server is not None and server.entry.start_id != former.former.start_id:
            former.done = True  # that process has ended
        elif now_s >= former.held_until_s:
            former.done = True
        elif not former.calling and now_s - former.asked_s >= RELEASE_RETRY_S:
            former.calling, former.asked_s = True, now_s
            segment = row.segment
            self._ctx.call_backend(
                former.former.owner,
                ReleaseKeys(segment.first, segment.last, segment.fence),
                lambda result: self._released(row, former, result),
            )

    def _released(self, row: SegmentRow, former: FormerRow, result: CallResult) -> None:
        former.calling = False
        owner = former.former.owner
        if result.is_error():
            former.failed = True
            self._log(
                LogName.KEYS_RELEASE_FAILED,
                row,
                owner,
                kind=result.error.kind.value,
                held_for_s=round(former.held_until_s - self._ctx.now_s, 3),
            )
            if result.error.kind is ControlErrorKind.REFUSED:
                former.done = True  # another process has the address
            return
        released = result.ok
        assert isinstance(released, KeysReleased)
        former.done = True
        row.handover = row.handover or released.handover
        self._log(LogName.KEYS_RELEASED, row, owner, handover=bool(released.handover))
        self.run(row)

    def _log(
        self,
        name: LogName,
        row: SegmentRow,
        backend_server: str,
        **fields: str | float | bool,
    ) -> None:
        segment = row.segment
        self._ctx.log(
            name,
            service=self._parts.service,
            backend_server=backend_server,
            first=segment.first,
            last=segment.last,
            fence=segment.fence,
            **fields,
        )
