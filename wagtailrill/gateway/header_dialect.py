"""Implements the dialects of callers and backend servers from a table of header names.

The native and the platform environment each provide such a table.
"""

import json

import attrs

from ..core.refusals import Refusal
from ..core.request_models import (
    AttemptOutcome,
    BackendRequest,
    EchoedId,
    Headers,
    LoadReport,
)
from .dialects import CallerFields, CallerResponse, ResponseFields
from .server_notice import RETRY_AFTER_HEADER, parse_notice

JSON_HEADER = (b"content-type", b"application/json")
MS_PER_S = 1000.0
TIME_LEFT_MAX_MS = 86_400_000
MISDIRECTED_STATUS = 421
UNAVAILABLE_STATUS = 503
FAILURE_STATUS_MIN = 500
ATTEMPT_NUMBER_MAX = 100
# Larger numbers of a load report are cut to this; peer messages carry 32 bits.
LOAD_NUMBER_MAX = 1_000_000
LOAD_PARTS_MIN = 3
LOAD_PARTS_MAX = 4
PERCENT = 100.0
KEY_POSITIONS = 65_536
# These tell callers that the request has not run, so they cannot come with a signature.
NOT_RUN_STATUSES = frozenset({408, 429, 503})
# The load reported with these outcomes still counts the request itself as running.
RAN_OUTCOMES = frozenset({AttemptOutcome.ANSWERED, AttemptOutcome.FAILED})


@attrs.frozen
class HeaderNames:
    """Names of headers in lower case; an empty name means that none is used.

    `credential_scheme` precedes the tenant key in its header. `key_position` is read
    from callers if `callers_send_key_position`, and otherwise sent to backend servers.
    Headers of callers that start with `reserved_prefix` are not passed on. A server
    puts `signature` into its answers to requests that it has run, and `not_run` into
    the others. With `servers_echo_request_id` all answers to requests with an id
    carry it.
    """

    request_id: bytes
    time_left_ms: bytes
    organisation: bytes
    expected_server: bytes
    credential: bytes
    credential_scheme: bytes
    key_position: bytes
    callers_send_key_position: bool
    expires: bytes
    attempt_number: bytes
    idempotency_key: bytes
    load: bytes
    not_run: bytes
    start_id: bytes
    leaving: bytes
    signature: bytes
    servers_echo_request_id: bool
    reserved_prefix: bytes = b""


class HeaderCallerDialect:
    """Implements `CallerDialect`."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names

    def parse_headers(self, headers: Headers) -> CallerFields:
        """Return the values of the headers; malformed ones count as absent."""
        names = self._names
        fields = dict(headers)
        position = (
            fields.get(names.key_position) if names.callers_send_key_position else None
        )
        return CallerFields(
            caller_request_id=fields.get(names.request_id, b"").decode("latin-1"),
            time_left_s=_parse_time_left_s(fields.get(names.time_left_ms)),
            credential=self._get_credential(headers),
            key_position=_parse_key_position(position),
            attempt_number=_parse_attempt_number(fields.get(names.attempt_number)),
            idempotency_key=_get_single_value(headers, names.idempotency_key),
        )

    def encode_refusal(
        self, refusal: Refusal, caller_request_id: str
    ) -> CallerResponse:
        """Return the response that tells a caller of a refusal."""
        fields: dict[str, str | float] = {
            "code": refusal.code.value,
            "message": refusal.message,
            "ran": refusal.may_have_run.value,
        }
        headers = [JSON_HEADER]
        if caller_request_id and self._names.request_id:
            headers.append(
                (self._names.request_id, caller_request_id.encode("latin-1"))
            )
        if refusal.retry_after_s is not None:
            fields["retry_after_s"] = round(refusal.retry_after_s, 3)
            headers.append(
                (RETRY_AFTER_HEADER, f"{refusal.retry_after_s:.3f}".encode())
            )
        body = json.dumps(fields).encode()
        return CallerResponse(refusal.status, tuple(headers), body)

    def _get_credential(self, headers: Headers) -> bytes | None:
        """Return the tenant key, None unless exactly one header carries one."""
        value = _get_single_value(headers, self._names.credential)
        scheme = self._names.credential_scheme
        if value is None or value[: len(scheme)].lower() != scheme:
            return None
        return value[len(scheme) :].strip()


class HeaderBackendDialect:
    """Implements `BackendDialect`."""

    def __init__(self, names: HeaderNames) -> None:
        self._names = names
        self._reserved_names = frozenset(
            {
                names.request_id,
                names.time_left_ms,
                names.organisation,
                names.expected_server,
                names.credential,
                names.expires,
                names.attempt_number,
            }
        )

    def is_reserved_header(self, name: bytes) -> bool:
        """Return whether a header of a caller's request is not passed on."""
        prefix = self._names.reserved_prefix
        return name in self._reserved_names or (
            prefix != b"" and name.startswith(prefix)
        )

    def build_request_headers(self, request: BackendRequest) -> Headers:
        """Return the headers that are sent besides those of the caller."""
        names = self._names
        values = [
            (names.request_id, request.caller_request_id.encode("latin-1")),
            (names.time_left_ms, b"%d" % (request.timeout_s * MS_PER_S)),
            (names.expected_server, request.backend_server.encode()),
            (names.organisation, request.organisation.encode()),
            (names.expires, b"%.3f" % request.expires_unix_s),
            (names.attempt_number, b"%d" % request.attempt_number),
        ]
        if request.key_position is not None and not names.callers_send_key_position:
            values.append((names.key_position, b"%d" % request.key_position))
        return tuple((name, value) for name, value in values if name and value)

    def parse_response(
        self, request: BackendRequest, status: int, headers: Headers
    ) -> ResponseFields:
        """Return the values of a response; header names are in lower case."""
        names = self._names
        fields = dict(headers)
        echoed_id = _compare_id(request, fields.get(names.request_id))
        is_signed = names.signature in fields
        outcome = _classify_outcome(status, fields.get(names.not_run))
        if (
            names.signature
            and outcome in RAN_OUTCOMES
            and not request.is_control_call
            and (not is_signed or status in NOT_RUN_STATUSES)
        ):
            outcome = AttemptOutcome.BAD_ANSWER
        return ResponseFields(
            outcome=outcome,
            echoed_id=echoed_id,
            belongs_to_request=self._belongs_to_request(request, echoed_id),
            is_signed=is_signed,
            start_id=fields.get(names.start_id, b"").decode("latin-1"),
            load=_parse_load(
                fields.get(names.load), 1 if outcome in RAN_OUTCOMES else 0
            ),
            notice=parse_notice(
                headers, names.leaving, is_unavailable=status == UNAVAILABLE_STATUS
            ),
        )

    def _belongs_to_request(self, request: BackendRequest, echoed_id: EchoedId) -> bool:
        """Return whether a response with this id may be the answer to a request."""
        if echoed_id is EchoedId.ABSENT:
            must_echo = self._names.servers_echo_request_id
            return not (must_echo and request.caller_request_id)
        return echoed_id is EchoedId.OWN


