"""Guards mirrors of a prefix against failed watches and compacted history."""

import pytest
from expression import Error, Ok

from tests.support import (
    advance_time,
    list_logged_events,
    list_store_calls,
    make_context,
)
from wagtailrill.store.const import (
    BACKOFF_MAX_S,
    CHANGE_ARRIVES_WITHIN_S,
    CONFIRMATION_GAP_MAX_S,
    CONFIRMATIONS_TRUSTED_AFTER_S,
    CONFIRMED_WATCH_WAIT_S,
    RETRY_WAIT_MAX_S,
    TURNED_AWAY_AFTER_S,
    TURNED_AWAY_FAILURES,
    WATCH_WAIT_MAX_S,
)
from wagtailrill.store.mirror import PrefixMirror
from wagtailrill.store.mirror_models import MirrorSettings
from wagtailrill.store.models import (
    Changes,
    Item,
    Listed,
    ListPrefix,
    Removed,
    StoreError,
    StoreErrorKind,
    WatchPrefix,
)

NO_ANSWER = Error(StoreError(StoreErrorKind.NO_ANSWER))


class MirrorHarness:
    """A mirror whose store calls are answered by the test."""

    def __init__(self):
        self.ctx = make_context()
        self.changed_keys = []
        self.mirror = PrefixMirror(
            self.ctx, MirrorSettings("op/"), lambda keys: self.changed_keys.append(keys)
        )
        self.mirror.start()

    def reply(self, cls, result):
        """Reply to the latest call with an operation of a class."""
        return self.reply_in_era(0, cls, result)

    def reply_in_era(self, era, cls, result):
        """Reply to the latest call in an era of the store."""
        call = list_store_calls(self.ctx, cls)[-1]
        self.ctx.commands.clear()
        self.ctx.handle_store_reply(call.call_id, result, era)
        return call.operation


def make_item(key, revision):
    return Item(key, b"v%d" % revision, revision)


def make_page(*items, revision=10, more=False):
    return Ok(Listed(tuple(items), more, revision))


def make_error(kind):
    return Error(StoreError(kind))


def test_watch_continues_from_the_revision_of_the_list():
    """Guards against missing changes between the list and the watch."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 3), revision=10))
    operation = harness.reply(WatchPrefix, Ok(Changes((make_item("op/a", 12),), 12)))
    assert operation.after_revision == 10
    assert harness.mirror.items["op/a"].revision == 12


def test_watch_continues_from_the_revision_of_the_first_page():
    """Guards against missing changes made while later pages are read."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 3), revision=10, more=True))
    harness.reply(ListPrefix, make_page(make_item("op/b", 4), revision=15))
    assert harness.reply(WatchPrefix, Ok(Changes((), 15))).after_revision == 10
    assert set(harness.mirror.items) == {"op/a", "op/b"}


def test_failed_watch_is_followed_by_a_list_at_once():
    """Guards against missing changes that a failed watch has not returned."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 3)))
    harness.reply(WatchPrefix, make_error(StoreErrorKind.NO_ANSWER))
    harness.reply(
        ListPrefix, make_page(make_item("op/a", 3), make_item("op/b", 11), revision=11)
    )
    assert "op/b" in harness.mirror.items
    assert harness.changed_keys[-1] == {"op/b"}


def test_compacted_history_is_followed_by_a_list():
    """Guards against an outdated mirror after the store has compacted its history."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 3), make_item("op/b", 4)))
    harness.reply(WatchPrefix, make_error(StoreErrorKind.COMPACTED))
    harness.reply(ListPrefix, make_page(make_item("op/b", 4), revision=40))
    assert set(harness.mirror.items) == {"op/b"}


