"""Relays the entries of backend servers from one instance, the reader, to the others.

The router uses it so that store calls do not grow with the fleet.
"""

from collections.abc import Callable

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..fleet.const import READER_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..peer.registry import Envelope
from ..store.const import RELAY_RETURN_S
from ..store.mirror import PrefixMirror
from ..store.revision import get_era
from .const import (
    ENTRIES_AGE_MAX_S,
    FOLLOWER_SILENCE_MAX_S,
    LIST_INTERVAL_S,
    POLL_INTERVAL_S,
    POLL_JITTER_RATIO,
    RELAY_TICK_S,
)
from .discovery import Discovery
from .messages import EntriesAnswer, EntriesRequest, MirrorState, ServerLeaving
from .mirror_relay import describe_mirror, describe_revision, take_state
from .models import ServerEntry, ServerProcess
from .table import ServerTable

READER_DUTY = "servers"
NEVER_S = float("-inf")

LeavingListener = Callable[[ServerProcess, str], None]


@attrs.define(eq=False)
class EntryChange:
    """The last change of an entry, None if removed, and the list's version with it."""

    version: int
    entry: ServerEntry | None


class EntryRelay:
    """Implements `DutyListener` for the duty of reading the list.

    The holder reads the store; the others ask it for changes. An instance whose entries
    are older than `ENTRIES_AGE_MAX_S` reads the store itself. Processes that have said
    that they leave are told to the reader with each request until it knows them, and
    `on_leaving` is called with those that it knows and its name.

    With `is_first_start` the whole deployment starts, and no server can have left yet.

    The answers of the reader also confirm the state of `mirrors` and pass on their
    changes, so that the others need not ask the store. A reader that the store turns
    away hands its duty over. `on_later_era` is called when the reader knows of a
    restore of the store that this instance does not.
    """

    def __init__(
        self,
        ctx: Context,
        duties: Duties,
        discovery: Discovery,
        servers: ServerTable,
        mirrors: tuple[PrefixMirror, ...] = (),
        is_first_start: bool = False,
    ) -> None:
        self._ctx = ctx
        self._is_first_start = is_first_start
        self._mirrors = {mirror.prefix: mirror for mirror in mirrors}
        self._duties = duties
        self._discovery = discovery
        self._servers = servers
        self._version = 0
        self._changes: dict[str, EntryChange] = {}
        self._request_number = 0
        self._requested_s = self._next_poll_s = NEVER_S
        self._asked_fence = self._announced_fence = 0
        # Latest requests by instance, and when they came in monotonic seconds.
        self._requests: dict[str, tuple[Envelope, float]] = {}
        self._known_reader_fence = 0
        self._known_version = 0
        self._known_to_reader: set[ServerProcess] = set()
        self.on_leaving: LeavingListener = lambda process, instance: None
        self.on_later_era: Callable[[], None] = lambda: None
        discovery.on_entries_read = self._record_changes
        for mirror in mirrors:
            mirror.on_updated = self._push_changes
            mirror.is_relay_expected = self._is_reader_known
        duties.register(READER_DUTY, self, READER_DUTY_WEIGHT, is_exclusive=False)
        self._next_tick = ctx.timers.call_later(0.0, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.register_message_handler([EntriesRequest], self._on_request)
        host.register_message_handler([EntriesAnswer], self._on_answer)

    def on_duty_taken(
        self, duty: str, fence: int, predecessor_may_act_s: float
    ) -> None:
        """Begin to read at once: a second reader does no harm."""
        self._tick()

    def on_predecessor_stopped(self, duty: str) -> None:
        """Do nothing: a second reader does no harm."""

    def on_predecessor_found(self, duty: str, predecessor_may_act_s: float) -> None:
        """Do nothing: a second reader does no harm."""

    def on_duty_lost(self, duty: str) -> None:
        """Ask the next reader from now on."""
        self._tick()

    def ask_new_reader(self) -> None:
        """Ask the holder of the duty at once if it is another one than before."""
        if self._is_reader_new() and not self._duties.holds(READER_DUTY):
            self._tick()

    def _tick(self) -> None:
        self._next_tick.cancel()
        self._read_or_ask()
        # The next tick is due when a read or a request is, but not at once if they
        # wait for an answer or a reader.
        due_s = max(self._find_due_s(), self._ctx.now_s + RELAY_TICK_S)
        self._next_tick = self._ctx.timers.call_at(due_s, self._tick)

    def _find_due_s(self) -> float:
        """Return when the entries are to be read, or asked for, again."""
        confirmed_s = self._discovery.confirmed_s
        if self._duties.holds(READER_DUTY):
            return confirmed_s + LIST_INTERVAL_S
        return min(self._next_poll_s, confirmed_s + ENTRIES_AGE_MAX_S)

    def _read_or_ask(self) -> None:
        now_s = self._ctx.now_s
        discovery = self._discovery
        interval_s = ENTRIES_AGE_MAX_S
        is_reader = self._duties.holds(READER_DUTY)
        if is_reader and self._ctx.store_budget.is_turned_away:
            self._hand_over()
            is_reader = False
        for mirror in self._mirrors.values():
            mirror.leads = is_reader
        if is_reader:
            interval_s = LIST_INTERVAL_S
            discovery.drop_overdue_read()
        elif now_s >= self._next_poll_s or self._is_reader_new():
            self._request_changes()
        if now_s >= discovery.confirmed_s + interval_s and self._may_read(is_reader):
            # All instances start together then; the reader's answers soon replace what
            # is some seconds old.
            may_be_stale = self._is_first_start and not discovery.has_read
            discovery.read_entries(allow_stale=may_be_stale and not is_reader)

    def _is_reader_known(self) -> bool:
        holder = self._duties.get_holder(READER_DUTY)
        own = self._ctx.identity.instance
        return holder is not None and holder.instance not in ("", own)

    def _is_reader_new(self) -> bool:
        holder = self._duties.get_holder(READER_DUTY)
        return holder is not None and holder.fence > self._asked_fence

    def _may_read(self, is_reader: bool) -> bool:
        """Return whether to ask the store, or to leave it to a reader that returns."""
        if is_reader or not self._discovery.has_read:
            return True
        budget = self._ctx.store_budget
        has_returned = self._ctx.now_s - budget.recovered_s >= RELAY_RETURN_S
        return has_returned and not budget.is_failing

    def _request_changes(self) -> None:
        holder = self._duties.get_holder(READER_DUTY)
        if holder is None or not holder.instance:
            return
        self._request_number += 1
        self._requested_s = self._ctx.now_s
        # All ask a new reader at once; later their requests are spread again.
        self._next_poll_s = self._requested_s + POLL_INTERVAL_S * self._ctx.rng.uniform(
            1.0 - POLL_JITTER_RATIO, 1.0 + POLL_JITTER_RATIO
        )
        self._asked_fence = holder.fence
        doubted = tuple(
            row.name
            for row in self._servers.rows.values()
            if row.doubted_revision is not None
        )
        request = EntriesRequest(
            self._request_number,
            self._known_reader_fence,
            self._known_version,
            doubted,
            tuple(describe_revision(mirror) for mirror in self._mirrors.values()),
        )
        self._tell_leaving(holder.instance)
        # The holder may have started again, and takes its duty back.
        self._ctx.send(holder.instance, request)

    def _tell_leaving(self, reader: str) -> None:
        """Tell the reader of the leaving processes that its entries do not show."""
        for row in self._servers.rows.values():
            process = row.entry.process
            if (
                row.is_leaving
                and self._servers.notice_memory.is_leaving(process)
                and process not in self._known_to_reader
            ):
                message = ServerLeaving(process.name, process.start_id)
                self._ctx.send(reader, message)

    # Reader

    def record_leaving(self, process: ServerProcess) -> None:
        """Pass on with the next answers that a process leaves."""
        change = self._changes.get(process.name)
        entry = change.entry if change is not None else None
        if entry is not None and entry.process == process and self._version:
            self._version += 1
            corrected_entry = self._servers.correct_entry(entry)
            self._changes[process.name] = EntryChange(self._version, corrected_entry)

    def _record_changes(self, entries: dict[str, ServerEntry]) -> None:
        """Record changed entries; a new revision alone is a heartbeat and no change."""
        # Versions of another reader's list do not apply to entries that were read here.
        self._known_reader_fence = self._known_version = 0
        version = self._version + 1
        for name, read_entry in entries.items():
            entry = self._servers.correct_entry(read_entry)
            recorded = self._changes.get(name)
            former_entry = recorded.entry if recorded is not None else None
            if former_entry is None or not entry.has_same_content(former_entry):
                self._changes[name] = EntryChange(version, entry)
            else:
                assert recorded is not None
                recorded.entry = entry
        for name, change in self._changes.items():
            if name not in entries and change.entry is not None:
                self._changes[name] = EntryChange(version, None)
        self._version = version
        fence = self._duties.get_fence(READER_DUTY)
        if fence > self._announced_fence:
            # The others wait for the first list of a new reader.
            self._announced_fence = fence
            self._push_changes()

    def _on_request(self, envelope: Envelope) -> None:
        self._requests[envelope.sender] = (envelope, self._ctx.now_s)
        self._answer(envelope)

    def _answer(self, envelope: Envelope, is_handing_over: bool = False) -> None:
        request: EntriesRequest = envelope.message
        holder = self._duties.get_holder(READER_DUTY)
        if holder is None or not self._duties.holds(READER_DUTY):
            return
        if self._discovery.is_complete:
            answer = self._describe_entries(request, holder.fence)
        else:
            # The others keep the entries that they know, or read them themselves.
            answer = EntriesAnswer(
                request.number, holder.fence, 0, False, float("inf"), (), ()
            )
        answer = attrs.evolve(
            answer,
            mirrors=self._describe_mirrors(request),
            is_handing_over=is_handing_over,
        )
        self._ctx.send(envelope.sender, answer, envelope.incarnation)

    def _describe_entries(self, request: EntriesRequest, fence: int) -> EntriesAnswer:
        full = request.reader_fence != fence
        known_version = 0 if full else request.version
        changed = {n: c for n, c in self._changes.items() if c.version > known_version}
        names = {n for n in request.doubted if n in self._changes} | changed.keys()
        entries = (self._changes[name].entry for name in sorted(names))
        return EntriesAnswer(
            request.number,
            fence,
            self._version,
            full,
            self._ctx.now_s - self._discovery.confirmed_s,
            tuple(entry for entry in entries if entry is not None),
            tuple(n for n, c in sorted(changed.items()) if c.entry is None),
        )

    def _describe_mirrors(self, request: EntriesRequest) -> tuple[MirrorState, ...]:
        known = {revision.prefix: revision for revision in request.mirrors}
        return tuple(
            describe_mirror(mirror, known.get(mirror.prefix), self._ctx.now_s)
            for mirror in self._mirrors.values()
            if mirror.is_complete
        )

    def _push_changes(self) -> None:
        """Tell changes of mirrored keys to those that follow them by relay."""
        if self._duties.holds(READER_DUTY):
            for envelope in self._list_followers():
                self._answer(envelope)

    def _hand_over(self) -> None:
        """Leave the duty to an instance that the store serves."""
        for envelope in self._list_followers():
            self._answer(envelope, is_handing_over=True)
        self._duties.hand_over(READER_DUTY)

    def _list_followers(self) -> list[Envelope]:
        oldest_s = self._ctx.now_s - FOLLOWER_SILENCE_MAX_S
        self._requests = {n: r for n, r in self._requests.items() if r[1] >= oldest_s}
        return [e for e, _ in self._requests.values() if e.message.mirrors]

    # Other instances

    def _on_answer(self, envelope: Envelope) -> None:
        answer: EntriesAnswer = envelope.message
        if answer.is_handing_over:
            self._duties.note_handed_over(READER_DUTY, answer.reader_fence)
        if answer.number != self._request_number or self._duties.holds(READER_DUTY):
            return
        self._learn_leaving(answer, envelope.sender)
        eras = (get_era(state.last_change_revision) for state in answer.mirrors)
        if max(eras, default=0) > self._ctx.store_era.current:
            self.on_later_era()
        for state in answer.mirrors:
            mirror = self._mirrors.get(state.prefix)
            if mirror is not None:
                take_state(mirror, state)
        # The read began no earlier: the answer was made after the request.
        confirmed_s = self._requested_s - answer.age_s
        if confirmed_s <= self._discovery.confirmed_s:
            return  # this instance has read the store itself since then
        entries = {} if answer.full else dict(self._discovery.entries)
        entries |= {entry.name: entry for entry in answer.entries}
        for name in answer.gone:
            entries.pop(name, None)
        self._known_reader_fence = answer.reader_fence
        self._known_version = answer.version
        if self._discovery.accept_entries(entries, confirmed_s):
            # Later changes of the reader's list would not remove what was kept.
            self._known_reader_fence = self._known_version = 0

    def _learn_leaving(self, answer: EntriesAnswer, reader: str) -> None:
        """Learn which processes leave, also if the reader cannot read the store."""
        if answer.full:
            self._known_to_reader.clear()
        for entry in answer.entries:
            if entry.says_leaving:
                self._known_to_reader.add(entry.process)
                self.on_leaving(entry.process, reader)
        self._known_to_reader = {
            process
            for process in self._known_to_reader
            if process.name not in answer.gone
        }
