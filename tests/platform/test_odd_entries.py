"""Draws values for whole entries that others write: each is used safely or refused.

An entry that is accepted has to survive all later uses: messages to other instances,
the decisions of a dispatcher and the headers of requests.
"""

import json

import pytest
from hypothesis import given, settings, strategies as st

from tests.support import make_context, make_table
from wagtailrill.claims.models import Claim
from wagtailrill.core.request_models import BackendRequest
from wagtailrill.fleet.models import read_holder, read_member
from wagtailrill.gateway.header_dialect import HeaderBackendDialect
from wagtailrill.keys.models import KeyTable
from wagtailrill.peer.registry import MessageRegistry
from wagtailrill.placement import messages as placement_messages
from wagtailrill.placement.dispatcher import Dispatcher, DispatcherParts
from wagtailrill.placement.messages import (
    NO_KEY,
    PlaceAnswer,
    PlaceEnd,
    PlaceRequest,
    PlaceVerdict,
)
from wagtailrill.platform.dialect import HEADER_NAMES
from wagtailrill.platform.discovery import PlatformEntryDecoder
from wagtailrill.servers import messages as server_messages
from wagtailrill.servers.messages import EntriesAnswer
from wagtailrill.store.models import Item

from .test_decoders import ENTRY

DEEP_LIST = "[" * 5_000 + "]" * 5_000
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**70), 2**70),
    st.sampled_from([2**31, 2**32, 2**63, 2**64, 10**400, -1, 0]),
    st.floats(allow_nan=True, allow_infinity=True),
    st.text(max_size=30),
    st.sampled_from(
        [
            *("10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:" + "9" * 5_000),
            *(" 10.0.0.1 \r\nx: 1:80", "nowhere", "[::1]:80", "10.0.0.1:²"),
            *("9" * 5_000 + "s", "1e400s", "draining", "\ud800", "x" * 5_000),
        ]
    ),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
SERVER_IDS = st.one_of(
    st.sampled_from(["i-1", "", "i-1\r\nx: 1", "x" * 2_000]), st.text(max_size=10)
)


def make_registry() -> MessageRegistry:
    registry = MessageRegistry()
    server_messages.register_messages(registry)
    placement_messages.register_messages(registry)
    return registry


REGISTRY = make_registry()


def relay(message):
    """Return a message as another instance receives it."""
    return REGISTRY.decode_message(*REGISTRY.encode_message(message))


def decode(value: bytes, server_id: str = "i-1"):
    return PlatformEntryDecoder().decode(Item("servers/" + server_id, value, 9))


def check_use(entry) -> None:
    """Relay an entry over two instances, place a request by it and build its headers.

    Raise the error of any of these uses.
    """
    for _ in range(2):
        answer = EntriesAnswer(1, 1, 1, True, 0.0, (entry,), ())
        (relayed,) = relay(answer).entries
        assert relayed == entry
        entry = relayed
    ctx = make_context()
    table = make_table(ctx, entry)
    table.rows_by_service = {entry.service: tuple(table.rows.values())}
    dispatcher = Dispatcher(
        DispatcherParts(ctx, table, entry.service, lambda _: "", lambda _: 0.0)
    )
    answers: list[PlaceAnswer] = []
    for number in (1, 2):
        request = PlaceRequest(
            number, entry.service, NO_KEY, 1, 0.0, 0.4, 1.5, (), False
        )
        dispatcher.place_request(relay(request), "i-1", "north", answers.append)
    dispatcher.tick()
    for answer in answers:
        relay(answer)
    headers = HeaderBackendDialect(HEADER_NAMES).build_request_headers(
        BackendRequest(1, 1, entry.name, "GET", "/", (), b"", 0.0, 1.0)
    )
    assert not any(b"\n" in value or b"\r" in value for _, value in headers)


@settings(max_examples=300, deadline=None)
@given(
    st.dictionaries(st.sampled_from([*ENTRY, "other"]), ODD_VALUES, max_size=3),
    SERVER_IDS,
)
def test_odd_entry_is_refused_or_used_safely(changes, server_id):
    """Guards against one entry that stops the instances which read the list.

    Slots of 2^32 kept the reader of the list from answering all other instances; slots
    of 400 digits raised at each decision that met them; line breaks of an address got
    into the headers of requests.
    """
    decoded = decode(json.dumps(ENTRY | changes).encode(), server_id)
    if decoded.is_ok():
        check_use(decoded.ok)
    else:
        assert decoded.error


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 2**32},
        {"slots": 10**400},
        {"slots": float("inf")},
        {"seq": 2**64},
        {"born": 2**64},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:²"},
        {"address": "10.0.0.1\r\nx: 1:80"},
        {"zone": "north\r\nx: 1"},
        {"service": "x" * 100_000},
    ],
)
def test_odd_value_costs_its_entry_alone(changes):
    """Guards against values that no peer message or header can carry."""
    assert decode(json.dumps(ENTRY | changes).encode()).is_error()


