"""HTTP client of the platform's key-value store.

Used by the processes of both environments, native and platform, and by the
command-line tool.
"""

import base64
import importlib.util
import json
import sys
from collections.abc import Callable
from typing import Any, Final, Self
from urllib.parse import quote, urlencode

import anyio
import attrs
import httpcore
from expression import Error, Ok

from ..core.json_fields import (
    get_integer,
    get_text,
    load_object,
    parse_list,
    parse_object,
)
from ..gateway.sockets import TCP_SOCKET_OPTIONS
from ..store.models import (
    Changes,
    Commit,
    Committed,
    Found,
    Get,
    Item,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Listed,
    ListPrefix,
    Removed,
    Revoked,
    StoreAnswer,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreReply,
    StoreResult,
    WatchPrefix,
)
from ..store.revision import ERA_MAX
from . import wire
from .units import format_duration, parse_duration_s

# httpcore imports this optional module whenever a lock is first used, at least twice
# for each call. The interpreter does not remember that a module is missing and searches
# all folders again, unless it is told so.
_OPTIONAL_MODULE: Final = "sniffio"
if importlib.util.find_spec(_OPTIONAL_MODULE) is None:
    sys.modules[_OPTIONAL_MODULE] = None  # type: ignore[assignment]

RESPONSE_MAX_BYTES: Final = 8_388_608
# All responses that are being received, together.
RECEIVING_MAX_BYTES: Final = 16_777_216
CONNECTIONS_MAX: Final = 8
KEEPALIVE_S: Final = 30.0
ERA_DIGITS_MAX: Final = 9
_MS_PER_S: Final = 1000.0
_JSON_HEADER: Final = ("Content-Type", "application/json")
_ERROR_KIND_BY_STATUS: Final = {
    400: StoreErrorKind.INVALID,
    403: StoreErrorKind.INVALID,
    404: StoreErrorKind.LEASE_ENDED,
    410: StoreErrorKind.COMPACTED,
    412: StoreErrorKind.CONFLICT,
    413: StoreErrorKind.INVALID,
    429: StoreErrorKind.REFUSED,
    503: StoreErrorKind.REFUSED,
}


@attrs.frozen
class _HttpRequest:
    """HTTP request to the store; `wait_s` is added to the timeout of the call."""

    method: str
    target: str
    body: dict[str, Any] | None = None
    wait_s: float = 0.0


@attrs.frozen
class _HttpResponse:
    """Response of the store; `era` is 0 if it names none."""

    status: int
    era: int
    content: bytes


@attrs.frozen
class _OperationCodec:
    """Converts an operation to a request and the response's fields to a reply."""

    encode_request: Callable[[Any], _HttpRequest]
    decode_reply: Callable[[Any], StoreReply]


@attrs.define(eq=False)
class _ConnectionPool:
    """Connections of the same age, and the number of calls in progress on them."""

    connections: httpcore.AsyncConnectionPool
    open_calls: int = 0


