"""Registry of peer messages, which converts them to and from Cap'n Proto structs.

Each component registers its message classes; the frame codec encodes and decodes them.
"""

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
    """A message with its authenticated sender and its receiver.

    `sequence` increases with each message from one sender incarnation to one receiver.
    A receiver with another incarnation than `receiver_incarnation` drops the message,
    unless that is 0.
    """

    sender: str
    incarnation: int
    receiver: str
    receiver_incarnation: int
    sequence: int
    message: PeerMessage


def to_camel_case(name: str) -> str:
    """Return a snake-case field name as Cap'n Proto schemas spell it."""
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


Encoder = Callable[[Any], Any]
Decoder = Callable[[Any], Any]


def _identity(value: Any) -> Any:
    return value


def _make_value_codec(type_hint: Any) -> tuple[Encoder, Decoder]:
    """Return the encoder and decoder of values with a type hint.

    Raise `TypeError` for optional and other union types.
    """
    if attrs.has(type_hint):
        return _make_class_codec(type_hint)
    if typing.get_origin(type_hint) is tuple:
        encode, decode = _make_value_codec(typing.get_args(type_hint)[0])
        if encode is _identity:
            return list, tuple
        return (
            lambda values: [encode(value) for value in values],
            lambda values: tuple(decode(value) for value in values),
        )
    if isinstance(type_hint, types.UnionType):
        raise TypeError(f"optional fields are not supported: {type_hint}")
    if (
        isinstance(type_hint, type)
        and issubclass(type_hint, str)
        and type_hint is not str
    ):
        return str, type_hint
    return _identity, _identity


def _make_class_codec(cls: type) -> tuple[Encoder, Decoder]:
    """Return the encoder and decoder between an attrs class and a dict."""
    type_hints = typing.get_type_hints(cls)
    fields = [
        (
            field.name,
            to_camel_case(field.name),
            *_make_value_codec(type_hints[field.name]),
        )
        for field in attrs.fields(cls)
    ]

    def encode(value: Any) -> dict[str, Any]:
        return {
            wire_name: encode_value(getattr(value, name))
            for name, wire_name, encode_value, _ in fields
        }

    def decode(data: dict[str, Any]) -> Any:
        # Texts, lists and structs that the sender does not know are missing; a field
        # that was added later has a default for them.
        return cls(
            **{
                name: decode_value(data[wire_name])
                for name, wire_name, _, decode_value in fields
                if wire_name in data
            }
        )

    return encode, decode


@attrs.frozen
class MessageType:
    """A message class with its wire number, Cap'n Proto struct and field codec."""

    number: int
    cls: type
    schema: Any
    encode_fields: Encoder
    decode_fields: Decoder


class MessageRegistry:
    """Maps message classes to wire numbers and Cap'n Proto structs.

    A struct has the name of its class, and the fields' names in camel case. Fields may
    be of type int, float, bool, str, bytes, a `StrEnum`, another attrs class, or a
    tuple of elements of one such type.
    """

    def __init__(self) -> None:
        self._message_types_by_class: dict[type, MessageType] = {}
        self._message_types_by_number: dict[int, MessageType] = {}

    def register_classes(self, schema_file: Path, classes: dict[int, type]) -> None:
        """Register the classes of one schema file by their wire numbers.

        Raise `ValueError` if a number is already registered.
        """
        schema = capnp.load(str(schema_file))
        for number, cls in classes.items():
            if number in self._message_types_by_number:
                raise ValueError(f"message number {number} is registered twice")
            encode, decode = _make_class_codec(cls)
            message_type = MessageType(
                number, cls, getattr(schema, cls.__name__), encode, decode
            )
            self._message_types_by_class[cls] = message_type
            self._message_types_by_number[number] = message_type

    def encode_message(self, message: PeerMessage) -> tuple[int, bytes]:
        """Return the wire number and the packed struct of a message."""
        message_type = self._message_types_by_class[type(message)]
        struct = message_type.schema.new_message(**message_type.encode_fields(message))
        return message_type.number, struct.to_bytes_packed()

    def decode_message(self, number: int, payload: bytes) -> PeerMessage:
        """Return a message; raise `PeerDecodeError` for malformed input."""
        message_type = self._message_types_by_number.get(number)
        if message_type is None:
            raise PeerDecodeError(f"unknown message number {number}")
        try:
            words_max = DECODED_WORDS_BASE + DECODED_WORDS_PER_BYTE * len(payload)
            struct = message_type.schema.from_bytes_packed(
                payload, traversal_limit_in_words=words_max
            )
            return message_type.decode_fields(struct.to_dict())
        except (capnp.KjException, ValueError, TypeError, KeyError) as exc:
            raise PeerDecodeError(f"malformed message {number}") from exc
