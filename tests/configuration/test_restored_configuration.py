"""Guards the configuration in force against a store that has been restored."""

import json

import attrs
import pytest
from expression import Ok

from tests.runs.declaration import DECLARATION
from tests.store_harness import StoreHarness
from wagtailrill.configuration.follower import ConfigurationFollower
from wagtailrill.declaration.models import DataCentreState
from wagtailrill.platform.configuration import PlatformConfigurationDecoder
from wagtailrill.store.const import REWRITE_GRACE_S


@attrs.frozen
class VersionDecoder(PlatformConfigurationDecoder):
    """Decodes declarations of which only the version is stored."""

    def decode(self, item):
        version = json.loads(item.value)
        number = None if isinstance(version, str) else version
        return Ok(
            attrs.evolve(DECLARATION, deployment=str(version), version_number=number)
        )


class FollowerHarness(StoreHarness):
    """The configuration as one instance follows it."""

    def __init__(self):
        super().__init__()
        self.applied = []
        self.follower = ConfigurationFollower(self.ctx, VersionDecoder({}))
        self.follower.add_listener("record", self.record)

    def start(self, version):
        self.write(version)
        self.follower.start()
        self.run(3.0)

    def record(self, configuration):
        self.applied.append(configuration.declaration.deployment)

    def write(self, version):
        self.model.put_item("op/config", json.dumps(version).encode())

    def list_closed(self):
        data_centres = self.follower.current.declaration.data_centres
        return {d.name for d in data_centres if d.state is DataCentreState.OUT}


@pytest.fixture
def harness():
    return FollowerHarness()


@pytest.mark.parametrize("versions", [(9, 12), ("old", "new")])
def test_configuration_of_the_copy_is_not_applied_meanwhile(harness, versions):
    """Guards against an older configuration that comes back until the next write."""
    older, newer = versions
    harness.start(older)
    harness.write(newer)
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(REWRITE_GRACE_S - 0.5)
    harness.write(newer)
    harness.run(3.0)
    assert set(harness.applied[1:]) == {str(newer)}


def test_lower_version_is_never_applied(harness):
    """Guards against a process that regresses if nothing is written again."""
    harness.start(9)
    harness.write(12)
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(10.0)
    assert harness.applied == ["9", "12"]


def test_configuration_without_a_version_follows_the_store_in_the_end(harness):
    """Guards against a configuration that differs from the store for good."""
    harness.start("old")
    harness.write("new")
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(10.0)
    assert harness.applied == ["old", "new", "old"]


@pytest.mark.parametrize("versions", [(9, 12), ("old", "new")])
def test_newer_configuration_of_a_lower_revision_is_applied_at_once(harness, versions):
    """Guards against a confirmed change that is never read."""
    older, newer = versions
    harness.start(older)
    for _ in range(5):
        harness.model.put_item("other", b"")
    harness.write(older)
    harness.run(1.0)
    harness.restore(2.0)
    harness.write(newer)
    harness.run(0.5)
    assert harness.applied[-1] == str(newer)


def test_closed_data_centre_stays_closed_until_it_is_written_again(harness):
    """Guards against new work for a data centre whose closing the store has lost."""
    harness.start(9)
    harness.model.put_item("op/evacuate/north", b"")
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(REWRITE_GRACE_S - 0.5)
    closed_in_gap = harness.list_closed()
    harness.run(1.0)
    assert (closed_in_gap, harness.list_closed()) == ({"north"}, set())


def test_closed_data_centre_stays_closed_while_the_store_is_away_again(harness):
    """Guards against new work for it if an outage keeps the operator from writing."""
    harness.start(9)
    harness.model.put_item("op/evacuate/north", b"")
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(0.5)
    harness.is_reachable = False
    harness.run(REWRITE_GRACE_S + 1.0)
    closed_in_outage = harness.list_closed()
    harness.is_reachable = True
    harness.run(1.0)
    assert (closed_in_outage, harness.list_closed()) == ({"north"}, set())


def test_removal_after_the_restore_opens_a_data_centre_at_once(harness):
    """Guards against a data centre that stays closed after it was written again."""
    harness.start(9)
    harness.model.put_item("op/evacuate/north", b"")
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(0.5)
    harness.model.put_item("op/evacuate/north", b"")
    harness.run(0.5)
    harness.model.remove_item("op/evacuate/north")
    harness.run(0.5)
    assert harness.list_closed() == set()


def test_opened_data_centre_is_not_closed_by_the_copy(harness):
    """Guards against a data centre without work after its closing was taken back."""
    harness.model.put_item("op/evacuate/north", b"")
    harness.start(9)
    harness.model.remove_item("op/evacuate/north")
    harness.run(1.0)
    harness.restore(2.0)
    harness.run(0.5)
    assert harness.list_closed() == set()


def test_data_centre_that_is_closed_after_the_restore_closes_at_once(harness):
    """Guards against a closing that waits like those of the copy."""
    harness.model.put_item("op/evacuate/north", b"")
    harness.start(9)
    harness.model.remove_item("op/evacuate/north")
    harness.run(1.0)
    harness.restore(2.0)
    harness.model.put_item("op/evacuate/north", b"")
    harness.run(0.5)
    assert harness.list_closed() == {"north"}
