"""Guards instances against malformed and nonsensical peer messages."""

import contextlib
import itertools
import random
import struct
import typing
from functools import cache

import attrs
import pytest
from hypothesis import HealthCheck, Phase, given, settings, strategies as st

from tests.engine.support import Deployment
from wagtailrill.core.const import STORED_ANSWER_MAX_BYTES
from wagtailrill.core.events import PeerReceived
from wagtailrill.engine.registry import REGISTRARS, make_registry
from wagtailrill.idempotency.messages import Completion, Handover, HandoverRecord
from wagtailrill.ownership.messages import KeyLoad, LoadReport
from wagtailrill.peer.errors import PeerDecodeError
from wagtailrill.peer.frame import FrameCodec
from wagtailrill.peer.registry import Envelope, MessageRegistry, camel_case
from wagtailrill.permits.messages import CollectHoldings

SECRET = b"s" * 32
UNSIGNED_BITS = {"uint16": 16, "uint32": 32, "uint64": 64}
FLOAT_BITS = {"float32": 32, "float64": 64}
NAMES = (
    *("", "i-0", "i-1", "large", "small", "ledger", "ledger-0", "card-0", "lookup-1"),
    *("ownership", "configuration", "go", "answered", "unknown"),
)
PAYLOADS = (b"", b"{}", b"null", b"[1, {}, true]", b'{"members": 1}', b"\x00" * 2048)


class Classes(MessageRegistry):
    """Collects the registered classes with their schemas."""

    def __init__(self):
        super().__init__()
        self.entries = []
        for register in REGISTRARS:
            register(self)
        self.entries = list(self._by_class.values())


def numbers(bits, signed):
    """Return integers, often at the ends of the range or plausible."""
    low, high = (-(1 << bits - 1), (1 << bits - 1) - 1) if signed else (0, 2**bits - 1)
    plausible = st.integers(0, 4)
    return plausible | plausible | st.sampled_from([low, high]) | st.integers(low, high)


def values_of(kind, schema, hint):
    """Return the values of one field."""
    if kind in UNSIGNED_BITS:
        return numbers(UNSIGNED_BITS[kind], signed=False)
    if kind == "int64":
        return numbers(64, signed=True)
    if kind in FLOAT_BITS:
        return st.floats(width=FLOAT_BITS[kind])
    if kind == "list":
        (item, _) = typing.get_args(hint)
        items = texts() if item is str else messages(item, schema.elementType)
        return st.lists(items, max_size=3).map(tuple)
    return {"bool": st.booleans(), "text": texts(), "data": payloads()}[kind]


@cache
def texts():
    """Return names, some of which the deployment knows."""
    plain = st.characters(exclude_categories=["Cs"], exclude_characters="\0")
    known = st.sampled_from(NAMES)
    return known | known | st.text(plain, max_size=20)


@cache
def payloads():
    """Return payload bytes."""
    return st.sampled_from(PAYLOADS) | st.binary(max_size=64)


def messages(cls, schema):
    """Return messages of a class with any values that its schema allows."""
    hints = typing.get_type_hints(cls)
    fields = {}
    for field in attrs.fields(cls):
        wire = schema.fields[camel_case(field.name)]
        kind = str(wire.proto.slot.type.which())
        part = wire.schema if kind == "list" else None
        fields[field.name] = values_of(kind, part, hints[field.name])
    return st.builds(cls, **fields)


ENTRIES = Classes().entries
BY_NAME = {
    f"{entry.cls.__module__.split('.')[1]}-{entry.cls.__name__}": messages(
        entry.cls, entry.schema.schema
    )
    for entry in ENTRIES
}
ANY_MESSAGE = st.one_of(*BY_NAME.values())
CODEC = FrameCodec(make_registry(), (SECRET,))


def envelope(message, sequence=1):
    """Return a message of a member to the first instance."""
    return Envelope("i-1", 2, "i-0", 0, sequence, message)


@pytest.mark.parametrize("name", BY_NAME)
def test_every_message_survives_the_codec(name):
    """Guards against values that a message loses or that cannot be sent."""

    @settings(max_examples=30, derandomize=True, deadline=None, database=None)
    @given(BY_NAME[name])
    def survives(message):
        frame = CODEC.encode(envelope(message))
        assert repr(CODEC.decode(frame)) == repr(envelope(message))

    survives()


