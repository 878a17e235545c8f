"""Client of the platform's store and instance list over HTTP and JSON."""

import base64
import json
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import quote

import anyio
import attrs
import httpcore
from expression import Error, Ok

from .const import (
    CONNECTIONS_MAX,
    DEFAULT_TIMEOUT_S,
    INSTANCES_PATH,
    KEEPALIVE_S,
    KEYS_PATH,
    LEASES_PATH,
    MESSAGE_MAX_BYTES,
    WATCH_MARGIN_S,
)
from .models import (
    InstanceEntry,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Read,
    Revoked,
    Stored,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreReply,
    StoreResult,
    Watch,
    Write,
    Written,
)

_ERROR_KINDS: Final = {
    409: StoreErrorKind.CONFLICT,
    410: StoreErrorKind.LEASE_LAPSED,
    413: StoreErrorKind.TOO_LARGE,
}
# Nothing was sent when one of these is raised, so another address may be tried.
_NOT_SENT: Final = (httpcore.ConnectError, httpcore.ConnectTimeout)


@attrs.frozen
class _Request:
    method: str
    path: str
    body: dict[str, Any] | None = None
    timeout_s: float = DEFAULT_TIMEOUT_S


@attrs.frozen
class _Response:
    status: int
    content: bytes


@attrs.frozen
class _Exchange:
    """How an operation becomes a request and a response becomes a reply."""

    request: Callable[[Any, float], _Request]
    reply: Callable[[Any, dict[str, Any]], StoreReply]


class HttpStore:
    """Implements `PlatformStore` and `InstanceList`; use it as an async context.

    Calls end within `timeout_s` seconds, watches within their own timeout and a
    margin. A failure without a clear answer is `UNAVAILABLE`, after which a write may
    or may not have taken effect. Requests that may have been sent are not repeated.
    """

    def __init__(
        self, addresses: tuple[str, ...], timeout_s: float = DEFAULT_TIMEOUT_S
    ) -> None:
        self.list_failures = 0
        self._addresses = addresses
        self._timeout_s = timeout_s
        self._current = 0
        self._entries: tuple[InstanceEntry, ...] = ()
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX, keepalive_expiry=KEEPALIVE_S
        )

    async def __aenter__(self) -> "HttpStore":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._pool.aclose()

    async def async_call(self, operation: StoreOperation) -> StoreResult:
        """Carry out one operation."""
        exchange = _EXCHANGES[type(operation)]
        request = exchange.request(operation, self._timeout_s)
        result = await self._async_fetch(request)
        if isinstance(result, StoreError):
            return Error(result)
        try:
            return Ok(exchange.reply(operation, result))
        except (KeyError, TypeError, ValueError):
            return Error(_unavailable("malformed answer"))

    async def async_list(self) -> tuple[InstanceEntry, ...]:
        """Return the current entries, or the last known ones after a failure.

        Failures are counted in `list_failures`.
        """
        request = _Request("GET", INSTANCES_PATH, timeout_s=self._timeout_s)
        result = await self._async_fetch(request)
        try:
            if isinstance(result, StoreError):
                raise ValueError(result.message)
            self._entries = tuple(map(entry_from_json, result["instances"]))
        except (KeyError, TypeError, ValueError):
            self.list_failures += 1
        return self._entries

    async def async_register(self, entry: InstanceEntry) -> bool:
        """Announce an instance to the list; return whether the list accepted it."""
        path = f"{INSTANCES_PATH}/{quote(entry.instance, safe='')}"
        body = attrs.asdict(entry)
        result = await self._async_fetch(_Request("PUT", path, body, self._timeout_s))
        return not isinstance(result, StoreError)

    async def _async_fetch(self, request: _Request) -> dict[str, Any] | StoreError:
        try:
            with anyio.fail_after(request.timeout_s):
                response = await self._async_send(request)
            return _interpret(response)
        except (TimeoutError, httpcore.TimeoutException):
            self._use_next_address()
            return _unavailable(f"no answer within {request.timeout_s} s")
        except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as exc:
            self._use_next_address()
            return _unavailable(f"{type(exc).__name__}: {exc}")

    async def _async_send(self, request: _Request) -> _Response:
        for _ in self._addresses[1:]:
            try:
                return await self._async_send_once(request)
            except _NOT_SENT:
                self._use_next_address()
        return await self._async_send_once(request)

    async def _async_send_once(self, request: _Request) -> _Response:
        url = f"http://{self._addresses[self._current]}{request.path}"
        content = b"" if request.body is None else json.dumps(request.body).encode()
        headers: list[tuple[bytes | str, bytes | str]] = []
        if content:
            headers.append(("Content-Type", "application/json"))
        async with self._pool.stream(
            request.method, url, headers=headers, content=content
        ) as response:
            chunks, size = [], 0
            async for chunk in response.aiter_stream():
                size += len(chunk)
                if size > MESSAGE_MAX_BYTES:
                    raise httpcore.RemoteProtocolError("the answer is too large")
                chunks.append(chunk)
            return _Response(response.status, b"".join(chunks))

    def _use_next_address(self) -> None:
        self._current = (self._current + 1) % len(self._addresses)