def test_items_are_kept_during_an_outage_whose_start_and_end_are_logged():
    """Guards against an instance that loses its data when the store is unavailable."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 3)))
    harness.reply(WatchPrefix, make_error(StoreErrorKind.REFUSED))
    lines_during_outage = list_logged_events(harness.ctx)
    harness.reply(ListPrefix, make_error(StoreErrorKind.REFUSED))
    assert set(harness.mirror.items) == {"op/a"}
    advance_time(harness.ctx, 1.0)
    harness.reply(ListPrefix, make_page(make_item("op/a", 3)))
    assert "store_watch_lost" in lines_during_outage
    assert "store_watch_regained" in list_logged_events(harness.ctx)


def test_older_event_changes_nothing():
    """Guards against a late change that overwrites a newer one."""
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 9)))
    harness.reply(
        WatchPrefix, Ok(Changes((make_item("op/a", 5), Removed("op/a", 6)), 10))
    )
    assert harness.mirror.items["op/a"].revision == 9


def test_restored_store_is_listed_again_without_waiting_for_the_watch():
    """Guards against a mirror that keeps changes which a restored store has lost."""
    harness = MirrorHarness()
    harness.reply_in_era(1, ListPrefix, make_page(make_item("op/a", 30), revision=40))
    pending = list_store_calls(harness.ctx, WatchPrefix)[-1]
    harness.ctx.handle_store_reply(0, make_error(StoreErrorKind.REFUSED), 2)
    harness.ctx.handle_store_reply(
        pending.call_id, Ok(Changes((make_item("op/b", 41),), 41)), 1
    )
    harness.reply_in_era(2, ListPrefix, make_page(make_item("op/a", 20), revision=35))
    harness.reply_in_era(2, WatchPrefix, Ok(Changes((make_item("op/a", 36),), 36)))
    assert {k: i.value for k, i in harness.mirror.items.items()} == {"op/a": b"v36"}


def start_watching(harness, revision=10):
    harness.reply(ListPrefix, make_page(make_item("op/a", 3), revision=revision))


def confirm_for(harness, seconds, revision=3):
    """Confirm the mirror's state every half second."""
    for _ in range(round(seconds / 0.5)):
        harness.mirror.confirm(revision, 0.2)
        advance_time(harness.ctx, 0.5)


def get_last_watch(harness):
    return list_store_calls(harness.ctx, WatchPrefix)[-1].operation


def test_confirmed_mirror_asks_the_store_rarely():
    """Guards against store calls that grow with the number of instances.

    Each instance made 1.5 watches a second, so that a silent one is noticed in time. On
    pcb-gate-large the price of calls was half of what the requests were worth.
    """
    harness = MirrorHarness()
    start_watching(harness)
    confirm_for(harness, CONFIRMATIONS_TRUSTED_AFTER_S)
    harness.reply(WatchPrefix, Ok(Changes((), 11)))
    assert get_last_watch(harness).wait_s == CONFIRMED_WATCH_WAIT_S
    confirm_for(harness, 15.0)
    assert list_store_calls(harness.ctx, ListPrefix) == []


def test_change_that_a_silent_watch_holds_back_is_listed():
    """Guards against a change that is not in force, as the long watch stays silent."""
    harness = MirrorHarness()
    start_watching(harness)
    confirm_for(harness, CONFIRMATIONS_TRUSTED_AFTER_S)
    harness.reply(WatchPrefix, Ok(Changes((), 11)))
    harness.mirror.confirm(14, 0.2)
    advance_time(harness.ctx, CHANGE_ARRIVES_WITHIN_S)
    assert len(list_store_calls(harness.ctx, ListPrefix)) == 1
    harness.reply(ListPrefix, make_page(make_item("op/a", 14), revision=15))
    assert harness.mirror.items["op/a"].revision == 14


def test_change_that_the_watch_returns_meanwhile_is_not_listed():
    """Guards against a list for each change that another instance knows first."""
    harness = MirrorHarness()
    start_watching(harness)
    harness.mirror.confirm(14, 0.2)
    harness.reply(WatchPrefix, Ok(Changes((make_item("op/a", 14),), 14)))
    advance_time(harness.ctx, 2 * CHANGE_ARRIVES_WITHIN_S)
    assert list_store_calls(harness.ctx, ListPrefix) == []


