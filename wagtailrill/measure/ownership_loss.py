"""Measure 1: imbalance, churn and unavailable time over losses."""

import collections
import random
import statistics

import attrs

from ..declaration.const import KEY_SEGMENT
from ..ownership.keys import key_hash, slot_of
from . import const
from .arithmetic import imbalance, moved, quantile
from .fleet import MeasuredFleet, scale_rates
from .models import (
    Example,
    FleetSettings,
    Flow,
    Measured,
    RouterKind,
    SafetyCounts,
    TrafficSettings,
)
from .traffic import Traffic, even_spread, organisation_shares, safety_counts

NAME = "loss"
RATE_PER_S = 200.0
TOTAL_RATE_PER_S = 4000.0
SERVICE_TIME_S = 0.005
# Loads are reported every 15 s and rebalanced every 10 s, in several steps.
WARM_UP_S = 70.0
HOT_KEYS = 3
HOT_KEY_SHARE = 0.02
PROBE_INTERVAL_S = 0.2
WATCH_S = 5.5
DOWN_S = 6.0
# The lost server returns, waits for its delay and gets key slots by a rebalance.
RECOVERY_S = 26.0
# Slots that are probed when no backend server is lost.
SAMPLED_SLOTS = 80


@attrs.frozen
class Loss:
    """What is lost at one time; `instance` is "", "any" or "coordinator"."""

    server: bool = False
    instance: str = ""


LOSSES = (
    Loss(server=True),
    Loss(instance="coordinator"),
    Loss(server=True, instance="any"),
    Loss(server=True, instance="coordinator"),
)


@attrs.define
class LossResult:
    """What the losses of one fleet came to, by kind of loss."""

    waits_s: dict[Loss, list[float]] = attrs.field(
        factory=lambda: collections.defaultdict(list)
    )
    unserved: int = 0
    churn: list[float] = attrs.field(factory=list)
    imbalance_settled: list[float] = attrs.field(factory=list)
    imbalance_before: list[float] = attrs.field(factory=list)
    imbalance_after: list[float] = attrs.field(factory=list)


