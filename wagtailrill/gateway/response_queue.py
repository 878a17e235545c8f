"""Writes the responses of one caller's connection in the order of its requests."""

import asyncio
from collections import deque
from typing import Protocol

from .body_writer import BodyWriter
from .caller_exchange import Exchange
from .caller_listener import CallerListenerState
from .const import UNREAD_RESPONSE_S
from .dialects import CallerResponse
from .response_encoding import encode_response


class ResponseListener(Protocol):
    """What a connection does when responses have been written."""

    def handle_closing_response(self) -> None:
        """Close the connection, since a response has been written that says so."""
        ...

    def handle_flush(self) -> None:
        """Go on reading, as some responses may have been written."""
        ...

    def abort(self) -> None:
        """Close the connection at once."""
        ...


class ResponseQueue:
    """The requests of a connection that have no written response yet, in order.

    What the transport has not sent counts in the memory for callers. Times in seconds
    are those of the event loop's clock.
    """

    def __init__(self, state: CallerListenerState, listener: ResponseListener) -> None:
        self.transport: asyncio.Transport | None = None
        self._state = state
        self._listener = listener
        self._writer = BodyWriter()
        self._exchanges: deque[Exchange] = deque()
        self._unsent_hold = state.memory.open_hold(gives_up_small=True)
        self._is_flushing = False

    def __len__(self) -> int:
        return len(self._exchanges)

    @property
    def is_full(self) -> bool:
        """Return whether no further request is read for now."""
        return len(self._exchanges) >= self._state.pipelined_requests_max

    def append(self, exchange: Exchange) -> None:
        """Add a request behind the others."""
        self._exchanges.append(exchange)

    def end(self) -> None:
        """Drop all requests, as the connection is closed."""
        self.transport = None
        self._writer.drop()
        self._unsent_hold.close()
        self._drop_exchanges()

    def pause_writing(self) -> None:
        """Write no more of a response for now, as the caller does not read it."""
        self._writer.pause()
        self._count_unsent()

    def resume_writing(self) -> None:
        """Go on writing responses."""
        self._writer.resume()
        self.flush_responses()

    def get_unread_since_s(self, now_s: float) -> float | None:
        """Return since when the caller reads nothing, None if that is short."""
        since_s = self._writer.paused_since_s
        is_unread = since_s is not None and now_s - since_s >= UNREAD_RESPONSE_S
        return since_s if is_unread else None

    def offer_unread(self, now_s: float) -> None:
        """Let responses be given up, with the connection, that are not being read."""
        is_unread = self.get_unread_since_s(now_s) is not None
        give_up = self._listener.abort if is_unread else None
        if self._exchanges and not self._writer.is_done:
            self._exchanges[0].hold.set_give_up(give_up)
        self._count_unsent()
        self._unsent_hold.set_give_up(give_up)

    def flush_responses(self) -> None:
        """Write the responses that are next in order.

        Only the outermost call writes: a deferred request that is passed on here may
        get its response at once, which calls this method again.
        """
        if self._is_flushing:
            return
        self._is_flushing = True
        try:
            while self._write_next():
                pass
        finally:
            self._is_flushing = False
        self._count_unsent()
        self._listener.handle_flush()

    def _write_next(self) -> bool:
        """Write the response that is next in order; return whether there was one.

        A deferred request that has become the first one is passed to the handler.
        """
        if self.transport is None or not self._exchanges:
            return False
        if not self._writer.is_ready:
            return False
        exchange = self._exchanges[0]
        if exchange.deferred_request is not None:
            req, exchange.deferred_request = exchange.deferred_request, None
            self._state.handler.handle_request(req, exchange)
        if exchange.response is None:
            return False
        if not exchange.is_begun:
            self._begin(exchange, exchange.response)
            if not self._writer.is_done:
                return False
        self._exchanges.popleft()
        exchange.hold.close()
        if exchange.closes_connection:
            self._drop_exchanges()
            self._listener.handle_closing_response()
        return not exchange.closes_connection

    def _begin(self, exchange: Exchange, response: CallerResponse) -> None:
        assert self.transport is not None
        exchange.is_begun = True
        is_last = len(self._exchanges) == 1
        exchange.closes_connection = not exchange.keep_alive or (
            self._state.is_stopping and is_last
        )
        head, body = encode_response(
            response, exchange.closes_connection, exchange.is_head_request
        )
        self._writer.write(self.transport, head, body)

    def _count_unsent(self) -> None:
        if self.transport is None:
            return
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_hold.held_bytes:
            self._unsent_hold.set_bytes(unsent_bytes)

    def _drop_exchanges(self) -> None:
        """Drop the requests that can get no response any more."""
        while self._exchanges:
            exchange = self._exchanges.popleft()
            exchange.hold.close()
            if exchange.response is None and exchange.deferred_request is None:
                self._state.handler.handle_disconnect(exchange.request_id)
