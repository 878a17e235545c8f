"""HTTP stand-in for the platform's store; implements its published protocol.

Tests, the demo and the benchmarks run it.
"""

import argparse
import base64
import json
import random
import time
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import anyio
import attrs
from expression import Result

from ..platform.units import format_duration, parse_duration_s
from ..store.models import (
    Changes,
    Commit,
    Committed,
    Expected,
    Found,
    Get,
    Item,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Listed,
    ListPrefix,
    Put,
    Removed,
    Revoked,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    StoreReply,
    StoreResult,
    WatchPrefix,
)
from .faults import Outage, StoreFaults, draw_answer_loss, parse_faults
from .http import (
    DisconnectedError,
    HttpAnswer,
    Receive,
    Scope,
    Send,
    TooLargeError,
    async_read_body,
    async_send_answer,
    async_wait_for_disconnect,
    bind_socket,
    make_http_server,
)
from .store_model import StoreModel

MESSAGE_MAX_BYTES: Final = 4_194_304
FAULTS_PATH: Final = "/stand-in/faults"
# For writes of the operator and of backend servers: unconditional, never refused.
WRITE_PATH: Final = "/stand-in/keys"
# Restores the store from a copy that is `age_s` seconds old.
RESTORE_PATH: Final = "/stand-in/restore"
ERA_HEADER: Final = b"store-era"
# Leases expire without a call, so pending watches check at least this often.
WATCH_CHECK_INTERVAL_S: Final = 0.05
WATCH_MAX_S: Final = 30.0
MS_PER_S: Final = 1000.0
NOT_FOUND: Final = HttpAnswer(404, {"error": "not found"})
RESERVED_PREFIXES: Final = ("op/", "servers/")
STATUS_BY_ERROR: Final = {
    StoreErrorKind.CONFLICT: 412,
    StoreErrorKind.LEASE_ENDED: 404,
    StoreErrorKind.COMPACTED: 410,
    StoreErrorKind.INVALID: 400,
}
STATUS_BY_OUTAGE: Final = {Outage.UNAVAILABLE: 503, Outage.TOO_MANY_REQUESTS: 429}


@attrs.frozen
class HttpRequest:
    """An HTTP request with decoded path and query; `client` is the client's address."""

    method: str
    path: str
    query: dict[str, str]
    body: bytes
    client: str

    def parse_json(self) -> dict[str, Any]:
        """Return the JSON object in the body; raise `ValueError` if there is none."""
        data = json.loads(self.body or b"{}")
        if not isinstance(data, dict):
            raise ValueError("not an object")
        return data


