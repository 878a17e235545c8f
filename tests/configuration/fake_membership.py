"""Membership by decree: an oracle names the coordinator, heartbeats are messages."""

import attrs

from wagtailrill.core.const import (
    COORDINATOR_LEASE_S,
    HEARTBEAT_INTERVAL_S,
    MEMBER_LEASE_S,
)
from wagtailrill.partitions.directory import Member

TAKEOVER_S = 2.3
LEASE_CAP_S = 0.8


@attrs.frozen
class Beat:
    """Heartbeat of a coordinator; the lease counts from the answered reply."""

    term: int
    answers_s: float
    lease_s: float
    notices: dict


@attrs.frozen
class Reply:
    """A member's answer with its reports; `sent_s` is by the member's clock."""

    sent_s: float
    reports: dict


class Oracle:
    """Names a coordinator that lives and reaches the store and most instances."""

    def __init__(self, run):
        self.run = run
        self.term = 0
        self.coordinator = None
        self.valid_s = float("-inf")
        self.store_seen_s = 0.0

    def check(self):
        """Keep the coordinator, or name another one after the takeover time."""
        fleet = self.run.fleet
        if not fleet.store.down:
            self.store_seen_s = fleet.now_s
        if self._fit(self.coordinator):
            self.valid_s = fleet.now_s
        elif fleet.now_s - self.valid_s >= TAKEOVER_S:
            fit = [m for m in map(self._member, fleet.nodes) if self._fit(m)]
            if fit:
                self.term += 1
                self.coordinator = fleet.rng.choice(fit)
                self.valid_s = fleet.now_s
        fleet.call_later(0.05, self.check)

    def authority_s(self, member):
        """Return how long a member may still act as the coordinator."""
        if member != self.coordinator:
            return 0.0
        return self.valid_s + COORDINATOR_LEASE_S - self.run.fleet.now_s

    def _member(self, name):
        return Member(name, self.run.fleet.nodes[name].incarnation)

    def _fit(self, member):
        fleet = self.run.fleet
        row = fleet.nodes.get(member.instance) if member else None
        if row is None or row.incarnation != member.incarnation or row.paused:
            return False
        # An outage of the whole store leaves the coordinator in place.
        if member.instance in fleet.store.unreachable:
            return False
        near = [n for n in fleet.nodes if not self._cut(member.instance, n)]
        return 2 * len(near) > len(self.run.names)

    def _cut(self, one, other):
        return frozenset((one, other)) in self.run.fleet._cut


class FakeMembership:
    """What the keeper needs of membership, by the oracle's word."""

    def __init__(self, ctx, oracle):
        self.ctx = ctx
        self.oracle = oracle
        self.me = Member(ctx.identity.instance, ctx.identity.incarnation)
        self.term = 0
        self.lease_end_s = float("-inf")
        self.heard_s, self.answered_s = {}, {}
        self.reports, self.notices = {}, {}
        self.report_handlers, self.notice_handlers = {}, {}

    def attach(self, host):
        host.on_messages([Beat], self._on_beat)
        host.on_messages([Reply], self._on_reply)
        self.ctx.timers.subscribe(HEARTBEAT_INTERVAL_S, self._beat)

    def coordinates(self):
        return self.oracle.authority_s(self.me) > 0.0

    def in_outage_mode(self):
        down_s = self.oracle.run.fleet.now_s - self.oracle.store_seen_s
        return down_s > COORDINATOR_LEASE_S

    def has_lease(self):
        return self.coordinates() or self.ctx.now_s < self.lease_end_s

    def members(self):
        nodes = self.oracle.run.fleet.nodes
        return tuple(Member(n, row.incarnation) for n, row in nodes.items())

    def suspected(self, instance):
        return self.ctx.now_s - self.heard_s.get(instance, float("-inf")) > 1.0

    def add_report(self, name, provider):
        self.reports[name] = provider

    def on_report(self, name, handler):
        self.report_handlers[name] = handler

    def add_notice(self, name, provider):
        self.notices[name] = provider

    def on_notice(self, name, handler):
        self.notice_handlers[name] = handler

    def _beat(self):
        if not self.coordinates():
            return
        capped_s = self.oracle.authority_s(self.me) + LEASE_CAP_S
        lease_s = min(MEMBER_LEASE_S, capped_s)
        notices = {name: get() for name, get in self.notices.items()}
        for name, row in self.oracle.run.fleet.nodes.items():
            member = Member(name, row.incarnation)
            if member != self.me:
                answers_s = self.answered_s.get(member, float("-inf"))
                beat = Beat(self.oracle.term, answers_s, lease_s, notices)
                self.ctx.send(name, beat, row.incarnation)

    def _on_beat(self, envelope):
        beat = envelope.message
        if beat.term < self.term:
            return
        self.term = beat.term
        self.lease_end_s = beat.answers_s + beat.lease_s
        for name, payload in beat.notices.items():
            self.notice_handlers[name](payload)
        reports = {name: get() for name, get in self.reports.items()}
        self.ctx.send(envelope.sender, Reply(self.ctx.now_s, reports))

    def _on_reply(self, envelope):
        if not self.coordinates():
            return
        self.heard_s[envelope.sender] = self.ctx.now_s
        member = Member(envelope.sender, envelope.incarnation)
        self.answered_s[member] = envelope.message.sent_s
        for name, payload in envelope.message.reports.items():
            self.report_handlers[name](member, payload)
