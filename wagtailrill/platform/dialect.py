"""Headers of callers and backend servers on the platform."""

import json

from ..core.orders import AttemptOutcome, Headers, LoadReport, Order
from ..core.refusals import Refusal
from ..gateway.dialects import AnswerFields, CallerAnswer, CallerFields
from . import wire

_JSON = (b"content-type", b"application/json")
_MS_PER_S = 1000.0
_MISDIRECTED_STATUS = 421
_FAILURE_STATUS_MIN = 500
_RAN = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})
_TIME_LEFT_MAX_MS = 86_400_000
# Set by this instance, whatever the caller sent.
_OWN_HEADERS = frozenset(
    {
        wire.TIME_LEFT_MS,
        wire.TENANT,
        wire.EXPECTED_SERVER,
        wire.AUTHORIZATION,
        wire.REQUEST_ID,
    }
)


class PlatformCallers:
    """Headers of callers."""

    def read(self, headers: Headers) -> CallerFields:
        """Return what the headers say; a malformed one counts as absent."""
        fields = dict(headers)
        return CallerFields(
            caller_id=fields.get(wire.REQUEST_ID, b"").decode("latin-1"),
            time_left_s=_time_left_s(fields.get(wire.TIME_LEFT_MS)),
            credential=_credential(headers),
            key_position=_key_position(fields.get(wire.KEY_POSITION)),
        )

    def refusal(self, refusal: Refusal, caller_id: str) -> CallerAnswer:
        """Return the answer that tells a caller of a refusal."""
        headers = [_JSON]
        if caller_id:
            headers.append((wire.REQUEST_ID, caller_id.encode("latin-1")))
        if refusal.retry_after_s is not None:
            value = f"{refusal.retry_after_s:.3f}".encode()
            headers.append((wire.RETRY_AFTER, value))
        fields = {"code": refusal.code.value, "message": refusal.message}
        body = json.dumps(fields).encode()
        return CallerAnswer(refusal.status, tuple(headers), body)


def forwarded_headers(headers: Headers) -> Headers:
    """Return a caller's headers without those that this instance sets itself."""
    return tuple((n, v) for n, v in headers if n not in _OWN_HEADERS)


class PlatformBackends:
    """Headers of orders and of backend servers' answers."""

    def order_headers(self, order: Order) -> Headers:
        """Return the headers that an order carries beside the caller's own."""
        headers = [
            (wire.REQUEST_ID, order.caller_id.encode("latin-1")),
            (wire.TIME_LEFT_MS, b"%d" % (order.timeout_s * _MS_PER_S)),
            (wire.EXPECTED_SERVER, order.backend_server.encode()),
        ]
        if order.organisation:
            headers.append((wire.TENANT, order.organisation.encode()))
        return tuple(headers)

    def read_answer(self, status: int, headers: Headers) -> AnswerFields:
        """Return what an answer says; header names are lower case."""
        fields = dict(headers)
        request_id = fields.get(wire.REQUEST_ID)
        outcome = _outcome(status, wire.NOT_RUN in fields)
        # The answered request itself is still counted as running.
        finished = 1 if outcome in _RAN else 0
        return AnswerFields(
            outcome=outcome,
            caller_id=None if request_id is None else request_id.decode("latin-1"),
            start_id=fields.get(wire.SERVER_ID, b"").decode("latin-1"),
            load=read_load(fields.get(wire.LOAD), finished),
        )


def _outcome(status: int, not_run: bool) -> AttemptOutcome:
    if status == _MISDIRECTED_STATUS:
        return AttemptOutcome.MISDIRECTED
    if not_run:
        return AttemptOutcome.SHED
    if status >= _FAILURE_STATUS_MIN:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def read_load(value: bytes | None, finished: int = 0) -> LoadReport | None:
    """Return the load of a header: running, waiting, slots, slowness in per cent.

    `finished` requests that are counted as running have ended.
    """
    if value is None:
        return None
    try:
        figures = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(figures) < 3 or min(figures) < 0:
        return None
    slowness = figures[3] / 100.0 if len(figures) > 3 else 1.0
    running = max(figures[0] - finished, 0)
    return LoadReport(running, figures[1], figures[2], max(slowness, 0.01))


def _time_left_s(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return min(int(value), _TIME_LEFT_MAX_MS) / _MS_PER_S


def _credential(headers: Headers) -> bytes | None:
    """Return the key of the one Authorization header, None if there is none."""
    values = [value for name, value in headers if name == wire.AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme = wire.AUTHORIZATION_SCHEME
    if values[0][: len(scheme)].lower() != scheme:
        return None
    return values[0][len(scheme) :].strip()


def _key_position(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > 5:
        return None
    position = int(value)
    return position if position < wire.KEY_POSITIONS else None
