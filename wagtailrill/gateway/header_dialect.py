"""Callers' and backend servers' headers, by a table of their names."""

import json

import attrs

from ..core.refusals import Refusal
from ..core.request_models import AttemptOutcome, BackendRequest, Headers, LoadReport
from .dialects import AnswerFields, CallerAnswer, CallerFields

JSON_HEADER = (b"content-type", b"application/json")
RETRY_AFTER = b"retry-after"
MS_PER_S = 1000.0
TIME_LEFT_MAX_MS = 86_400_000
MISDIRECTED_STATUS = 421
FAILURE_STATUS_MIN = 500
ATTEMPTS_MAX = 100
KEY_POSITIONS = 65_536
# The answered request itself is still counted as running in the reported load.
RAN = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})


@attrs.frozen
class HeaderNames:
    """Names of headers in lower case; an empty name is a header that is not used.

    `credential_scheme` comes before the tenant key in its header. `key_position` is
    read from callers if `callers_name_keys`, and otherwise sent to backend servers.
    Callers' headers with the `reserved_prefix` are not passed on.
    """

    request_id: bytes
    time_left_ms: bytes
    organisation: bytes
    expected_server: bytes
    credential: bytes
    credential_scheme: bytes
    key_position: bytes
    callers_name_keys: bool
    expires: bytes
    attempt: bytes
    idempotency_key: bytes
    load: bytes
    not_run: bytes
    start_id: bytes
    reserved_prefix: bytes = b""


class HeaderCallers:
    """Implements `CallerDialect`."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    def read(self, headers: Headers) -> CallerFields:
        """Return what the headers say; a malformed one counts as absent."""
        names = self._names
        fields = dict(headers)
        position = fields.get(names.key_position) if names.callers_name_keys else None
        return CallerFields(
            caller_id=fields.get(names.request_id, b"").decode("latin-1"),
            time_left_s=_time_left_s(fields.get(names.time_left_ms)),
            credential=self._credential(headers),
            key_position=_key_position(position),
            attempt=_attempt(fields.get(names.attempt)),
            idempotency_key=_only(headers, names.idempotency_key),
        )

    def refusal(self, refusal: Refusal, caller_id: str) -> CallerAnswer:
        """Return the answer that tells a caller of a refusal."""
        fields: dict[str, str | float] = {
            "code": refusal.code.value,
            "message": refusal.message,
            "ran": refusal.may_have_run.value,
        }
        headers = [JSON_HEADER]
        if caller_id and self._names.request_id:
            headers.append((self._names.request_id, caller_id.encode("latin-1")))
        if refusal.retry_after_s is not None:
            fields["retry_after_s"] = round(refusal.retry_after_s, 3)
            headers.append((RETRY_AFTER, f"{refusal.retry_after_s:.3f}".encode()))
        body = json.dumps(fields).encode()
        return CallerAnswer(refusal.status, tuple(headers), body)

    def _credential(self, headers: Headers) -> bytes | None:
        """Return the key of the one header that carries it, None if there is none."""
        value = _only(headers, self._names.credential)
        scheme = self._names.credential_scheme
        if value is None or value[: len(scheme)].lower() != scheme:
            return None
        return value[len(scheme) :].strip()


class HeaderBackends:
    """Implements `BackendDialect`."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._own = frozenset(
            {
                names.request_id,
                names.time_left_ms,
                names.organisation,
                names.expected_server,
                names.credential,
                names.expires,
                names.attempt,
            }
        )

    def reserved(self, name: bytes) -> bool:
        """Return whether a caller's header is not passed on."""
        prefix = self._names.reserved_prefix
        return name in self._own or (prefix != b"" and name.startswith(prefix))

    def order_headers(self, order: BackendRequest) -> Headers:
        """Return the headers that the request carries besides the caller's own."""
        names = self._names
        values = [
            (names.request_id, order.caller_request_id.encode("latin-1")),
            (names.time_left_ms, b"%d" % (order.timeout_s * MS_PER_S)),
            (names.expected_server, order.backend_server.encode()),
            (names.organisation, order.organisation.encode()),
            (names.expires, b"%.3f" % order.expires_unix_s),
            (names.attempt, b"%d" % order.attempt_number),
        ]
        if order.key_position is not None and not names.callers_name_keys:
            values.append((names.key_position, b"%d" % order.key_position))
        return tuple((name, value) for name, value in values if name and value)

    def read_answer(self, status: int, headers: Headers) -> AnswerFields:
        """Return what an answer says; header names are lower case."""
        names = self._names
        fields = dict(headers)
        request_id = fields.get(names.request_id)
        outcome = _outcome(status, fields.get(names.not_run))
        return AnswerFields(
            outcome=outcome,
            caller_id=None if request_id is None else request_id.decode("latin-1"),
            start_id=fields.get(names.start_id, b"").decode("latin-1"),
            load=_load(fields.get(names.load), 1 if outcome in RAN else 0),
        )


def _outcome(status: int, not_run: bytes | None) -> AttemptOutcome:
    if status == MISDIRECTED_STATUS:
        return AttemptOutcome.MISDIRECTED
    if not_run == b"fenced":
        return AttemptOutcome.FENCED
    if not_run is not None:
        return AttemptOutcome.SHED
    if status >= FAILURE_STATUS_MIN:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def _load(value: bytes | None, finished: int) -> LoadReport | None:
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
    return LoadReport(running, figures[1], figures[2], slowness)


def _only(headers: Headers, wanted: bytes) -> bytes | None:
    """Return the value of a header that occurs once."""
    if not wanted:
        return None
    values = [value for name, value in headers if name == wanted]
    return values[0] if len(values) == 1 else None


def _time_left_s(value: bytes | None) -> float | None:
    if value is None or not value.isdigit():
        return None
    return min(int(value), TIME_LEFT_MAX_MS) / MS_PER_S


def _key_position(value: bytes | None) -> int | None:
    if value is None or not value.isdigit() or len(value) > 5:
        return None
    position = int(value)
    return position if position < KEY_POSITIONS else None


def _attempt(value: bytes | None) -> int:
    if value is None:
        return 0
    return min(int(value), ATTEMPTS_MAX) if value.isdigit() else 1
