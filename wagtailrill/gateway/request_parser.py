"""Parses the bytes of one caller's connection into requests; does no I/O."""

from collections.abc import Callable

import httptools

from ..core.refusals import Refusal
from ..core.request_models import Headers
from ..declaration.models import CallerLimits
from .body_memory import BodyHold, BodyMemory
from .const import (
    FIELD_COST_BYTES,
    REFUSAL_REASON_MAX_CHARS,
    REQUEST_COST_BYTES,
    SMALL_BODY_MAX_BYTES,
)
from .parsed_request import (
    BODY_TOO_LARGE,
    HEADERS_TOO_LARGE,
    MALFORMED_REQUEST,
    MEMORY_FULL,
    InputFault,
    InputPhase,
    ParsedRequest,
)
from .request_target import parse_request_target

_EXPECT_HEADER_NAME = b"expect"
_LENGTH_HEADER_NAME = b"content-length"
_CONTINUE_EXPECTATION = b"100-continue"
_UPGRADE_HEADER_NAME = b"upgrade"
_TUNNEL_METHOD = b"CONNECT"
_ENCODING_HEADER_NAME = b"transfer-encoding"
# A head and a body in chunks end with these bytes, or at a multiple of them.
_END_MARK = b"\r\n\r\n"


class _InputFaultError(Exception):
    """Ends parsing out of a callback."""

    def __init__(self, fault: InputFault) -> None:
        super().__init__(fault.reason)
        self.fault = fault


