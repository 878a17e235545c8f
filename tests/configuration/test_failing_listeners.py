"""Guards against one failing part that keeps a configuration from coming into force.

An error in one component left the others at the former version, was noted as applied
and ended the watch of the store: all later versions were ignored (review/6).
"""

import pytest

from tests.support import advance_time, list_store_calls
from wagtailrill.core.log_events import LogName
from wagtailrill.store.const import WATCH_PAUSE_S
from wagtailrill.store.models import WatchPrefix

from .test_follower import FollowerHarness, make_item

# Failed listeners are tried again within this time.
RETRIED_WITHIN_S = 1.5


class FailingListener:
    """A listener that raises while `fails` is set, and records what it applied."""

    def __init__(self) -> None:
        self.fails = False
        self.applied: list[str] = []

    def configure(self, configuration) -> None:
        """Record a configuration, or fail."""
        if self.fails:
            raise OverflowError("cannot convert float infinity to integer")
        self.applied.append(configuration.declaration.deployment)


@pytest.fixture
def failing():
    return FailingListener()


@pytest.fixture
def harness(failing):
    harness = FollowerHarness(failing.configure)
    harness.ctx.invariants.raise_errors = False
    harness.reply_list(make_item(7, revision=7))
    return harness


def test_other_components_apply_a_version_that_one_fails_to_apply(harness, failing):
    """Against withdrawn keys that go on working and added routes that get 404."""
    failing.fails = True
    harness.reply_watch(make_item(8, revision=8))
    assert harness.get_status(route=8, key=8) == 200
    assert harness.get_status(route=8, key=7) == 401


def test_failed_component_is_tried_again_and_told_of(harness, failing):
    """Against a version that counts as applied although a component has not got it."""
    failing.fails = True
    harness.reply_watch(make_item(8, revision=8))
    status = harness.follower.get_status()
    assert (status.version, status.failed_listeners) == ("r7", ("failing",))
    (line,) = harness.find_log_fields(LogName.CALLBACK_FAILED)
    assert line["callback"] == "configure failing"
    assert "infinity" in line["error"]
    assert harness.ctx.guard.failures.total() == 1
    failing.fails = False
    advance_time(harness.ctx, RETRIED_WITHIN_S)
    status = harness.follower.get_status()
    assert (status.version, status.failed_listeners) == ("r8", ())
    assert failing.applied == ["r7", "r8"]


def test_watch_goes_on_after_a_failed_listener(harness, failing):
    """Against an instance that ignores all versions after one that failed."""
    failing.fails = True
    harness.reply_watch(make_item(8, revision=8))
    advance_time(harness.ctx, WATCH_PAUSE_S)
    harness.reply_watch(make_item(9, revision=9))
    assert harness.get_status(route=9, key=9) == 200
    failing.fails = False
    advance_time(harness.ctx, RETRIED_WITHIN_S)
    assert failing.applied == ["r7", "r9"]


def test_watch_goes_on_after_a_failed_decoder(harness, monkeypatch):
    """Against a version that is never read again as its first reading has failed."""
    decoder_class = type(harness.decoder)
    decode = decoder_class.decode

    def fail(self, item):
        raise ZeroDivisionError

    monkeypatch.setattr(decoder_class, "decode", fail)
    harness.reply_watch(make_item(8, revision=8))
    assert harness.get_status(route=7, key=7) == 200
    monkeypatch.setattr(decoder_class, "decode", decode)
    advance_time(harness.ctx, RETRIED_WITHIN_S)
    assert harness.get_status(route=8, key=8) == 200
    assert list_store_calls(harness.ctx, WatchPrefix)
