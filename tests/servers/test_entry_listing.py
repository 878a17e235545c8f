"""Tests that a list of entries which is kept current by changes stays complete."""

import json

from wagtailrill.platform.discovery import PlatformEntryDecoder
from wagtailrill.servers.const import LIST_VALID_S, READ_GAP_MAX_S
from wagtailrill.servers.entry_listing import EntryListing
from wagtailrill.store.models import Changes, Item, Listed, Removed
from wagtailrill.store.revision import build_revision

ERA = 1


def make_item(name, number, **fields):
    values = {"service": "box", "address": "10.0.0.1:80", "zone": "north", "slots": 2}
    values |= {"state": "ready", "seq": number, "born": 1}
    value = json.dumps(values | fields).encode()
    return Item(f"servers/{name}", value, build_revision(ERA, number))


def make_listing(*items):
    listing = EntryListing(PlatformEntryDecoder())
    listing.begin()
    listing.add_page(Listed(items, False, build_revision(ERA, 10)))
    listing.finish(100.0)
    listing.read_s = 100.0
    return listing


def make_changes(*events, number=20):
    return Changes(events, build_revision(ERA, number))


def test_changes_keep_the_list_current():
    """Guards against a server that joined, changed or left and is not seen."""
    listing = make_listing(make_item("a", 3), make_item("b", 4))
    listing.apply_changes(
        make_changes(
            make_item("c", 11),
            make_item("a", 12, state="draining"),
            Removed("servers/b", build_revision(ERA, 13)),
        )
    )
    assert listing.entries.keys() == {"a", "c"}
    assert listing.entries["a"].state.value == "leaving"
    assert listing.revision == build_revision(ERA, 20)


def test_entry_that_becomes_invalid_is_no_server_any_more():
    """Guards against a server that is used by its last valid entry for good."""
    listing = make_listing(make_item("a", 3))
    (invalid,) = listing.apply_changes(make_changes(make_item("a", 11, slots=0)))
    assert invalid.item.key == "servers/a"
    assert not listing.entries
    assert not listing.apply_changes(make_changes(make_item("a", 12, slots=0)))
    listing.apply_changes(make_changes(make_item("a", 13)))
    assert listing.entries.keys() == {"a"}


def test_list_is_read_again_as_a_whole():
    """Guards against asking for a history that the store has dropped or replaced."""
    listing = make_listing(make_item("a", 3))
    assert listing.may_be_updated(100.5, ERA)
    assert not listing.may_be_updated(100.0 + READ_GAP_MAX_S, ERA)
    assert not listing.may_be_updated(100.5, ERA + 1)
    listing.read_s = 100.0 + LIST_VALID_S
    assert not listing.may_be_updated(listing.read_s, ERA)


def test_list_that_broke_off_is_not_kept_current():
    """Guards against servers that vanish because a page of the list was not answered.

    The changes since the first page were applied to what had been read of the list.
    """
    listing = make_listing(make_item("a", 3), make_item("b", 4))
    listing.begin()
    listing.add_page(Listed((make_item("a", 3),), True, build_revision(ERA, 30)))
    assert not listing.may_be_updated(101.0, ERA)


def test_change_between_two_pages_is_not_lost():
    """Guards against changes to entries of a page that was read already."""
    listing = EntryListing(PlatformEntryDecoder())
    listing.begin()
    listing.add_page(Listed((make_item("a", 3),), True, build_revision(ERA, 10)))
    listing.add_page(Listed((make_item("b", 4),), False, build_revision(ERA, 15)))
    assert listing.revision == build_revision(ERA, 10)