class LossRun:
    """One fleet with a series of losses."""

    def __init__(self, fleet: MeasuredFleet, result: LossResult, seed: int) -> None:
        self.fleet = fleet
        self.result = result
        self.service = fleet.cfg.example.keyed_service
        self.rng = random.Random(seed)
        self.route = next(r for r in self.service.routes if r.method == "GET")
        self.keys_by_slot: dict[int, str] = {}
        for number in range(const.KEY_COUNT):
            key = f"k{number}"
            self.keys_by_slot[slot_of(key_hash(key.encode()))] = key

    def run(self) -> SafetyCounts:
        """Carry out the losses and return the counts that must be 0."""
        fleet = self.fleet
        start_s = fleet.fleet.now_s
        end_s = start_s + WARM_UP_S + len(LOSSES) * (WATCH_S + RECOVERY_S)
        cfg = TrafficSettings(
            flows=(Flow(self.service, self.route, RATE_PER_S),),
            organisations=organisation_shares(fleet.declaration),
            start_s=start_s,
            end_s=end_s,
            spread=even_spread,
            hot_keys=HOT_KEYS,
            hot_key_share=HOT_KEY_SHARE,
        )
        Traffic(fleet, cfg, fleet.cfg.seed)
        fleet.run_for(WARM_UP_S)
        self.result.imbalance_settled.append(self._imbalance(""))
        for loss in LOSSES:
            self.result.imbalance_before.append(self._imbalance(""))
            self._lose(loss)
        return safety_counts(fleet)

    def _lose(self, loss: Loss) -> None:
        fleet = self.fleet
        before = fleet.owners(self.service)
        server = self.rng.choice(sorted(set(before))) if loss.server else ""
        instance = self._instance(loss)
        slots = [n for n, owner in enumerate(before) if owner == server]
        if not server:
            slots = self.rng.sample(range(len(before)), SAMPLED_SLOTS)
        if server:
            fleet.backends.crash(server, DOWN_S)
        if instance:
            fleet.lose_instance(instance)
        self._watch(loss, [n for n in slots if n in self.keys_by_slot])
        if server:
            after = fleet.owners(self.service)
            self.result.churn.append(moved(before, after) / len(before))
            self.result.imbalance_after.append(self._imbalance(server))
        if instance:
            fleet.start_instance(instance)
        fleet.run_for(RECOVERY_S)

    def _instance(self, loss: Loss) -> str:
        coordinator = self.fleet.coordinator()
        if loss.instance == "any":
            others = [n for n in self.fleet.names if n != coordinator]
            return self.rng.choice(others)
        return coordinator if loss.instance else ""

    def _watch(self, loss: Loss, slots: list[int]) -> None:
        """Probe slots until each has been served, and note how long it took."""
        fleet, lost_s = self.fleet, self.fleet.fleet.now_s
        waiting, probes = set(slots), dict[str, int]()
        seen = len(fleet.backends.executions)
        while fleet.fleet.now_s < lost_s + WATCH_S:
            for slot in sorted(waiting):
                probes[self._probe(slot)] = slot
            fleet.run_for(PROBE_INTERVAL_S)
            executions = fleet.backends.executions
            for execution in executions[seen:]:
                served = probes.get(execution.delivery)
                if served in waiting:
                    waiting.discard(served)
                    self.result.waits_s[loss].append(execution.at_s - lost_s)
            seen = len(executions)
        self.result.unserved += len(waiting)
        self.result.waits_s[loss] += [WATCH_S] * len(waiting)

    def _probe(self, slot: int) -> str:
        fleet = self.fleet
        instance = self.rng.choice(sorted(fleet.fleet.nodes))
        organisation = self.rng.choice(fleet.declaration.organisations).name
        path = self.route.path.replace(KEY_SEGMENT, self.keys_by_slot[slot])
        return fleet.callers.send(instance, self.route.method, path, organisation).name

    def _imbalance(self, lost: str) -> float:
        """Return the imbalance of the expected load, free of sampling noise."""
        owners = self.fleet.owners(self.service)
        hot = self.fleet.hot_owners(self.service)
        rest = (1.0 - HOT_KEYS * HOT_KEY_SHARE) / const.KEY_COUNT
        loads: dict[str, float] = collections.defaultdict(float)
        for number in range(const.KEY_COUNT):
            hashed = key_hash(f"k{number}".encode())
            share = rest + (HOT_KEY_SHARE if number < HOT_KEYS else 0.0)
            loads[hot.get(hashed) or owners[slot_of(hashed)]] += share
        names = [b.name for b in self.service.backend_servers if b.name != lost]
        return imbalance(loads, names)


def measure(example: Example, router: RouterKind, seeds: list[int]) -> Measured:
    """Return imbalance, churn and unavailable time."""
    result, counts = LossResult(), SafetyCounts()
    declaration = scale_rates(example.declaration, TOTAL_RATE_PER_S)
    for seed in seeds:
        cfg = FleetSettings(example, router, declaration, seed, SERVICE_TIME_S)
        counts += LossRun(MeasuredFleet(cfg), result, seed).run()
    waits = [w for loss in LOSSES if loss.server for w in result.waits_s[loss]]
    figures = {
        "imbalance_settled_max": max(result.imbalance_settled),
        "imbalance_before_max": max(result.imbalance_before),
        "imbalance_after_max": max(result.imbalance_after),
        "churn_mean": statistics.fmean(result.churn),
        "churn_max": max(result.churn),
        "unavailable_p50_s": quantile(waits, 0.5),
        "unavailable_p99_s": quantile(waits, 0.99),
        "unavailable_max_s": max(waits),
        "slots_not_served": float(result.unserved),
    }
    for loss in LOSSES:
        label = "_".join(filter(None, ("server" * loss.server, loss.instance)))
        figures[f"max_s_{label}"] = max(result.waits_s[loss])
    return Measured(NAME, example.name, router, figures, counts)
