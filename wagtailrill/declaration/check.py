"""Reads JSON objects field by field and collects all findings with their JSON paths.

The parsers of the services declaration and of the instance settings use it.
"""

import enum
import ipaddress
import json
import math
import re
from collections.abc import Iterator, Sequence
from typing import Any, Final, TypeVar

import attrs
from expression import Error, Ok, Result

from ..core.findings import Finding, Findings
from .const import FINDINGS_MAX

E = TypeVar("E", bound=enum.StrEnum)

NAME_PATTERN: Final = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_PLAIN_FIELD_PATTERN: Final = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_PORT_PATTERN: Final = re.compile(r"[0-9]{1,5}")
_MISSING: Final[Any] = object()


class JsonObject(dict[str, Any]):
    """A JSON object; `duplicates` are the field names that occur more than once."""

    duplicates: tuple[str, ...] = ()


_JSON_TYPES: Final = {
    JsonObject: "an object",
    list: "an array",
    str: "a string",
    bool: "true or false",
    int: "a number",
    float: "a number",
    type(None): "null",
}


def _make_json_object(pairs: list[tuple[str, Any]]) -> JsonObject:
    result = JsonObject(pairs)
    if len(result) < len(pairs):
        seen_names: set[str] = set()
        duplicate_names: list[str] = []
        for name, _ in pairs:
            (duplicate_names.append if name in seen_names else seen_names.add)(name)
        result.duplicates = tuple(duplicate_names)
    return result


def format_field_path(path: str, name: str) -> str:
    """Return the JSON path of a field of the object at `path`."""
    if _PLAIN_FIELD_PATTERN.fullmatch(name):
        return f"{path}.{name}"
    return f"{path}[{json.dumps(name[:64])}]"


def load_json(text: str | bytes, max_bytes: int) -> Result[Any, Finding]:
    """Return the JSON value of a text, or a finding if it is too long or invalid."""
    if len(text) > max_bytes:
        return Error(Finding("$", f"The text is longer than {max_bytes} bytes."))
    try:
        decoded = text if isinstance(text, str) else text.decode()
        if len(decoded.encode()) > max_bytes:
            return Error(Finding("$", f"The text is longer than {max_bytes} bytes."))
        return Ok(json.loads(decoded, object_pairs_hook=_make_json_object))
    except json.JSONDecodeError as exc:
        position = f"line {exc.lineno}, column {exc.colno}"
        return Error(
            Finding("$", f"The text is not valid JSON at {position}: {exc.msg}.")
        )
    except UnicodeError:
        return Error(Finding("$", "The text is not valid UTF-8."))
    except RecursionError:
        return Error(Finding("$", "The text is nested too deeply."))
    except ValueError:
        return Error(Finding("$", "The text contains a number with too many digits."))


def is_address(text: str) -> bool:
    """Return whether a text has the form IP:port, with an IPv6 address in brackets."""
    host, separator, port = text.rpartition(":")
    if (
        not separator
        or not _PORT_PATTERN.fullmatch(port)
        or not 1 <= int(port) <= 65_535
    ):
        return False
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) is is_bracketed


def truncate_findings(findings: Findings) -> tuple[Finding, ...]:
    """Return the first `FINDINGS_MAX` findings, and one that counts the others."""
    if len(findings.items) <= FINDINGS_MAX:
        return tuple(findings.items)
    omitted_count = len(findings.items) - FINDINGS_MAX
    summary = Finding("$", f"There are {omitted_count} more problems.")
    return (*findings.items[:FINDINGS_MAX], summary)


