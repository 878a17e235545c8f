"""One HTTP/1.1 connection to a backend server, with one exchange at a time.

Used by `BackendPool`.
"""

import asyncio
import enum
import re
from collections.abc import Callable

import attrs
import httptools

from ..core.request_models import Headers
from .body_memory import BodyHold, BodyMemory
from .body_writer import BodyWriter
from .const import (
    INTERIM_RESPONSES_MAX,
    KEEP_ALIVE_MARGIN_S,
    RESPONSE_HEAD_MAX_BYTES,
)
from .sockets import reset_on_close, set_tcp_options

KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
LENGTH_HEADER = b"content-length"
ENCODING_HEADER = b"transfer-encoding"
STATUS_MIN = 100
STATUS_MAX = 599
FINAL_STATUS_MIN = 200
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ExchangeEnd(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    LOST = "lost"  # the connection closed before the response was complete
    MALFORMED = "malformed"  # not an HTTP response, or one that is too large
    NO_MEMORY = "no_memory"  # the process gave up the body that was being received


@attrs.frozen
class RawResponse:
    """A complete response; header names are in lower case.

    `closes_connection` means that the connection cannot be used again.
    """

    status: int
    headers: Headers
    body: bytes
    closes_connection: bool


EndCallback = Callable[[ExchangeEnd, RawResponse | None], None]
ResponseMatcher = Callable[[RawResponse], bool]


def _match_any(response: RawResponse) -> bool:
    return True


class BackendConnection(asyncio.Protocol):
    """Sends requests and parses their responses.

    A response that does not match the request, such as a late one to an earlier
    request, is discarded, and the next one on the connection is awaited. The bytes of
    a head and those of a whole exchange are limited, since a faulty server may send
    them without end. The body counts in the memory for bodies until the exchange ends.
    Times in seconds are those of the event loop's clock.

    `may_get_extra_answer` is set by the pool after a request without an id: an extra
    answer to it cannot be told from the answer to the next request.
    `refused_request_ids` are those of requests that may be sent again: if the server
    repeated its refusal, that could not be told from the answer to the next attempt.
    """

    def __init__(
        self,
        response_max_bytes: int,
        on_idle_close: Callable[["BackendConnection"], None],
        memory: BodyMemory | None = None,
    ) -> None:
        self.usable_until_s = float("inf")
        self.opened_s = 0.0
        self.last_used_s = 0.0
        self.generation = 0
        self.may_get_extra_answer = False
        self.refused_request_ids: set[str] = set()
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._connection_max_bytes = self._response_max_bytes = response_max_bytes
        self._memory = memory or BodyMemory()
        self._writer = BodyWriter()
        self._is_parsing = False
        self._on_idle_close = on_idle_close
        self._on_end: EndCallback | None = None
        self._matches_request: ResponseMatcher = _match_any
        self._is_head_request = False
        self._at_eof = False
        self._response: RawResponse | None = None
        self._hold = self._memory.open_hold(self._give_up_response)
        self._reset_parser()

    @property
    def is_open(self) -> bool:
        """Return whether the transport is open."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set its socket options.

        Any close, also that of a killed process, resets the connection.
        """
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_tcp_options(transport)
        reset_on_close(transport)

    def send_request(
        self,
        data: bytes,
        is_head_request: bool,
        matches_request: ResponseMatcher,
        on_end: EndCallback,
        body: bytes = b"",
        response_max_bytes: int | None = None,
    ) -> None:
        """Send a request; `on_end` is called once unless the connection is aborted.

        `response_max_bytes` is the limit on this response, if it is a lower one.
        """
        assert self.transport is not None
        self._response_max_bytes = response_max_bytes or self._connection_max_bytes
        self._on_end, self._matches_request, self._is_head_request = (
            on_end,
            matches_request,
            is_head_request,
        )
        self._reset_parser()
        self._writer.write(self.transport, data, body)

    def abort(self) -> None:
        """Close the connection at once, without calling `on_end`.

        A request that has not arrived yet is lost.
        """
        self._on_end = None
        self._release_exchange()
        self._abort_transport()

    def pause_writing(self) -> None:
        """Write no more of a request's body for now."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Go on writing the body of a request."""
        self._writer.resume()

    def data_received(self, data: bytes) -> None:
        """Parse a response; bytes outside an exchange close the connection."""
        if self._on_end is None:
            self._abort_transport()
            return
        is_malformed = False
        self._is_parsing = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            is_malformed = True
        finally:
            self._is_parsing = False
        is_malformed |= self._exceeds_limits(len(data))
        response = self._get_response()
        if response is not None:
            # Bytes after a complete response do not invalidate it, but the connection
            # cannot be used again.
            closes_connection = (
                response.closes_connection
                or is_malformed
                or self._has_extra_bytes
                or not self._writer.is_done
            )
            self._end_exchange(
                ExchangeEnd.ANSWERED,
                attrs.evolve(response, closes_connection=closes_connection),
            )
        elif is_malformed:
            self._end_exchange(
                ExchangeEnd.NO_MEMORY
                if self._hold.is_closed
                else ExchangeEnd.MALFORMED,
                None,
            )

    def _give_up_response(self) -> None:
        """End the exchange, as the process cannot keep what has been received.

        It ends later, as what needs the memory may be in the middle of a step.
        """
        if not self._is_parsing:  # otherwise the callback of the parser ends it
            self._body = bytearray()
            self._loop.call_soon(self._end_given_up_exchange, self._hold)

    def _end_given_up_exchange(self, hold: BodyHold) -> None:
        if hold is self._hold and self._on_end is not None:
            self._end_exchange(ExchangeEnd.NO_MEMORY, None)

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection."""
        self._at_eof = True
        if self._on_end is not None and self._is_delimited_by_eof():
            self._finish_response()
            self._end_exchange(ExchangeEnd.ANSWERED, self._response)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the running exchange, or report the close of an idle connection."""
        self.transport = None
        if self._on_end is None:
            self._release_exchange()
            self._on_idle_close(self)
        else:
            self._end_exchange(ExchangeEnd.LOST, None)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Begin a head; detect bytes after a complete response."""
        self._in_head = True
        self._head_bytes = 0
        self._has_extra_bytes = self._response is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers, which follow a body in chunks, are ignored."""
        if self._in_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Store the status; finish a HEAD response, as the parser awaits a body.

        Raise `ValueError` if there is no such status, or the body cannot be passed on.
        """
        self._status = self._parser.get_status_code()
        if not STATUS_MIN <= self._status <= STATUS_MAX:
            raise ValueError(f"no HTTP status: {self._status}")
        self._in_head = False
        if self._is_head_request and self._status >= FINAL_STATUS_MIN:
            self._finish_response(closes_connection=True)
        elif self._status not in STATUSES_WITHOUT_BODY:
            self._check_framing()

    def _check_framing(self) -> None:
        """Raise `ValueError` for an encoded body, or one that is too large."""
        encodings = [
            value.strip().lower()
            for name, value in self._headers
            if name == ENCODING_HEADER
        ]
        if encodings not in ([], [b"chunked"]):
            raise ValueError("the transfer encoding is unknown")
        lengths = [int(v) for name, v in self._headers if name == LENGTH_HEADER]
        if lengths and max(lengths) > self._response_max_bytes:
            raise ValueError("the response body is too large")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; raise `ValueError` if it becomes too large."""
        self._body += body
        if len(self._body) > self._response_max_bytes:
            raise ValueError("the response body is too large")
        self._hold.set_bytes(len(self._body))
        if self._hold.is_closed:
            raise ValueError("the memory for bodies is full")

    def on_message_complete(self) -> None:
        """Finish the response, unless it is an interim (1xx) or discarded one.

        Raise `ValueError` if there are too many interim ones.
        """
        if self._status < FINAL_STATUS_MIN:
            self._interim_count += 1
            if self._interim_count > INTERIM_RESPONSES_MAX:
                raise ValueError("the interim responses are too many")
            self._reset_message()
            return
        self._finish_response()

    def _exceeds_limits(self, received_bytes: int) -> bool:
        """Count bytes that were parsed; return whether they are too many by now.

        Those that do not complete a head count as part of it.
        """
        self._exchange_bytes += received_bytes
        if self._in_head:
            self._head_bytes += received_bytes
        return (
            self._head_bytes > RESPONSE_HEAD_MAX_BYTES
            or self._exchange_bytes > self._response_max_bytes + RESPONSE_HEAD_MAX_BYTES
        )

    def _get_response(self) -> RawResponse | None:
        """Return the response if the parser's callbacks have completed it."""
        return self._response

    def _is_delimited_by_eof(self) -> bool:
        """Return whether only the end of the connection ends the current response."""
        if not self._status or self._status in STATUSES_WITHOUT_BODY:
            return False
        names = {name for name, _ in self._headers}
        return not names & {LENGTH_HEADER, ENCODING_HEADER}

    def _finish_response(self, closes_connection: bool = False) -> None:
        if self._response is not None:
            return
        closes_connection = (
            closes_connection or self._at_eof or not self._parser.should_keep_alive()
        )
        response = RawResponse(
            self._status,
            tuple(self._headers),
            bytes(self._body),
            closes_connection,
        )
        if not self._matches_request(response) and not self._at_eof:
            self._reset_message()
            return
        self._apply_keep_alive_timeout()
        self._response = response

    def _end_exchange(self, end: ExchangeEnd, response: RawResponse | None) -> None:
        if end is ExchangeEnd.ANSWERED and self._hold.is_closed:
            # Its end came before the step that ends an exchange without memory.
            end, response = ExchangeEnd.NO_MEMORY, None
        on_end, self._on_end = self._on_end, None
        if response is None or response.closes_connection:
            self._abort_transport()
        self.last_used_s = self._loop.time()
        self._release_exchange()
        if on_end is not None:
            on_end(end, response)

    def _release_exchange(self) -> None:
        """Keep nothing of the exchange, as the connection may be idle for long."""
        self._writer.drop()
        self._matches_request = _match_any  # the former one refers to the request
        self._response = None
        self._reset_message()

    def _apply_keep_alive_timeout(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive" and (
                match := KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
            ):
                timeout_s = int(match[1]) - KEEP_ALIVE_MARGIN_S
                self.usable_until_s = self._loop.time() + timeout_s

    def _abort_transport(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _reset_parser(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._response = None
        self._has_extra_bytes = False
        self._in_head = True
        self._head_bytes = self._exchange_bytes = self._interim_count = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._hold.release()
        if self._hold.is_closed:
            self._hold = self._memory.open_hold(self._give_up_response)
