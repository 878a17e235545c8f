"""Guards against a request that crashes server after server."""

from tests.support_directory import SharedCell
from wagtailrill.core.orders import CallerRequest
from wagtailrill.crash_guard.guard import CrashGuard, request_fingerprint
from wagtailrill.crash_guard.models import CrashGuardSettings, CrashVerdict


class Cell(SharedCell):
    """Three instances with a crash guard."""

    def __init__(self):
        self.guards = {}
        super().__init__()
        self.fleet.run_until(1.0)

    def attach(self, name, host):
        guard = CrashGuard(host.ctx, self.directory(host), CrashGuardSettings())
        guard.attach(host)
        self.guards[name] = guard

    def report(self, name, fingerprint, server, start_id="1"):
        recorded = []
        self.fleet.deliver(name, None, 0.0)
        self.fleet.run_until(self.fleet.now_s)
        self.guards[name].report_crash(
            fingerprint, server, start_id, lambda: recorded.append(self.fleet.now_s)
        )
        started_s = self.fleet.now_s
        self.fleet.deliver(name, None, 0.0)
        self.fleet.run_until(started_s + 1.0)
        return recorded[0] - started_s

    def verdicts(self, fingerprint, idempotent):
        return {g.check(fingerprint, idempotent) for g in self.guards.values()}


def test_blocked_everywhere_when_the_caller_gets_its_error():
    """Guards against a resend through another instance that does not know yet."""
    cell = Cell()
    assert cell.report("a", 7, "s-1") < 0.1
    assert cell.verdicts(7, idempotent=False) == {CrashVerdict.BLOCKED}
    assert cell.verdicts(7, idempotent=True) == {CrashVerdict.SUSPECT}
    cell.report("b", 7, "s-2")
    assert cell.verdicts(7, idempotent=True) == {CrashVerdict.BLOCKED}


def test_one_crash_reported_twice_counts_once():
    """Guards against healthy look-alikes being blocked by repeated reports."""
    cell = Cell()
    cell.report("a", 7, "s-1")
    cell.report("b", 7, "s-1")
    assert cell.verdicts(7, idempotent=True) == {CrashVerdict.SUSPECT}


def test_unreachable_member_delays_the_caller_by_a_bounded_time():
    """Guards against a caller that waits for a lost member."""
    cell = Cell()
    cell.fleet.pause("c")
    assert cell.report("a", 7, "s-1") <= 0.25


def test_whole_run_clears_the_suspicion():
    """Guards against blocking a request that only shared a server with the culprit."""
    cell = Cell()
    cell.report("a", 7, "s-1")
    cell.guards["b"].ran_whole(7)
    cell.fleet.deliver("b", None, 0.0)
    cell.fleet.run_until(cell.fleet.now_s + 1.0)
    assert cell.verdicts(7, idempotent=False) == {CrashVerdict.CLEAR}


def test_block_expires():
    """Guards against a request that is refused for good."""
    cell = Cell()
    cell.report("a", 7, "s-1")
    cell.fleet.run_until(cell.fleet.now_s + 620.0)
    assert cell.verdicts(7, idempotent=False) == {CrashVerdict.CLEAR}


def test_fingerprint_tells_requests_apart():
    """Guards against look-alikes sharing a fingerprint."""
    base = CallerRequest(1, "POST", "/r", "a=1", (), b"body")
    other_id = CallerRequest(2, "POST", "/r", "a=1", (), b"body")
    variants = [
        CallerRequest(1, "PUT", "/r", "a=1", (), b"body"),
        CallerRequest(1, "POST", "/s", "a=1", (), b"body"),
        CallerRequest(1, "POST", "/r", "a=2", (), b"body"),
        CallerRequest(1, "POST", "/r", "a=1", (), b"bodz"),
    ]
    prints = {request_fingerprint("org", req) for req in variants}
    assert request_fingerprint("org", base) == request_fingerprint("org", other_id)
    assert request_fingerprint("org", base) not in prints
    assert len(prints | {request_fingerprint("other", base)}) == 5
