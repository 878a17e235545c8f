"""Stand-in of the platform: store, leases, watches and instance list over HTTP."""

import argparse
import base64
import json
import random
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, unquote

import anyio
import attrs
from expression import Result

from ..platform.const import (
    INSTANCES_PATH,
    KEYS_PATH,
    LEASES_PATH,
    MESSAGE_MAX_BYTES,
)
from ..platform.http_store import entry_from_json
from ..platform.memory import StoreModel
from ..platform.models import (
    InstanceEntry,
    Leased,
    LeaseGrant,
    LeaseRenew,
    LeaseRevoke,
    Read,
    Revoked,
    Stored,
    StoreErrorKind,
    StoreOperation,
    StoreReply,
    StoreResult,
    Watch,
    Write,
    Written,
)
from ..settings.parse import parse as parse_settings
from .faults import Outage, StoreFaults, loses_answer, parse_faults
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
    bind,
    make_server,
)
from .instance_registry import (
    DEFAULT_HEARTBEAT_TTL_S,
    DEFAULT_LAG_S,
    InstanceRegistry,
)

FAULTS_PATH: Final = "/v1/faults"
# Leases lapse without a write, so watches look at least this often.
WATCH_CHECK_INTERVAL_S: Final = 0.05
WATCH_MAX_S: Final = 60.0
NOT_FOUND: Final = HttpAnswer(404, {"error": "not found"})
OUT_OF_SERVICE: Final = HttpAnswer(503, {"error": "out of service"})
_STATUSES: Final = {
    StoreErrorKind.CONFLICT: 409,
    StoreErrorKind.LEASE_LAPSED: 410,
    StoreErrorKind.TOO_LARGE: 413,
    StoreErrorKind.UNAVAILABLE: 503,
}


@attrs.frozen
class HttpRequest:
    """A request with its decoded path, its query and its body."""

    method: str
    path: str
    query: dict[str, list[str]]
    body: bytes

    def json(self) -> dict[str, Any]:
        """Return the body's JSON object; raise `ValueError` if it is none."""
        data = json.loads(self.body)
        if not isinstance(data, dict):
            raise ValueError("not an object")
        return data


Handler = Callable[[HttpRequest], Awaitable[HttpAnswer]]


