"""One connection to a backend server; it carries one exchange at a time."""

import asyncio
import enum
import re
from collections.abc import Callable

import attrs
import httptools

from ..core.request_models import Headers
from .const import KEEP_ALIVE_MARGIN_S
from .sockets import find_dead_peers

KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout\s*=\s*(\d+)", re.IGNORECASE)
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class ExchangeEnd(enum.Enum):
    """How an exchange ended."""

    ANSWERED = "answered"
    LOST = "lost"  # the connection ended before a whole answer
    MALFORMED = "malformed"  # bytes that are no answer, or too many


@attrs.frozen
class RawAnswer:
    """A whole answer; header names are lower case."""

    status: int
    headers: Headers
    body: bytes
    closes: bool


OnEnd = Callable[[ExchangeEnd, RawAnswer | None], None]
Belongs = Callable[[RawAnswer], bool]


class BackendConnection(asyncio.Protocol):
    """Sends requests and reads answers.

    An answer that does not belong to the request is dropped, and the next one on the
    connection is awaited.
    """

    def __init__(
        self,
        response_max_bytes: int,
        on_idle_close: Callable[["BackendConnection"], None],
    ) -> None:
        self.usable_until_s = float("inf")
        self.opened_s = 0.0
        self.used_s = 0.0
        self.generation = 0
        self.transport: asyncio.Transport | None = None
        self._loop = asyncio.get_running_loop()
        self._max_bytes = response_max_bytes
        self._on_idle_close = on_idle_close
        self._on_end: OnEnd | None = None
        self._belongs: Belongs = lambda answer: True
        self._head_only = False
        self._eof = False
        self._answer: RawAnswer | None = None
        self._begin_answer()

    @property
    def open(self) -> bool:
        """Return whether the connection can carry another exchange."""
        return self.transport is not None and not self.transport.is_closing()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        find_dead_peers(transport)

    def send(
        self, data: bytes, head_only: bool, belongs: Belongs, on_end: OnEnd
    ) -> None:
        """Send a request; `on_end` is called once unless the exchange is dropped."""
        assert self.transport is not None
        self._on_end, self._belongs, self._head_only = on_end, belongs, head_only
        self._begin_answer()
        self.transport.write(data)

    def drop(self) -> None:
        """Close the connection without telling anybody."""
        self._on_end = None
        if self.transport is not None:
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        """Read answers; bytes that nobody waits for end the connection."""
        if self._on_end is None:
            self._close_idle()
            return
        malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            malformed = True
        answer = self._whole_answer()
        if answer is not None:
            # Bytes after a whole answer belong to nobody; the answer stands.
            closes = answer.closes or malformed or self._extra_bytes
            self._end(ExchangeEnd.ANSWERED, attrs.evolve(answer, closes=closes))
        elif malformed:
            self._end(ExchangeEnd.MALFORMED, None)

    def eof_received(self) -> bool:
        """Complete an answer whose end is the end of the connection."""
        self._eof = True
        if self._on_end is not None and self._until_eof():
            self._complete()
            self._end(ExchangeEnd.ANSWERED, self._answer)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange that is under way."""
        self.transport = None
        if self._on_end is None:
            self._on_idle_close(self)
        else:
            self._end(ExchangeEnd.LOST, None)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Notice bytes behind a whole answer."""
        self._extra_bytes = self._answer is not None

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Learn the status; the parser does not know that HEAD has no body."""
        self._status = self._parser.get_status_code()
        if self._head_only:
            self._complete(closes=True)

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._size += len(body)
        if self._size > self._max_bytes:
            raise ValueError("the answer is too large")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """End the exchange, unless the answer is another request's."""
        if 100 <= self._status < 200:
            self._reset_fields()
            return
        self._complete()

    def _whole_answer(self) -> RawAnswer | None:
        return self._answer

    def _until_eof(self) -> bool:
        """Return whether the answer under way has no length of its own."""
        if not self._status or self._status in STATUSES_WITHOUT_BODY:
            return False
        names = {name for name, _ in self._headers}
        return b"content-length" not in names and b"transfer-encoding" not in names

    def _complete(self, closes: bool = False) -> None:
        if self._answer is not None:
            return
        closes = closes or self._eof or not self._parser.should_keep_alive()
        answer = RawAnswer(
            self._status, tuple(self._headers), b"".join(self._body), closes
        )
        if not self._belongs(answer) and not self._eof:
            self._reset_fields()
            return
        self._note_keep_alive()
        self._answer = answer

    def _end(self, end: ExchangeEnd, answer: RawAnswer | None) -> None:
        on_end, self._on_end = self._on_end, None
        if answer is None or answer.closes:
            self._close_idle()
        self.used_s = self._loop.time()
        if on_end is not None:
            on_end(end, answer)

    def _note_keep_alive(self) -> None:
        for name, value in self._headers:
            if name == b"keep-alive" and (found := KEEP_ALIVE_TIMEOUT.search(value)):
                timeout_s = int(found[1]) - KEEP_ALIVE_MARGIN_S
                self.usable_until_s = self._loop.time() + timeout_s

    def _close_idle(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _begin_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._answer = None
        self._extra_bytes = False
        self._reset_fields()

    def _reset_fields(self) -> None:
        self._status = 0
        self._headers: list[tuple[bytes, bytes]] = []
        self._body: list[bytes] = []
        self._size = 0