class PlatformStore:
    """Implements `Store` over HTTP.

    A call ends within `timeout_s` seconds, a watch up to its `wait_s` later. After a
    call without a response the client switches to the next address, and makes no
    further call on the connections that are open: all of them may have gone silent.
    `receiving_peak_bytes` is the most that it held of responses at a time.
    """

    def __init__(self, addresses: tuple[str, ...], timeout_s: float) -> None:
        self._base_urls = tuple(f"http://{address}" for address in addresses)
        self._address_index = 0
        self._timeout_s = timeout_s
        self._pool = _make_pool()
        self._former_pools: set[_ConnectionPool] = set()
        self._receiving_bytes = 0
        self.receiving_peak_bytes = 0

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.async_close()

    async def async_close(self) -> None:
        """Close all connections."""
        for pool in (self._pool, *self._former_pools):
            await pool.connections.aclose()

    async def async_call(self, operation: StoreOperation) -> StoreAnswer:
        """Execute one operation; failures are returned as `StoreError`."""
        codec = _CODEC_BY_OPERATION[type(operation)]
        request = codec.encode_request(operation)
        pool = self._pool
        pool.open_calls += 1
        try:
            with anyio.fail_after(self._timeout_s + request.wait_s):
                response = await self._async_send(request, pool)
        except (
            TimeoutError,
            httpcore.TimeoutException,
            httpcore.NetworkError,
            httpcore.ProtocolError,
            OSError,
        ) as exc:
            self._address_index = (self._address_index + 1) % len(self._base_urls)
            self._replace_pool(pool)
            message = f"{type(exc).__name__}: {exc}"
            return StoreAnswer(Error(StoreError(StoreErrorKind.NO_ANSWER, message)))
        finally:
            pool.open_calls -= 1
            await self._async_close_unused_pools()
        return StoreAnswer(_read_result(operation, codec, response), response.era)

    def _replace_pool(self, pool: _ConnectionPool) -> None:
        """Have later calls open connections of their own, unless they already do."""
        if pool is self._pool:
            self._former_pools.add(pool)
            self._pool = _make_pool()

    async def _async_close_unused_pools(self) -> None:
        """Close former connections once the calls on them have ended."""
        for pool in [p for p in self._former_pools if not p.open_calls]:
            self._former_pools.discard(pool)
            await pool.connections.aclose()

    async def _async_send(
        self, request: _HttpRequest, pool: _ConnectionPool
    ) -> _HttpResponse:
        content = b"" if request.body is None else json.dumps(request.body).encode()
        async with pool.connections.stream(
            request.method,
            self._base_urls[self._address_index] + request.target,
            headers=[_JSON_HEADER] if content else [],
            content=content,
        ) as response:
            content = await self._async_receive(response)
            era = _read_era(response.headers)
            return _HttpResponse(response.status, era, content)

    async def _async_receive(self, response: httpcore.Response) -> bytes:
        """Return the body of a response; raise an error if it is too large."""
        chunks, size = [], 0
        try:
            async for chunk in response.aiter_stream():
                size += len(chunk)
                self._receiving_bytes += len(chunk)
                self.receiving_peak_bytes = max(
                    self.receiving_peak_bytes, self._receiving_bytes
                )
                if (
                    size > RESPONSE_MAX_BYTES
                    or self._receiving_bytes > RECEIVING_MAX_BYTES
                ):
                    raise httpcore.RemoteProtocolError("the response is too large")
                chunks.append(chunk)
            return b"".join(chunks)
        finally:
            self._receiving_bytes -= size


def _make_pool() -> _ConnectionPool:
    return _ConnectionPool(
        httpcore.AsyncConnectionPool(
            max_connections=CONNECTIONS_MAX,
            keepalive_expiry=KEEPALIVE_S,
            socket_options=TCP_SOCKET_OPTIONS,
        )
    )


def _read_era(headers: list[tuple[bytes, bytes]]) -> int:
    """Return the era that a response names, 0 if it names none that is valid."""
    values = [value for name, value in headers if name.lower() == wire.STORE_ERA]
    if len(values) != 1 or not values[0].isdigit() or len(values[0]) > ERA_DIGITS_MAX:
        return 0
    era = int(values[0])
    return era if era <= ERA_MAX else 0


def _read_result(
    operation: StoreOperation, codec: _OperationCodec, response: _HttpResponse
) -> StoreResult:
    try:
        return _decode_result(operation, codec, response.status, response.content)
    except (ValueError, KeyError, TypeError) as exc:
        message = f"malformed response: {exc}"
        return Error(StoreError(StoreErrorKind.NO_ANSWER, message))


def _decode_result(
    operation: StoreOperation, codec: _OperationCodec, status: int, content: bytes
) -> StoreResult:
    if status == 404 and isinstance(operation, Get):
        return Ok(Found(None))
    if status == 200:
        fields = load_object(content or b"{}", "the response")
        return Ok(codec.decode_reply(fields))
    kind = _ERROR_KIND_BY_STATUS.get(status, StoreErrorKind.NO_ANSWER)
    items: tuple[Item, ...] = ()
    if kind is StoreErrorKind.CONFLICT:
        fields = load_object(content, "the response")
        items = tuple(_decode_item(entry) for entry in fields.get("items", []) if entry)
    return Error(StoreError(kind, f"status {status}", items))


