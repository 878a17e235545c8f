"""Keeper of the configuration in force on one instance."""

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import xxhash
from expression import Result

from ..core.context import Context
from ..core.host import ComponentHost
from ..declaration.models import Configuration, Declaration
from ..declaration.parse import parse
from ..partitions.directory import Member
from ..peer.registry import Envelope
from ..platform.models import Stored
from .const import (
    CONFIRMED_MAX_AGE_S,
    DEPUTY_PUSH_DELAY_S,
    DEPUTY_S,
    PAYLOAD_NAME,
    REPEAT_PUSH_S,
    TICK_INTERVAL_S,
)
from .messages import MESSAGES, ConfigurationPush, ConfigurationRequest
from .models import (
    NO_DOCUMENT,
    ConfigurationDirectory,
    ConfigurationListener,
    ConfigurationSettings,
    Document,
    Notice,
    version_from_bytes,
    version_to_bytes,
)
from .patch import apply_push, make_push
from .watcher import StoreWatcher


@attrs.define
class KeeperCounters:
    """Counts of one keeper."""

    applied: int = 0
    invalid: int = 0
    pushes: int = 0
    unusable_pushes: int = 0


class ConfigurationKeeper:
    """Applies each accepted declaration, and never a lower version after a higher.

    The coordinator and one deputy that it names watch the store and push what is new
    to the members. Members report their version on heartbeats, and the coordinator
    pushes again to those that are behind.
    """

    def __init__(
        self,
        ctx: Context,
        directory: ConfigurationDirectory,
        cfg: ConfigurationSettings,
    ) -> None:
        self.ctx = ctx
        self.cfg = cfg
        self.current: Configuration | None = None
        self.counters = KeeperCounters()
        self._directory = directory
        self._document = NO_DOCUMENT
        self._previous = NO_DOCUMENT
        self._refused_version = 0
        self._notice: Notice | None = None
        self._notice_s = float("-inf")
        self._coordinated = False
        self._confirmed_s = float("-inf")
        self._pushed: dict[str, tuple[int, float]] = {}
        self._asked_s: dict[str, float] = {}
        self._listeners: list[ConfigurationListener] = []
        self._watcher = StoreWatcher(ctx, cfg.key, self._on_stored)
        self._handlers: dict[type, Callable[[Envelope], None]] = {
            ConfigurationPush: self._on_push,
            ConfigurationRequest: self._on_request,
        }

    def attach(self, host: ComponentHost) -> None:
        """Register handlers of messages and payloads, and subscribe the timer."""
        directory = self._directory
        host.before_step(self._before_step)
        host.on_messages(MESSAGES.values(), self._on_message)
        directory.add_report(PAYLOAD_NAME, self._report)
        directory.on_report(PAYLOAD_NAME, self._on_report)
        directory.add_notice(PAYLOAD_NAME, self._make_notice)
        directory.on_notice(PAYLOAD_NAME, self._on_notice)
        self.ctx.timers.subscribe(TICK_INTERVAL_S, self._tick)

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Add a receiver of each configuration that comes into force."""
        self._listeners.append(listener)
        if self.current is not None:
            listener(self.current)

    @property
    def version(self) -> int:
        """Return the version in force, 0 if there is none."""
        return self._document.version

    def ready(self) -> bool:
        """Return whether a configuration is in force that is not known to be old.

        Needed is a recent confirmation by a coordinator that has read the store since
        it took over, received under the member lease, and that coordinator's version.
        """
        if self.current is None:
            return False
        if self.ctx.now_s - self._confirmed_s >= CONFIRMED_MAX_AGE_S:
            return False
        if self._coordinated or self._notice is None:
            return True
        return self._notice.version <= self.version

    def watches(self) -> bool:
        """Return whether this instance is one of the two that watch the store."""
        if self._directory.coordinates():
            return True
        named = self._notice is not None and self._notice.deputy == self._name
        return named and self.ctx.now_s - self._notice_s < DEPUTY_S

    @property
    def _name(self) -> str:
        return self.ctx.identity.instance

    @property
    def _seen_version(self) -> int:
        return max(self._document.version, self._refused_version)

    def _before_step(self) -> None:
        coordinates = self._directory.coordinates()
        if coordinates and not self._coordinated:
            self._watcher.restart()
        self._coordinated = coordinates
        if not self._directory.has_lease():
            self._confirmed_s = float("-inf")
        elif self._confirmed():
            self._confirmed_s = self.ctx.now_s

    def _tick(self) -> None:
        if self.watches():
            self._watcher.watch()
        elif self.current is None:
            self._watcher.read_first()

    # Versions

    def _on_stored(self, stored: Stored) -> None:
        if self._confirmed():
            self._confirmed_s = self.ctx.now_s
        if stored.revision == 0:
            return
        document = Document.of(stored.revision, stored.value)
        if not self._accept(document):
            return
        if self._directory.coordinates():
            self._push_to_all()
        elif self.watches():
            self.ctx.timers.call_later(DEPUTY_PUSH_DELAY_S, self._push_as_deputy)

    def _accept(self, document: Document) -> bool:
        """Apply a document that is newer than all seen; return whether it is."""
        self._check_same_text(document)
        if document.version <= self._seen_version:
            return False
        match parse(document.text):
            case Result(tag="ok", ok=declaration) if self._is_ours(declaration):
                self._apply(document, declaration)
                return True
            case Result(tag="ok"):
                self._refuse(document, "the deployment is another one")
            case Result(error=findings):
                self._refuse(document, str(findings[0]))
        return False

    def _is_ours(self, declaration: Declaration) -> bool:
        return declaration.deployment == self.cfg.deployment

    def _check_same_text(self, document: Document) -> None:
        same = document.version == self._document.version
        self.ctx.invariants.check(
            not same or document.digest == self._document.digest,
            "configuration_version_has_one_text",
            f"version {document.version}",
        )

    def _apply(self, document: Document, declaration: Declaration) -> None:
        self.ctx.invariants.check(
            document.version > self._document.version,
            "configuration_never_reverts",
            f"{self._document.version} -> {document.version}",
        )
        self._previous, self._document = self._document, document
        self.current = Configuration(document.version, declaration)
        self.counters.applied += 1
        self.ctx.log("configuration_applied", version=document.version)
        for listener in self._listeners:
            listener(self.current)

    def _refuse(self, document: Document, reason: str) -> None:
        self._refused_version = document.version
        self.counters.invalid += 1
        self.ctx.log(
            "configuration_invalid", version=document.version, reason=reason[:500]
        )

    # Messages

    def _on_message(self, envelope: Envelope) -> None:
        self._handlers[type(envelope.message)](envelope)

    def _on_push(self, envelope: Envelope) -> None:
        push: ConfigurationPush = envelope.message
        # A version that nobody vouches for could be long out of force.
        unknown_start = self.current is None and not push.authority
        if push.version <= self._seen_version or unknown_start:
            return
        document = apply_push(push, self._document)
        if document is None:
            self.counters.unusable_pushes += 1
            if push.base_version:
                self._ask(envelope.sender)
            return
        if self._accept(document) and self._directory.coordinates():
            self._push_to_all()

    def _on_request(self, envelope: Envelope) -> None:
        if envelope.message.version < self.version:
            self._push((envelope.sender,), NO_DOCUMENT)

    def _ask(self, instance: str) -> None:
        now_s = self.ctx.now_s
        if now_s - self._asked_s.get(instance, float("-inf")) < REPEAT_PUSH_S:
            return
        self._asked_s[instance] = now_s
        self.ctx.send(instance, ConfigurationRequest(self._seen_version))

    def _push_as_deputy(self) -> None:
        if self._notice is None or self._notice.version < self.version:
            self._push_to_all()

    def _push_to_all(self) -> None:
        names = {m.instance for m in self._directory.members()} - {self._name}
        self._push(sorted(names), self._previous)

    def _push(self, instances: Iterable[str], base: Document) -> None:
        authority = self._directory.coordinates()
        push = make_push(self._document, base, authority)
        for instance in instances:
            self._pushed[instance] = (self.version, self.ctx.now_s)
            self.counters.pushes += 1
            self.ctx.send(instance, push)

    # Payloads on heartbeats

    def _report(self) -> bytes:
        return version_to_bytes(self._seen_version)

    def _on_report(self, member: Member, payload: bytes) -> None:
        version = _decoded(version_from_bytes, payload)
        if version is None or not self._directory.coordinates():
            return
        if version > self._seen_version:
            self._ask(member.instance)
        elif version < self.version and self._may_push(member.instance):
            known = version == self._previous.version
            base = self._previous if known else NO_DOCUMENT
            self._push((member.instance,), base)

    def _may_push(self, instance: str) -> bool:
        version, sent_s = self._pushed.get(instance, (0, 0.0))
        return version != self.version or self.ctx.now_s - sent_s >= REPEAT_PUSH_S

    def _confirmed(self) -> bool:
        reaches_store = not self._watcher.failing or self._directory.in_outage_mode()
        return self._coordinated and self._watcher.confirmed and reaches_store

    def _make_notice(self) -> bytes:
        others = {m.instance for m in self._directory.members()} - {self._name}
        heard = [i for i in others if not self._directory.suspected(i)]
        deputy = min(heard, key=_deputy_rank, default="")
        return Notice(self.version, self._confirmed(), deputy).to_bytes()

    def _on_notice(self, payload: bytes) -> None:
        notice = _decoded(Notice.from_bytes, payload)
        if notice is not None:
            self._notice, self._notice_s = notice, self.ctx.now_s
            if notice.confirmed:
                self._confirmed_s = self.ctx.now_s


def _deputy_rank(instance: str) -> int:
    return xxhash.xxh3_64_intdigest(f"deputy\0{instance}".encode())


def _decoded(decode: Callable[[bytes], Any], payload: bytes) -> Any | None:
    try:
        return decode(payload)
    except ValueError:
        return None
