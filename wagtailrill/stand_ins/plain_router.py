"""Plain router for comparison, on the same virtual backend servers and callers.

It has round robin with a health check, a static split of rates and slots over the
instances, first-in-first-out queues, owners of keys by modulo, and one retry. It has
no hedges, no ramp, no claims and no coordination between instances.
"""

import itertools
import math
from collections import deque
from collections.abc import Callable
from typing import Any, Final

import attrs
from expression import Error, Ok, Result

from ..core.backend import Probe
from ..core.commands import (
    AnswerRequest,
    CallBackend,
    Command,
    RefuseRequest,
    SendOrder,
)
from ..core.events import AttemptEnded, BackendReplied, Event, RequestArrived
from ..core.headers import ORGANISATION_HEADER
from ..core.orders import AttemptOutcome, AttemptResult, CallerRequest, Headers, Order
from ..core.refusals import Ran, Refusal, RefusalCode
from ..declaration.models import Configuration, Declaration
from ..declaration.routing import RouteMatch, RouteTable
from ..organisations.const import TENANT_KEY_HEADER
from ..organisations.keys import TenantKeys
from ..ownership.keys import key_hash, slot_of

TICK_S: Final = 0.1
ATTEMPTS_MAX: Final = 2
HEALTH_FAILURES_MAX: Final = 2
NOT_RUN_OUTCOMES: Final = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.FENCED, AttemptOutcome.CONNECT_FAILED}
)
CODE_BY_OUTCOME: Final = {
    AttemptOutcome.SHED: RefusalCode.QUEUE_FULL,
    AttemptOutcome.FENCED: RefusalCode.QUEUE_FULL,
    AttemptOutcome.CONNECT_FAILED: RefusalCode.NO_BACKEND_SERVER,
    AttemptOutcome.TIMED_OUT: RefusalCode.DEADLINE_EXCEEDED,
}


@attrs.frozen
class PlainSettings:
    """Settings of a plain router; durations in seconds."""

    instance_count: int
    health_interval_s: float = 1.0


@attrs.define
class PlainBucket:
    """Token bucket of an organisation's static share at one instance."""

    rate_per_s: float
    burst: float
    level: float
    filled_s: float = 0.0

    def take(self, now_s: float) -> bool:
        """Take a token if there is one."""
        gained = (now_s - self.filled_s) * self.rate_per_s
        self.level = min(self.burst, self.level + gained)
        self.filled_s = now_s
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True


@attrs.define(eq=False)
class PlainRequest:
    """A request that waits or runs."""

    req: CallerRequest
    match: RouteMatch
    headers: Headers
    deadline_s: float
    expires_unix_s: float
    attempts: int = 0
    may_have_run: bool = False


@attrs.define(eq=False)
class PlainQueue:
    """First-in-first-out queue of a service with its share of the slots."""

    share: int
    running: int = 0
    waiting: deque[PlainRequest] = attrs.field(factory=deque)


