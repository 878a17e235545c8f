"""Shares fingerprints of crashing requests among the members of the cell."""

import itertools
from collections.abc import Callable

import attrs
import xxhash

from ..core.const import PARTITION_COUNT
from ..core.context import Context
from ..core.host import ComponentHost
from ..core.orders import CallerRequest
from ..partitions.directory import Member, PartitionDirectory
from ..peer.registry import Envelope
from .const import EXPIRY_INTERVAL_S, NOTICE_TIMEOUT_S, SUSPECTS_MAX
from .messages import (
    CrashCleared,
    CrashRecorded,
    CrashReport,
    SuspectAcknowledged,
    SuspectNotice,
)
from .models import CrashGuardSettings, CrashVerdict, Suspect


def request_fingerprint(organisation: str, req: CallerRequest) -> int:
    """Return a fingerprint of organisation, method, path, query and body."""
    digest = xxhash.xxh3_64()
    for part in (organisation, req.method, req.path, req.query):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(req.body)
    return digest.intdigest()


@attrs.define(eq=False)
class _Notice:
    """A notice that waits for the acknowledgement of members."""

    reporter: Member
    report_id: int
    missing: set[str]


class CrashGuard:
    """Counts crashes by fingerprint at its home and tells all members."""

    def __init__(
        self, ctx: Context, directory: PartitionDirectory, cfg: CrashGuardSettings
    ) -> None:
        self._ctx = ctx
        self._directory = directory
        self._cfg = cfg
        self._suspects: dict[int, Suspect] = {}
        self._known_members: set[Member] = set()
        self._notices: dict[int, _Notice] = {}
        self._reports: dict[int, Callable[[], None]] = {}
        self._numbers = itertools.count(1)
        ctx.timers.subscribe(EXPIRY_INTERVAL_S, self._expire, EXPIRY_INTERVAL_S)

    def attach(self, host: ComponentHost) -> None:
        """Register the handlers of peer messages."""
        handlers: dict[type, Callable[[Envelope], None]] = {
            CrashReport: self._crash_reported,
            CrashCleared: self._suspect_cleared,
            SuspectNotice: self._noticed,
            SuspectAcknowledged: self._acknowledged,
            CrashRecorded: self._recorded,
        }
        for cls, handler in handlers.items():
            host.on_messages([cls], handler)

    def has_suspects(self) -> bool:
        """Return whether any fingerprint is suspected."""
        return bool(self._suspects)

    def suspects(self) -> dict[int, int]:
        """Return the number of crashes by fingerprint."""
        return {f: suspect.crashes for f, suspect in self._suspects.items()}

    def check(self, fingerprint: int, idempotent: bool) -> CrashVerdict:
        """Return whether a request may run."""
        if not self._suspects:
            return CrashVerdict.CLEAR
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_s <= self._ctx.now_s:
            return CrashVerdict.CLEAR
        cfg = self._cfg
        most = cfg.crashes_idempotent_max if idempotent else cfg.crashes_other_max
        return CrashVerdict.BLOCKED if suspect.crashes >= most else CrashVerdict.SUSPECT

    def report_crash(
        self,
        fingerprint: int,
        backend_server: str,
        start_id: str,
        on_recorded: Callable[[], None],
    ) -> None:
        """Report a crash; `on_recorded` runs once the members know, or soon after."""
        report_id = next(self._numbers)
        self._reports[report_id] = on_recorded
        self._count(fingerprint, backend_server, start_id)
        home = self._directory.home_of(fingerprint % PARTITION_COUNT)
        if home is not None:
            message = CrashReport(
                report_id=report_id,
                partition=fingerprint % PARTITION_COUNT,
                fingerprint=fingerprint,
                backend_server=backend_server,
                start_id=start_id,
            )
            self._ctx.send(home.instance, message)
        self._ctx.timers.call_later(
            2 * NOTICE_TIMEOUT_S, lambda: self._finish_report(report_id)
        )

    def ran_whole(self, fingerprint: int) -> None:
        """Clear a suspect that ran without a crash."""
        if fingerprint not in self._suspects:
            return
        del self._suspects[fingerprint]
        partition = fingerprint % PARTITION_COUNT
        home = self._directory.home_of(partition)
        if home is not None:
            self._ctx.send(home.instance, CrashCleared(partition, fingerprint))

    def members_changed(self, *_: object) -> None:
        """Tell new members the suspects whose home this instance is."""
        members = set(self._directory.members())
        added = members - self._known_members
        self._known_members = members
        for fingerprint, suspect in self._suspects.items():
            if self._directory.is_home(fingerprint % PARTITION_COUNT):
                for member in added:
                    self._notify(member.instance, 0, fingerprint, suspect)

    def _count(self, fingerprint: int, backend_server: str, start_id: str) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.expires_s <= self._ctx.now_s:
            suspect = Suspect(0, 0.0)
            self._suspects[fingerprint] = suspect
        crash = (backend_server, start_id)
        if crash not in suspect.seen:
            suspect.seen.add(crash)
            suspect.crashes += 1
        suspect.expires_s = self._ctx.now_s + self._cfg.block_s
        if len(self._suspects) > SUSPECTS_MAX:
            del self._suspects[next(iter(self._suspects))]
        return suspect

    def _crash_reported(self, envelope: Envelope) -> None:
        report: CrashReport = envelope.message
        if not self._directory.is_home(report.partition):
            return
        suspect = self._count(
            report.fingerprint, report.backend_server, report.start_id
        )
        reporter = Member(envelope.sender, envelope.incarnation)
        own = self._ctx.identity.instance
        others = {m.instance for m in self._directory.members()} - {own}
        notice_id = next(self._numbers)
        self._notices[notice_id] = _Notice(reporter, report.report_id, others)
        for instance in others:
            self._notify(instance, notice_id, report.fingerprint, suspect)
        self._settle(notice_id)
        self._ctx.timers.call_later(
            NOTICE_TIMEOUT_S, lambda: self._settle(notice_id, timed_out=True)
        )

    def _notify(
        self, instance: str, notice_id: int, fingerprint: int, suspect: Suspect
    ) -> None:
        expires_in_s = suspect.expires_s - self._ctx.now_s
        message = SuspectNotice(notice_id, fingerprint, suspect.crashes, expires_in_s)
        self._ctx.send(instance, message)

    def _settle(self, notice_id: int, timed_out: bool = False) -> None:
        notice = self._notices.get(notice_id)
        if notice is None or (notice.missing and not timed_out):
            return
        del self._notices[notice_id]
        reporter = notice.reporter
        recorded = CrashRecorded(notice.report_id)
        self._ctx.send(reporter.instance, recorded, reporter.incarnation)

    def _suspect_cleared(self, envelope: Envelope) -> None:
        message: CrashCleared = envelope.message
        if not self._directory.is_home(message.partition):
            return
        self._suspects.pop(message.fingerprint, None)
        own = self._ctx.identity.instance
        for member in self._directory.members():
            if member.instance != own:
                notice = SuspectNotice(0, message.fingerprint, 0, 0.0)
                self._ctx.send(member.instance, notice)

    def _noticed(self, envelope: Envelope) -> None:
        notice: SuspectNotice = envelope.message
        if notice.crashes == 0:
            self._suspects.pop(notice.fingerprint, None)
        else:
            suspect = self._suspects.setdefault(notice.fingerprint, Suspect(0, 0.0))
            suspect.crashes = max(suspect.crashes, notice.crashes)
            suspect.expires_s = self._ctx.now_s + notice.expires_in_s
        if notice.notice_id:
            reply = SuspectAcknowledged(notice.notice_id)
            self._ctx.send(envelope.sender, reply, envelope.incarnation)

    def _acknowledged(self, envelope: Envelope) -> None:
        notice = self._notices.get(envelope.message.notice_id)
        if notice is not None:
            notice.missing.discard(envelope.sender)
            self._settle(envelope.message.notice_id)

    def _recorded(self, envelope: Envelope) -> None:
        self._finish_report(envelope.message.report_id)

    def _finish_report(self, report_id: int) -> None:
        on_recorded = self._reports.pop(report_id, None)
        if on_recorded is not None:
            on_recorded()

    def _expire(self) -> None:
        now_s = self._ctx.now_s
        old = [f for f, suspect in self._suspects.items() if suspect.expires_s <= now_s]
        for fingerprint in old:
            del self._suspects[fingerprint]