class StoreStandIn:
    """ASGI application of the store; the same seed loses the same answers.

    `clock` returns monotonic time in seconds.
    """

    def __init__(
        self, seed: int = 0, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.model = StoreModel()
        self.faults = StoreFaults()
        self.call_count = 0
        self._rng = random.Random(seed)
        self._clock = clock
        self._change_event = anyio.Event()

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            body = await async_read_body(receive, MESSAGE_MAX_BYTES)
        except DisconnectedError:
            return
        except TooLargeError:
            await self._async_send(send, HttpAnswer(413, {"error": "too large"}))
            return
        request = _decode_request(scope, body)
        if request.path in (FAULTS_PATH, WRITE_PATH, RESTORE_PATH):
            await self._async_send(send, self._handle_operator_request(request))
            return
        answer = await self._async_answer_request(request, receive)
        if answer is not None:
            await self._async_send(send, answer)

    async def _async_send(self, send: Send, answer: HttpAnswer) -> None:
        """Send an answer with the era of the store, which all answers name."""
        era = (ERA_HEADER, str(self.model.era).encode())
        await async_send_answer(
            send, attrs.evolve(answer, headers=(*answer.headers, era))
        )

    def write_key(self, key: str, value: bytes | None) -> None:
        """Write a key, or remove it if `value` is None, without any condition."""
        if value is None:
            self.model.remove_item(key)
        else:
            self.model.put_item(key, value)
        self._wake_watches()

    def restore(self, age_s: float) -> None:
        """Restore the store from a copy; waiting watches continue from it."""
        self.model.restore_copy(age_s, self._clock())
        self._wake_watches()

    async def _async_answer_request(
        self, request: HttpRequest, receive: Receive
    ) -> HttpAnswer | None:
        """Return the answer, or None if a fault leaves the client without one."""
        self.call_count += 1
        faults = self.faults
        if faults.latency_s:
            await anyio.sleep(faults.latency_s)
        outage = self._get_outage(request.client)
        if outage in STATUS_BY_OUTAGE:
            return HttpAnswer(STATUS_BY_OUTAGE[outage], {"error": outage.value})
        if outage is not Outage.NONE:
            await async_wait_for_disconnect(receive)
            return None
        if draw_answer_loss(faults, self._rng):
            await anyio.sleep(faults.late_s)
            await self._async_execute_request(request)
            await async_wait_for_disconnect(receive)
            return None
        return await self._async_execute_request(request)

    def _get_outage(self, client: str) -> Outage:
        clients = self.faults.clients
        return self.faults.outage if not clients or client in clients else Outage.NONE

    async def _async_execute_request(self, request: HttpRequest) -> HttpAnswer:
        try:
            operation = decode_operation(request)
        except (KeyError, TypeError, ValueError, RecursionError) as exc:
            return HttpAnswer(400, {"error": f"malformed request: {exc}"})
        if operation is None:
            return NOT_FOUND
        if isinstance(operation, WatchPrefix):
            await self._async_wait_for_change(operation)
        if isinstance(operation, Commit) and _writes_reserved_key(operation):
            return HttpAnswer(403, {"error": "reserved"})
        result = self.model.apply_operation(operation, self._clock())
        if isinstance(operation, Commit | LeaseRevoke):
            self._wake_watches()
        return _encode_result(operation, result)

    async def _async_wait_for_change(self, watch: WatchPrefix) -> None:
        end_s = self._clock() + min(watch.wait_s, WATCH_MAX_S)
        while (now_s := self._clock()) < end_s and self.faults.outage is Outage.NONE:
            self.model.expire_leases(now_s)
            has_changed = (
                self.model.get_prefix_revision(watch.prefix) > watch.after_revision
            )
            if has_changed or watch.after_revision > self.model.revision:
                return
            with anyio.move_on_after(min(WATCH_CHECK_INTERVAL_S, end_s - now_s)):
                await self._change_event.wait()

    def _wake_watches(self) -> None:
        self._change_event.set()
        self._change_event = anyio.Event()

    def _handle_operator_request(self, request: HttpRequest) -> HttpAnswer:
        if request.path == WRITE_PATH:
            data = request.parse_json()
            value = data.get("value")
            self.write_key(
                data["key"], None if value is None else base64.b64decode(value)
            )
            return HttpAnswer(200, {"rev": self.model.revision})
        if request.path == RESTORE_PATH:
            self.restore(float(request.parse_json()["age_s"]))
            return HttpAnswer(200, {"rev": self.model.revision})
        if request.method == "PUT":
            match parse_faults(request.body):
                case Result(tag="ok", ok=faults):
                    self.faults = faults
                case Result(error=findings):
                    return HttpAnswer(400, {"findings": list(map(str, findings))})
        return HttpAnswer(200, attrs.asdict(self.faults))


def _decode_request(scope: Scope, body: bytes) -> HttpRequest:
    path = unquote(scope["raw_path"].partition(b"?")[0].decode("ascii", "replace"))
    query = parse_qs(scope["query_string"].decode("ascii", "replace"))
    client = scope.get("client") or ("", 0)
    return HttpRequest(
        scope["method"], path, {n: v[-1] for n, v in query.items()}, body, client[0]
    )


def decode_operation(request: HttpRequest) -> StoreOperation | None:
    """Return the operation that a request asks for, or None for an unknown path.

    Raise `KeyError`, `TypeError` or `ValueError` if the request is malformed.
    """
    query, (endpoint, _, argument) = request.query, request.path[1:].partition("/")
    match request.method, endpoint:
        case "GET", "kv-key":
            return Get(query["key"])
        case "GET", "kv-range":
            stale = query.get("stale_ok") == "1"
            return ListPrefix(query["prefix"], query.get("after", ""), stale)
        case "GET", "kv-watch":
            wait_s = int(query["wait_ms"]) / MS_PER_S
            return WatchPrefix(query["prefix"], int(query["after"]), wait_s)
        case "POST", "kv-txn":
            return _decode_commit(request.parse_json())
        case "POST", "kv-lease":
            return LeaseGrant(
                parse_duration_s(request.parse_json()["ttl_time"], "ttl_time")
            )
        case "POST", "kv-keep":
            return LeaseRenew(int(argument))
        case "DELETE", "kv-lease-end":
            return LeaseRevoke(int(argument))
    return None


def _decode_commit(data: dict[str, Any]) -> Commit:
    return Commit(
        tuple(Expected(row["key"], row["rev"]) for row in data["expected_rev"]),
        tuple(
            Put(
                row["key"],
                base64.b64decode(row["value"], validate=True),
                row.get("lease", 0),
            )
            for row in data["writes"]
        ),
        tuple(data["remove"]),
    )


def _writes_reserved_key(commit: Commit) -> bool:
    keys = [put.key for put in commit.puts] + list(commit.removes)
    return any(key.startswith(RESERVED_PREFIXES) for key in keys)


def _encode_result(operation: StoreOperation, result: StoreResult) -> HttpAnswer:
    match result:
        case Result(tag="ok", ok=Found(None)):
            return NOT_FOUND
        case Result(tag="ok", ok=reply):
            return HttpAnswer(200, _encode_reply(reply))
        case Result(error=StoreError() as error):
            body: dict[str, Any] = {"error": error.message}
            if error.kind is StoreErrorKind.CONFLICT:
                body["items"] = [_encode_item(item) for item in error.items]
            return HttpAnswer(STATUS_BY_ERROR[error.kind], body)


def _encode_item(item: Item) -> dict[str, Any]:
    return {
        "key": item.key,
        "value": base64.b64encode(item.value).decode(),
        "rev": item.revision,
        "create_rev": item.created_revision,
        "lease": item.lease_id,
    }


def _encode_event(event: Item | Removed) -> dict[str, Any]:
    if isinstance(event, Item):
        return _encode_item(event)
    return {"key": event.key, "rev": event.revision, "deleted": True}


def _encode_reply(reply: StoreReply) -> dict[str, Any]:
    match reply:
        case Found(Item() as item):
            return _encode_item(item)
        case Listed(items, more, revision):
            return {
                "items": [_encode_item(item) for item in items],
                "has_more": more,
                "store_revision": revision,
            }
        case Changes(events, revision):
            return {
                "events": [_encode_event(event) for event in events],
                "store_revision": revision,
            }
        case Committed(revision):
            return {"rev": revision}
        case Leased(lease_id, ttl_s):
            return {"lease": lease_id, "ttl_time": format_duration(ttl_s)}
        case Revoked() | Found():
            return {}


def main(arguments: list[str] | None = None) -> None:
    """Run the stand-in until it is stopped."""
    parser = argparse.ArgumentParser(prog="python -m wagtailrill.stand_ins.store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="0 takes a free port")
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    sock = bind_socket(options.host, options.port)
    print(f"listening on {options.host}:{sock.getsockname()[1]}", flush=True)
    make_http_server(StoreStandIn(options.seed)).run(sockets=[sock])


if __name__ == "__main__":
    main()
