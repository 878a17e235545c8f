"""Exchanges between instances what a restored store has lost of the configuration.

The router uses it beside the follower of the configuration.
"""

from typing import Final

import attrs

from ..core.context import Context
from ..core.host import ComponentHost
from ..core.log_events import LogName
from ..core.timer import TimerHandle
from ..fleet.const import RESTORE_SETTLE_S
from ..fleet.members import Members
from ..peer.registry import Envelope
from ..store.const import REWRITE_GRACE_S
from ..store.revision import FIRST_ERA
from .const import (
    ANSWER_TIMEOUT_S,
    ANSWER_VALID_S,
    CHECK_INTERVAL_S,
    DECLARATION_MAX_BYTES,
    QUERIES_MAX,
)
from .follower import ConfigurationFollower
from .messages import ConfigurationAnswer, ConfigurationQuery, LostItem

# Stands for the time since a restore of which the sender knows nothing.
_LONG_AGO_S: Final = 1e6


@attrs.frozen
class _ReceivedAnswer:
    """The last answer of an instance, and when it came in monotonic seconds."""

    answer: ConfigurationAnswer
    received_s: float

    @property
    def restored_s(self) -> float:
        """Return when the store was restored, at the latest."""
        return self.received_s - self.answer.restored_for_s


class ConfigurationExchange:
    """Finds out whether others know a newer configuration than the store shows.

    In a store that was restored once, an instance that starts asks the others before it
    acts by what it has read. It waits until all that survived the restore have
    registered again and those it has asked have answered, and at most until the
    operator has written again what was lost. One of those that know the newest version
    is asked for the declaration.

    Each registration names the newest version that the instance knew then. So an
    instance that was cut off while a version was written, and after the restore cannot
    read it, learns of it too.
    """

    def __init__(
        self, ctx: Context, follower: ConfigurationFollower, members: Members
    ) -> None:
        self._ctx = ctx
        self._follower = follower
        self._members = members
        self._answers: dict[str, _ReceivedAnswer] = {}
        self._asked_s: dict[str, float] = {}
        self._last_query_number = 0
        self._fetched_from: str = ""
        self._fetch_number = 0
        self._fetch_sent_s = float("-inf")
        self._held_since_s: float | None = None
        self._has_adopted = False
        # The highest version whose declaration was sent and could not be used.
        self._unusable_version = -1
        self._timer: TimerHandle | None = None
        members.follow_configuration_version(lambda: follower.version_number)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of this component."""
        host.register_message_handler(
            (ConfigurationQuery,), lambda env: self._answer_query(env)
        )
        host.register_message_handler(
            (ConfigurationAnswer,), lambda env: self._receive_answer(env)
        )

    def start(self) -> None:
        """Begin to compare the configuration with what others know."""
        self._ctx.store_era.add_listener(self._on_store_restored)
        self._members.add_listener(self._check)
        self._check()

    def _on_store_restored(self) -> None:
        self._answers.clear()
        self._asked_s.clear()
        self._held_since_s = None
        self._has_adopted = False
        self._check()

    def _check(self) -> None:
        """Go on with what is open, and check again later while anything is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._advance():
            return
        self._timer = self._ctx.timers.call_later(CHECK_INTERVAL_S, self._check)

    def _advance(self) -> bool:
        """Ask others as far as necessary; return whether nothing is left to do."""
        if not self._follower.has_listed:
            return False
        if self._ctx.store_era.current <= FIRST_ERA:
            return True
        newer = self._list_newer()
        if newer:
            self._request_declaration(newer)
        if self._is_held():
            self._try_release(is_behind=bool(newer))
        return not newer and not self._is_held()

    def _is_held(self) -> bool:
        return not self._follower.is_released and self._follower.current is None

    # Release of the configuration in force of an instance that starts

    def _try_release(self, is_behind: bool) -> None:
        if not self._members.mirror.is_complete:
            return
        now_s = self._ctx.now_s
        if self._held_since_s is None:
            self._held_since_s = now_s
        self._ask_contacts()
        held_for_s = now_s - self._held_since_s
        if held_for_s >= REWRITE_GRACE_S:
            if not self._has_newer_answer():
                self._release(self._held_since_s)
            return
        settled_restored_s = [
            received.restored_s
            for received in self._answers.values()
            if self._is_proof(received)
        ]
        if not settled_restored_s or is_behind or self._is_waiting(held_for_s):
            return
        restored_s = max(settled_restored_s)
        if now_s - restored_s >= RESTORE_SETTLE_S:
            self._release(restored_s)

    def _release(self, restored_s: float) -> None:
        assert self._held_since_s is not None
        self._ctx.log(
            LogName.CONFIGURATION_RELEASED,
            held_s=round(self._ctx.now_s - self._held_since_s, 3),
            asked=len(self._asked_s),
            answered=len(self._answers),
        )
        self._ctx.store_era.limit_begin(restored_s)
        self._follower.release(restored_s)

    def _is_proof(self, received: _ReceivedAnswer) -> bool:
        """Return whether the sender has followed the store since before the restore."""
        answer = received.answer
        return answer.is_settled and answer.store_era == self._ctx.store_era.current

    def _is_waiting(self, held_for_s: float) -> bool:
        """Return whether an answer is still expected."""
        return held_for_s < ANSWER_TIMEOUT_S and any(
            name not in self._answers for name in self._asked_s
        )

    def _has_newer_answer(self) -> bool:
        """Return whether an instance that answers knows a newer version."""
        return any(
            received.answer.version
            > max(self._follower.version_number, self._unusable_version)
            for received in self._answers.values()
            if self._ctx.now_s - received.received_s < ANSWER_VALID_S
        )

    def _ask_contacts(self) -> None:
        contacts = self._members.list_contacts().values()
        ordered = sorted(contacts, key=lambda m: -m.configuration_version)
        now_s = self._ctx.now_s
        for member in ordered[:QUERIES_MAX]:
            asked_s = self._asked_s.get(member.instance, float("-inf"))
            if now_s - asked_s >= ANSWER_TIMEOUT_S:
                self._asked_s[member.instance] = now_s
                self._send_query(member.instance, wants_declaration=False)

    def _send_query(self, instance: str, wants_declaration: bool) -> None:
        self._last_query_number += 1
        query = ConfigurationQuery(
            self._last_query_number, wants_declaration, self._ctx.store_era.current
        )
        self._ctx.send(instance, query)

    # Declarations that others know

    def _list_newer(self) -> list[str]:
        """Return the instances that know a newer declaration, the newest one first."""
        versions = {
            name: member.configuration_version
            for name, member in self._members.get_other_members().items()
        }
        for name, received in self._answers.items():
            versions[name] = max(versions.get(name, 0), received.answer.version)
        newer = [
            name
            for name, version in versions.items()
            if version > max(self._follower.version_number, self._unusable_version)
        ]
        if self._is_held() and not self._has_adopted and not newer:
            newer = [
                name
                for name, received in self._answers.items()
                if received.answer.version == 0
                and any(
                    lost.key == self._follower.declaration_key
                    for lost in received.answer.lost_items
                )
            ]
        return sorted(newer, key=lambda name: (-versions[name], name))

    def _request_declaration(self, newer: list[str]) -> None:
        """Ask one instance after the other, so that one value is sent at a time."""
        if self._ctx.now_s - self._fetch_sent_s < ANSWER_TIMEOUT_S:
            return
        last = self._fetched_from
        index = newer.index(last) + 1 if last in newer else 0
        self._fetched_from = newer[index % len(newer)]
        self._fetch_sent_s = self._ctx.now_s
        self._send_query(self._fetched_from, wants_declaration=True)
        self._fetch_number = self._last_query_number

    # Messages

    def _answer_query(self, envelope: Envelope) -> None:
        query = envelope.message
        if query.store_era > self._ctx.store_era.current:
            self._members.check_store()
        follower = self._follower
        item = follower.declaration_item
        is_sent = (
            query.wants_declaration
            and item is not None
            and len(item.value) <= DECLARATION_MAX_BYTES
        )
        restored_for_s = min(self._ctx.now_s - follower.restored_s, _LONG_AGO_S)
        answer = ConfigurationAnswer(
            query.number,
            self._ctx.store_era.current,
            is_settled=follower.current is not None,
            restored_for_s=restored_for_s,
            version=follower.version_number,
            declaration=item.value if is_sent and item is not None else b"",
            declaration_revision=item.revision if item is not None else 0,
            lost_items=follower.list_lost(),
        )
        self._ctx.send(envelope.sender, answer, envelope.incarnation)

    def _receive_answer(self, envelope: Envelope) -> None:
        answer = envelope.message
        received = _ReceivedAnswer(answer, self._ctx.now_s)
        self._answers[envelope.sender] = received
        is_current = answer.store_era == self._ctx.store_era.current
        if is_current and self._is_held():
            self._follower.hold(answer.lost_items, received.restored_s)
        if answer.declaration:
            self._adopt_declaration(answer)
        elif answer.number == self._fetch_number:
            # It is too large to be sent; the operator writes it again.
            self._unusable_version = max(self._unusable_version, answer.version)
        self._check()

    def _adopt_declaration(self, answer: ConfigurationAnswer) -> None:
        key = self._follower.declaration_key
        stored_revision = next(
            (lost.stored_revision for lost in answer.lost_items if lost.key == key), -1
        )
        lost = LostItem(
            key,
            is_present=True,
            revision=answer.declaration_revision,
            value=answer.declaration,
            stored_revision=stored_revision,
        )
        if self._follower.adopt_declaration(lost):
            self._has_adopted = True
            self._members.register_again()
        elif answer.version > self._follower.version_number:
            self._unusable_version = max(self._unusable_version, answer.version)
