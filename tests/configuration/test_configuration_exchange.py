"""Tests that no instance acts by an older configuration than others have known.

Between a restore of the store and the operator's next write, an instance that had
started read the older configuration of the copy and acted by it.
"""

import attrs
import pytest

from tests.runs.declaration import DECLARATION
from tests.runs.deployment import CLOSED_PREFIX, CONFIG_KEY, Deployment
from wagtailrill.configuration.messages import ConfigurationAnswer, ConfigurationQuery
from wagtailrill.core.commands import SendPeer
from wagtailrill.fleet.const import RESTORE_SETTLE_S
from wagtailrill.store.const import REWRITE_GRACE_S

DECLARATIONS = {
    f"r{number}".encode(): attrs.evolve(
        DECLARATION, deployment=f"r{number}", version_number=number
    )
    for number in (9, 12, 16)
} | {
    name.encode(): attrs.evolve(DECLARATION, deployment=name) for name in ("old", "new")
}


class RestoreRun:
    """A deployment whose store is restored while the operator writes nothing again."""

    def __init__(self, *versions):
        """Start, and write the versions 2.5 s apart."""
        self.run = Deployment(11, declarations=DECLARATIONS)
        self.run.start_all(declaration_name=versions[0])
        self.fleet, self.store = self.run.fleet, self.run.fleet.store
        for version in versions[1:]:
            self.advance(2.5)
            self.write(version)
        self.advance(1.0)

    def advance(self, seconds):
        self.fleet.run_until(self.fleet.now_s + seconds)

    def write(self, version):
        self.store.write_operator_key(CONFIG_KEY, version)

    def restore(self, age_s):
        self.store.model.restore_copy(age_s, self.fleet.now_s)

    def start(self, name):
        """Start an instance, in place of a running one of that name."""
        self.run.kill_instance(name)
        self.fleet.start_instance(name)

    def list_applied(self, name, from_s=0.0):
        """Return the versions that an instance has applied, in order."""
        return [
            fields["version"]
            for at_s, instance, fields in self.run.find_log_lines(
                "configuration_applied"
            )
            if instance == name and at_s >= from_s
        ]

    def find_ready_s(self, name, from_s):
        """Return after how many seconds an instance has applied a configuration."""
        return next(
            at_s - from_s
            for at_s, instance, _ in self.run.find_log_lines("configuration_applied")
            if instance == name and at_s >= from_s
        )

    def count_messages(self, cls):
        """Count the messages of a class from now on; return the growing list."""
        sent = []
        send = self.fleet._handlers[SendPeer]

        def record(name, command):
            if isinstance(command.envelope.message, cls):
                sent.append(command.envelope.message)
            send(name, command)

        self.fleet.register_handler(SendPeer, record)
        return sent


@pytest.mark.parametrize("start_after_s", [0.0, 0.3, 1.2, 6.0])
@pytest.mark.parametrize("restores", [1, 2])
def test_started_instance_does_not_act_by_the_copy(start_after_s, restores):
    """Guards against a confirmed change that came back older at a new instance."""
    run = RestoreRun(b"r9", b"r16")
    for _ in range(restores):
        run.restore(2.0)
        run.advance(0.4 * (restores - 1))
    run.advance(start_after_s)
    started_s = run.fleet.now_s
    run.start("i-2")
    run.advance(4.0)
    assert run.list_applied("i-2", started_s) == ["r16"]
    assert run.find_ready_s("i-2", started_s) < RESTORE_SETTLE_S + 0.5


def test_instance_that_starts_during_the_outage_does_not_act_by_the_copy():
    """Guards against an instance that sees nothing but the copy from its start on."""
    run = RestoreRun(b"r9", b"r16")
    run.store.down = True
    run.start("i-2")
    run.advance(1.0)
    run.store.down = False
    run.restore(3.0)
    run.advance(4.0)
    assert run.list_applied("i-2", 8.0)[-1:] == ["r16"]
    assert "r9" not in run.list_applied("i-2", run.fleet.now_s - 5.0)


def test_instance_that_was_cut_off_learns_of_the_version_that_was_lost():
    """Guards against an instance that stays at an older version after a restore.

    It could reach neither the store nor the others while the version was written.
    """
    run = RestoreRun(b"r9")
    run.store.unreachable_instances.add("i-2")
    run.fleet.isolate_instances({"i-2"})
    run.write(b"r16")
    run.advance(1.5)
    run.restore(3.0)
    run.advance(1.0)
    run.store.unreachable_instances.clear()
    run.fleet.restore_links()
    run.advance(1.0)
    assert run.list_applied("i-2") == ["r9", "r16"]


def test_version_that_only_a_newcomer_knows_is_passed_on():
    """Guards against a version that is lost with the instances that had followed it."""
    run = RestoreRun(b"r9", b"r16")
    run.restore(2.0)
    run.start("i-2")
    run.advance(2.0)
    for name in ("i-1", "i-3", "i-4"):
        run.run.kill_instance(name)
    run.advance(0.5)
    started_s = run.fleet.now_s
    run.start("i-3")
    run.advance(4.0)
    assert run.list_applied("i-3", started_s) == ["r16"]


