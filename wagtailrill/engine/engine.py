"""Decisions of one instance, composed of its components."""

import random
from typing import Any

import attrs

from ..admission.models import QueueSettings
from ..balancing.balancer import Balancer
from ..balancing.models import BalancerSettings
from ..configuration.keeper import ConfigurationKeeper
from ..configuration.models import ConfigurationSettings
from ..core.commands import Command
from ..core.context import Context, Identity
from ..core.events import ConnectionClosed, DrainRequested, Event
from ..core.host import ComponentHost
from ..core.invariants import Invariants
from ..crash_guard.guard import CrashGuard
from ..crash_guard.models import CrashGuardSettings
from ..declaration.models import Configuration
from ..idempotency.claims import Idempotency
from ..idempotency.models import IdempotencySettings
from ..limits.limits import Limits
from ..limits.models import LimitSettings
from ..membership.membership import Membership
from ..membership.models import MembershipSettings
from ..organisations.keys import TenantKeys
from ..ownership.component import Ownership
from ..ownership.models import OwnershipSettings
from ..permits.models import PermitSettings
from ..permits.permits import Permits
from ..retries.models import RetrySettings
from ..retries.policy import RetryPolicy
from .checks import ArrivalChecks
from .draining import Drain, DrainParts, DrainState
from .models import DrainSettings
from .pipeline import Pipeline, PipelineParts


@attrs.frozen
class EngineSettings:
    """Settings of one instance's decisions; all durations are in seconds."""

    identity: Identity
    deployment: str
    drain: DrainSettings = attrs.field(factory=DrainSettings)
    limits: LimitSettings = attrs.field(factory=LimitSettings)
    permits: PermitSettings = attrs.field(factory=PermitSettings)
    balancer: BalancerSettings = attrs.field(factory=BalancerSettings)
    retries: RetrySettings = attrs.field(factory=RetrySettings)
    ownership: OwnershipSettings = attrs.field(factory=OwnershipSettings)
    idempotency: IdempotencySettings = attrs.field(factory=IdempotencySettings)
    queues: QueueSettings = attrs.field(factory=QueueSettings)
    crash_guard: CrashGuardSettings = attrs.field(factory=CrashGuardSettings)


class Engine:
    """One instance without its I/O: takes events and times, returns commands.

    Several engines can run in one process, each stepped by its owner.
    """

    def __init__(
        self, cfg: EngineSettings, rng: random.Random, invariants: Invariants
    ) -> None:
        ctx = Context(cfg.identity, rng, invariants)
        self.cfg = cfg
        self.ctx = ctx
        self.host = ComponentHost(ctx)
        self.membership = Membership(
            ctx, MembershipSettings(cfg.identity.cell, cfg.deployment)
        )
        self.configuration = ConfigurationKeeper(
            ctx, self.membership, ConfigurationSettings(cfg.deployment)
        )
        self.ownership = Ownership(ctx, self.membership, cfg.ownership)
        self.limits = Limits(ctx, self.membership, cfg.limits)
        self.permits = Permits(ctx, self.membership, cfg.permits)
        self.balancer = Balancer(ctx, self.permits, cfg.balancer)
        self.retries = RetryPolicy(ctx, cfg.retries)
        self.claims = Idempotency(ctx, self.membership, cfg.idempotency)
        self.guard = CrashGuard(ctx, self.membership, cfg.crash_guard)
        self.pipeline = Pipeline(self._pipeline_parts())
        self.drain = Drain(
            DrainParts(
                ctx, self.membership, self.ownership, self.claims, self.pipeline
            ),
            cfg.drain,
        )
        self._attach()

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
        return (
            self.drain.state is DrainState.SERVING
            and self.configuration.ready()
            and self.membership.has_lease()
        )

    def status(self) -> dict[str, Any]:
        """Return the state of this instance for operators."""
        configuration = self.configuration.current
        table = self.membership.table
        return {
            "instance": self.cfg.identity.instance,
            "data_centre": self.cfg.identity.data_centre,
            "ready": self.ready(),
            "drain_state": self.drain.state.value,
            "coordinator": table.coordinator.instance if table else "",
            "coordinates": self.membership.coordinates(),
            "outage_mode": self.membership.in_outage_mode(),
            "term": table.term if table else 0,
            "table_version": self.membership.table_version,
            "configuration_version": configuration.version if configuration else 0,
            "members": sorted(m.instance for m in self.membership.members()),
            "open_requests": self.pipeline.open_requests(),
            "queued": self.pipeline.queued(),
            "refusals": dict(self.pipeline.counters.refusals),
            "attempts": dict(self.pipeline.counters.attempts),
            "retries": self.pipeline.counters.retries,
            "hedges": self.pipeline.counters.hedges,
            "suspects": len(self.guard.suspects()),
            "invariant_violations": dict(self.ctx.invariants.violations),
        }

    def _pipeline_parts(self) -> PipelineParts:
        return PipelineParts(
            ctx=self.ctx,
            directory=self.membership,
            checks=ArrivalChecks(
                self.ctx, self.membership, self.configuration.ready, TenantKeys()
            ),
            limits=self.limits,
            guard=self.guard,
            claims=self.claims,
            router=self.ownership,
            permits=self.permits,
            balancer=self.balancer,
            retries=self.retries,
            queues=self.cfg.queues,
        )

    def _attach(self) -> None:
        for part in (
            self.membership,
            self.configuration,
            self.ownership,
            self.limits,
            self.permits,
            self.claims,
            self.guard,
            self.pipeline,
        ):
            part.attach(self.host)
        for listener in (self.limits, self.permits, self.claims):
            self.membership.add_listener(listener)
        self.membership.add_table_listener(self.guard.members_changed)
        self.membership.add_table_listener(self.claims.table_changed)
        self.configuration.add_listener(self._configure)
        self.host.on_event(DrainRequested, lambda event: self.drain.start())
        self.host.on_event(
            ConnectionClosed,
            lambda event: self.permits.connection_closed(event.backend_server),
        )

    def _configure(self, configuration: Configuration) -> None:
        for part in (
            self.limits,
            self.permits,
            self.balancer,
            self.retries,
            self.ownership,
            self.pipeline,
        ):
            part.configure(configuration)