class StoreStandIn:
    """ASGI application; the same seed loses the same answers."""

    def __init__(
        self,
        registry: InstanceRegistry | None = None,
        seed: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.model = StoreModel()
        self.registry = registry or InstanceRegistry()
        self.faults = StoreFaults()
        self.calls = 0
        self._rng = random.Random(seed)
        self._clock = clock
        self._changed = anyio.Event()
        self._handlers: tuple[tuple[str, Handler], ...] = (
            (KEYS_PATH, self._async_keys),
            (LEASES_PATH, self._async_leases),
            (INSTANCES_PATH, self._async_instances),
        )

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one HTTP request."""
        if scope["type"] != "http":
            return
        try:
            body = await async_read_body(receive, MESSAGE_MAX_BYTES)
        except DisconnectedError:
            return
        except TooLargeError:
            await async_send_answer(send, HttpAnswer(413, {"error": "too large"}))
            return
        path = unquote(scope["raw_path"].partition(b"?")[0].decode("ascii", "replace"))
        query = parse_qs(scope["query_string"].decode("ascii", "replace"))
        request = HttpRequest(scope["method"], path, query, body)
        if path == FAULTS_PATH:
            await async_send_answer(send, self._set_faults(request))
            return
        answer = await self._async_answer(request, receive)
        if answer is not None:
            await async_send_answer(send, answer)

    async def _async_answer(
        self, request: HttpRequest, receive: Receive
    ) -> HttpAnswer | None:
        """Return the answer, or None when the client gets none."""
        self.calls += 1
        if self.faults.latency_s:
            await anyio.sleep(self.faults.latency_s / 2)
        if self.faults.outage is Outage.NONE:
            answer = await self._async_handle(request)
            if self.faults.latency_s:
                await anyio.sleep(self.faults.latency_s / 2)
            if loses_answer(self.faults, self._rng):
                await async_wait_for_disconnect(receive)
                return None
            if self.faults.outage is Outage.NONE:
                return answer
        if self.faults.outage is Outage.SILENT:
            await async_wait_for_disconnect(receive)
            return None
        return OUT_OF_SERVICE

    async def _async_handle(self, request: HttpRequest) -> HttpAnswer:
        for prefix, handler in self._handlers:
            if request.path.startswith(prefix):
                try:
                    return await handler(request)
                except (KeyError, TypeError, ValueError, RecursionError):
                    return HttpAnswer(400, {"error": "malformed request"})
        return NOT_FOUND

    def _set_faults(self, request: HttpRequest) -> HttpAnswer:
        if request.method == "PUT":
            match parse_faults(request.body):
                case Result(tag="ok", ok=faults):
                    self.faults = faults
                    if faults.instance_list_lag_s is not None:
                        self.registry.lag_s = faults.instance_list_lag_s
                case Result(error=findings):
                    return HttpAnswer(400, {"findings": list(map(str, findings))})
        return HttpAnswer(200, attrs.asdict(self.faults))

    async def _async_keys(self, request: HttpRequest) -> HttpAnswer:
        key = request.path.removeprefix(KEYS_PATH)
        if request.method == "PUT":
            data = request.json()
            value = base64.b64decode(data["value"], validate=True)
            write = Write(key, value, int(data["expected_revision"]), data["lease_id"])
            return self._apply(write)
        if request.method != "GET":
            return NOT_FOUND
        if "after_revision" not in request.query:
            return self._apply(Read(key))
        after_revision = int(request.query["after_revision"][0])
        timeout_s = min(float(request.query["timeout_s"][0]), WATCH_MAX_S)
        await self._async_wait(key, after_revision, timeout_s)
        return self._apply(Watch(key, after_revision, timeout_s))

    async def _async_wait(
        self, key: str, after_revision: int, timeout_s: float
    ) -> None:
        end_s = self._clock() + timeout_s
        while (now_s := self._clock()) < end_s and self.faults.outage is Outage.NONE:
            self.model.expire(now_s)
            if self.model.revision_of(key) != after_revision:
                return
            with anyio.move_on_after(min(WATCH_CHECK_INTERVAL_S, end_s - now_s)):
                await self._changed.wait()

    async def _async_leases(self, request: HttpRequest) -> HttpAnswer:
        rest = request.path.removeprefix(LEASES_PATH).strip("/")
        if request.method == "DELETE":
            return self._apply(LeaseRevoke(rest))
        if request.method != "POST":
            return NOT_FOUND
        if rest.endswith("/renew"):
            return self._apply(LeaseRenew(rest.removesuffix("/renew")))
        return self._apply(LeaseGrant(float(request.json()["ttl_s"])))

    async def _async_instances(self, request: HttpRequest) -> HttpAnswer:
        now_s = self._clock()
        if request.method == "PUT":
            entry = entry_from_json(request.json())
            self.registry.heartbeat(entry, now_s)
            return HttpAnswer(200, {})
        entries = self.registry.entries(now_s)
        return HttpAnswer(200, {"instances": [attrs.asdict(e) for e in entries]})

    def _apply(self, operation: StoreOperation) -> HttpAnswer:
        result = self.model.apply(operation, self._clock())
        if isinstance(operation, Write | LeaseRevoke):
            self._changed.set()
            self._changed = anyio.Event()
        return _answer_of(result)


def _answer_of(result: StoreResult) -> HttpAnswer:
    match result:
        case Result(tag="ok", ok=reply):
            return HttpAnswer(200, _body_of(reply))
        case Result(error=error):
            return HttpAnswer(_STATUSES[error.kind], {"error": error.message})


def _body_of(reply: StoreReply) -> dict[str, Any]:
    match reply:
        case Stored(key, value, revision):
            text = base64.b64encode(value).decode()
            return {"key": key, "value": text, "revision": revision}
        case Written() | Leased():
            return attrs.asdict(reply)
        case Revoked():
            return {}


def load_registry(
    directory: Path | None, lag_s: float, ttl_s: float
) -> InstanceRegistry:
    """Return a registry with the instances of the settings files in a directory."""
    registry = InstanceRegistry(lag_s, ttl_s)
    for file in sorted(directory.glob("*.json")) if directory else ():
        match parse_settings(file.read_bytes()):
            case Result(tag="ok", ok=settings):
                registry.add_fixed(
                    InstanceEntry(
                        settings.instance, settings.peer_address, settings.data_centre
                    )
                )
            case Result(error=findings):
                raise SystemExit(f"{file}: " + "; ".join(map(str, findings)))
    return registry


def main(arguments: list[str] | None = None) -> None:
    """Run the stand-in until it is told to stop."""
    parser = argparse.ArgumentParser(prog="python -m wagtailrill.stand_ins.store")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True, help="0 takes a free port")
    parser.add_argument(
        "--instances", type=Path, help="directory of instance settings files"
    )
    parser.add_argument("--list-lag", type=float, default=DEFAULT_LAG_S, metavar="S")
    parser.add_argument(
        "--heartbeat-ttl", type=float, default=DEFAULT_HEARTBEAT_TTL_S, metavar="S"
    )
    parser.add_argument("--seed", type=int, default=0)
    options = parser.parse_args(arguments)
    registry = load_registry(options.instances, options.list_lag, options.heartbeat_ttl)
    sock = bind(options.host, options.port)
    print(f"listening on {options.host}:{sock.getsockname()[1]}", flush=True)
    make_server(StoreStandIn(registry, options.seed)).run(sockets=[sock])


if __name__ == "__main__":
    main()