class ObjectReader:
    """Reads the fields of a JSON object and records findings about them.

    Each method returns a value of its type even after a finding, so that one pass
    reports every problem. A field without a default is required. `is_object` is false
    if the value is not an object; this is reported once, without a finding for each
    missing field.
    """

    def __init__(self, value: Any, path: str, findings: Findings) -> None:
        self.path = path
        self.findings = findings
        self.is_object = isinstance(value, JsonObject)
        self._fields: JsonObject = value if self.is_object else JsonObject()
        self._known_fields: set[str] = set()
        if not self.is_object:
            actual_type = _JSON_TYPES[type(value)]
            findings.add(path, f"This must be an object, not {actual_type}.")
        for name in self._fields.duplicates:
            findings.add(
                format_field_path(path, name), "The field is given more than once."
            )

    def add_finding(self, name: str, message: str) -> None:
        """Record a finding about a field."""
        self.findings.add(format_field_path(self.path, name), message)

    def has_field(self, name: str) -> bool:
        """Return whether a field is present."""
        return name in self._fields

    def is_string(self, name: str) -> bool:
        """Return whether a field is present and a string."""
        return isinstance(self._fields.get(name), str)

    def is_array(self, name: str) -> bool:
        """Return whether a field is present and an array."""
        return isinstance(self._fields.get(name), list)

    def report_unknown_fields(self) -> None:
        """Report the fields that were not read as unknown."""
        for name in self._fields:
            if name not in self._known_fields:
                self.add_finding(name, "The field is unknown.")

    def read_string(self, name: str, default: str = _MISSING) -> str:
        """Return a string, empty after a finding."""
        value = self._read_value(name, (str,), "a string", default)
        return "" if value is None else str(value)

    def read_name(self, name: str = "name", default: str = _MISSING) -> str:
        """Return a name: lower-case letters, digits, `.`, `_` and `-`."""
        value = self.read_string(name, default)
        if self.is_string(name) and not NAME_PATTERN.fullmatch(value):
            self.add_finding(
                name,
                "A name has 1 to 63 lower-case letters, digits, '.', '_' or '-' and "
                "starts with a letter or digit.",
            )
            return ""
        return value

    def read_matching_string(
        self, name: str, pattern: re.Pattern[str], expected: str
    ) -> str:
        """Return a string that matches a pattern; `expected` describes the pattern."""
        value = self.read_string(name)
        if self.is_string(name) and not pattern.fullmatch(value):
            self.add_finding(name, f"This must be {expected}.")
        return value

    def read_flag(self, name: str, default: bool = _MISSING) -> bool:
        """Return a boolean, false after a finding."""
        return self._read_value(name, (bool,), "true or false", default) is True

    def read_integer(
        self, name: str, minimum: int, maximum: int, default: int = _MISSING
    ) -> int:
        """Return an integer between two bounds, `minimum` after a finding."""
        value = self._read_value(name, (int,), "an integer", default)
        if value is None:
            return minimum
        if minimum <= value <= maximum:
            return int(value)
        self.add_finding(name, f"The number must be between {minimum} and {maximum}.")
        return minimum

    def read_positive_number(
        self, name: str, default: float = _MISSING, maximum: float = math.inf
    ) -> float:
        """Return a positive finite number up to a maximum, 1.0 after a finding."""
        value = self._read_value(name, (int, float), "a number", default)
        if value is None:
            return 1.0
        number = _to_float(value)
        if not (math.isfinite(number) and number > 0.0):
            self.add_finding(name, "The number must be positive and finite.")
            return 1.0
        if number > maximum:
            self.add_finding(name, f"The number must be at most {maximum:g}.")
            return 1.0
        return number

    def read_fraction(self, name: str, default: float) -> float:
        """Return a number between 0 and 1, `default` after a finding."""
        value = self._read_value(name, (int, float), "a number", default)
        number = default if value is None else _to_float(value)
        if 0.0 <= number <= 1.0:
            return number
        self.add_finding(name, "The number must be between 0 and 1.")
        return default

    def read_choice(self, name: str, options: type[E], default: E) -> E:
        """Return a member of an enumeration, `default` after a finding."""
        value = self._read_value(name, (str,), "a string", default)
        if value is None:
            return default
        if value in list(options):
            return options(value)
        allowed_values = ", ".join(f'"{option}"' for option in options)
        self.add_finding(name, f"The value must be one of {allowed_values}.")
        return default

    def read_address(self, name: str, default: str = _MISSING) -> str:
        """Return a string, and report it if it is not of the form IP:port."""
        value = self.read_string(name, default)
        if self.is_string(name):
            self.check_address(value, format_field_path(self.path, name))
        return value

    def check_address(self, value: str, path: str) -> None:
        """Report a string that is not of the form IP:port."""
        if not is_address(value):
            self.findings.add(path, "The address must be IP:port, such as 10.0.0.1:80.")

    def read_items(
        self, name: str, maximum: int, optional: bool = False
    ) -> Iterator[tuple[Any, str]]:
        """Yield the entries of an array, up to `maximum`, with their JSON paths."""
        default: Any = [] if optional else _MISSING
        values = self._read_value(name, (list,), "an array", default) or []
        if len(values) > maximum:
            self.add_finding(name, f"There are more than {maximum} entries.")
            values = values[:maximum]
        path = format_field_path(self.path, name)
        for index, value in enumerate(values):
            yield value, f"{path}[{index}]"

    def read_strings(
        self, name: str, maximum: int, optional: bool = False
    ) -> Iterator[tuple[str, str]]:
        """Yield the strings of an array with their JSON paths.

        An entry that is not a string, or empty, is reported and yielded as empty.
        """
        for value, path in self.read_items(name, maximum, optional):
            if isinstance(value, str) and value:
                yield value, path
                continue
            actual = "an empty one" if value == "" else _JSON_TYPES[type(value)]
            self.findings.add(path, f"This must be a string, not {actual}.")
            yield "", path

    def read_object(self, name: str) -> "ObjectReader | None":
        """Return a reader of an optional object field."""
        self._known_fields.add(name)
        if name not in self._fields:
            return None
        path = format_field_path(self.path, name)
        return ObjectReader(self._fields[name], path, self.findings)

    def _read_value(
        self, name: str, types: Sequence[type], expected: str, default: Any
    ) -> Any | None:
        self._known_fields.add(name)
        if name not in self._fields:
            if default is not _MISSING:
                return default
            if self.is_object:
                self.add_finding(name, "The field is missing.")
            return None
        value = self._fields[name]
        if type(value) in types:
            return value
        self.add_finding(
            name, f"This must be {expected}, not {_JSON_TYPES[type(value)]}."
        )
        return None


def _to_float(value: float) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf


@attrs.define
class UniqueNames:
    """Reports names that occur more than once; messages call them by `kind`."""

    kind: str
    findings: Findings
    _first_paths: dict[str, str] = attrs.field(factory=dict)

    def add_name(self, name: str, path: str) -> None:
        """Add a name with its JSON path; an empty name is reported elsewhere."""
        if not name:
            return
        if name in self._first_paths:
            first_path = self._first_paths[name]
            message = f"The {self.kind} {name[:64]!a} is already given at {first_path}."
            self.findings.add(path, message)
        else:
            self._first_paths[name] = path
