"""Open-loop traffic of callers, and the counts that must be 0."""

import collections
import math
import random
from collections.abc import Iterable
from typing import Final

from ..core.refusals import Ran
from ..declaration.const import KEY_SEGMENT
from ..declaration.models import Declaration, Service
from ..load_tool.plan import uuid7
from ..stand_ins.virtual_callers import Delivery
from ..stand_ins.virtual_fleet import WALL_EPOCH_S
from . import const
from .fleet import MeasuredFleet
from .models import Flow, SafetyCounts, Sent, TrafficSettings

RAMP_START: Final = 0.02


def even_spread(now_s: float) -> tuple[float, ...]:
    """Return equal weights of all instances."""
    return (1.0,) * const.INSTANCE_COUNT


def capacity_per_s(service: Service, servers: int, service_time_s: float) -> float:
    """Return the requests/s at which servers of a service are full."""
    mean_s = service_time_s * math.exp(const.SERVICE_TIME_SIGMA**2 / 2.0)
    return servers * service.backend_servers[0].slots / mean_s


def flows_at_load(
    declaration: Declaration,
    servers: dict[str, int],
    load: float,
    service_time_s: float,
) -> tuple[Flow, ...]:
    """Return flows that load each service's servers equally; none is deferrable."""
    flows: list[Flow] = []
    for service in declaration.services:
        routes = [r for r in service.routes if not r.deferrable]
        rate = load * capacity_per_s(service, servers[service.name], service_time_s)
        flows += [Flow(service, route, rate / len(routes)) for route in routes]
    return tuple(flows)


def organisation_shares(declaration: Declaration) -> dict[str, float]:
    """Return the organisations' rates as shares."""
    return {o.name: o.rate_per_s for o in declaration.organisations}


class Traffic:
    """Sends requests at planned times, whatever becomes of the earlier ones."""

    def __init__(self, fleet: MeasuredFleet, cfg: TrafficSettings, seed: int) -> None:
        self.fleet = fleet
        self.cfg = cfg
        self.sent: list[Sent] = []
        self._rng = random.Random(seed)
        self._rate_per_s = sum(f.rate_per_s for f in cfg.flows)
        self._weights = [f.rate_per_s for f in cfg.flows]
        self._organisations = list(cfg.organisations)
        self._shares = list(cfg.organisations.values())
        self._plan(cfg.start_s)

    def _plan(self, after_s: float) -> None:
        rate_per_s = self._rate_per_s * self._ramp(after_s)
        at_s = after_s + self._rng.expovariate(rate_per_s)
        if at_s < self.cfg.end_s:
            delay_s = at_s - self.fleet.fleet.now_s
            self.fleet.fleet.call_later(delay_s, lambda: self._send(at_s))

    def _ramp(self, now_s: float) -> float:
        """Return the share of the rate at a time; it starts above 0 to end at all."""
        elapsed_s = now_s - self.cfg.start_s
        if elapsed_s >= self.cfg.ramp_s:
            return 1.0
        return max(elapsed_s / self.cfg.ramp_s, RAMP_START)

    def _send(self, at_s: float) -> None:
        self._plan(at_s)
        rng = self._rng
        flow = rng.choices(self.cfg.flows, self._weights)[0]
        key = self._key()
        organisation = rng.choices(self._organisations, self._shares)[0]
        idempotency_key = (
            "" if flow.route.idempotent else uuid7(WALL_EPOCH_S + at_s, rng)
        )
        delivery = self._deliver(flow, key, organisation, idempotency_key, 0)
        if delivery is not None:
            self.sent.append(Sent(delivery, flow.service, flow.route, at_s, key))

    def _key(self) -> str:
        rng, cfg = self._rng, self.cfg
        if rng.random() < cfg.hot_keys * cfg.hot_key_share:
            return f"k{rng.randrange(cfg.hot_keys)}"
        return f"k{rng.randrange(const.KEY_COUNT)}"

    def _deliver(
        self, flow: Flow, key: str, organisation: str, idempotency_key: str, repeat: int
    ) -> Delivery | None:
        names = self.fleet.names
        instance = self._rng.choices(names, self.cfg.spread(self.fleet.fleet.now_s))[0]
        live = sorted(self.fleet.fleet.nodes)
        if instance not in self.fleet.fleet.nodes:
            instance = self._rng.choice(live)
        delivery = self.fleet.callers.send(
            instance,
            flow.route.method,
            flow.route.path.replace(KEY_SEGMENT, key),
            organisation,
            idempotency_key,
            idempotency_key.encode(),
        )
        if idempotency_key and repeat < const.REPEATS_MAX:

            def again() -> None:
                if not delivery.answered and delivery.code != "rate_limited":
                    self._deliver(flow, key, organisation, idempotency_key, repeat + 1)

            wait_s = flow.route.timeout_s + const.REPEAT_MARGIN_S
            self.fleet.fleet.call_later(wait_s, again)
        return delivery


def latencies_s(sent: Iterable[Sent]) -> list[float]:
    """Return the latencies from the planned arrivals in seconds.

    A request that failed counts with at least its timeout: leaving it out, or counting
    a quick refusal as it is, would make a router that refuses the slow ones look fast.
    """
    return [_latency_s(s) for s in sent]


def _latency_s(sent: Sent) -> float:
    ended_s = sent.delivery.ended_s
    if ended_s is not None and sent.delivery.answered:
        return ended_s - sent.at_s
    return max((ended_s or 0.0) - sent.at_s, sent.route.timeout_s)


def success_share(sent: Iterable[Sent]) -> float:
    """Return the share of requests whose first delivery was answered."""
    rows = list(sent)
    return sum(s.delivery.answered for s in rows) / len(rows) if rows else math.nan


def safety_counts(fleet: MeasuredFleet) -> SafetyCounts:
    """Count what must never happen."""
    executions = fleet.backends.executions
    runs = collections.Counter(x.idempotency_key for x in executions)
    del runs[""]
    ran = {x.delivery for x in executions}
    deliveries = fleet.callers.deliveries
    keys = {d.name: d.idempotency_key for d in deliveries}
    crossed = sum(
        d.answered
        and d.answered_by != d.name
        and not (d.idempotency_key and keys[d.answered_by] == d.idempotency_key)
        for d in deliveries
    )
    return SafetyCounts(
        sum(b.model.overloads for b in fleet.backends.by_name.values()),
        sum(n - 1 for n in runs.values() if n > 1),
        sum(d.ran is Ran.NO and d.name in ran for d in deliveries),
        crossed,
    )
