"""Simulation of several instances on a virtual clock, with fault injection.

Tests run the decision code of whole fleets with it. It executes the commands of
instances with a delay; hosts and request traffic are not simulated.
"""

import enum
import heapq
import itertools
import random
from collections.abc import Callable
from functools import partial
from typing import Protocol

import attrs
from expression import Error

from ..core.commands import CallStore, Command, SendPeer
from ..core.events import Event, PeerReceived, StoreReplied
from ..store.models import (
    Commit,
    LeaseGrant,
    StoreError,
    StoreErrorKind,
    StoreOperation,
    WatchPrefix,
)
from .store_model import StoreModel

NO_ANSWER = StoreError(StoreErrorKind.NO_ANSWER, "no answer")
REFUSED = StoreError(StoreErrorKind.REFUSED, "refused")
STORE_TIMEOUT_S = 0.5
# The operator writes again what a restore of the store has lost within this time.
OPERATOR_REWRITE_MAX_S = 2.0
WALL_EPOCH_S = 1_800_000_000.0


class Refusal(enum.Enum):
    """How the store turns an instance away."""

    UNAVAILABLE = "busy"  # status 503
    TOO_MANY_REQUESTS = "many"  # status 429
    RESET = "reset"  # the connection is closed without an answer
    SILENT = "silent"  # no answer until the call times out


ANSWERED_REFUSALS = (Refusal.UNAVAILABLE, Refusal.TOO_MANY_REQUESTS)


class Node(Protocol):
    """Decision code of one instance, as a router implements it."""

    def start(self, now_s: float, wall_s: float) -> list[Command]:
        """Start; return the first commands. `wall_s` is Unix time in seconds."""
        ...

    def step(self, event: Event | None, now_s: float, wall_s: float) -> list[Command]:
        """Handle an event, if any, and due timers; return the commands to execute."""
        ...

    def get_next_due_s(self) -> float | None:
        """Return the instance clock's time of the next timer, None without one."""
        ...


NodeFactory = Callable[[str, int, random.Random], Node]
CommandHandler = Callable[[str, Command], None]


@attrs.define(eq=False)
class NodeRow:
    """State of one instance's process in the simulation.

    Its clock runs `clock_rate` times as fast as virtual time, from `clock_offset_s`.
    While it is paused, its clock runs on and its events wait in `held_events`.
    `next_wake_s` is virtual time.
    """

    name: str
    node: Node
    incarnation: int
    clock_rate: float = 1.0
    clock_offset_s: float = 0.0
    paused: bool = False
    held_events: list[Event] = attrs.field(factory=list)
    next_wake_s: float = -1.0


class VirtualStore:
    """The store with outages, latency, lost answers and unreachable instances.

    A call whose answer is lost takes effect `late_s` seconds after its arrival. While
    `has_silent_watches`, a watch returns changes only when its wait ends. Instances in
    `refusals` are turned away. With `loses_all_answers` the answers of reads and of
    renewals are lost with the same probability as those of writes.
    `operator_values` holds what the operator last wrote, None for a removed key.
    """

    def __init__(self, rng: random.Random) -> None:
        self.model = StoreModel()
        self.down = False
        self.has_silent_watches = False
        self.unreachable_instances: set[str] = set()
        self.refusals: dict[str, Refusal] = {}
        self.loses_all_answers = False
        self.lost_answer_probability = 0.0
        self.late_s = 0.0
        self.latency_s = 0.002
        self.call_counts: dict[str, int] = {}
        self.operator_values: dict[str, bytes | None] = {}
        self._rng = rng

    def write_operator_key(self, key: str, value: bytes | None) -> None:
        """Write a key for the operator, or remove it if `value` is None."""
        self.operator_values[key] = value
        if value is None:
            self.model.remove_item(key)
        else:
            self.model.put_item(key, value)

    def rewrite_operator_key(self, key: str) -> None:
        """Write a key of the operator again if the store has lost its last value."""
        items = [item for item in self.model.list_items(key) if item.key == key]
        stored_value = items[0].value if items else None
        if stored_value != self.operator_values[key]:
            self.write_operator_key(key, self.operator_values[key])

    def is_reachable_from(self, instance: str) -> bool:
        """Return whether an instance can reach the store."""
        return not self.down and instance not in self.unreachable_instances

    def find_refusal(self, instance: str) -> Refusal | None:
        """Return how the store turns an instance away, None if it serves it."""
        if not self.is_reachable_from(instance):
            return Refusal.SILENT
        return self.refusals.get(instance)

    def draw_answer_loss(self, operation: StoreOperation) -> bool:
        """Draw whether the answer of a call that takes effect is lost."""
        may_be_lost = isinstance(operation, Commit | LeaseGrant)
        if not may_be_lost and not self.loses_all_answers:
            return False
        return self._rng.random() < self.lost_answer_probability


