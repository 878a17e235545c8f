"""Guards the registration of instances against a store that has been restored."""

import json

import pytest

from tests.store_harness import StoreHarness
from tests.support import list_logged_events
from wagtailrill.fleet.members import Members
from wagtailrill.fleet.models import FleetSettings, Member
from wagtailrill.store.models import Commit, LeaseGrant, Put

OWN_KEY = "fleet/members/i-1"


class MembersHarness(StoreHarness):
    """The members as instance i-1 sees them, registered for a second."""

    def __init__(self):
        super().__init__()
        self.members = Members(self.ctx, FleetSettings("fleet/", "127.0.0.1:9"))
        self.members.start()
        self.run(1.0)

    def grant_lease(self, ttl_s=60.0):
        return self.model.apply_operation(LeaseGrant(ttl_s), self.ctx.now_s).ok.lease_id

    def register_other(self, incarnation, lease_id, **fields):
        member = Member("i-2", incarnation, "127.0.0.2:9", "south")
        value = json.loads(member.to_bytes()) | fields
        put = Put("fleet/members/i-2", json.dumps(value).encode(), lease_id)
        commit = Commit((), (put,))
        assert self.model.apply_operation(commit, self.ctx.now_s).is_ok()

    def find_own_item(self):
        return next(iter(self.model.list_items(OWN_KEY)), None)


@pytest.fixture
def harness():
    return MembersHarness()


def test_restore_leads_to_a_fresh_lease_and_registration_at_once(harness):
    """Guards against a lease that the store has given to another instance."""
    harness.model.restore_copy(60.0, harness.ctx.now_s)
    foreign_lease = harness.grant_lease()
    assert foreign_lease == harness.members.lease_id
    harness.run(1.0)
    assert harness.find_own_item().lease_id == harness.members.lease_id
    assert harness.members.lease_id != foreign_lease
    assert harness.members.is_lease_valid()


def test_lease_that_survives_in_the_copy_is_not_renewed(harness):
    """Guards against a renewal that was sent before the restore."""
    former_lease = harness.members.lease_id
    harness.run(2.0)
    harness.restore(1.0)
    harness.run(2.5)
    assert harness.members.lease_id != former_lease
    assert harness.find_own_item().lease_id == harness.members.lease_id


def test_stop_after_a_restore_revokes_no_foreign_lease(harness):
    """Guards against the end of another instance's lease of the same id."""
    harness.restore(60.0)
    foreign_lease = harness.grant_lease()
    harness.ctx.store_era.observe(2, harness.ctx.now_s)
    harness.ctx.store_era.notify_listeners(harness.ctx.guard)
    harness.members.stop()
    harness.run(0.1)
    harness.register_other(1, foreign_lease)


def test_members_stay_registered_while_they_register_again(harness):
    """Guards against messages and duties that a restore takes from all instances."""
    harness.register_other(1, harness.grant_lease())
    harness.run(0.5)
    harness.restore(60.0)
    harness.run(1.5)
    assert harness.members.get_other_members()["i-2"].incarnation == 1
    assert harness.members.get_absence_s("i-2") == -1.0
    harness.run(1.0)
    assert harness.members.get_other_members() == {}
    assert list_logged_events(harness.ctx).count("member_vanished") == 1


def test_registration_of_the_copy_does_not_replace_a_later_process(harness):
    """Guards against a running process that counts as ended."""
    lease_id = harness.grant_lease()
    harness.register_other(1, lease_id, store_era=1)
    harness.run(0.5)
    harness.register_other(2, lease_id, store_era=1)
    harness.run(0.5)
    harness.restore(0.75)
    harness.run(1.0)
    assert harness.members.get_other_members()["i-2"].incarnation == 2
    harness.register_other(3, harness.grant_lease(), store_era=2)
    harness.run(0.2)
    assert harness.members.get_other_members()["i-2"].incarnation == 3


def test_known_secret_is_written_again(harness):
    """Guards against peer messages that are refused after a restore."""
    (secret,) = harness.members.secrets
    harness.restore(60.0)
    harness.run(0.5)
    assert [i.value for i in harness.model.list_items("fleet/secret")] == [secret]
    assert harness.members.secrets == (secret,)


def test_messages_under_the_former_secret_are_still_accepted(harness):
    """Guards against instances that refuse each other's messages for a moment."""
    (secret,) = harness.members.secrets
    harness.restore(60.0)
    harness.model.put_item("fleet/secret", b"other")
    harness.run(0.5)
    assert harness.members.secrets == (b"other", secret)


def test_stop_before_a_restore_is_known_revokes_no_foreign_lease(harness):
    """Guards against the end of another instance's registration or claims."""
    harness.model.restore_copy(60.0, harness.ctx.now_s)
    foreign_lease = harness.grant_lease()
    assert foreign_lease == harness.members.lease_id
    harness.members.stop()
    harness.run(0.1)
    harness.register_other(1, foreign_lease)


@pytest.mark.parametrize("is_registered_again", [False, True])
def test_stop_removes_the_registration_at_once(harness, is_registered_again):
    """Guards against an instance that is reckoned with until its lease has ended."""
    if is_registered_again:
        harness.members.register_again()
        harness.run(0.1)
    harness.members.stop()
    harness.run(0.1)
    assert harness.find_own_item() is None
    harness.run(1.0)
    assert harness.find_own_item() is None
