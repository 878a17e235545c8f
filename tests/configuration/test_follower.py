"""Tests which configuration is in force, and that routes and keys come from it."""

import json

import pytest
from expression import Error, Ok

from tests.support import advance_time, list_store_calls, make_context
from wagtailrill.configuration.follower import ConfigurationFollower
from wagtailrill.configuration.listeners import ConfigurationListener
from wagtailrill.core.commands import LogEvent, RecordConfigurationDelay
from wagtailrill.core.log_events import LogName
from wagtailrill.core.refusals import Refusal
from wagtailrill.core.request_models import CallerRequest
from wagtailrill.organisations.keys import OpaqueKeyFormat, TenantKeys
from wagtailrill.platform.configuration import PlatformConfigurationDecoder
from wagtailrill.requests.checks import ArrivalChecks
from wagtailrill.store.const import WATCH_PAUSE_S
from wagtailrill.store.models import (
    Changes,
    Item,
    Listed,
    ListPrefix,
    StoreError,
    StoreErrorKind,
    WatchPrefix,
)


def make_item(number: int, revision: int, **changes: object) -> Item:
    """Return configuration `rN` with the path `/N/` and the key `kN`."""
    fields = {
        "version": f"r{number}",
        "routes": {
            "columns": ["name", "host", "prefix", "kind", "timeout", "service"],
            "rows": [["r", "a.example", f"/{number}/", "safe", "1s", "box"]],
        },
        "services": {"columns": ["name"], "rows": [["box"]]},
        "tenants": {"columns": ["name", "api_keys"], "rows": [["t", [f"k{number}"]]]},
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 67108864,
            "header_timeout": "3000ms",
            "idle_timeout": "15000ms",
        },
    }
    value = json.dumps(fields | changes).encode()
    return Item("op/config", value, revision)


class FollowerHarness:
    """A follower and the checks that it configures; the test answers store calls."""

    def __init__(self, *earlier_listeners: ConfigurationListener) -> None:
        self.ctx = make_context()
        self.log_lines: list[LogEvent] = []
        self.decoder = PlatformConfigurationDecoder({"north": "sea"})
        self.follower = ConfigurationFollower(self.ctx, self.decoder)
        self.checks = ArrivalChecks(
            self.ctx, TenantKeys(OpaqueKeyFormat()), lambda name: False, False
        )
        for listener in earlier_listeners:
            self.follower.add_listener("failing", listener)
        self.follower.add_listener("checks", self.checks.configure)
        self.follower.start()

    def reply_list(self, *items: Item, has_more: bool = False) -> None:
        """Answer a list of the operator's keys."""
        self._reply(ListPrefix, Ok(Listed(items, has_more, 10)))

    def reply_watch(self, *items: Item) -> None:
        """Answer a watch with changes."""
        self._reply(WatchPrefix, Ok(Changes(items, max(i.revision for i in items))))

    def fail_watch(self) -> None:
        """Answer a watch with an error, after which the keys are listed again."""
        self._reply(WatchPrefix, Error(StoreError(StoreErrorKind.NO_ANSWER)))

    def get_status(self, route: int, key: int) -> int:
        """Return 200 if a request passes the checks, or the status of its refusal."""
        req = CallerRequest(
            1,
            "GET",
            f"/{route}/x",
            "",
            (),
            b"",
            host="a.example",
            credential=b"k%d" % key,
        )
        result = self.checks.check_request(req)
        return result.status if isinstance(result, Refusal) else 200

    def _reply(self, cls, result) -> None:
        call = list_store_calls(self.ctx, cls)[-1]
        self._drain()
        self.ctx.handle_store_reply(call.call_id, result)

    def _drain(self) -> None:
        self.log_lines += [c for c in self.ctx.commands if isinstance(c, LogEvent)]
        self.ctx.commands.clear()

    def find_log_fields(self, name: LogName) -> list[dict[str, object]]:
        """Return the fields of the log lines of an event."""
        lines = [*self.log_lines, *self.ctx.commands]
        return [
            dict(line.fields)
            for line in lines
            if isinstance(line, LogEvent) and line.event == name
        ]


def test_routes_and_keys_come_from_the_configuration_that_was_applied_last():
    """Guards against keys of one configuration beside the routes of another.

    The table of keys kept a later version, while the routes were replaced. The follower
    alone decides what is in force.
    """
    harness = FollowerHarness()
    harness.reply_list(make_item(7, revision=7))
    later = harness.follower.current
    harness.reply_watch(make_item(8, revision=8))
    assert harness.get_status(route=8, key=8) == 200
    harness.checks.configure(later)
    assert harness.get_status(route=7, key=7) == 200
    assert harness.get_status(route=7, key=8) == 401


def test_older_configuration_is_not_applied():
    """Guards against a withdrawn key that works again after a list of older state."""
    harness = FollowerHarness()
    harness.reply_list(make_item(8, revision=8))
    harness.fail_watch()
    harness.reply_list(make_item(7, revision=7))
    assert harness.get_status(route=8, key=8) == 200
    assert harness.get_status(route=7, key=8) == 404
    assert harness.get_status(route=8, key=7) == 401