class PlainRouter:
    """One instance of the plain router; implements the virtual fleet's `Node`."""

    def __init__(self, cfg: PlainSettings, declaration: Declaration) -> None:
        self.cfg = cfg
        self._now_s = self._wall_s = 0.0
        self._next_tick_s = 0.0
        self._next_health_s = 0.0
        self._commands: list[Command] = []
        self._numbers = itertools.count(1)
        self._turn = itertools.count()
        self._running: dict[int, PlainRequest] = {}
        self._probes: dict[int, str] = {}
        self._failures: dict[str, int] = {}
        self._buckets: dict[str, PlainBucket] = {}
        self._queues: dict[str, PlainQueue] = {}
        self._tenants = TenantKeys()
        self._handlers: dict[type, Callable[[Any], None]] = {
            RequestArrived: lambda event: self._arrived(event.request),
            AttemptEnded: lambda event: self._ended(event.result),
            BackendReplied: self._probed,
        }
        self.configure(Configuration(1, declaration))

    def configure(self, configuration: Configuration) -> None:
        """Apply a declaration at once; the comparison spares it any distribution."""
        self._configuration = configuration
        declaration = configuration.declaration
        self._routes = RouteTable(declaration)
        self._tenants.configure(configuration)
        count = self.cfg.instance_count
        for org in declaration.organisations:
            burst = max(org.burst / count, 1.0)
            bucket = PlainBucket(org.rate_per_s / count, burst, burst, self._now_s)
            self._buckets.setdefault(org.name, bucket)
        for service in declaration.services:
            slots = sum(b.slots for b in service.backend_servers)
            share = math.ceil(slots / count)
            self._queues.setdefault(service.name, PlainQueue(share))

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers; return the commands to carry out."""
        self._now_s, self._wall_s = now_s, wall_s
        handler = self._handlers.get(type(event))
        if handler is not None:
            handler(event)
        if now_s >= self._next_tick_s:
            self._next_tick_s = now_s + TICK_S
            self._tick()
        commands, self._commands = self._commands, []
        return commands

    def next_due_s(self) -> float | None:
        """Return the time of the next tick in seconds."""
        return self._next_tick_s

    def live_servers(self, service: str) -> list[str]:
        """Return the servers of a service that are declared in and healthy."""
        return [
            b.name
            for b in self._configuration.services[service].backend_servers
            if self._configuration.accepts_work(b.name)
            and self._failures.get(b.name, 0) < HEALTH_FAILURES_MAX
        ]

    def owner_of(self, service: str, hashed: int) -> str:
        """Return the owner of a key hash: its slot modulo the live servers."""
        live = self.live_servers(service)
        return live[slot_of(hashed) % len(live)] if live else ""

    def _arrived(self, req: CallerRequest) -> None:
        checked = self._check(req)
        if checked.is_error():
            self._commands.append(RefuseRequest(req.request_id, checked.error))
            return
        row = checked.ok
        queue = self._queues[row.match.service.name]
        queue.waiting.append(row)
        self._pump(queue)

    def _check(self, req: CallerRequest) -> Result[PlainRequest, Refusal]:
        match = self._routes.match(req.method, req.path)
        if match is None:
            return Error(Refusal(RefusalCode.ROUTE_UNKNOWN, "No such route."))
        tenant = self._tenants.authenticate(req.headers)
        if tenant.is_error():
            return Error(tenant.error)
        organisation = tenant.ok.organisation
        if not self._buckets[organisation].take(self._now_s):
            return Error(Refusal(RefusalCode.RATE_LIMITED, "The rate is used up."))
        kept = (field for field in req.headers if field[0] != TENANT_KEY_HEADER)
        headers = (*kept, (ORGANISATION_HEADER, organisation.encode()))
        timeout_s = match.route.timeout_s
        row = PlainRequest(
            req, match, headers, self._now_s + timeout_s, self._wall_s + timeout_s
        )
        return Ok(row)

    def _pump(self, queue: PlainQueue) -> None:
        while queue.waiting and queue.running < queue.share:
            row = queue.waiting.popleft()
            if self._now_s >= row.deadline_s:
                self._refuse(row, RefusalCode.DEADLINE_EXCEEDED)
            else:
                self._send(queue, row)

    def _send(self, queue: PlainQueue, row: PlainRequest) -> None:
        server = self._choose(row.match)
        if not server:
            self._refuse(row, RefusalCode.NO_BACKEND_SERVER)
            return
        row.attempts += 1
        queue.running += 1
        attempt_id = next(self._numbers)
        self._running[attempt_id] = row
        order = Order(
            attempt_id=attempt_id,
            request_id=row.req.request_id,
            backend_server=server,
            method=row.req.method,
            target=row.req.path,
            headers=row.headers,
            body=row.req.body,
            expires_unix_s=row.expires_unix_s,
            timeout_s=row.deadline_s - self._now_s,
            may_connect=True,
        )
        self._commands.append(SendOrder(order))

    def _choose(self, match: RouteMatch) -> str:
        if match.service.keyed and match.key is not None:
            return self.owner_of(match.service.name, key_hash(match.key))
        live = self.live_servers(match.service.name)
        return live[next(self._turn) % len(live)] if live else ""

    def _ended(self, result: AttemptResult) -> None:
        row = self._running.pop(result.attempt_id)
        queue = self._queues[row.match.service.name]
        queue.running -= 1
        if result.outcome is AttemptOutcome.ANSWERED:
            answer = AnswerRequest(row.req.request_id, result.attempt_id)
            self._commands.append(answer)
        else:
            self._retry_or_refuse(queue, row, result.outcome)
        self._pump(queue)

    def _retry_or_refuse(
        self, queue: PlainQueue, row: PlainRequest, outcome: AttemptOutcome
    ) -> None:
        not_run = outcome in NOT_RUN_OUTCOMES
        row.may_have_run |= not not_run
        repeatable = not_run or row.match.route.idempotent
        time_left = self._now_s < row.deadline_s
        if repeatable and time_left and row.attempts < ATTEMPTS_MAX:
            queue.waiting.appendleft(row)
            return
        self._refuse(row, CODE_BY_OUTCOME.get(outcome, RefusalCode.BACKEND_LOST))

    def _refuse(self, row: PlainRequest, code: RefusalCode) -> None:
        ran = Ran.UNKNOWN if row.may_have_run else Ran.NO
        refusal = Refusal(code, "The request was not answered.", ran)
        self._commands.append(RefuseRequest(row.req.request_id, refusal))

    def _probed(self, event: BackendReplied) -> None:
        server = self._probes.pop(event.call_id)
        failures = self._failures.get(server, 0)
        self._failures[server] = 0 if event.result.is_ok() else failures + 1

    def _tick(self) -> None:
        for queue in self._queues.values():
            while queue.waiting and queue.waiting[0].deadline_s <= self._now_s:
                self._refuse(queue.waiting.popleft(), RefusalCode.DEADLINE_EXCEEDED)
        if self._now_s < self._next_health_s:
            return
        self._next_health_s = self._now_s + self.cfg.health_interval_s
        for server in self._configuration.backend_servers:
            call_id = next(self._numbers)
            self._probes[call_id] = server
            self._commands.append(CallBackend(call_id, server, Probe()))
