"""Stand-in of the platform's metadata store, after the page on the protocol."""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from .http import Answer, Request, Server

MS_PER_S = 1000.0
PAGE_ITEMS_MAX = 500
JSON_HEADER = {"content-type": "application/json"}


@dataclass
class Item:
    """A key of the store."""

    key: str
    value: bytes
    rev: int
    create_rev: int
    lease: int

    def encode(self) -> dict[str, Any]:
        """Return the item as it is sent."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "rev": self.rev,
            "create_rev": self.create_rev,
            "lease": self.lease,
        }


@dataclass
class Call:
    """A call with the label of the machine that makes it."""

    machine: str
    request: Request
    fields: dict[str, Any]

    @property
    def name(self) -> str:
        """Return the first part of the path, such as `kv-txn`."""
        return self.request.path[1:].partition("/")[0]

    def writes(self, prefix: str) -> bool:
        """Return whether the call is a transaction that writes below a prefix."""
        rows = self.fields.get("writes", [])
        return any(row["key"].startswith(prefix) for row in rows)


# Returns True if the call has been dealt with (its answer is given), else False.
Interceptor = Callable[[Call], Awaitable[Answer | bool | None]]


def parse_time_s(text: str) -> float:
    """Return the seconds of a text such as `1500ms` or `2s`."""
    if text.endswith("ms"):
        return float(text[:-2]) / MS_PER_S
    return float(text[:-1])


class Store:
    """Keys with revisions, leases and watches; linearizable, and loses nothing.

    `intercept` is asked before each call: it returns False to let the call pass, or
    the answer that is given in its place (None breaks the connection off).
    """

    def __init__(self) -> None:
        self.rev = 1
        self.items: dict[str, Item] = {}
        self.intercept: Interceptor = _pass
        self._history: list[dict[str, Any]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1
        self._changed = asyncio.Event()
        self._servers: list[Server] = []

    async def start(self, host: str, port: int, machine: str) -> None:
        """Serve one machine at an address of its own."""

        async def handle(request: Request) -> Answer | None:
            fields = json.loads(request.body) if request.body else {}
            call = Call(machine, request, fields)
            verdict = await self.intercept(call)
            if verdict is not False:
                return verdict if isinstance(verdict, Answer) else None
            return await self.execute(call)

        server = Server(handle)
        self._servers.append(server)
        await server.start(host, port)

    async def stop(self) -> None:
        """Stop serving."""
        for server in self._servers:
            await server.stop()

    async def execute(self, call: Call) -> Answer:
        """Carry a call out and return its answer."""
        self._expire_leases()
        request = call.request
        name, _, argument = request.path[1:].partition("/")
        if name == "kv-watch":
            return await self._watch(request)
        handlers: dict[str, Callable[[], Answer]] = {
            "kv-key": lambda: self._get(request.query["key"]),
            "kv-range": lambda: self._list(request),
            "kv-txn": lambda: self._commit(call.fields),
            "kv-lease": lambda: self._grant_lease(call.fields),
            "kv-keep": lambda: self._renew_lease(int(argument)),
            "kv-lease-end": lambda: self._end_lease(int(argument)),
        }
        handler = handlers.get(name)
        return handler() if handler is not None else _answer(404, {})

    # Writes of the operator and of the upstreams

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key and return the revision."""
        self.rev += 1
        self._put(key, value, lease)
        self._wake()
        return self.rev

    def remove(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.rev += 1
            self._remove(key)
            self._wake()

    def _put(self, key: str, value: bytes, lease: int) -> None:
        former = self.items.get(key)
        create_rev = former.create_rev if former is not None else self.rev
        item = Item(key, value, self.rev, create_rev, lease)
        self.items[key] = item
        self._history.append(item.encode())

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self._history.append({"key": key, "rev": self.rev, "deleted": True})

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    # Calls

    def _get(self, key: str) -> Answer:
        item = self.items.get(key)
        if item is None:
            return _answer(404, {"store_revision": self.rev})
        return _answer(200, {**item.encode(), "store_revision": self.rev})

    def _list(self, request: Request) -> Answer:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self.items[key].encode() for key in keys[:PAGE_ITEMS_MAX]]
        has_more = len(keys) > PAGE_ITEMS_MAX
        fields = {"items": page, "has_more": has_more, "store_revision": self.rev}
        return _answer(200, fields)

    async def _watch(self, request: Request) -> Answer:
        prefix, after = request.query["prefix"], int(request.query["after"])
        end_s = time.monotonic() + int(request.query["wait_ms"]) / MS_PER_S
        while True:
            self._expire_leases()
            events = [
                event
                for event in self._history
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0.0:
                fields = {"events": events, "store_revision": self.rev}
                return _answer(200, fields)
            try:
                await asyncio.wait_for(self._changed.wait(), min(left_s, 0.05))
            except TimeoutError:
                continue

    def _commit(self, fields: dict[str, Any]) -> Answer:
        expected = fields.get("expected_rev", [])
        found = [self.items.get(row["key"]) for row in expected]
        if any(
            (item.rev if item is not None else 0) != row["rev"]
            for item, row in zip(found, expected, strict=True)
        ):
            items = [item.encode() for item in found if item is not None]
            return _answer(412, {"items": items})
        writes = fields.get("writes", [])
        keys = [row["key"] for row in writes] + list(fields.get("remove", []))
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return _answer(403, {})
        leases = {row.get("lease", 0) for row in writes} - {0}
        if leases - self._leases.keys():
            return _answer(404, {})
        self.rev += 1
        for row in writes:
            value = base64.b64decode(row["value"])
            self._put(row["key"], value, row.get("lease", 0))
        for key in fields.get("remove", []):
            self._remove(key)
        self._wake()
        return _answer(200, {"rev": self.rev})

    def _grant_lease(self, fields: dict[str, Any]) -> Answer:
        ttl_s = parse_time_s(fields["ttl_time"])
        lease, self._next_lease = self._next_lease, self._next_lease + 1
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return _answer(200, {"lease": lease, "ttl_time": fields["ttl_time"]})

    def _renew_lease(self, lease: int) -> Answer:
        if lease not in self._leases:
            return _answer(404, {})
        ttl_s = self._leases[lease][0]
        self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return _answer(200, {"ttl_time": f"{ttl_s * MS_PER_S:.0f}ms"})

    def _end_lease(self, lease: int) -> Answer:
        if self._leases.pop(lease, None) is None:
            return _answer(404, {})
        self._remove_keys_of({lease})
        return _answer(200, {})

    def _expire_leases(self) -> None:
        now_s = time.monotonic()
        ended = {lease for lease, (_, end_s) in self._leases.items() if end_s <= now_s}
        for lease in ended:
            del self._leases[lease]
        if ended:
            self._remove_keys_of(ended)

    def _remove_keys_of(self, leases: set[int]) -> None:
        keys = [key for key, item in self.items.items() if item.lease in leases]
        if keys:
            self.rev += 1
            for key in keys:
                self._remove(key)
            self._wake()


def _answer(status: int, fields: dict[str, Any]) -> Answer:
    return Answer(status, json.dumps(fields).encode(), dict(JSON_HEADER))


async def _pass(call: Call) -> Answer | bool | None:
    return False
