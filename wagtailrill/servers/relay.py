"""Lets one instance read the entries of backend servers for all."""

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..fleet.const import READER_DUTY_WEIGHT
from ..fleet.duties import Duties
from ..peer.registry import Envelope
from .const import FALLBACK_AGE_S, LIST_INTERVAL_S, POLL_INTERVAL_S, RELAY_TICK_S
from .discovery import Discovery
from .messages import EntriesAnswer, EntriesRequest
from .models import ServerEntry
from .table import ServerTable

DUTY = "servers"
NEVER_S = float("-inf")


@attrs.define(eq=False)
class Change:
    """The version in which an entry last changed; None if it is gone."""

    version: int
    entry: ServerEntry | None


class EntryRelay:
    """Implements `DutyListener` for the duty of reading the list.

    The holder reads the store; the others ask it for changes. An instance that knows
    nothing newer than `FALLBACK_AGE_S` reads the store itself.
    """

    def __init__(
        self, ctx: Context, duties: Duties, discovery: Discovery, servers: ServerTable
    ) -> None:
        self._ctx = ctx
        self._duties = duties
        self._discovery = discovery
        self._servers = servers
        self._version = 0
        self._changes: dict[str, Change] = {}
        self._number = 0
        self._asked_s = NEVER_S
        self._known_fence = 0
        self._known_version = 0
        discovery.on_read = self._read
        duties.register(DUTY, self, READER_DUTY_WEIGHT)
        ctx.timers.subscribe(RELAY_TICK_S, self._tick)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of messages."""
        host.on_messages([EntriesRequest], self._on_request)
        host.on_messages([EntriesAnswer], self._on_answer)

    def duty_taken(self, duty: str, fence: int, predecessor_may_act_s: float) -> None:
        """Begin to read for all; what a predecessor does is no harm."""

    def predecessor_stopped(self, duty: str) -> None:
        """Take no notice: a predecessor does no harm."""

    def duty_lost(self, duty: str) -> None:
        """Stop reading for the others."""

    def _tick(self) -> None:
        now_s = self._ctx.now_s
        discovery = self._discovery
        interval_s = FALLBACK_AGE_S
        if self._duties.holds(DUTY):
            interval_s = LIST_INTERVAL_S
        elif now_s - self._asked_s >= POLL_INTERVAL_S:
            self._ask()
        if now_s - discovery.confirmed_s >= interval_s:
            discovery.read()

    def _ask(self) -> None:
        holder = self._duties.holder(DUTY)
        if holder is None or not holder.instance:
            return
        self._number += 1
        self._asked_s = self._ctx.now_s
        doubted = tuple(
            row.name
            for row in self._servers.rows.values()
            if row.doubted_revision is not None
        )
        request = EntriesRequest(
            self._number, self._known_fence, self._known_version, doubted
        )
        self._ctx.send(holder.instance, request, holder.incarnation)

    # Holder

    def _read(self, entries: dict[str, ServerEntry]) -> None:
        """Note what has changed in the list; heartbeats alone are no change."""
        # Changes that another reader tells of do not fit to an own list.
        self._known_fence = self._known_version = 0
        version = self._version + 1
        for name, entry in entries.items():
            known = self._changes.get(name)
            former = known.entry if known is not None else None
            if former is None or _content(former) != _content(entry):
                self._changes[name] = Change(version, entry)
            else:
                assert known is not None
                known.entry = entry
        for name, change in self._changes.items():
            if name not in entries and change.entry is not None:
                self._changes[name] = Change(version, None)
        self._version = version

    def _on_request(self, envelope: Envelope) -> None:
        request: EntriesRequest = envelope.message
        holder = self._duties.holder(DUTY)
        if holder is None or not self._duties.holds(DUTY) or not self._version:
            return
        full = request.reader_fence != holder.fence
        known = 0 if full else request.version
        changed = {n: c for n, c in self._changes.items() if c.version > known}
        wanted = {n for n in request.doubted if n in self._changes} | changed.keys()
        entries = (self._changes[name].entry for name in sorted(wanted))
        answer = EntriesAnswer(
            request.number,
            holder.fence,
            self._version,
            full,
            self._ctx.now_s - self._discovery.confirmed_s,
            tuple(entry for entry in entries if entry is not None),
            tuple(n for n, c in sorted(changed.items()) if c.entry is None),
        )
        self._ctx.send(envelope.sender, answer, envelope.incarnation)

    # Others

    def _on_answer(self, envelope: Envelope) -> None:
        answer: EntriesAnswer = envelope.message
        if answer.number != self._number or self._duties.holds(DUTY):
            return
        # The answer was made after the question was sent.
        confirmed_s = self._asked_s - answer.age_s
        if confirmed_s <= self._discovery.confirmed_s:
            return  # this instance has read the store itself since then
        entries = {} if answer.full else dict(self._discovery.entries)
        entries |= {entry.name: entry for entry in answer.entries}
        for name in answer.gone:
            entries.pop(name, None)
        self._known_fence = answer.reader_fence
        self._known_version = answer.version
        self._discovery.accept(entries, confirmed_s)


def _content(entry: ServerEntry) -> ServerEntry:
    return attrs.evolve(entry, revision=0)
