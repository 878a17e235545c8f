"""Composes the components of one instance; the runtime does the I/O for it."""

import math
import random
from collections import Counter
from typing import Any

from ..claims.claims import Claims
from ..configuration.exchange import ConfigurationExchange
from ..configuration.follower import ConfigurationFollower
from ..configuration.listeners import ConfigurationListener
from ..core.commands import Command
from ..core.context import Context
from ..core.events import DrainRequested, Event
from ..core.host import ComponentHost
from ..core.invariants import Invariants
from ..core.log_events import LogName
from ..core.request_models import AttemptResult
from ..costs.book import CostBook
from ..crash_guard.guard import CrashGuard
from ..declaration.models import Configuration
from ..fleet.duties import Duties
from ..fleet.members import Members
from ..keys.component import KeyOwnership
from ..organisations.keys import TenantKeys
from ..placement.component import Placement, PlacementParts
from ..rates.component import RateLimiter
from ..requests.checks import ArrivalChecks, parse_key_position
from ..requests.pipeline import Pipeline, PipelineParts
from ..retries.extra_attempts import ExtraAttemptBudget
from ..rollouts.component import RolloutParts, Rollouts
from ..servers.choice import ServerChoice
from ..servers.discovery import Discovery, DiscoverySettings
from ..servers.models import ServerRow
from ..servers.notices import NoticeParts, ServerNotices
from ..servers.relay import READER_DUTY, EntryRelay
from ..servers.table import ServerTable
from ..servers.warmth import ColdAllowances
from .models import Allowances, DeclaredServers, EnvironmentAdapter, RouterSettings


