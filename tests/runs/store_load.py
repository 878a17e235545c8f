"""Counts the calls to the store while it turns instances away, or they start.

The tests of the retry budget and `script/measure_store_calls.py` use it.
"""

from collections import Counter
from collections.abc import Callable
from typing import Final

import attrs

from wagtailrill.core.commands import CallStore, Command
from wagtailrill.platform import wire
from wagtailrill.stand_ins.virtual_fleet import Refusal
from wagtailrill.store.models import LeaseRenew, ListPrefix, StoreOperation, WatchPrefix

from .deployment import Deployment

# What the platform charges for a call, relative to a read.
RENEWAL_COST: Final = 0.1
STALE_LIST_COST: Final = 0.1
SETTLE_S: Final = 6.0
WINDOW_S: Final = 30.0
TROUBLE_BEGINS_S: Final = 5.0
ADDED_INSTANCES: Final = 6
CONFIGURATION_CHECK_S: Final = 0.05
CONFIGURATION_WAIT_MAX_S: Final = 10.0


def compute_cost(operation: StoreOperation) -> float:
    """Return what a call costs, relative to a read."""
    match operation:
        case LeaseRenew():
            return RENEWAL_COST
        case ListPrefix(allow_stale=True):
            return STALE_LIST_COST
    return 1.0


def describe_call(operation: StoreOperation) -> str:
    """Return kind and subject of a call, for tables."""
    kind = type(operation).__name__
    match operation:
        case ListPrefix(prefix=prefix, allow_stale=is_stale):
            subject = _describe_key(prefix)
            return f"{kind} {subject}{' stale' if is_stale else ''}"
        case WatchPrefix(prefix=prefix):
            return f"{kind} {_describe_key(prefix)}"
    puts = getattr(operation, "puts", ())
    removes = getattr(operation, "removes", ())
    keys = [put.key for put in puts] + list(removes)
    key = getattr(operation, "key", keys[0] if keys else "")
    return f"{kind} {_describe_key(key)}".strip()


def _describe_key(key: str) -> str:
    if key.startswith(wire.SERVER_PREFIX):
        return "servers"
    parts = key.split("/")
    return "/".join(parts[:2]).rstrip("/") if parts[0] == "fleet" else parts[0]


@attrs.define(eq=False)
class CallCounts:
    """Calls to the store since the last reset: their number and cost by kind."""

    calls: Counter[str] = attrs.field(factory=Counter)
    cost_by_kind: Counter[str] = attrs.field(factory=Counter)
    cost_by_instance: Counter[str] = attrs.field(factory=Counter)

    def record(self, name: str, operation: StoreOperation) -> None:
        """Count a call of an instance."""
        kind, cost = describe_call(operation), compute_cost(operation)
        self.calls[kind] += 1
        self.cost_by_kind[kind] += cost  # type: ignore[assignment]
        self.cost_by_instance[name] += cost  # type: ignore[assignment]

    @property
    def cost(self) -> float:
        """Return the cost of all calls."""
        return float(sum(self.cost_by_kind.values()))