def test_newer_version_of_the_operator_is_applied_at_once():
    """Guards against a change that waits for what the others know."""
    run = RestoreRun(b"r9", b"r12")
    run.restore(2.0)
    run.start("i-2")
    run.advance(1.5)
    run.write(b"r16")
    run.advance(0.5)
    assert run.list_applied("i-2")[-1] == "r16"


@pytest.mark.parametrize("others", ["older build", "none"])
def test_instance_without_an_answer_waits_until_the_operator_has_written(others):
    """Guards against an instance that acts by the copy, or that waits for good.

    Instances of an older build drop the question, as its number is unknown to them.
    """
    run = RestoreRun(b"r9", b"r16")
    run.restore(2.0)
    for name in ("i-1", "i-3", "i-4"):
        if others == "none":
            run.run.kill_instance(name)
        else:
            host = run.run.get_router(name).host
            del host._message_handlers[ConfigurationQuery]
    started_s = run.fleet.now_s
    run.start("i-2")
    run.advance(REWRITE_GRACE_S - 0.3)
    assert run.list_applied("i-2", started_s) == []
    run.write(b"r16")
    run.advance(1.0)
    assert run.list_applied("i-2", started_s) == ["r16"]
    run.start("i-2")
    run.advance(REWRITE_GRACE_S + 0.5)
    assert run.list_applied("i-2", started_s) == ["r16", "r16"]


def test_closed_data_centre_stays_closed_at_an_instance_that_starts():
    """Guards against new work for a data centre whose closing the store has lost."""
    run = RestoreRun(b"r9")
    run.advance(2.0)
    run.store.write_operator_key(CLOSED_PREFIX + "north", b"")
    run.advance(0.5)
    run.restore(2.0)
    run.start("i-2")
    run.advance(RESTORE_SETTLE_S + 0.3)
    closed_in_gap = run.run.get_router("i-2").configuration.current.closed_data_centres
    run.advance(2.0)
    closed = run.run.get_router("i-2").configuration.current.closed_data_centres
    assert (closed_in_gap, closed) == ({"north"}, set())


def test_configuration_without_a_version_is_taken_from_the_others():
    """Guards against an older configuration of a deployment that has no versions.

    The first configuration of a run has a version, so that another one without comes
    before the change.
    """
    run = RestoreRun(b"old", b"old", b"new")
    run.restore(2.0)
    started_s = run.fleet.now_s
    run.start("i-2")
    run.advance(RESTORE_SETTLE_S + 0.3)
    assert run.list_applied("i-2", started_s) == ["new"]
    run.advance(2.0)
    assert run.list_applied("i-2", started_s) == run.list_applied("i-3")[-2:]


def test_one_declaration_is_sent_to_an_instance_that_starts():
    """Guards against whole configurations that all instances send to all."""
    run = RestoreRun(b"r9", b"r16")
    answers = run.count_messages(ConfigurationAnswer)
    run.restore(2.0)
    run.advance(2.0)
    assert answers == []
    run.start("i-2")
    run.advance(2.0)
    assert sum(bool(answer.declaration) for answer in answers) == 1
    assert all(lost.value == b"" for a in answers for lost in a.lost_items)


def test_start_long_after_a_restore_takes_no_longer():
    """Guards against instances that are unready at each start since a first restore."""
    run = RestoreRun(b"r9", b"r16")
    run.restore(2.0)
    run.write(b"r16")
    run.advance(10.0)
    started_s = run.fleet.now_s
    run.start("i-2")
    run.advance(2.0)
    assert run.find_ready_s("i-2", started_s) < 0.2


@pytest.mark.parametrize("declaration", [b"", b"not readable here"])
def test_start_waits_no_longer_for_a_version_that_cannot_be_fetched(declaration):
    """Guards against an instance that is not ready until the operator writes again."""
    run = RestoreRun(b"r9", b"r12")
    run.restore(2.0)
    run.write(b"r12")
    run.advance(5.0)
    peer = run.run.get_router("i-1")

    def answer(envelope):
        query = envelope.message
        message = ConfigurationAnswer(
            query.number,
            peer.ctx.store_era.current,
            is_settled=True,
            restored_for_s=5.0,
            version=99,
            declaration=declaration if query.wants_declaration else b"",
            declaration_revision=5,
            lost_items=(),
        )
        peer.ctx.send(envelope.sender, message, envelope.incarnation)

    peer.host._message_handlers[ConfigurationQuery] = answer
    started_s = run.fleet.now_s
    run.start("i-2")
    run.advance(REWRITE_GRACE_S + 2.0)
    assert run.list_applied("i-2", started_s) == ["r12"]


def test_started_instance_learns_how_long_ago_the_restore_was():
    """Guards against first deliveries refused, and empty buckets, after each start."""
    run = RestoreRun(b"r9")
    run.restore(1.0)
    restored_s = run.fleet.now_s
    run.advance(20.0)
    run.start("i-2")
    run.advance(2.0)
    ctx = run.run.get_router("i-2").ctx
    known_age_s = ctx.now_s - ctx.store_era.began_by_s
    assert run.fleet.now_s - restored_s - known_age_s < 2.0
