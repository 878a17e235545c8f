"""Registry of peer messages and their conversion to Cap'n Proto structs."""

import types
import typing
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import capnp

from .const import DECODED_WORDS_BASE, DECODED_WORDS_PER_BYTE
from .errors import PeerDecodeError

capnp.remove_import_hook()

PeerMessage = Any  # an attrs class registered with `MessageRegistry.register`


@attrs.frozen
class Envelope:
    """A message with its authenticated sender.

    `sequence` rises with each message from one sender incarnation to one receiver.
    A receiver whose process is not `receiver_incarnation` drops the message; 0 stands
    for any process.
    """

    sender: str
    incarnation: int
    receiver: str
    receiver_incarnation: int
    sequence: int
    message: PeerMessage


def camel_case(name: str) -> str:
    """Return a field name as Cap'n Proto schemas spell it."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


def _value_codec(hint: Any) -> tuple[Encoder, Decoder]:
    if attrs.has(hint):
        return _class_codec(hint)
    if typing.get_origin(hint) is tuple:
        encode, decode = _value_codec(typing.get_args(hint)[0])
        if encode is _identity:
            return list, tuple
        return (
            lambda values: [encode(value) for value in values],
            lambda values: tuple(decode(value) for value in values),
        )
    if isinstance(hint, types.UnionType):
        raise TypeError(f"optional fields are not supported: {hint}")
    if isinstance(hint, type) and issubclass(hint, str) and hint is not str:
        return str, hint
    return _identity, _identity


def _class_codec(cls: type) -> tuple[Encoder, Decoder]:
    hints = typing.get_type_hints(cls)
    fields = [
        (field.name, camel_case(field.name), *_value_codec(hints[field.name]))
        for field in attrs.fields(cls)
    ]

    def encode(value: Any) -> dict[str, Any]:
        return {wire: enc(getattr(value, name)) for name, wire, enc, _ in fields}

    def decode(data: dict[str, Any]) -> Any:
        return cls(**{name: dec(data[wire]) for name, wire, _, dec in fields})

    return encode, decode


@attrs.frozen
class MessageType:
    """A message class with its number on the wire and its codec."""

    number: int
    cls: type
    schema: Any
    encode_fields: Encoder
    decode_fields: Decoder


class MessageRegistry:
    """Maps message classes to numbers and Cap'n Proto structs.

    Fields may be int, float, bool, str, bytes, a `StrEnum`, a tuple of one such type,
    or another attrs class; the struct has the same name and camel-case fields.
    """

    def __init__(self) -> None:
        self._by_class: dict[type, MessageType] = {}
        self._by_number: dict[int, MessageType] = {}

    def register(self, schema_file: Path, classes: dict[int, type]) -> None:
        """Register the classes of one schema file under their wire numbers."""
        schema = capnp.load(str(schema_file))
        for number, cls in classes.items():
            if number in self._by_number:
                raise ValueError(f"message number {number} is registered twice")
            encode, decode = _class_codec(cls)
            entry = MessageType(
                number, cls, getattr(schema, cls.__name__), encode, decode
            )
            self._by_class[cls] = entry
            self._by_number[number] = entry

    def encode(self, message: PeerMessage) -> tuple[int, bytes]:
        """Return the wire number and the bytes of a message."""
        entry = self._by_class[type(message)]
        struct = entry.schema.new_message(**entry.encode_fields(message))
        return entry.number, struct.to_bytes_packed()

    def decode(self, number: int, payload: bytes) -> PeerMessage:
        """Return the message; raise `PeerDecodeError` on any malformed input."""
        entry = self._by_number.get(number)
        if entry is None:
            raise PeerDecodeError(f"unknown message number {number}")
        try:
            limit = DECODED_WORDS_BASE + DECODED_WORDS_PER_BYTE * len(payload)
            struct = entry.schema.from_bytes_packed(
                payload, traversal_limit_in_words=limit
            )
            return entry.decode_fields(struct.to_dict())
        except (capnp.KjException, ValueError, TypeError, KeyError) as exc:
            raise PeerDecodeError(f"malformed message {number}") from exc
