"""ASGI application towards callers."""

import itertools
import json
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any, Protocol

import anyio
import attrs

from ..core.orders import CallerRequest
from ..core.refusals import Refusal, RefusalCode
from ..settings.models import Limits
from .const import DISCONNECT_WATCH_DELAY_S

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]

HEADERS_TOO_LARGE = Refusal(
    RefusalCode.REQUEST_TOO_LARGE, "The request headers are too large."
)
TOO_LARGE = Refusal(RefusalCode.REQUEST_TOO_LARGE, "The request body is too large.")


@attrs.frozen
class CallerAnswer:
    """A whole answer for a caller."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class RequestHandler(Protocol):
    """Runs requests through the decision code."""

    async def async_handle(self, req: CallerRequest) -> CallerAnswer:
        """Return the answer of a request."""
        ...

    def caller_left(self, request_id: int) -> None:
        """Tell that the caller closed its connection."""
        ...


class CallerLeftError(Exception):
    """The caller closed its connection before its request was whole."""


class BodyTooLargeError(Exception):
    """The request body exceeds the limit."""


@attrs.define(eq=False)
class _WaitingCaller:
    request_id: int
    receive: Receive
    since_s: float
    scope: anyio.CancelScope | None = None
    left: bool = False


class CallerApplication:
    """Receives requests, hands them to the decision code and sends the answers."""

    def __init__(self, handler: RequestHandler, cfg: Limits) -> None:
        self._handler = handler
        self._cfg = cfg
        self._request_ids = itertools.count(1)
        self._waiting: dict[int, _WaitingCaller] = {}
        self._arrived: anyio.Event | None = None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        if scope["type"] != "http":
            return
        if _header_bytes(scope["headers"]) > self._cfg.header_max_bytes:
            await async_send_answer(send, refusal_answer(HEADERS_TOO_LARGE))
            return
        try:
            body = await self._async_body(receive)
        except CallerLeftError:
            return
        except BodyTooLargeError:
            await async_send_answer(send, refusal_answer(TOO_LARGE))
            return
        raw_path: bytes = scope.get("raw_path") or scope["path"].encode()
        req = CallerRequest(
            request_id=next(self._request_ids),
            method=scope["method"],
            path=raw_path.decode("latin-1"),
            query=scope["query_string"].decode("latin-1"),
            headers=tuple(scope["headers"]),
            body=body,
        )
        await self._async_answer(req, receive, send)

    async def async_watch_callers(self) -> None:
        """Notice callers that leave while their request takes long.

        One task looks for slow requests, so that fast ones cost no task of their own.
        """
        async with anyio.create_task_group() as tg:
            while True:
                if not self._waiting:
                    self._arrived = anyio.Event()
                    await self._arrived.wait()
                await anyio.sleep(DISCONNECT_WATCH_DELAY_S)
                due_s = anyio.current_time() - DISCONNECT_WATCH_DELAY_S
                for waiting in list(self._waiting.values()):
                    if waiting.since_s <= due_s and waiting.scope is None:
                        waiting.scope = anyio.CancelScope()
                        tg.start_soon(self._async_watch_caller, waiting)

    async def _async_answer(
        self, req: CallerRequest, receive: Receive, send: Send
    ) -> None:
        waiting = _WaitingCaller(req.request_id, receive, anyio.current_time())
        if not self._waiting and self._arrived is not None:
            self._arrived.set()
        self._waiting[req.request_id] = waiting
        try:
            answer = await self._handler.async_handle(req)
        finally:
            del self._waiting[req.request_id]
            if waiting.scope is not None:
                waiting.scope.cancel()
        if not waiting.left:
            await async_send_answer(send, answer)

    async def _async_watch_caller(self, waiting: "_WaitingCaller") -> None:
        assert waiting.scope is not None
        with waiting.scope:
            while True:
                message = await waiting.receive()
                if message["type"] == "http.disconnect":
                    waiting.left = True
                    self._handler.caller_left(waiting.request_id)
                    return

    async def _async_body(self, receive: Receive) -> bytes:
        parts: list[bytes] = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                raise CallerLeftError
            part = message.get("body", b"")
            size += len(part)
            if size > self._cfg.body_max_bytes:
                raise BodyTooLargeError
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)


def _header_bytes(headers: list[tuple[bytes, bytes]]) -> int:
    return sum(len(name) + len(value) for name, value in headers)


def refusal_answer(refusal: Refusal) -> CallerAnswer:
    """Return the answer that tells a caller of a refusal."""
    fields: dict[str, Any] = {
        "code": refusal.code.value,
        "message": refusal.message,
        "ran": refusal.ran.value,
    }
    headers = [("content-type", "application/json")]
    if refusal.retry_after_s is not None:
        fields["retry_after_s"] = round(refusal.retry_after_s, 3)
        headers.append(("retry-after", str(max(1, round(refusal.retry_after_s)))))
    body = json.dumps(fields).encode()
    return CallerAnswer(refusal.status, tuple(headers), body)


async def async_send_answer(send: Send, answer: CallerAnswer) -> None:
    """Send a whole answer with its length."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
    headers.append((b"content-length", str(len(answer.body)).encode()))
    start = {"type": "http.response.start", "status": answer.status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": answer.body})