def _unavailable(message: str) -> StoreError:
    return StoreError(StoreErrorKind.UNAVAILABLE, message)


def _interpret(response: _Response) -> dict[str, Any] | StoreError:
    kind = _ERROR_KINDS.get(response.status, StoreErrorKind.UNAVAILABLE)
    if response.status != 200:
        return StoreError(kind, f"status {response.status}")
    try:
        data = json.loads(response.content)
    except (ValueError, RecursionError):
        return _unavailable("the answer is not JSON")
    return data if isinstance(data, dict) else _unavailable("malformed answer")


def _key_path(key: str) -> str:
    return KEYS_PATH + quote(key, safe="/")


def _write_request(write: Write, timeout_s: float) -> _Request:
    body = {
        "value": base64.b64encode(write.value).decode(),
        "expected_revision": write.expected_revision,
        "lease_id": write.lease_id,
    }
    return _Request("PUT", _key_path(write.key), body, timeout_s)


def _watch_request(watch: Watch, timeout_s: float) -> _Request:
    query = f"?after_revision={watch.after_revision}&timeout_s={watch.timeout_s}"
    path = _key_path(watch.key) + query
    return _Request("GET", path, None, watch.timeout_s + WATCH_MARGIN_S)


def _lease_path(lease_id: str) -> str:
    return f"{LEASES_PATH}/{quote(lease_id, safe='')}"


def _stored(operation: Read | Watch, data: dict[str, Any]) -> Stored:
    value = base64.b64decode(data["value"], validate=True)
    return Stored(operation.key, value, _number(data["revision"]))


def _leased(_: StoreOperation, data: dict[str, Any]) -> Leased:
    return Leased(_text(data["lease_id"]), float(data["ttl_s"]))


def entry_from_json(data: dict[str, Any]) -> InstanceEntry:
    """Return an entry of the list; raise KeyError or TypeError if malformed."""
    leaving = data.get("leaving", False)
    if not isinstance(leaving, bool):
        raise TypeError("leaving is not a boolean")
    return InstanceEntry(
        instance=_text(data["instance"]),
        address=_text(data["address"]),
        data_centre=_text(data["data_centre"]),
        leaving=leaving,
    )


def _number(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise ValueError("not a revision")
    return value


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError("not a text")
    return value


_EXCHANGES: Final[dict[type, _Exchange]] = {
    Read: _Exchange(
        lambda op, timeout_s: _Request("GET", _key_path(op.key), None, timeout_s),
        _stored,
    ),
    Watch: _Exchange(_watch_request, _stored),
    Write: _Exchange(
        _write_request, lambda _, data: Written(_number(data["revision"]))
    ),
    LeaseGrant: _Exchange(
        lambda op, timeout_s: _Request(
            "POST", LEASES_PATH, {"ttl_s": op.ttl_s}, timeout_s
        ),
        _leased,
    ),
    LeaseRenew: _Exchange(
        lambda op, timeout_s: _Request(
            "POST", _lease_path(op.lease_id) + "/renew", {}, timeout_s
        ),
        _leased,
    ),
    LeaseRevoke: _Exchange(
        lambda op, timeout_s: _Request(
            "DELETE", _lease_path(op.lease_id), None, timeout_s
        ),
        lambda _op, _data: Revoked(),
    ),
}