def test_mirror_asks_the_store_again_when_nobody_confirms_it():
    """Guards against an old state while the instance that read the store is lost."""
    harness = MirrorHarness()
    start_watching(harness)
    confirm_for(harness, CONFIRMATIONS_TRUSTED_AFTER_S)
    harness.reply(WatchPrefix, Ok(Changes((), 11)))
    advance_time(harness.ctx, CONFIRMATION_GAP_MAX_S)
    assert len(list_store_calls(harness.ctx, ListPrefix)) == 1
    harness.reply(ListPrefix, make_page(make_item("op/a", 3), revision=12))
    assert get_last_watch(harness).wait_s == WATCH_WAIT_MAX_S


@pytest.mark.parametrize("age_s", [WATCH_WAIT_MAX_S + 0.1, float("inf")])
def test_old_confirmation_does_not_count(age_s):
    """Guards against relying on an instance that cannot reach the store itself."""
    harness = MirrorHarness()
    start_watching(harness)
    for _ in range(20):
        harness.mirror.confirm(3, age_s)
        advance_time(harness.ctx, 0.5)
    harness.reply(WatchPrefix, Ok(Changes((), 11)))
    assert get_last_watch(harness).wait_s == WATCH_WAIT_MAX_S


def test_confirmed_time_is_that_of_the_other_instance():
    """Guards against a configuration that counts as newer than anybody knows it is."""
    harness = MirrorHarness()
    start_watching(harness)
    listed_s = harness.mirror.confirmed_s
    advance_time(harness.ctx, 1.0)
    harness.mirror.confirm(3, 0.4)
    assert harness.mirror.confirmed_s == pytest.approx(listed_s + 0.6)
    harness.mirror.confirm(14, 0.0)
    assert harness.mirror.confirmed_s == pytest.approx(listed_s + 0.6)


def test_removed_key_is_a_change_for_those_who_are_told():
    """Guards against a removal that a silent watch holds back at another instance."""
    harness = MirrorHarness()
    start_watching(harness)
    harness.reply(WatchPrefix, Ok(Changes((Removed("op/a", 12),), 13)))
    assert harness.mirror.last_change_revision == 12


def test_change_in_the_pause_between_two_watches_is_not_listed():
    """Guards against a list by each instance for changes in quick succession."""
    harness = MirrorHarness()
    harness.mirror.watch_pause_s = 1.0
    start_watching(harness)
    harness.reply(WatchPrefix, Ok(Changes((make_item("op/a", 14),), 14)))
    harness.mirror.confirm(16, 0.2)
    advance_time(harness.ctx, 2 * CHANGE_ARRIVES_WITHIN_S)
    assert list_store_calls(harness.ctx, ListPrefix) == []


def test_failed_list_of_a_reader_waits_for_no_budget():
    """Guards against a fleet that waits for seconds for a list of its reader."""
    harness = MirrorHarness()
    harness.mirror.leads = True
    budget = harness.ctx.store_budget
    budget.fleet_size = 80
    while budget.draw_delay_s() < RETRY_WAIT_MAX_S / 2:
        pass
    harness.reply(ListPrefix, NO_ANSWER)
    advance_time(harness.ctx, BACKOFF_MAX_S)
    assert list_store_calls(harness.ctx, ListPrefix)


@pytest.mark.parametrize("is_served", [False, True])
def test_change_that_is_too_large_to_be_relayed_is_listed_after_an_outage(is_served):
    """Guards against a wait for a relay that passes nothing on.

    An instance that the store still refuses does not ask it with each confirmation.
    """
    harness = MirrorHarness()
    harness.reply(ListPrefix, make_page(make_item("op/a", 9)))
    harness.mirror.confirm(9, 0.0, is_relaying=True)
    budget = harness.ctx.store_budget
    budget.is_probed = True
    for _ in range(TURNED_AWAY_FAILURES):
        budget.record(NO_ANSWER)
    advance_time(harness.ctx, TURNED_AWAY_AFTER_S)
    harness.reply(WatchPrefix, NO_ANSWER)
    advance_time(harness.ctx, CONFIRMATION_GAP_MAX_S)
    assert not list_store_calls(harness.ctx, ListPrefix)
    if is_served:
        budget.record(make_page())
    harness.mirror.confirm(12, 0.0)
    advance_time(harness.ctx, CHANGE_ARRIVES_WITHIN_S)
    assert bool(list_store_calls(harness.ctx, ListPrefix)) == is_served