def _compare_id(request: BackendRequest, request_id: bytes | None) -> EchoedId:
    """Compare the request id of a response with that of a request."""
    if request_id is None:
        return EchoedId.ABSENT
    is_own = request_id.decode("latin-1") == request.caller_request_id
    return EchoedId.OWN if is_own else EchoedId.OTHER


def _classify_outcome(status: int, not_run: bytes | None) -> AttemptOutcome:
    """Return the outcome by the status and the reason why the request was not run."""
    if status == MISDIRECTED_STATUS:
        return AttemptOutcome.MISDIRECTED
    if not_run == b"fenced":
        return AttemptOutcome.FENCED
    if not_run is not None:
        return AttemptOutcome.SHED
    if status >= FAILURE_STATUS_MIN:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED


def _parse_load(value: bytes | None, finished_requests: int) -> LoadReport | None:
    """Return the load of a header value, None if it is absent or malformed.

    The value is `running,waiting,slots[,slowness]`, the slowness in per cent; it still
    counts `finished_requests` as running.
    """
    if value is None:
        return None
    parts = value.split(b",")[:LOAD_PARTS_MAX]
    numbers = [_parse_number(part.strip(), LOAD_NUMBER_MAX) for part in parts]
    known = [number for number in numbers if number is not None]
    if len(known) < max(len(parts), LOAD_PARTS_MIN):
        return None
    slowness = known[3] / PERCENT if len(known) == LOAD_PARTS_MAX else 1.0
    running = max(known[0] - finished_requests, 0)
    return LoadReport(running, known[1], known[2], slowness)


def _get_single_value(headers: Headers, header_name: bytes) -> bytes | None:
    """Return the value of a header, None unless it occurs exactly once."""
    if not header_name:
        return None
    values = [value for name, value in headers if name == header_name]
    return values[0] if len(values) == 1 else None


def _parse_number(value: bytes | None, maximum: int) -> int | None:
    """Return a number of decimal digits, at most `maximum`; None for another value.

    Digits are counted first, as `int` raises for thousands of them.
    """
    if value is None or not value.isdigit():
        return None
    digits = value.lstrip(b"0") or b"0"
    return maximum if len(digits) > len(str(maximum)) else min(int(digits), maximum)


def _parse_time_left_s(value: bytes | None) -> float | None:
    time_left_ms = _parse_number(value, TIME_LEFT_MAX_MS)
    return None if time_left_ms is None else time_left_ms / MS_PER_S


def _parse_key_position(value: bytes | None) -> int | None:
    position = _parse_number(value, KEY_POSITIONS)
    return None if position == KEY_POSITIONS else position


def _parse_attempt_number(value: bytes | None) -> int:
    """Return the attempt number: 0 if absent, 1 if malformed."""
    if value is None:
        return 0
    number = _parse_number(value, ATTEMPT_NUMBER_MAX)
    return 1 if number is None else number