@pytest.mark.parametrize("name", ["born", "seq"])
@pytest.mark.parametrize("odd", [None, "1", 1.5, True, [], -1])
def test_entry_without_start_or_number_names_no_server(name, odd):
    """Guards against an entry of another writer that counts as a start (review/2).

    It was taken whatever was known, and the keys of the server that was up went to
    others when its next entry came.
    """
    without = {key: value for key, value in ENTRY.items() if key != name}
    assert decode(json.dumps(without).encode()).is_error()
    assert decode(json.dumps(ENTRY | {name: odd}).encode()).is_error()


@pytest.mark.parametrize("server_id", ["", "i-1\r\nx: 1", "x" * 2_000])
def test_odd_id_costs_its_entry_alone(server_id):
    """Guards against an id that ends the header which names the server."""
    assert decode(json.dumps(ENTRY).encode(), server_id).is_error()


@pytest.mark.parametrize("read", [read_member, read_holder])
@pytest.mark.parametrize(
    "value",
    [
        DEEP_LIST,
        json.dumps({"instance": "i-2", "incarnation": 2**64}),
        '{"instance":"i-2","incarnation":1e999,"address":"a:1","data_centre":"n"}',
        '{"instance":"i-2","incarnation":1,"era":1e999}',
        '{"instance":["i-2"],"incarnation":1,"address":"10.0.0.1:1","data_centre":"n"}',
    ],
)
def test_odd_entry_of_the_fleet_is_left_out(read, value):
    """Guards against a stored member or duty that ends the following of the fleet.

    Deep nesting and infinite numbers raised errors that nobody caught.
    """
    assert read(Item("fleet/x", value.encode(), 9)) is None


@pytest.mark.parametrize("address", ["10.0.0.1", "10.0.0.1:x", "10.0.0.1:70000", ""])
def test_member_without_a_usable_address_is_left_out(address):
    """Guards against an address that raises in the task which connects to it."""
    fields = {"instance": "i-2", "incarnation": 1, "data_centre": "north"}
    value = json.dumps(fields | {"address": address}).encode()
    assert read_member(Item("fleet/members/i-2", value, 9)) is None


@pytest.mark.parametrize(
    "value",
    [DEEP_LIST, '{"segments":[],"fence":1e999,"duty_fence":0}', '{"segments":[1]}'],
)
def test_odd_key_table_is_malformed(value):
    """Guards against a stored table that raises while a granter takes it over."""
    assert KeyTable.from_bytes(value.encode()).is_error()


@pytest.mark.parametrize(
    "value",
    [
        DEEP_LIST,
        '{"state":"done","digest":1e999,"instance":"i","incarnation":1,"nonce":1}',
        '{"state":"done","status":200,"headers":[[1,2]],"body":""}',
    ],
)
def test_odd_claim_is_malformed(value):
    """Guards against a stored claim that raises while a request waits for it."""
    assert Claim.from_bytes(value.encode()) is None


@given(
    st.one_of(
        st.binary(max_size=40),
        st.lists(st.integers(-5, 10**400), min_size=1, max_size=6).map(
            lambda numbers: ",".join(map(str, numbers)).encode()
        ),
    )
)
def test_load_report_of_a_server_can_be_told_to_the_dispatcher(value):
    """Guards against a load report that no message carries, so that an end is lost.

    The dispatcher counts a request as running until it hears of its end. A slowness of
    400 digits raised an error in the connection that read it.
    """
    request = BackendRequest(1, 1, "i-1", "GET", "/", (), b"", 0.0, 1.0)
    load = (
        HeaderBackendDialect(HEADER_NAMES)
        .parse_response(request, 200, ((HEADER_NAMES.load, value),))
        .load
    )
    if load is not None:
        end = PlaceEnd(
            1, "box", "i-1", "answered", 0.1, load.running, load.waiting, load.slowness
        )
        assert relay(end).running == load.running


def test_verdicts_of_placement_are_relayed():
    """Guards against a verdict that the receiver of an answer does not know."""
    for verdict in PlaceVerdict:
        assert relay(PlaceAnswer(1, verdict, "", 0.0)).verdict is verdict
