"""Grants one service's segments to backend servers and has former owners release them.

Used by the granter.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs
from expression import Result

from ..core.context import Context
from ..core.log_events import LogName
from ..core.request_models import LoadReport
from ..servers.control import (
    GRANT_TIMEOUT_S,
    ControlError,
    ControlErrorKind,
    GrantKeys,
    KeysGranted,
    KeysReleased,
    ReleaseKeys,
)
from ..servers.table import ServerTable
from .const import (
    GRANT_CALLS_PER_SERVER_MAX,
    GRANT_DURATION_S,
    GRANT_FAILURES_MAX,
    GRANT_MARGIN_S,
    GRANT_RENEWAL_INTERVAL_S,
    GRANT_RETRY_INTERVAL_S,
    OWNER_RETRY_DELAY_S,
    OWNER_SILENCE_MAX_S,
    SERVER_CLOCK_DRIFT_MAX_RATIO,
)
from .models import FormerOwnerRow, Segment, SegmentRow, SegmentState

# The longest time for which a server holds keys after a grant has arrived there.
GRANT_HELD_MAX_S: Final = (
    GRANT_DURATION_S * (1.0 + SERVER_CLOCK_DRIFT_MAX_RATIO) + GRANT_MARGIN_S
)
# The same after a grant has been sent, as it may arrive until the call is abandoned.
SENT_GRANT_HELD_MAX_S: Final = GRANT_TIMEOUT_S + GRANT_HELD_MAX_S
ControlResult = Result[object, ControlError]


@attrs.frozen
class GrantParts:
    """Dependencies of `GrantManager`.

    `may_call` returns whether the granter still runs and holds the duty, and
    `get_last_answer_s` the monotonic time at which a server last answered a request and
    reported its load. `on_call_slot_freed` is called with the name of a server that can
    take another grant call.
    """

    ctx: Context
    servers: ServerTable
    service: str
    may_call: Callable[[], bool]
    on_segments_changed: Callable[[], None]
    on_load_report: Callable[[str, LoadReport], None]
    get_last_answer_s: Callable[[str], float]
    on_call_slot_freed: Callable[[str], None]


class GrantManager:
    """Calls the owners of segments and updates the segments by their answers.

    Former owners are asked to release the keys under the new fencing token, so that
    they refuse every grant with an older one, however late it arrives. An owner that
    has started again under its name is asked as well: no answer to a grant tells which
    of its processes took the keys.
    """

    def __init__(self, parts: GrantParts) -> None:
        self._parts = parts
        self._ctx = parts.ctx
        self._open_calls: Counter[str] = Counter()
        self._last_grant_s: dict[str, float] = {}
        # Consecutive failed grants by owner.
        self._grant_failures: Counter[str] = Counter()
        self._last_failure_s: dict[str, float] = {}
        self._handlers: dict[SegmentState, Callable[[SegmentRow], None]] = {
            SegmentState.RELEASING: self._release_keys,
            SegmentState.GRANTING: self._grant_keys_if_due,
            SegmentState.SERVING: self._grant_keys_if_due,
        }

    def process_segment(self, row: SegmentRow) -> None:
        """Make the grant and release calls that are due for a segment."""
        handler = self._handlers.get(row.state)
        if handler is not None:
            handler(row)

    # Grants

    def _grant_keys_if_due(self, row: SegmentRow) -> None:
        interval_s = (
            GRANT_RETRY_INTERVAL_S if row.grant_failures else GRANT_RENEWAL_INTERVAL_S
        )
        if row.state is SegmentState.GRANTING and not row.grant_failures:
            interval_s = 0.0
        segment = row.segment
        if (
            row.call_pending
            or not row.may_get_grant(self._ctx.now_s)
            or self._has_owner_started_again(segment)
            or self._ctx.now_s - row.grant_sent_s < interval_s
            or self._open_calls[segment.owner] >= GRANT_CALLS_PER_SERVER_MAX
            or not self._parts.may_call()
        ):
            return
        row.call_pending = True
        row.grant_sent_s = self._ctx.now_s
        self._open_calls[segment.owner] += 1
        sent_s = self._ctx.now_s
        previous_held_until_s = row.held_until_s
        # A predecessor that still acts may renew the grant later than this.
        row.held_until_s = max(previous_held_until_s, sent_s + SENT_GRANT_HELD_MAX_S)
        self._ctx.call_backend(
            segment.owner,
            GrantKeys(
                segment.first,
                segment.last,
                segment.fence,
                GRANT_DURATION_S,
                row.handover,
            ),
            lambda result: self._on_grant_result(
                row, segment, result, sent_s, previous_held_until_s
            ),
        )

    def _has_owner_started_again(self, segment: Segment) -> bool:
        """Return whether a later process is known than the one that owns the keys.

        That one may be granted them only as their next owner, under a higher token.
        """
        server = self._parts.servers.rows.get(segment.owner)
        return server is not None and server.is_later_start_than(segment.start_id)

    def _on_grant_result(
        self,
        row: SegmentRow,
        segment: Segment,
        result: ControlResult,
        sent_s: float,
        previous_held_until_s: float,
    ) -> None:
        self._open_calls[segment.owner] -= 1
        is_current = row.segment is segment
        if is_current:
            row.call_pending = False
        else:
            self._log_outdated_grant(row, segment, result, sent_s)
        if result.is_error():
            if is_current:
                self._on_grant_failed(row, result.error, previous_held_until_s)
            return
        self._last_grant_s[segment.owner] = self._ctx.now_s
        self._grant_failures[segment.owner] = 0
        granted = result.ok
        assert isinstance(granted, KeysGranted)
        if granted.load is not None:
            self._parts.on_load_report(segment.owner, granted.load)
        self._parts.on_call_slot_freed(segment.owner)
        if not is_current:
            return
        row.grant_failures = 0
        row.held_until_s = max(
            previous_held_until_s,
            min(row.held_until_s, self._ctx.now_s + GRANT_HELD_MAX_S),
        )
        if row.state is SegmentState.GRANTING:
            row.state = SegmentState.SERVING
            row.handover = ""
            self._log_segment(
                LogName.KEYS_GRANTED,
                row,
                segment.owner,
                waited_s=round(self._ctx.now_s - sent_s, 3),
            )
            self._parts.on_segments_changed()

    def _on_grant_failed(
        self, row: SegmentRow, error: ControlError, previous_held_until_s: float
    ) -> None:
        row.grant_failures += 1
        self._grant_failures[row.segment.owner] += 1
        self._last_failure_s[row.segment.owner] = self._ctx.now_s
        if error.kind.excludes_effect:
            row.held_until_s = previous_held_until_s
        self._log_segment(
            LogName.KEYS_GRANT_FAILED,
            row,
            row.segment.owner,
            kind=error.kind.value,
            status=error.status,
            failures=row.grant_failures,
            state=row.state.value,
            held_for_s=self._compute_held_for_s(row.held_until_s),
        )
        refused = error.kind in (ControlErrorKind.FENCED, ControlErrorKind.REFUSED)
        # The next write assigns the keys to another server or under a new token.
        row.grant_refused = row.grant_refused or refused

    def is_owner_silent(self, owner: str) -> bool:
        """Return whether grants to an owner fail and it has not answered for a while.

        A silent owner loses all its keys at once, since it would take seconds until a
        grant of each segment has failed. It may get keys again after
        `OWNER_RETRY_DELAY_S`.
        """
        if self._grant_failures[owner] < GRANT_FAILURES_MAX:
            return False
        if self._ctx.now_s - self._last_failure_s[owner] >= OWNER_RETRY_DELAY_S:
            self._grant_failures[owner] = 0
            return False
        last_answer_s = max(
            self._last_grant_s.get(owner, float("-inf")),
            self._parts.get_last_answer_s(owner),
        )
        return self._ctx.now_s - last_answer_s >= OWNER_SILENCE_MAX_S

    # Releases

    def _release_keys(self, row: SegmentRow) -> None:
        for former in row.formers:
            if not former.keys_freed:
                self._check_former_owner(row, former)
        if all(former.keys_freed for former in row.formers):
            row.state = SegmentState.GRANTING
            row.grant_sent_s = float("-inf")
            self._grant_keys_if_due(row)

    def _check_former_owner(self, row: SegmentRow, former: FormerOwnerRow) -> None:
        now_s = self._ctx.now_s
        server = self._parts.servers.rows.get(former.process.owner)
        start_id = server.entry.start_id if server is not None else ""
        if now_s >= former.held_until_s:
            former.keys_freed = True
            self._log_freed(row, former, "grant_expired")
        elif former.is_release_due(now_s, start_id):
            former.call_pending, former.release_sent_s = True, now_s
            former.asked_start_id = start_id
            segment = row.segment
            self._ctx.call_backend(
                former.process.owner,
                ReleaseKeys(segment.first, segment.last, segment.fence),
                lambda result: self._on_release_result(row, former, result),
            )

    def _on_release_result(
        self, row: SegmentRow, former: FormerOwnerRow, result: ControlResult
    ) -> None:
        former.call_pending = False
        owner = former.process.owner
        if result.is_error():
            former.release_failed = True
            self._log_segment(
                LogName.KEYS_RELEASE_FAILED,
                row,
                owner,
                kind=result.error.kind.value,
                status=result.error.status,
                held_for_s=self._compute_held_for_s(former.held_until_s),
            )
            return
        released = result.ok
        assert isinstance(released, KeysReleased)
        former.keys_freed = True
        row.handover = row.handover or released.handover
        self._log_segment(
            LogName.KEYS_RELEASED,
            row,
            owner,
            handover=bool(released.handover),
            waited_s=round(self._ctx.now_s - former.release_sent_s, 3),
            held_for_s=self._compute_held_for_s(former.held_until_s),
        )
        self.process_segment(row)

    def _compute_held_for_s(self, held_until_s: float) -> float:
        """Return for how many seconds a grant may still be in force, 0 at least."""
        return round(max(0.0, held_until_s - self._ctx.now_s), 3)

    def _log_freed(self, row: SegmentRow, former: FormerOwnerRow, reason: str) -> None:
        self._log_segment(
            LogName.KEYS_FREED,
            row,
            former.process.owner,
            reason=reason,
            held_for_s=self._compute_held_for_s(former.held_until_s),
        )

    def _log_outdated_grant(
        self, row: SegmentRow, segment: Segment, result: ControlResult, sent_s: float
    ) -> None:
        """Log the result of a grant whose range has been moved since it was sent."""
        self._log_segment(
            LogName.KEYS_GRANT_OUTDATED,
            row,
            segment.owner,
            outcome=result.error.kind.value if result.is_error() else "granted",
            sent_fence=segment.fence,
            waited_s=round(self._ctx.now_s - sent_s, 3),
        )

    def _log_segment(
        self,
        event: LogName,
        row: SegmentRow,
        backend_server: str,
        **fields: str | float | bool,
    ) -> None:
        segment = row.segment
        self._ctx.log(
            event,
            service=self._parts.service,
            backend_server=backend_server,
            first=segment.first,
            last=segment.last,
            fence=segment.fence,
            **fields,
        )