def test_delay_of_a_configuration_counts_from_the_last_confirmation():
    """Guards against a delay that counts from when a list was asked for."""
    harness = FollowerHarness()
    harness.reply_list(make_item(7, revision=7))
    advance_time(harness.ctx, 0.75)
    harness.fail_watch()
    advance_time(harness.ctx, 0.25)
    harness.reply_list(make_item(8, revision=8))
    first, second = harness.find_log_fields(LogName.CONFIGURATION_APPLIED)
    assert "delay_max_s" not in first
    assert second["delay_max_s"] == 1.0
    assert RecordConfigurationDelay(1.0) in harness.ctx.commands


ROUTE_COLUMNS = [
    "name",
    "host",
    "prefix",
    "kind",
    "timeout",
    "service",
    "traffic_split",
]


def make_routes(*rows: list[object]) -> dict[str, object]:
    return {"columns": ROUTE_COLUMNS, "rows": list(rows)}


@pytest.mark.parametrize(
    "routes",
    [
        make_routes(["r", "a.example", "/9/", "safe", "1s", "missing"]),
        make_routes(
            [
                *("r", "a.example", "/9/", "safe", "1s", "box"),
                [{"service": "box", "weight": 1}, {"service": "missing", "weight": 1}],
            ]
        ),
    ],
)
def test_invalid_configuration_keeps_the_one_in_force_and_is_logged(routes):
    """Guards against 404 by a configuration whose route or split names no service.

    The line must name the version, so that a refusal can be compared with it.
    """
    harness = FollowerHarness()
    harness.reply_list(make_item(8, revision=8))
    harness.reply_watch(make_item(9, revision=9, routes=routes))
    assert harness.get_status(route=8, key=8) == 200
    assert harness.find_log_fields(LogName.CONFIGURATION_INVALID) == [
        {
            "revision": 9,
            "version": "r9",
            "kept": "r8",
            "reason": "route r names unknown services",
        }
    ]


@pytest.mark.parametrize(
    "items",
    [
        (),
        (Item("op/config", b"{", 9),),
        (make_item(9, 9, limits={}),),
        (Item("op/evacuate/north", b"", 9),),
    ],
)
def test_instance_without_a_configuration_answers_503(items):
    """Guards against 401 or 404 by an instance that knows no configuration yet."""
    harness = FollowerHarness()
    assert harness.get_status(route=1, key=1) == 503
    assert not list_store_calls(harness.ctx, ListPrefix)[-1].operation.allow_stale
    harness.reply_list(*items)
    assert harness.get_status(route=1, key=1) == 503
    assert harness.follower.get_status() is None


def test_pages_of_a_list_give_one_configuration():
    """Guards against a configuration that is applied before all pages are read.

    The pages are read at different revisions; the watch begins at the first one's.
    """
    harness = FollowerHarness()
    harness.reply_list(make_item(8, revision=8), has_more=True)
    assert harness.follower.current is None
    harness.reply_list(Item("op/evacuate/north", b"", 12))
    assert harness.follower.current.closed_data_centres == {"north"}
    assert harness.get_status(route=8, key=8) == 200
    harness.reply_watch(make_item(9, revision=11))
    assert harness.get_status(route=9, key=9) == 200
    assert harness.follower.current.closed_data_centres == {"north"}


def test_silent_watch_ends_within_the_bound_of_a_configuration():
    """Guards against an old configuration that stays in force for a whole long watch.

    On nrra-gateway, day keys-revoked-in-trouble with seed 52, the watches that began
    6 ms after the store had dropped its history stayed silent for 8 s, and new keys got
    401. The changes came when the watches ended.
    """
    harness = FollowerHarness()
    harness.reply_list(make_item(8, revision=8))
    (call,) = list_store_calls(harness.ctx, WatchPrefix)
    assert call.operation.wait_s <= 1.0
    harness.reply_watch(make_item(9, revision=9), make_item(10, revision=11))
    assert harness.get_status(route=10, key=10) == 200


def test_unknown_word_is_logged_once_and_listed():
    """Guards against a word without effect that no line and no status shows."""
    harness = FollowerHarness()
    columns = ["name", "host", "prefix", "kind", "timeout", "service"]
    rows = [["r", "a.example", "/7/", "stream", "1s", "box"]]
    routes = {"columns": columns, "rows": rows}
    harness.reply_list(make_item(7, 7, routes=routes))
    harness.reply_watch(make_item(8, 8, routes=routes))
    (line,) = harness.find_log_fields(LogName.CONFIGURATION_FINDING)
    assert (line["version"], line["path"]) == ("r7", "$.routes[r].kind")
    assert len(harness.follower.list_findings()) == 1
    advance_time(harness.ctx, WATCH_PAUSE_S)
    harness.reply_watch(make_item(9, 9))
    assert not harness.follower.list_findings()