def _decode_item(fields: Any) -> Item:
    entry = parse_object(fields, "an item")
    value = entry.get("value")
    return Item(
        key=get_text(entry, "key"),
        value=base64.b64decode(value, validate=True) if value else b"",
        revision=get_integer(entry, "rev"),
        created_revision=(
            get_integer(entry, "create_rev") if "create_rev" in entry else 0
        ),
        lease_id=get_integer(entry, "lease") if "lease" in entry else 0,
    )


def _decode_event(fields: Any) -> Item | Removed:
    entry = parse_object(fields, "an event")
    if entry.get("deleted"):
        return Removed(get_text(entry, "key"), get_integer(entry, "rev"))
    return _decode_item(entry)


def _decode_found(fields: Any) -> Found:
    return Found(_decode_item(fields))


def _decode_listed(fields: Any) -> Listed:
    items = tuple(
        _decode_item(entry) for entry in parse_list(fields.get("items"), "items")
    )
    return Listed(
        items, bool(fields["has_more"]), get_integer(fields, "store_revision")
    )


def _decode_changes(fields: Any) -> Changes:
    events = parse_list(fields.get("events"), "events")
    return Changes(
        tuple(map(_decode_event, events)), get_integer(fields, "store_revision")
    )


def _decode_leased(fields: Any) -> Leased:
    lease_id = get_integer(fields, "lease") if "lease" in fields else 0
    return Leased(lease_id, parse_duration_s(fields.get("ttl_time"), "ttl_time"))


def _encode_list(operation: ListPrefix) -> _HttpRequest:
    query = {"prefix": operation.prefix}
    if operation.after_key:
        query["after"] = operation.after_key
    if operation.allow_stale:
        query["stale_ok"] = "1"
    return _HttpRequest("GET", f"/kv-range?{urlencode(query)}")


def _encode_watch(operation: WatchPrefix) -> _HttpRequest:
    query = {
        "prefix": operation.prefix,
        "after": operation.after_revision,
        "wait_ms": round(operation.wait_s * _MS_PER_S),
    }
    target = f"/kv-watch?{urlencode(query)}"
    return _HttpRequest("GET", target, wait_s=operation.wait_s)


def _encode_commit(operation: Commit) -> _HttpRequest:
    body = {
        "expected_rev": [
            {"key": entry.key, "rev": entry.revision} for entry in operation.expected
        ],
        "writes": [
            {
                "key": put.key,
                "value": base64.b64encode(put.value).decode(),
                "lease": put.lease_id,
            }
            for put in operation.puts
        ],
        "remove": list(operation.removes),
    }
    return _HttpRequest("POST", "/kv-txn", body)


_CODEC_BY_OPERATION: Final[dict[type, _OperationCodec]] = {
    Get: _OperationCodec(
        lambda op: _HttpRequest("GET", f"/kv-key?{urlencode({'key': op.key})}"),
        _decode_found,
    ),
    ListPrefix: _OperationCodec(_encode_list, _decode_listed),
    WatchPrefix: _OperationCodec(_encode_watch, _decode_changes),
    Commit: _OperationCodec(
        _encode_commit, lambda fields: Committed(get_integer(fields, "rev"))
    ),
    LeaseGrant: _OperationCodec(
        lambda op: _HttpRequest(
            "POST", "/kv-lease", {"ttl_time": format_duration(op.ttl_s)}
        ),
        _decode_leased,
    ),
    LeaseRenew: _OperationCodec(
        lambda op: _HttpRequest("POST", f"/kv-keep/{quote(str(op.lease_id))}", {}),
        _decode_leased,
    ),
    LeaseRevoke: _OperationCodec(
        lambda op: _HttpRequest("DELETE", f"/kv-lease-end/{quote(str(op.lease_id))}"),
        lambda fields: Revoked(),
    ),
}