@settings(max_examples=600, derandomize=True, deadline=None, database=None)
@given(st.sampled_from(ENTRIES), st.binary(max_size=200))
def test_arbitrary_bytes_only_raise_decode_errors(entry, payload):
    """Guards against foreign bytes that end the listener."""
    for decode in (
        lambda: CODEC.decode(payload),
        lambda: CODEC.registry.decode(entry.number, payload),
    ):
        with contextlib.suppress(PeerDecodeError):
            decode()


@settings(max_examples=800, derandomize=True, deadline=None, database=None)
@given(ANY_MESSAGE, st.randoms(use_true_random=False))
def test_mutated_messages_only_raise_decode_errors(message, rng):
    """Guards against a damaged or hostile payload that ends the listener."""
    number, payload = CODEC.registry.encode(message)
    mutated = bytearray(payload)
    for _ in range(rng.randrange(1, 4)):
        place = rng.randrange(len(mutated) + 1)
        mutated[place : place + rng.randrange(2)] = bytes([rng.randrange(256)])
    with contextlib.suppress(PeerDecodeError):
        CODEC.registry.decode(number, bytes(mutated))


def test_list_of_empty_elements_is_refused():
    """Guards against ten bytes that keep the receiver busy for seconds."""
    # Root with one pointer to a composite list of 2^20 elements without words.
    words = (1 << 48, (7 << 32) | 1, 1 << 22)
    segment = struct.pack("<II3Q", 0, len(words), *words)
    payload = b"".join(pack_word(segment[n : n + 8]) for n in range(0, 32, 8))
    (number,) = (e.number for e in ENTRIES if e.cls is CollectHoldings)
    with pytest.raises(PeerDecodeError):
        CODEC.registry.decode(number, payload)


def pack_word(word):
    """Return a word in packed form; not for words without a zero or with only zeros."""
    tag = sum(1 << n for n, byte in enumerate(word) if byte)
    return bytes([tag, *filter(None, word)])


def test_largest_messages_survive_the_codec():
    """Guards against a bound on decoding that drops handovers or reports."""
    body = bytes(STORED_ANSWER_MAX_BYTES)
    answer = Completion(1, 2, "large", "release", "k", "answered", 200, (), body)
    report = LoadReport("ledger", bytes(2048), (KeyLoad(0, 0.0),) * 230)
    fields = (
        "large",
        "release",
        "k",
        1,
        2,
        "i-0",
        3,
        4,
        "answered",
        True,
        200,
        (),
        body,
    )
    handover = Handover(1, 2, 0, True, 3, (HandoverRecord(*fields),) * 5)
    for message in (answer, report, handover):
        assert CODEC.decode(CODEC.encode(envelope(message))).message == message


@settings(max_examples=50, derandomize=True, deadline=None, database=None)
@given(ANY_MESSAGE, st.data())
def test_altered_frames_are_not_accepted(message, data):
    """Guards against a frame that was changed on its way."""
    frame = bytearray(CODEC.encode(envelope(message)))
    frame[data.draw(st.integers(0, len(frame) - 1))] ^= 1
    with pytest.raises(PeerDecodeError):
        CODEC.decode(bytes(frame))


def receive_all(receiver, received, seed):
    """Hand messages of the other instance to a running one, with ticks between."""
    deployment = Deployment(seed=seed, instance_count=2)
    deployment.start(settle_s=2.0)
    sender = next(name for name in deployment.names if name != receiver)
    nodes = deployment.fleet.nodes
    # The daemon counts violations; a member that lies about itself can cause them.
    for row in nodes.values():
        row.node.ctx.invariants.raise_errors = False
    sequences = itertools.count(2**32)
    for message in received:
        event = PeerReceived(
            Envelope(
                sender,
                nodes[sender].incarnation,
                receiver,
                0,
                next(sequences),
                message,
            )
        )
        deployment.fleet.deliver(receiver, event, 0.0)
        deployment.run_for(0.03)
    deployment.run_for(1.0)


@pytest.mark.parametrize("name", BY_NAME)
def test_nonsensical_messages_never_raise(name):
    """Guards against a message of one member that fails steps of another."""

    @settings(
        max_examples=4,
        phases=[Phase.generate],  # shrinking would start hundreds of deployments
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.sampled_from(["i-0", "i-1"]),
        st.lists(BY_NAME[name], min_size=15, max_size=20),
    )
    def handles(receiver, received):
        receive_all(receiver, received, seed=random.Random(name).randrange(1000))

    handles()
