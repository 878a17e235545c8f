"""Guards copies of a prefix against cut watches and forgotten history."""

from expression import Error, Ok

from tests.support import advance, logged, make_context, store_calls
from wagtailrill.store.mirror import MirrorSettings, PrefixMirror
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


class Bench:
    """A mirror whose store calls the test answers."""

    def __init__(self):
        self.ctx = make_context()
        self.changes = []
        self.mirror = PrefixMirror(
            self.ctx, MirrorSettings("op/"), lambda keys: self.changes.append(keys)
        )
        self.mirror.start()

    def reply(self, cls, result):
        """Answer the latest call of a kind."""
        call = store_calls(self.ctx, cls)[-1]
        self.ctx.commands.clear()
        self.ctx.handle_store_reply(call.call_id, result)
        return call.operation


def item(key, revision):
    return Item(key, b"v%d" % revision, revision)


def listed(*items, revision=10, more=False):
    return Ok(Listed(tuple(items), more, revision))


def failed(kind):
    return Error(StoreError(kind))


def test_watch_continues_from_the_list():
    """Guards against changes between the list and the watch."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 3), revision=10))
    operation = bench.reply(WatchPrefix, Ok(Changes((item("op/a", 12),), 12)))
    assert operation.after_revision == 10
    assert bench.mirror.items["op/a"].revision == 12


def test_pages_watch_from_the_revision_of_the_first():
    """Guards against changes that happen while later pages are read."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 3), revision=10, more=True))
    bench.reply(ListPrefix, listed(item("op/b", 4), revision=15))
    assert bench.reply(WatchPrefix, Ok(Changes((), 15))).after_revision == 10
    assert set(bench.mirror.items) == {"op/a", "op/b"}


def test_cut_watch_is_followed_by_a_list_at_once():
    """Guards against changes that a cut watch has not told of."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 3)))
    bench.reply(WatchPrefix, failed(StoreErrorKind.NO_ANSWER))
    bench.reply(ListPrefix, listed(item("op/a", 3), item("op/b", 11), revision=11))
    assert "op/b" in bench.mirror.items
    assert bench.changes[-1] == {"op/b"}


def test_forgotten_history_is_read_anew():
    """Guards against a copy that stays behind when the store forgets its history."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 3), item("op/b", 4)))
    bench.reply(WatchPrefix, failed(StoreErrorKind.COMPACTED))
    bench.reply(ListPrefix, listed(item("op/b", 4), revision=40))
    assert set(bench.mirror.items) == {"op/b"}


def test_contents_stay_during_an_outage_and_both_ends_are_logged():
    """Guards against an instance that forgets all when the store is away."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 3)))
    bench.reply(WatchPrefix, failed(StoreErrorKind.REFUSED))
    lost = logged(bench.ctx)
    bench.reply(ListPrefix, failed(StoreErrorKind.REFUSED))
    assert set(bench.mirror.items) == {"op/a"}
    advance(bench.ctx, 1.0)
    bench.reply(ListPrefix, listed(item("op/a", 3)))
    assert "store_watch_lost" in lost
    assert "store_watch_regained" in logged(bench.ctx)


def test_older_event_changes_nothing():
    """Guards against a change that comes late and undoes a newer one."""
    bench = Bench()
    bench.reply(ListPrefix, listed(item("op/a", 9)))
    bench.reply(WatchPrefix, Ok(Changes((item("op/a", 5), Removed("op/a", 6)), 10)))
    assert bench.mirror.items["op/a"].revision == 9
