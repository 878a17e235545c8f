"""Routers, backend servers and callers of one deployment on a virtual clock.

The random runs and the tests of whole routers use it.
"""

import itertools
import random
from collections.abc import Iterator
from typing import Final

import attrs
from expression import Error, Ok, Result

from wagtailrill.configuration.models import InvalidDeclaration
from wagtailrill.core.commands import (
    AnswerRequest,
    Command,
    LogEvent,
    RefuseRequest,
    ReplayAnswer,
)
from wagtailrill.core.context import Identity
from wagtailrill.core.events import CallerLeft, RequestArrived
from wagtailrill.core.invariants import Invariants
from wagtailrill.core.refusals import Refusal
from wagtailrill.core.request_models import CallerRequest
from wagtailrill.declaration.models import Declaration
from wagtailrill.fleet.models import FleetSettings
from wagtailrill.organisations.keys import OpaqueKeyFormat
from wagtailrill.platform import wire
from wagtailrill.platform.discovery import PlatformEntryDecoder
from wagtailrill.router.models import (
    DiscoveredServers,
    EnvironmentAdapter,
    RouterSettings,
)
from wagtailrill.router.router import Router
from wagtailrill.stand_ins.server_model import ServerModelSettings
from wagtailrill.stand_ins.virtual_fleet import VirtualFleet
from wagtailrill.stand_ins.virtual_models import Execution
from wagtailrill.stand_ins.virtual_servers import VirtualServers
from wagtailrill.store.models import Item

from .declaration import ALLOWANCES, DATA_CENTRES, DECLARATION, ORGANISATIONS
from .notices import NoticeChecks
from .versions import VersionChecks

CONFIG_KEY: Final = "config/declaration"
CLOSED_PREFIX: Final = "config/closed/"


@attrs.frozen
class NamedDeclarations:
    """Configuration decoder for store values `NAME` or `NAME/VERSION`."""

    declarations: dict[bytes, Declaration]
    prefix: str = "config/"

    def get_declaration_key(self) -> str:
        """Return the store key of the declaration's name."""
        return CONFIG_KEY

    def decode(self, item: Item) -> Result[Declaration, InvalidDeclaration]:
        """Return the declaration that an item names, or an error if it is unknown."""
        name, _, version = item.value.partition(b"/")
        found = self.declarations.get(name)
        if found is None:
            return Error(InvalidDeclaration("unknown"))
        if not version:
            return Ok(found)
        return Ok(attrs.evolve(found, version_number=int(version)))

    def list_closed_data_centres(self, keys: frozenset[str]) -> frozenset[str]:
        """Return the data centres that are closed by a key below `CLOSED_PREFIX`."""
        return frozenset(
            key.removeprefix(CLOSED_PREFIX)
            for key in keys
            if key.startswith(CLOSED_PREFIX)
        )


@attrs.define
class Call:
    """A caller's request and its outcome; times are virtual, in seconds.

    `lost` is set when the instance was killed or the caller left.
    """

    caller_request_id: str
    instance: str
    service: str
    organisation: str
    idempotent: bool
    sent_s: float
    ended_s: float | None = None
    answered: bool = False
    refusal: Refusal | None = None
    lost: bool = False

    @property
    def promised_not_run(self) -> bool:
        """Whether the caller was told that the request has not run."""
        return self.refusal is not None and self.refusal.status in (429, 503)