class Router:
    """Takes events and the time, and returns the commands to carry out.

    It does no I/O and reads no clock, so several routers can run in one process.
    """

    def __init__(
        self,
        cfg: RouterSettings,
        adapter: EnvironmentAdapter,
        rng: random.Random,
        invariants: Invariants,
    ) -> None:
        ctx = Context(cfg.identity, rng, invariants)
        self.cfg = cfg
        self.ctx = ctx
        self.host = ComponentHost(ctx)
        self.draining = False
        self._adapter = adapter
        self.configuration = ConfigurationFollower(ctx, adapter.configuration_decoder)
        self.servers = ServerTable(ctx)
        self.discovery = self._make_discovery(ctx, adapter)
        self.members = Members(ctx, cfg.fleet)
        self.exchange = ConfigurationExchange(ctx, self.configuration, self.members)
        self.duties = Duties(ctx, self.members)
        self.keys = KeyOwnership(
            ctx, self.servers, self.members, self.duties, cfg.key_table_prefix
        )
        self.entry_relay = (
            EntryRelay(
                ctx,
                self.duties,
                self.discovery,
                self.servers,
                (self.members.mirror, self.configuration.mirror),
                cfg.is_first_start,
            )
            if self.discovery is not None
            else None
        )
        list_possibly_running = self.members.list_possibly_running
        allowances = cfg.allowances
        self.rates = RateLimiter(ctx, self.members, self.duties, allowances.rates)
        self.cold_allowances = ColdAllowances(
            ctx, self.servers, allowances.cold, list_possibly_running
        )
        self.retry_budget = ExtraAttemptBudget(
            ctx, allowances.extra_attempts, list_possibly_running, cfg.is_first_start
        )
        self.costs = CostBook(ctx)
        self.server_choice = ServerChoice(
            ctx, self.servers, self.cold_allowances, self.costs, cfg.distance
        )
        self.placement = Placement(
            PlacementParts(
                ctx,
                self.servers,
                self.server_choice,
                self.keys,
                self.members,
                self.duties,
                self.costs,
                cfg.distance,
            )
        )
        self.rollouts = self._make_rollouts(adapter)
        self.notices = ServerNotices(
            NoticeParts(ctx, self.servers, self._list_notice_receivers)
        )
        if self.entry_relay is not None:
            self.members.add_listener(self.entry_relay.ask_new_reader)
            self.entry_relay.on_leaving = self.notices.learn_leaving
            self.entry_relay.on_later_era = self.members.check_store
            self.notices.on_leaving_learned = self.entry_relay.record_leaving
        self.keys.estimate_capacity = self.placement.estimate_capacity
        self.keys.on_load_report = self.placement.record_load
        self.keys.get_last_answer_s = self.placement.get_last_answer_s
        self.crash_guard = CrashGuard(
            ctx, self.servers, lambda: tuple(self.members.get_other_members())
        )
        self.claims = Claims(ctx, self.members, cfg.claim_prefix)
        self.pipeline = Pipeline(self._make_pipeline_parts())
        self._attach_components()

    def start(self, now_s: float, wall_s: float) -> list[Command]:
        """Start to read the store; return the first commands to carry out.

        `now_s` is monotonic time and `wall_s` Unix time, both in seconds.
        """
        self.ctx.set_time(now_s, wall_s)
        self.members.start()
        self.configuration.start()
        self.exchange.start()
        return self.step(None, now_s, wall_s)

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event and due timers; return the commands to carry out.

        `now_s` is monotonic time and `wall_s` Unix time, both in seconds.
        """
        return self.host.step(event, now_s, wall_s)

    def get_next_due_s(self) -> float | None:
        """Return the monotonic time of the next timer in seconds, None without one."""
        return self.host.get_next_due_s()

    def apply_allowances(self, allowances: Allowances) -> None:
        """Apply allowances that changed while the instance was running."""
        self.rates.apply_settings(allowances.rates)
        self.cold_allowances.apply_settings(allowances.cold)
        self.retry_budget.apply_settings(allowances.extra_attempts)
        if self.rollouts is not None:
            self.rollouts.apply_settings(allowances.rollouts)

    def is_ready(self) -> bool:
        """Return whether the load balancer should send requests here."""
        return not self.draining and self.configuration.current is not None

    def find_server_address(self, backend_server: str) -> str | None:
        """Return the address of a backend server, None if it is unknown."""
        return self.servers.find_address(backend_server)

    def get_status(self) -> dict[str, Any]:
        """Return the state of this instance for the admin interface."""
        in_force = self.configuration.in_force
        counters = self.pipeline.counters
        return {
            "instance": self.cfg.identity.instance,
            "data_centre": self.cfg.identity.data_centre,
            "ready": self.is_ready(),
            "draining": self.draining,
            "configuration_version": in_force.version if in_force else 0,
            "configuration_failed_listeners": list(
                self.configuration.list_failed_listeners()
            ),
            "configuration_findings": [
                str(finding) for finding in self.configuration.list_findings()
            ],
            "members": list(self.members.list_possibly_running()),
            "duties": list(self.duties.list_held_duties()),
            "backend_servers": len(self.servers.rows),
            "open_requests": self.pipeline.count_open_requests(),
            "refusals": dict(counters.refusals),
            "attempts": dict(counters.attempts),
            "admission": self.placement.describe_admission(),
            "retries": counters.retries,
            "hedges": counters.hedges,
            "invariant_violations": dict(self.ctx.invariants.violations),
            "rollouts": self.rollouts.describe() if self.rollouts is not None else {},
        }

    def collect_gauges(self) -> dict[str, float]:
        """Return the finite gauges for the metrics by name: ages and counts."""
        now_s = self.ctx.now_s
        gauges = {
            "configuration_age_s": now_s - self.configuration.confirmed_s,
            "configuration_findings": float(len(self.configuration.list_findings())),
            "configuration_failed_listeners": float(
                len(self.configuration.list_failed_listeners())
            ),
            "callback_failures": float(self.ctx.guard.failures.total()),
            "lease_left_s": self.members.lease_until_s - now_s,
            "store_turned_away": float(self.ctx.store_budget.is_turned_away),
            "duties_held": float(len(self.duties.list_held_duties())),
            "members_live": float(len(self.members.get_other_members()) + 1),
            "cost_cells": float(self.costs.count_cells()),
            "cost_error_ratio": self.costs.get_error_ratio(),
            "outstanding_work_s": self.placement.sum_outstanding_s(),
            "backend_servers_cold": float(
                sum(self.servers.is_cold(row) for row in self.servers.rows.values())
            ),
            **self.keys.collect_gauges(),
        }
        admission: Counter[str] = Counter()
        for counts in self.placement.describe_admission().values():
            admission.update(counts)
        gauges |= {f"admission_{name}": float(n) for name, n in admission.items()}
        if self.discovery is not None:
            gauges["server_list_age_s"] = now_s - self.discovery.confirmed_s
        if self.rollouts is not None:
            gauges |= self.rollouts.collect_gauges()
        return {name: value for name, value in gauges.items() if math.isfinite(value)}

    def explain_key(self, service: str, key: str) -> dict[str, Any] | None:
        """Return who owns a key, since when and which instance grants it.

        The result is None if the service is not keyed. A number from 0 to 65,535 is
        taken as a key position; any other text is hashed to one.
        """
        return self.keys.explain_key(service, parse_key_position(key))

    def _make_discovery(
        self, ctx: Context, adapter: EnvironmentAdapter
    ) -> Discovery | None:
        servers = adapter.servers
        if isinstance(servers, DeclaredServers):
            return None
        cfg = DiscoverySettings(servers.prefix)
        return Discovery(ctx, cfg, servers.decoder, self.servers.update_entries)

    def _make_rollouts(self, adapter: EnvironmentAdapter) -> Rollouts | None:
        if adapter.rollouts is None:
            return None
        parts = RolloutParts(
            self.ctx,
            self.servers,
            self.members,
            self.duties,
            adapter.rollouts,
            lambda: self.configuration.operator_items,
            self.placement.find_dispatcher,
        )
        rollouts = Rollouts(parts, self.cfg.allowances.rollouts)
        self.placement.find_gate = rollouts.find_gate
        return rollouts

    def _observe_result(
        self, service: str, route: str, server: ServerRow, result: AttemptResult
    ) -> None:
        if self.rollouts is not None:
            self.rollouts.record_result(service, route, server, result)

    def _make_pipeline_parts(self) -> PipelineParts:
        adapter = self._adapter
        return PipelineParts(
            ctx=self.ctx,
            checks=ArrivalChecks(
                self.ctx,
                TenantKeys(adapter.key_format),
                adapter.is_reserved_header,
                adapter.needs_idempotency_key,
            ),
            rate_limits=self.rates,
            key_router=self.keys,
            servers=self.servers,
            server_choice=self.server_choice,
            notices=self.notices,
            retry_budget=self.retry_budget,
            placement=self.placement,
            crash_guard=self.crash_guard,
            claims=self.claims,
            list_instances=self.members.list_possibly_running,
            get_configuration_status=self.configuration.get_status,
            observe_result=self._observe_result,
        )

    def _attach_components(self) -> None:
        for component in (
            self.exchange,
            self.duties,
            self.keys,
            self.rates,
            self.placement,
            self.notices,
            self.crash_guard,
            self.pipeline,
        ):
            component.attach(self.host)
        if self.entry_relay is not None:
            self.entry_relay.attach(self.host)
        if self.rollouts is not None:
            self.rollouts.attach(self.host)
        self._follow_configuration()
        self.host.register_event_handler(DrainRequested, self._start_drain)

    def _list_notice_receivers(self, service: str) -> frozenset[str]:
        """Return the reader of the list of servers and the dispatcher of a service."""
        reader = self.duties.get_holder(READER_DUTY)
        names = {self.placement.find_dispatcher(service)}
        if reader is not None:
            names.add(reader.instance)
        return frozenset(names - {""})

    def _start_drain(self, event: DrainRequested) -> None:
        if self.draining:
            return
        self.draining = True
        self.ctx.log(
            LogName.DRAIN_STARTED,
            open_requests=self.pipeline.count_open_requests(),
            duties=",".join(self.duties.list_held_duties()),
        )
        self.pipeline.set_stop_time(self.ctx.now_s + event.stop_in_s)
        self.duties.resign_all()
        self.members.stop()

    def _follow_configuration(self) -> None:
        """Have all components apply each configuration, in this order."""
        listeners: dict[str, ConfigurationListener] = {
            "servers": self.servers.configure,
            "cold_allowances": self.cold_allowances.configure,
            "retry_budget": self.retry_budget.configure,
            "keys": self.keys.configure,
            "rates": self.rates.configure,
            "placement": self.placement.configure,
            "pipeline": self.pipeline.configure,
        }
        if self.rollouts is not None:
            listeners["rollouts"] = self.rollouts.configure
        if isinstance(self._adapter.servers, DeclaredServers):
            listeners["declared_servers"] = self._update_declared_servers
        for name, listener in listeners.items():
            self.configuration.add_listener(name, listener)

    def _update_declared_servers(self, configuration: Configuration) -> None:
        servers = self._adapter.servers
        if isinstance(servers, DeclaredServers):
            self.servers.update_entries(servers.list_entries(configuration))
