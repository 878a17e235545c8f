"""One instance without its I/O."""

import random
from collections.abc import Callable
from typing import Any

import attrs

from ..configuration.follower import ConfigurationDecoder, ConfigurationFollower
from ..core.commands import Command
from ..core.context import Context
from ..core.events import DrainRequested, Event
from ..core.host import ComponentHost
from ..core.invariants import Invariants
from ..core.orders import Headers
from ..declaration.models import Configuration
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..keys.component import KeyOwnership
from ..organisations.keys import KeyForm, TenantKeys
from ..placement.component import Placement, PlacementParts
from ..rates.component import Rates
from ..requests.checks import ArrivalChecks
from ..requests.pipeline import Pipeline, PipelineParts
from ..retries.extra_attempts import ExtraAttempts
from ..servers.choice import ServerChoice
from ..servers.discovery import Discovery, EntryDecoder
from ..servers.table import ServerTable
from ..servers.warmth import ColdAllowances
from .models import RouterSettings


@attrs.frozen
class Adapter:
    """How the environment of the instance is read."""

    configurations: ConfigurationDecoder
    server_entries: EntryDecoder
    key_form: KeyForm
    forwarded_headers: Callable[[Headers], Headers]


class Router:
    """Takes events and times, returns commands.

    Several routers can run in one process, each stepped by its owner.
    """

    def __init__(
        self,
        cfg: RouterSettings,
        adapter: Adapter,
        rng: random.Random,
        invariants: Invariants,
    ) -> None:
        ctx = Context(cfg.identity, rng, invariants)
        self.cfg = cfg
        self.ctx = ctx
        self.host = ComponentHost(ctx)
        self.configuration = ConfigurationFollower(ctx, adapter.configurations)
        self.servers = ServerTable(ctx)
        self.discovery = Discovery(
            ctx, cfg.discovery, adapter.server_entries, self.servers.update
        )
        self.members = Members(ctx, cfg.fleet)
        self.duties = Duties(ctx, self.members)
        self.keys = KeyOwnership(
            ctx, self.servers, self.members, self.duties, cfg.key_table_prefix
        )
        self.rates = Rates(ctx, self.members, self.duties, cfg.rates)
        counted = self.members.counted
        self.cold = ColdAllowances(ctx, self.servers, cfg.cold, counted)
        self.choice = ServerChoice(ctx, self.servers, self.cold, cfg.choice)
        self.retries = ExtraAttempts(ctx, cfg.extra_attempts, counted)
        self.placement = Placement(
            PlacementParts(
                ctx, self.servers, self.choice, self.keys, self.members, self.duties
            )
        )
        self.keys.capacity_of = self.placement.capacity_of
        self.keys.on_load = self.placement.load_reported
        self.keys.heard_s = self.placement.heard_s
        self.pipeline = Pipeline(
            PipelineParts(
                ctx=ctx,
                checks=ArrivalChecks(
                    ctx, TenantKeys(adapter.key_form), adapter.forwarded_headers
                ),
                limits=self.rates,
                router=self.keys,
                servers=self.servers,
                choice=self.choice,
                retries=self.retries,
                placement=self.placement,
            )
        )
        for part in (
            self.duties,
            self.pipeline,
            self.keys,
            self.rates,
            self.placement,
        ):
            part.attach(self.host)
        self.configuration.add_listener(self._configure)
        self.draining = False
        self.host.on_event(DrainRequested, self._drain)

    def start(self, now_s: float, wall_s: float) -> list[Command]:
        """Begin to read the store; return the first commands."""
        self.ctx.set_time(now_s, wall_s)
        self.members.start()
        self.configuration.start()
        self.discovery.start()
        return self.step(None, now_s, wall_s)

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers; return the commands to carry out.

        `now_s` is monotonic time and `wall_s` Unix time, both in seconds.
        """
        return self.host.step(event, now_s, wall_s)

    def next_due_s(self) -> float | None:
        """Return the monotonic time of the next timer in seconds."""
        return self.host.next_due_s()

    def ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self.draining and self.configuration.current is not None

    def address_of(self, backend_server: str) -> str | None:
        """Return the address of a backend server."""
        return self.servers.address_of(backend_server)

    def status(self) -> dict[str, Any]:
        """Return the state of this instance for operators."""
        counters = self.pipeline.counters
        return {
            "instance": self.cfg.identity.instance,
            "ready": self.ready(),
            "open_requests": self.pipeline.open_requests(),
            "refusals": dict(counters.refusals),
            "attempts": dict(counters.attempts),
            "retries": counters.retries,
            "hedges": counters.hedges,
        }

    def _drain(self, event: DrainRequested) -> None:
        if not self.draining:
            self.draining = True
            self.duties.resign()
            self.members.stop()

    def _configure(self, configuration: Configuration) -> None:
        for part in (
            self.servers,
            self.cold,
            self.retries,
            self.keys,
            self.rates,
            self.placement,
            self.pipeline,
        ):
            part.configure(configuration)