class Deployment:
    """Runs routers against backend servers and callers; collects violations."""

    def __init__(
        self,
        seed: int,
        instances: int = 4,
        declarations: dict[bytes, Declaration] | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.log_lines: list[tuple[float, str, LogEvent]] = []
        self.calls: dict[str, Call] = {}
        self.violations: list[str] = []
        self._configuration_decoder = NamedDeclarations(
            declarations or {b"first": DECLARATION}
        )
        self._open_calls: dict[tuple[str, int, int], Call] = {}
        self._request_numbers = itertools.count(1)
        self._versions = itertools.count(1)
        self.last_version = 0
        self.fleet = VirtualFleet(self._make_router, seed)
        self.servers = VirtualServers(self.fleet, seed + 2)
        self.servers.on_execution = self._check_key_owner
        self.notice_checks = NoticeChecks(self.servers, self.violations)
        self.version_checks = VersionChecks(
            self.fleet, self._read_version, self.violations
        )
        for cls in (AnswerRequest, RefuseRequest, ReplayAnswer):
            self.fleet.register_handler(cls, self._record_answer)
        self.fleet.register_handler(LogEvent, self._record_log_line)
        self.instance_names = [f"i-{number}" for number in range(1, instances + 1)]

    @property
    def now_s(self) -> float:
        """Virtual time in seconds."""
        return self.fleet.now_s

    def start_all(
        self,
        servers_per_service: int = 4,
        declaration_name: bytes = b"first",
        cold_s: float = 0.0,
        keeps_ids: bool = False,
    ) -> None:
        """Start instances and servers, and let 6 s of virtual time pass."""
        self.write_configuration(declaration_name)
        for instance in self.instance_names:
            self.fleet.start_instance(instance)
        for number in range(servers_per_service):
            for service in ("roll", "box"):
                self.add_server(service, number, cold_s, keeps_ids)
        self.fleet.run_until(6.0)

    def write_configuration(self, declaration_name: bytes = b"first") -> None:
        """Write a declaration as the next version, unless the store is down."""
        if self.fleet.store.down:
            return
        version = self.last_version = next(self._versions)
        value = b"%s/%d" % (declaration_name, version)
        self.fleet.store.write_operator_key(CONFIG_KEY, value)
        self.version_checks.record_write(version)

    def add_server(
        self, service: str, number: int, cold_s: float = 0.0, keeps_id: bool = False
    ) -> None:
        """Start a backend server."""
        cfg = ServerModelSettings(
            f"{service}-{number}",
            service,
            keyed=service == "roll",
            cold_s=cold_s,
            service_time_s=0.02,
            keeps_id=keeps_id,
        )
        self.servers.add_server(cfg, DATA_CENTRES[number % len(DATA_CENTRES)])

    def kill_instance(self, name: str) -> None:
        """Kill an instance; its open requests are lost."""
        self.fleet.kill_instance(name)
        for (instance, _, _), call in list(self._open_calls.items()):
            if instance == name:
                call.lost = True

    def get_router(self, name: str) -> Router:
        """Return the router of an instance."""
        node = self.fleet.nodes[name].node
        assert isinstance(node, Router)
        return node

    def send_request(
        self,
        instance: str,
        service: str = "box",
        organisation: str = "calm",
        method: str = "GET",
        position: int | None = None,
        attempt_number: int = 0,
    ) -> Call:
        """Send a request to an instance; `position` is that of the key, if keyed."""
        number = next(self._request_numbers)
        call = Call(
            f"c-{number}",
            instance,
            service,
            organisation,
            method == "GET",
            self.now_s,
        )
        self.calls[call.caller_request_id] = call
        row = self.fleet.nodes[instance]
        self._open_calls[instance, row.incarnation, number] = call
        keyed = service == "roll"
        req = CallerRequest(
            request_id=number,
            method=method,
            path=f"/roll/k{number}" if keyed else f"/{service}",
            query=None,
            headers=(),
            body=b"",
            caller_request_id=call.caller_request_id,
            credential=organisation.encode(),
            key_position=position if keyed else None,
            attempt_number=attempt_number,
        )
        self.fleet.deliver_event(instance, RequestArrived(req), 0.0)
        return call

    def disconnect_caller(self, call: Call) -> None:
        """Close the connection of the caller that waits for a request."""
        number = int(call.caller_request_id.removeprefix("c-"))
        call.lost = True
        self.fleet.deliver_event(call.instance, CallerLeft(number), 0.0)

    def send_random_requests(self, rate_per_s: float, end_s: float) -> None:
        """Send random requests until `end_s`, at Poisson intervals."""

        def send_next() -> None:
            if self.now_s >= end_s:
                return
            running_names = [n for n in self.instance_names if n in self.fleet.nodes]
            if running_names:
                service = self.rng.choice(("roll", "box"))
                self.send_request(
                    self.rng.choice(running_names),
                    service,
                    self.rng.choices(list(ORGANISATIONS), (3, 1))[0],
                    self.rng.choices(("GET", "POST"), (3, 1))[0],
                    self.rng.randrange(65_536) if service == "roll" else None,
                )
            self.fleet.call_later(self.rng.expovariate(rate_per_s), send_next)

        self.fleet.call_later(0.0, send_next)

    def find_executions(self, call: Call) -> list[Execution]:
        """Return the executions of a request at backend servers."""
        return [
            e
            for e in self.servers.executions
            if e.caller_request_id == call.caller_request_id
        ]

    def find_log_lines(
        self, event: str
    ) -> Iterator[tuple[float, str, dict[str, object]]]:
        """Yield time, instance and fields of the log lines of an event."""
        for at_s, name, command in self.log_lines:
            if command.event == event:
                yield at_s, name, dict(command.fields)

    def _make_router(self, name: str, incarnation: int, rng: random.Random) -> Router:
        number = self.instance_names.index(name)
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        cfg = RouterSettings(
            Identity(name, incarnation, data_centre),
            FleetSettings("fleet/", f"127.0.0.{number + 1}:9"),
            "keys/",
            "claims/",
            ALLOWANCES,
            is_first_start=self.now_s == 0.0,
        )
        adapter = EnvironmentAdapter(
            self._configuration_decoder,
            DiscoveredServers(wire.SERVER_PREFIX, PlatformEntryDecoder()),
            OpaqueKeyFormat(),
            lambda header: False,
        )
        return Router(cfg, adapter, rng, Invariants())

    def _read_version(self, name: str) -> int | None:
        configuration = self.get_router(name).configuration.current
        return configuration and configuration.declaration.version_number

    def _record_log_line(self, name: str, command: Command) -> None:
        assert isinstance(command, LogEvent)
        self.log_lines.append((self.now_s, name, command))

    def _record_answer(self, name: str, command: Command) -> None:
        assert isinstance(command, AnswerRequest | RefuseRequest | ReplayAnswer)
        call_key = (name, self.fleet.nodes[name].incarnation, command.request_id)
        call = self._open_calls.pop(call_key, None)
        if call is None:
            self.violations.append(f"{name} answers {command.request_id} a second time")
            return
        call.ended_s = self.now_s
        if isinstance(command, RefuseRequest):
            call.refusal = command.refusal
            return
        call.answered = True
        if isinstance(command, AnswerRequest):
            result = self.servers.results[name, command.attempt_id]
            if result.body != call.caller_request_id.encode():
                self.violations.append(
                    f"{call.caller_request_id} gets the answer to another request"
                )

    def _check_key_owner(self, execution: Execution) -> None:
        server = self.servers.by_name[execution.server]
        if execution.position is None:
            return
        other_holders = set(
            self.servers.find_key_holders(execution.position, server.model.cfg.service)
        ) - {execution.server}
        if other_holders:
            self.violations.append(
                f"{execution.at_s:.3f}: {execution.server} and "
                f"{sorted(other_holders)} hold {execution.position}"
            )