class RequestParser:
    """Parses requests, up to the first fault or the last request of the connection.

    The methods named `on_` are callbacks of httptools. `get_limits` is called whenever
    bytes are fed, so that new limits also apply to open connections.
    `on_given_up` is called if the process cannot keep a request of which a part has
    been received, unless `feed` returns that.
    """

    def __init__(
        self,
        get_limits: Callable[[], CallerLimits],
        memory: BodyMemory | None = None,
        on_given_up: Callable[[InputFault], None] = lambda fault: None,
    ) -> None:
        self.phase = InputPhase.IDLE
        self.received_bytes = 0
        # Set while the caller may be waiting for an interim response before the body.
        self.awaits_continue = False
        self._get_limits = get_limits
        self._limits = get_limits()
        self._last_bytes = b""
        self._memory = memory or BodyMemory()
        self._on_given_up = on_given_up
        self._is_parsing = False
        self._body = bytearray()
        self._hold = self._open_hold()
        self._has_last_request = False
        # Received since a header, a part of a body or a request was last complete.
        self._incomplete_bytes = 0
        # Length of the body that is being received, None if it is not known.
        self._announced_bytes: int | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[ParsedRequest] = []
        self._reset_request()

    @property
    def headers(self) -> Headers:
        """Return the headers of the request that is being received."""
        return tuple(self._headers)

    @property
    def is_in_announced_body(self) -> bool:
        """Return whether the next bytes are those of a body of known length."""
        return self.phase is InputPhase.BODY and self._announced_bytes is not None

    def find_piece_end(self, data: bytes, start: int) -> int:
        """Return where a piece of a read from `start` ends, to be fed by itself.

        At most one request is complete within it, so that a caller who pipelines many
        can be left waiting after each.
        """
        if self.phase is InputPhase.BODY and self._announced_bytes is not None:
            rest_bytes = self._announced_bytes - len(self._body)
            return min(start + max(rest_bytes, 1), len(data))
        if start == 0:
            # The mark may have begun in the read before.
            joint = self._last_bytes + data[: len(_END_MARK) - 1]
            joint_start = joint.find(_END_MARK)
            if joint_start >= 0:
                return joint_start + len(_END_MARK) - len(self._last_bytes)
        mark_start = data.find(_END_MARK, start)
        return len(data) if mark_start < 0 else mark_start + len(_END_MARK)

    def feed(self, data: bytes) -> list[ParsedRequest | InputFault]:
        """Return the requests that the bytes complete; a fault is the last item."""
        if self.phase is InputPhase.ENDED:
            return []
        self._limits = self._get_limits()
        self._last_bytes = (self._last_bytes + data[-len(_END_MARK) :])[
            1 - len(_END_MARK) :
        ]
        self.received_bytes += len(data)
        self._incomplete_bytes += len(data)
        self._is_parsing = True
        try:
            fault = self._parse(data) or self._find_endless_part()
            fault = fault or self._count_received()
        finally:
            self._is_parsing = False
        results: list[ParsedRequest | InputFault] = [*self._requests]
        self._requests.clear()
        if self._has_last_request:
            # The parser refuses bytes behind this request, but nothing is due for them.
            self.end()
        elif fault is not None:
            self.end()
            results.append(fault)
        return results

    def end(self) -> None:
        """Ignore all further bytes."""
        self.phase = InputPhase.ENDED
        self.awaits_continue = False
        self._hold.release()
        self._body = bytearray()
        self._reset_request()

    def _open_hold(self) -> BodyHold:
        return self._memory.open_hold(self._give_up_input, gives_up_small=True)

    def _count_received(self) -> InputFault | None:
        """Count what has been received of a request; return a fault if it is given up.

        Once for all pieces of a read, as a head or a body may have very many.
        """
        if self.phase is InputPhase.HEAD:
            self._hold.set_bytes(self._head_cost_bytes + self._incomplete_bytes)
        elif self.phase is InputPhase.BODY:
            self._count_request()
        if self._hold.is_closed:
            return self._make_memory_fault(self.received_bytes)
        return None

    def _parse(self, data: bytes) -> InputFault | None:
        try:
            while data:
                data = self._parse_until_upgrade(data)
        except httptools.HttpParserCallbackError as exc:
            if isinstance(exc.__context__, _InputFaultError):
                return exc.__context__.fault
            raise
        except httptools.HttpParserError as exc:
            return self._make_malformed_fault(f"{type(exc).__name__}: {exc}")
        except _InputFaultError as exc:
            return exc.fault
        return None

    def _find_endless_part(self) -> InputFault | None:
        """Return a fault if what is not complete yet is larger than any header."""
        # A target and the header after it may each be as large as all headers.
        limit_bytes = 2 * self._limits.header_max_bytes
        if self._incomplete_bytes <= limit_bytes:
            return None
        return InputFault(
            HEADERS_TOO_LARGE,
            "incomplete",
            self._incomplete_bytes,
            limit_bytes,
            self.headers,
        )

    def _parse_until_upgrade(self, data: bytes) -> bytes:
        """Return what is left to parse after a request that offers an upgrade.

        After its head the parser takes all bytes for those of the new protocol, also
        the body. The offer is declined: a new parser gets the head without it.
        """
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            (head_end,) = exc.args
            if self._parser.get_method() == _TUNNEL_METHOD:
                raise _InputFaultError(self._make_malformed_fault("tunnel")) from exc
            head = self._encode_head_without_upgrade()
            self._parser = httptools.HttpRequestParser(self)
            return head + data[head_end:]
        return b""

    def _encode_head_without_upgrade(self) -> bytes:
        version = self._parser.get_http_version().encode()
        target = b"".join(self._target_parts)
        lines = [self._parser.get_method() + b" " + target + b" HTTP/" + version]
        lines += [
            name + b": " + value
            for name, value in self._headers
            if name != _UPGRADE_HEADER_NAME
        ]
        return b"\r\n".join((*lines, b"", b""))

    def _make_malformed_fault(self, reason: str) -> InputFault:
        return InputFault(
            MALFORMED_REQUEST,
            reason[:REFUSAL_REASON_MAX_CHARS],
            self.received_bytes,
            headers=self.headers,
        )

    def on_message_begin(self) -> None:
        """Start a request."""
        self._reset_request()
        self.phase = InputPhase.HEAD

    def on_url(self, url: bytes) -> None:
        """Collect a part of the request target; stop if it becomes too large.

        It is counted apart from the headers, with the same limit.
        """
        self._target_parts.append(url)
        self._target_bytes += len(url)
        limit_bytes = self._limits.header_max_bytes
        if self._target_bytes > limit_bytes:
            self._raise_limit_exceeded(
                HEADERS_TOO_LARGE, "target", self._target_bytes, limit_bytes
            )

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; stop if the headers become too large.

        Trailers of a chunked body are counted by themselves and dropped: a request must
        not mean something else after its head (RFC 9110, section 6.5.1).
        """
        self._incomplete_bytes = 0
        self._header_bytes += len(name) + len(value)
        limit_bytes = self._limits.header_max_bytes
        is_trailer = self.phase is InputPhase.BODY
        if not is_trailer:
            self._headers.append((name.lower(), value))
            self._head_cost_bytes += FIELD_COST_BYTES + len(name) + len(value)
        if self._header_bytes > limit_bytes:
            what = "trailers" if is_trailer else "headers"
            self._raise_limit_exceeded(
                HEADERS_TOO_LARGE, what, self._header_bytes, limit_bytes
            )

    def on_headers_complete(self) -> None:
        """Start the body."""
        self.phase = InputPhase.BODY
        self._header_bytes = 0
        names = dict(self._headers)
        self.awaits_continue = _EXPECT_HEADER_NAME in names and any(
            name == _EXPECT_HEADER_NAME and value.lower() == _CONTINUE_EXPECTATION
            for name, value in self._headers
        )
        self._announced_bytes = _find_announced_bytes(names)
        if self._announced_bytes is not None:
            self._refuse_large_body(self._announced_bytes)
        # Long targets count from here on, as most are short.
        self._head_cost_bytes += self._target_bytes

    def _refuse_large_body(self, length: int) -> None:
        """Refuse a body at once that is too large, or that can never be kept."""
        body_max_bytes = self._limits.body_max_bytes
        if length > body_max_bytes:
            self._raise_limit_exceeded(BODY_TOO_LARGE, "body", length, body_max_bytes)
        cost_bytes = REQUEST_COST_BYTES + self._head_cost_bytes + length
        if cost_bytes > self._memory.limit_bytes:
            raise _InputFaultError(self._make_memory_fault(length))

    def _make_memory_fault(self, received_bytes: int) -> InputFault:
        return InputFault(
            MEMORY_FULL,
            "memory",
            received_bytes,
            self._memory.limit_bytes,
            self.headers,
        )

    def _give_up_input(self) -> None:
        """Refuse the request, as the process cannot keep what has been received."""
        if not self._is_parsing:  # otherwise the callback of the parser refuses it
            fault = self._make_memory_fault(self.received_bytes)
            self.end()
            self._on_given_up(fault)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; stop if it becomes too large."""
        self.awaits_continue = False
        self._incomplete_bytes = 0
        self._body += body
        body_bytes, limit_bytes = len(self._body), self._limits.body_max_bytes
        if body_bytes > limit_bytes:
            self._raise_limit_exceeded(BODY_TOO_LARGE, "body", body_bytes, limit_bytes)

    def _count_request(self) -> None:
        """Count head and body."""
        cost_bytes = REQUEST_COST_BYTES + self._head_cost_bytes
        self._hold.set_bytes(cost_bytes + len(self._body))

    def _keep_request(self) -> bytes:
        """Count a complete request and return its body.

        Stop if the process cannot keep it. A large body counts twice while it is
        copied, so that others make room for the copy.
        """
        memory, body_bytes = self._memory, len(self._body)
        cost_bytes = REQUEST_COST_BYTES + self._head_cost_bytes + body_bytes
        if memory.held_bytes + cost_bytes > memory.limit_bytes:
            self._hold.set_bytes(cost_bytes)  # may give it up
        if self._hold.is_closed:
            raise _InputFaultError(self._make_memory_fault(self.received_bytes))
        self._hold.set_give_up(None)
        if body_bytes > SMALL_BODY_MAX_BYTES:
            self._hold.set_bytes(cost_bytes + body_bytes)
        body, self._body = bytes(self._body), bytearray()
        self._hold.set_bytes(cost_bytes)
        return body

    def on_message_complete(self) -> None:
        """Add the request to those that are complete."""
        if self._parser.should_upgrade():
            return
        target = parse_request_target(b"".join(self._target_parts))
        if target is None:
            raise _InputFaultError(self._make_malformed_fault("request target"))
        host = target.authority
        if host is None:
            host = self._get_host_header()
        body = self._keep_request()
        request = ParsedRequest(
            method=self._parser.get_method().decode("latin-1"),
            path=target.path,
            query=target.query,
            host=host.lower(),
            headers=self.headers,
            body=body,
            keep_alive=self._parser.should_keep_alive(),
            hold=self._hold,
        )
        self._hold = self._open_hold()
        self._requests.append(request)
        self._has_last_request = not request.keep_alive
        self.received_bytes = self._incomplete_bytes = 0
        self.awaits_continue = False
        self.phase = InputPhase.IDLE
        self._reset_request()

    def _get_host_header(self) -> str:
        host = next((v for n, v in self._headers if n == b"host"), b"")
        return host.decode("latin-1")

    def _raise_limit_exceeded(
        self, refusal: Refusal, reason: str, received_bytes: int, limit_bytes: int
    ) -> None:
        raise _InputFaultError(
            InputFault(refusal, reason, received_bytes, limit_bytes, self.headers)
        )

    def _reset_request(self) -> None:
        self._target_parts: list[bytes] = []
        self._target_bytes = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = self._head_cost_bytes = 0
        self._announced_bytes = None


def _find_announced_bytes(names: dict[bytes, bytes]) -> int | None:
    """Return the announced length of the body, None without one."""
    length = names.get(_LENGTH_HEADER_NAME)
    if length is None or _ENCODING_HEADER_NAME in names:
        return None
    length = length.strip()
    return int(length) if length.isdigit() else None