class StoreLoad:
    """A settled deployment whose calls to the store are counted."""

    def __init__(self, seed: int, instances: int, servers_per_service: int = 4) -> None:
        self.run = Deployment(seed, instances)
        self.counts = CallCounts()
        self._call_store = self.run.fleet._handlers[CallStore]
        self.run.fleet.register_handler(CallStore, self._count_call)
        self.run.start_all(servers_per_service=servers_per_service)
        self.run.fleet.run_until(self.run.now_s + SETTLE_S)

    def _count_call(self, name: str, command: Command) -> None:
        assert isinstance(command, CallStore)
        self.counts.record(name, command.operation)
        self._call_store(name, command)

    def measure(
        self, scenario: Callable[["StoreLoad"], None], window_s: float = WINDOW_S
    ) -> float:
        """Return the cost an instance and second of a window with a scenario.

        The scenario begins `TROUBLE_BEGINS_S` after the window.
        """
        self.counts = CallCounts()
        begin_s = self.run.now_s
        self.run.fleet.call_later(TROUBLE_BEGINS_S, lambda: scenario(self))
        self.run.fleet.run_until(begin_s + window_s)
        return self.counts.cost / len(self.run.fleet.nodes) / window_s

    def turn_away(self, names: list[str], refusal: Refusal, seconds: float) -> None:
        """Let the store turn instances away for some seconds."""
        store = self.run.fleet.store
        store.refusals |= dict.fromkeys(names, refusal)

        def serve_again() -> None:
            for name in names:
                store.refusals.pop(name, None)

        self.run.fleet.call_later(seconds, serve_again)

    def measure_configuration_s(self, names: list[str]) -> float:
        """Return after how long a new configuration is in force at some instances."""
        self.run.write_configuration()
        written_s = self.run.now_s
        number = self.run.last_version
        while any(
            self.run.get_router(name).configuration.version_number < number
            for name in names
        ):
            self.run.fleet.run_until(self.run.now_s + CONFIGURATION_CHECK_S)
            assert self.run.now_s - written_s < CONFIGURATION_WAIT_MAX_S
        return self.run.now_s - written_s

    def find_holder(self, duty: str) -> str:
        """Return the instance that holds a duty."""
        routers = {name: self.run.get_router(name) for name in self.run.fleet.nodes}
        return next(name for name, r in routers.items() if r.duties.holds(duty))


def refuse_third(refusal: Refusal) -> Callable[[StoreLoad], None]:
    """Return a scenario: a third of the instances is turned away for 9 s."""

    def begin(load: StoreLoad) -> None:
        load.turn_away(load.run.instance_names[::3], refusal, 9.0)

    return begin


def refuse_reader(load: StoreLoad) -> None:
    """Turn the reader of the server list away for 7 s."""
    load.turn_away([load.find_holder("servers")], Refusal.UNAVAILABLE, 7.0)


def refuse_all(load: StoreLoad) -> None:
    """Turn all instances away for 4.5 s; leases pause, as in an outage."""
    load.turn_away(load.run.instance_names, Refusal.UNAVAILABLE, 4.5)
    load.run.fleet.store.model.pause_leases(4.5)


def lose_answers(load: StoreLoad) -> None:
    """Lose 35% of the answers for 9 s."""
    store = load.run.fleet.store
    store.loses_all_answers, store.lost_answer_probability = True, 0.35

    def end() -> None:
        store.loses_all_answers, store.lost_answer_probability = False, 0.0

    load.run.fleet.call_later(9.0, end)


def slow_down(load: StoreLoad) -> None:
    """Let answers take 60 times as long for 9 s."""
    store = load.run.fleet.store
    usual_s, store.latency_s = store.latency_s, store.latency_s * 60.0

    def end() -> None:
        store.latency_s = usual_s

    load.run.fleet.call_later(9.0, end)


def restart_all(load: StoreLoad) -> None:
    """Restart all instances within 1 s."""
    fleet = load.run.fleet
    for name in load.run.instance_names:
        load.run.kill_instance(name)
        fleet.call_later(
            fleet.rng.uniform(0.0, 1.0), lambda name=name: fleet.start_instance(name)
        )


def add_instances(load: StoreLoad) -> None:
    """Start some more instances within 3 s."""
    names, fleet = load.run.instance_names, load.run.fleet
    first = len(names) + 1
    for number in range(first, first + ADDED_INSTANCES):
        name = f"i-{number}"
        names.append(name)
        fleet.call_later(
            fleet.rng.uniform(0.0, 3.0), lambda name=name: fleet.start_instance(name)
        )


def stay_quiet(load: StoreLoad) -> None:
    """Do nothing."""


SCENARIOS: Final[dict[str, Callable[[StoreLoad], None]]] = {
    "quiet": stay_quiet,
    "third_busy": refuse_third(Refusal.UNAVAILABLE),
    "third_many": refuse_third(Refusal.TOO_MANY_REQUESTS),
    "third_reset": refuse_third(Refusal.RESET),
    "third_silent": refuse_third(Refusal.SILENT),
    "reader_refused": refuse_reader,
    "all_refused": refuse_all,
    "answers_lost": lose_answers,
    "slow": slow_down,
    "restart_all": restart_all,
    "instances_added": add_instances,
}
