"""Tests the table of the announced backend servers."""

from expression import Error, Ok

from tests.support import (
    advance_time,
    list_logged_events,
    make_context,
    make_server_entry,
    make_table,
)
from wagtailrill.core.commands import CallBackend
from wagtailrill.servers.control import (
    CheckSameProcess,
    ControlError,
    ControlErrorKind,
    Reachable,
)
from wagtailrill.servers.models import ServerState


def test_server_restarted_under_the_same_name_gets_a_new_row():
    """Guards against a new process that inherits load, keys and warmth."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    before = table.rows["s-1"]
    table.update_entries(
        {"s-1": make_server_entry("s-1", start_id="s-1/2", revision=2)}
    )
    assert table.rows["s-1"] is not before


def test_lost_connection_makes_a_server_count_as_cold_until_its_next_entry():
    """Guards against full load on a restarted server before its new entry is read."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    row = table.rows["s-1"]
    table.doubt_warmth(row, "lost")
    table.update_entries({"s-1": make_server_entry("s-1")})
    assert table.is_cold(row)
    table.update_entries({"s-1": make_server_entry("s-1", revision=2)})
    assert not table.is_cold(row)


def test_answer_to_an_earlier_request_ends_the_doubt():
    """Guards against healthy servers that count as cold after each lost answer."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    row = table.rows["s-1"]
    earlier_s = ctx.now_s
    advance_time(ctx, 0.1)
    table.doubt_warmth(row, "lost")
    advance_time(ctx, 0.1)
    table.confirm_warmth(row, ctx.now_s)
    assert table.is_cold(row)  # the request was sent after the doubt
    table.confirm_warmth(row, earlier_s)
    assert not table.is_cold(row)
    assert "server_warmth_trusted" in list_logged_events(ctx)


def test_other_connections_that_stay_open_end_the_doubt():
    """Guards against healthy owners of keys that get no requests for a second.

    On trouble-2 of nrra-gateway 810 requests were refused as if their keys were moving.
    """
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    row = table.rows["s-1"]
    table.doubt_warmth(row, "lost")
    (call,) = [c for c in ctx.commands if isinstance(c, CallBackend)]
    assert isinstance(call.operation, CheckSameProcess)
    ctx.handle_backend_reply(call.call_id, Ok(Reachable()))
    assert not table.is_cold(row)


def test_doubt_stays_when_all_connections_were_lost():
    """Guards against full load on a server that has crashed and restarted."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    row = table.rows["s-1"]
    table.doubt_warmth(row, "lost")
    (call,) = [c for c in ctx.commands if isinstance(c, CallBackend)]
    error = Error(ControlError(ControlErrorKind.NO_ANSWER))
    ctx.handle_backend_reply(call.call_id, error)
    assert table.is_cold(row)


def test_doubt_expires_where_entries_never_change():
    """Guards against declared servers that stay cold forever after one crash."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    row = table.rows["s-1"]
    table.doubt_warmth(row, "lost")
    advance_time(ctx, 2.5)
    assert table.is_cold(row)
    table.doubt_warmth(row, "connect_failed")
    advance_time(ctx, 2.5)
    assert table.is_cold(row)
    advance_time(ctx, 1.0)
    assert not table.is_cold(row)


def test_cold_server_is_warm_after_its_cold_time():
    """Guards against servers that stay limited to a few requests forever."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1", cold_left_s=3.0))
    row = table.rows["s-1"]
    assert table.is_cold(row)
    advance_time(ctx, 3.1)
    assert not table.is_cold(row)


def test_leaving_server_takes_no_work():
    """Guards against requests to a server that is about to stop."""
    table = make_table(
        make_context(), make_server_entry("s-1", state=ServerState.LEAVING)
    )
    assert not table.accepts_work(table.rows["s-1"])


def test_address_of_a_removed_server_is_kept_for_some_time():
    """Guards against keys that cannot be released by a server without an entry."""
    ctx = make_context()
    table = make_table(ctx, make_server_entry("s-1"))
    table.update_entries({})
    assert table.find_address("s-1") == "127.0.0.1:9"
    advance_time(ctx, 20.0)
    assert table.find_address("s-1") is None