class VirtualFleet:
    """Runs instances on one virtual clock; the same seed gives the same run.

    `now_s` is virtual time in seconds; `latency_s` is the base delay of a message
    between instances. `measure_bytes`, if set, gives the sizes for `sent_bytes`.
    """

    def __init__(
        self, node_factory: NodeFactory, seed: int, latency_s: float = 0.001
    ) -> None:
        self.now_s = 0.0
        self.latency_s = latency_s
        self.rng = random.Random(seed)
        self.store = VirtualStore(random.Random(seed + 1))
        self.nodes: dict[str, NodeRow] = {}
        self.lost_message_probability = 0.0
        self.measure_bytes: Callable[[Command], int] | None = None
        self.sent_bytes: dict[str, int] = {}
        self._last_arrivals_s: dict[tuple[str, str], float] = {}
        self._cut_links: set[frozenset[str]] = set()
        self._restore_listeners: list[Callable[[], None]] = []
        self._handlers: dict[type, CommandHandler] = {
            SendPeer: self._send_peer,
            CallStore: self._call_store,
        }
        self._node_factory = node_factory
        self._incarnations = itertools.count(1)
        self._callback_queue: list[tuple[float, int, Callable[[], None]]] = []
        self._entry_numbers = itertools.count()

    def register_handler(self, cls: type, handler: CommandHandler) -> None:
        """Call `handler` with the instance's name and each command of type `cls`."""
        self._handlers[cls] = handler

    def start_instance(self, name: str, rate: float = 1.0) -> NodeRow:
        """Start an instance's process; it replaces an earlier one of that name."""
        incarnation = next(self._incarnations)
        node = self._node_factory(name, incarnation, random.Random(self.rng.random()))
        row = NodeRow(name, node, incarnation, clock_rate=rate)
        row.clock_offset_s = self.rng.uniform(0.0, 1000.0)
        self.nodes[name] = row
        self.call_later(0.0, lambda: self._start_node(row))
        return row

    def kill_instance(self, name: str) -> None:
        """Stop an instance at once, with the loss of its state."""
        self.nodes.pop(name, None)

    def pause_instance(self, name: str) -> None:
        """Pause an instance: its clock runs on but it handles nothing."""
        self.nodes[name].paused = True

    def resume_instance(self, name: str) -> None:
        """Resume a paused instance; it first handles the events that arrived."""
        row = self.nodes.get(name)
        if row is None or not row.paused:
            return
        row.paused = False
        held_events, row.held_events = row.held_events, []
        for event in held_events:
            self._step_node(row, event)
        self._step_node(row, None)

    def cut_link(self, first: str, second: str) -> None:
        """Drop all messages between two instances."""
        self._cut_links.add(frozenset((first, second)))

    def isolate_instances(self, isolated: set[str]) -> None:
        """Drop all messages between the isolated instances and the others."""
        for instance in isolated:
            for other in set(self.nodes) - isolated:
                self.cut_link(instance, other)

    def is_isolated(self, instance: str) -> bool:
        """Return whether messages between an instance and another are dropped."""
        return any(instance in link for link in self._cut_links)

    def restore_links(self) -> None:
        """Deliver messages between all instances again."""
        self._cut_links.clear()

    def restore_store(self, age_s: float) -> None:
        """Restore the store from a copy; the operator writes its keys again."""
        self.store.model.restore_copy(age_s, self.now_s)
        for key in self.store.operator_values:
            delay_s = self.rng.uniform(0.0, OPERATOR_REWRITE_MAX_S)
            self.call_later(delay_s, partial(self.store.rewrite_operator_key, key))
        for listener in self._restore_listeners:
            listener()

    def add_restore_listener(self, listener: Callable[[], None]) -> None:
        """Add a function to call after each restore of the store."""
        self._restore_listeners.append(listener)

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `delay_s` seconds of virtual time."""
        entry = (self.now_s + delay_s, next(self._entry_numbers), callback)
        heapq.heappush(self._callback_queue, entry)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks due by `end_s` and set the virtual clock to that time."""
        while self._callback_queue and self._callback_queue[0][0] <= end_s:
            self.now_s, _, callback = heapq.heappop(self._callback_queue)
            callback()
        self.now_s = max(self.now_s, end_s)

    def deliver_event(self, name: str, event: Event | None, delay_s: float) -> None:
        """Deliver an event, or a timer check if None, to an instance after a delay."""
        row = self.nodes.get(name)
        if row is not None:
            self.deliver_to_process(row, event, delay_s)

    def deliver_to_process(
        self, row: NodeRow, event: Event | None, delay_s: float
    ) -> None:
        """Deliver an event to one process after a delay, if it still runs then."""
        self.call_later(delay_s, lambda: self._step_node(row, event))

    def read_clock_s(self, row: NodeRow) -> float:
        """Return the current time of an instance's own clock, in seconds."""
        return row.clock_offset_s + self.now_s * row.clock_rate

    def _start_node(self, row: NodeRow) -> None:
        if self.nodes.get(row.name) is row:
            wall_s = WALL_EPOCH_S + self.now_s
            self._execute_commands(row, row.node.start(self.read_clock_s(row), wall_s))

    def _step_node(self, row: NodeRow, event: Event | None) -> None:
        if self.nodes.get(row.name) is not row:
            return
        if row.paused:
            if event is not None:
                row.held_events.append(event)
            return
        wall_s = WALL_EPOCH_S + self.now_s
        self._execute_commands(
            row, row.node.step(event, self.read_clock_s(row), wall_s)
        )

    def _execute_commands(self, row: NodeRow, commands: list[Command]) -> None:
        for command in commands:
            if self.nodes.get(row.name) is not row:
                return  # a handler stopped this process between two of its commands
            handler = self._handlers.get(type(command))
            if handler is not None:
                handler(row.name, command)
        self._schedule_wake(row)

    def _schedule_wake(self, row: NodeRow) -> None:
        due_s = row.node.get_next_due_s()
        if due_s is None:
            return
        wake_s = max((due_s - row.clock_offset_s) / row.clock_rate, self.now_s) + 1e-9
        if row.next_wake_s > self.now_s and row.next_wake_s <= wake_s:
            return
        row.next_wake_s = wake_s
        # Queued at exactly `wake_s`: a wake-up that rounding made earlier would run
        # while `next_wake_s` still looks pending, and no later one would be queued.
        entry = (wake_s, next(self._entry_numbers), lambda: self._step_node(row, None))
        heapq.heappush(self._callback_queue, entry)

    def _send_peer(self, sender: str, command: Command) -> None:
        assert isinstance(command, SendPeer)
        if self.measure_bytes is not None:
            size = self.measure_bytes(command)
            self.sent_bytes[sender] = self.sent_bytes.get(sender, 0) + size
        envelope = command.envelope
        if self.rng.random() < self.lost_message_probability:
            return
        arrival_s = self.now_s + self.latency_s * self.rng.uniform(0.8, 1.5)
        # Messages from one instance to another arrive in the order of sending.
        link = (sender, envelope.receiver)
        arrival_s = max(arrival_s, self._last_arrivals_s.get(link, 0.0))
        self._last_arrivals_s[link] = arrival_s

        def arrive() -> None:
            row = self.nodes.get(envelope.receiver)
            if row is not None and frozenset((sender, row.name)) not in self._cut_links:
                self._step_node(row, PeerReceived(envelope))

        self.call_later(arrival_s - self.now_s, arrive)

    def _call_store(self, name: str, command: Command) -> None:
        assert isinstance(command, CallStore)
        row = self.nodes[name]
        operation = command.operation
        operation_name = type(operation).__name__
        self.store.call_counts[operation_name] = (
            self.store.call_counts.get(operation_name, 0) + 1
        )
        delay_s = self.store.latency_s * self.rng.uniform(0.8, 1.5)
        self.call_later(
            delay_s / 2,
            lambda: self._arrive_at_store(row, command.call_id, operation, delay_s / 2),
        )

    def _arrive_at_store(
        self,
        row: NodeRow,
        call_id: int,
        operation: StoreOperation,
        return_delay_s: float,
    ) -> None:
        refusal = self.store.find_refusal(row.name)
        if refusal is not None:
            self._turn_away(row, call_id, refusal, return_delay_s)
            return
        if isinstance(operation, WatchPrefix):
            self._poll_watch(row, call_id, operation, self.now_s + operation.wait_s)
            return
        if self.store.draw_answer_loss(operation):
            self.call_later(
                self.store.late_s,
                lambda: self._apply_late(operation),
            )
            self._turn_away(row, call_id, Refusal.SILENT, 0.0)
            return
        result = self.store.model.apply_operation(operation, self.now_s)
        reply = StoreReplied(call_id, result, self.store.model.era)
        self.call_later(return_delay_s, lambda: self._step_node(row, reply))

    def _turn_away(
        self, row: NodeRow, call_id: int, refusal: Refusal, return_delay_s: float
    ) -> None:
        is_refused = refusal in ANSWERED_REFUSALS
        reply = StoreReplied(call_id, Error(REFUSED if is_refused else NO_ANSWER))
        delay_s = STORE_TIMEOUT_S if refusal is Refusal.SILENT else return_delay_s
        self.call_later(delay_s, lambda: self._step_node(row, reply))

    def _apply_late(self, operation: StoreOperation) -> None:
        self.store.model.apply_operation(operation, self.now_s)

    def _poll_watch(
        self, row: NodeRow, call_id: int, watch: WatchPrefix, end_s: float
    ) -> None:
        if self.nodes.get(row.name) is not row:
            return
        if self.store.find_refusal(row.name) is not None:
            self._step_node(row, StoreReplied(call_id, Error(NO_ANSWER)))
            return
        model = self.store.model
        model.expire_leases(self.now_s)
        result = model.apply_operation(watch, self.now_s)
        changed = result.is_error() or bool(result.ok.events)  # type: ignore[union-attr]
        is_told = changed and not self.store.has_silent_watches
        if is_told or self.now_s >= end_s:
            if self.store.loses_all_answers and self.store.draw_answer_loss(watch):
                self._turn_away(row, call_id, Refusal.SILENT, 0.0)
                return
            self._step_node(row, StoreReplied(call_id, result, model.era))
            return
        self.call_later(0.02, lambda: self._poll_watch(row, call_id, watch, end_s))
