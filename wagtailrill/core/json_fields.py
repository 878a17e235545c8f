"""Reads JSON that other processes have written, field by field, with bounds.

The decoders of configurations, server entries, members, duties, key tables and claims
use it, so that an odd value costs at most the entry that has it.
"""

import json
from collections.abc import Mapping
from typing import Any, Final

# Peer messages carry numbers without a closer bound in 64 bits, signed or not.
INTEGER_MAX: Final = 2**63 - 1
UINT64_MAX: Final = 2**64 - 1
# Rates and bursts beyond this bind nothing, and sums of them stay exact enough.
NUMBER_MAX: Final = 1e12
# Names are sent in headers and peer messages; a store key has at most 200 bytes.
NAME_MAX_LENGTH: Final = 255


class FieldError(ValueError):
    """A value has another format than expected; the text names it and the fault."""


def load_object(content: bytes, name: str) -> Mapping[str, Any]:
    """Return the JSON object of a text; raise `FieldError` for anything else."""
    try:
        value = json.loads(content)
    except (ValueError, RecursionError) as exc:
        raise FieldError(f"{name} is not JSON: {exc}") from exc
    return parse_object(value, name)


def parse_object(value: Any, name: str) -> Mapping[str, Any]:
    """Return a JSON object as it is; raise `FieldError` for any other value."""
    if not isinstance(value, dict):
        raise FieldError(f"{name} is not an object")
    return value


def parse_list(value: Any, name: str) -> list[Any]:
    """Return a JSON array as it is; raise `FieldError` for any other value."""
    if not isinstance(value, list):
        raise FieldError(f"{name} is not a list")
    return value


def parse_text(value: Any, name: str) -> str:
    """Return a non-empty string that UTF-8 can encode; raise `FieldError` if it is not.

    JSON can escape half of a surrogate pair, which has no encoding.
    """
    if not isinstance(value, str) or not value:
        raise FieldError(f"{name} is not a non-empty string")
    if not value.isascii() and any("\ud800" <= char <= "\udfff" for char in value):
        raise FieldError(f"{name} is not valid Unicode")
    return value


def parse_name(value: Any, name: str) -> str:
    """Return a text that fits into a header line; raise `FieldError` if it does not.

    It has at most `NAME_MAX_LENGTH` characters, none of them a control character.
    """
    text = parse_text(value, name)
    if len(text) > NAME_MAX_LENGTH or not text.isprintable():
        raise FieldError(f"{name} is too long or not printable: {text!r:.40}")
    return text


def parse_integer(
    value: Any, name: str, minimum: int = 0, maximum: int = INTEGER_MAX
) -> int:
    """Return an integer between two bounds; raise `FieldError` for another value."""
    if type(value) is not int or not minimum <= value <= maximum:
        raise FieldError(f"{name} is not an integer from {minimum} to {maximum}")
    return value


def get_text(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that `parse_text` accepts; raise `FieldError` if it does not."""
    return parse_text(fields.get(name), name)


def get_name(fields: Mapping[str, Any], name: str) -> str:
    """Return a field that `parse_name` accepts; raise `FieldError` if it does not."""
    return parse_name(fields.get(name), name)


def get_integer(
    fields: Mapping[str, Any], name: str, minimum: int = 0, maximum: int = INTEGER_MAX
) -> int:
    """Return a field that is an integer between two bounds; raise `FieldError`."""
    return parse_integer(fields.get(name), name, minimum, maximum)


def get_number(
    fields: Mapping[str, Any], name: str, maximum: float = NUMBER_MAX
) -> float:
    """Return a field that is a number from 0 to `maximum`; raise `FieldError`."""
    value = fields.get(name)
    if type(value) not in (int, float) or not 0.0 <= value <= maximum:  # type: ignore[operator]
        raise FieldError(f"{name} is not a number from 0 to {maximum:g}")
    return float(value)  # type: ignore[arg-type]


def get_capped_number(
    fields: Mapping[str, Any], name: str, maximum: float = NUMBER_MAX
) -> float:
    """Return a field that is a number from 0, at most `maximum`; raise `FieldError`.

    A larger number stands for `maximum`.
    """
    return float(min(_get_any_number(fields, name, 0), maximum))


def get_capped_integer(
    fields: Mapping[str, Any], name: str, minimum: int = 0, maximum: int = INTEGER_MAX
) -> int:
    """Return a field that is an integer from `minimum`, at most `maximum`.

    A larger one stands for `maximum`. Raise `FieldError` for another value.
    """
    number = min(_get_any_number(fields, name, minimum), maximum)
    if number != int(number):
        raise FieldError(f"{name} is not an integer")
    return int(number)


def _get_any_number(fields: Mapping[str, Any], name: str, minimum: int) -> int | float:
    value: Any = fields.get(name)
    if type(value) not in (int, float) or not value >= minimum:
        raise FieldError(f"{name} is not a number from {minimum}")
    number: int | float = value
    return number
