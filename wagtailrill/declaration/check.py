"""Checks of JSON documents that collect all findings with their JSON path."""

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
_PLAIN_FIELD: Final = re.compile(r"[A-Za-z_][A-Za-z0-9_]*")
_PORT: Final = re.compile(r"[0-9]{1,5}")
_MISSING: Final[Any] = object()


class JsonObject(dict[str, Any]):
    """A JSON object that remembers which names occurred more than once."""

    duplicates: tuple[str, ...] = ()


_JSON_TYPES: Final = {
    JsonObject: "an object",
    list: "an array",
    str: "a text",
    bool: "true or false",
    int: "a number",
    float: "a number",
    type(None): "null",
}


def _object_of(pairs: list[tuple[str, Any]]) -> JsonObject:
    result = JsonObject(pairs)
    if len(result) < len(pairs):
        seen: set[str] = set()
        repeated: list[str] = []
        for name, _ in pairs:
            (repeated.append if name in seen else seen.add)(name)
        result.duplicates = tuple(repeated)
    return result


def child_path(path: str, name: str) -> str:
    """Return the JSON path of a field."""
    if _PLAIN_FIELD.fullmatch(name):
        return f"{path}.{name}"
    return f"{path}[{json.dumps(name[:64])}]"


def load_json(text: str | bytes, max_bytes: int) -> Result[Any, Finding]:
    """Return the JSON value of a text, or the finding that it is not JSON."""
    if len(text) > max_bytes:
        return Error(Finding("$", f"The text is longer than {max_bytes} bytes."))
    try:
        decoded = text if isinstance(text, str) else text.decode()
        if len(decoded.encode()) > max_bytes:
            return Error(Finding("$", f"The text is longer than {max_bytes} bytes."))
        return Ok(json.loads(decoded, object_pairs_hook=_object_of))
    except json.JSONDecodeError as exc:
        place = f"line {exc.lineno}, column {exc.colno}"
        return Error(Finding("$", f"The text is not valid JSON at {place}: {exc.msg}."))
    except UnicodeError:
        return Error(Finding("$", "The text is not valid UTF-8."))
    except RecursionError:
        return Error(Finding("$", "The text is nested too deeply."))
    except ValueError:
        return Error(Finding("$", "The text holds a number with too many digits."))


def is_address(text: str) -> bool:
    """Return whether a text is IP:port, with an IPv6 address in brackets."""
    host, separator, port = text.rpartition(":")
    if not separator or not _PORT.fullmatch(port) or not 1 <= int(port) <= 65_535:
        return False
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        address = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return (address.version == 6) is bracketed


def report_of(findings: Findings) -> tuple[Finding, ...]:
    """Return the findings, cut off at `FINDINGS_MAX`."""
    if len(findings.items) <= FINDINGS_MAX:
        return tuple(findings.items)
    more = len(findings.items) - FINDINGS_MAX
    rest = Finding("$", f"There are {more} more problems.")
    return (*findings.items[:FINDINGS_MAX], rest)


class ObjectReader:
    """Reads the fields of a JSON object and records what is wrong with them.

    Each method returns a usable value even after a finding, so that one pass finds
    every problem. `finish` reports the fields that nobody asked for.
    """

    def __init__(self, value: Any, path: str, findings: Findings) -> None:
        self.path = path
        self.findings = findings
        self.valid = isinstance(value, JsonObject)
        self._data: JsonObject = value if self.valid else JsonObject()
        self._known: set[str] = set()
        if not self.valid:
            found = _JSON_TYPES[type(value)]
            findings.add(path, f"This must be an object, not {found}.")
        for name in self._data.duplicates:
            findings.add(child_path(path, name), "The field is given more than once.")

    def add(self, name: str, message: str) -> None:
        """Record a problem of a field."""
        self.findings.add(child_path(self.path, name), message)

    def has(self, name: str) -> bool:
        """Return whether a field is given."""
        return name in self._data

    def is_text(self, name: str) -> bool:
        """Return whether a field is given and a text."""
        return isinstance(self._data.get(name), str)

    def is_array(self, name: str) -> bool:
        """Return whether a field is given and an array."""
        return isinstance(self._data.get(name), list)

    def finish(self) -> None:
        """Report unknown fields."""
        for name in self._data:
            if name not in self._known:
                self.add(name, "The field is unknown.")

    def text(self, name: str, default: str = _MISSING) -> str:
        """Return a text; without a default the field must be given."""
        value = self._take(name, (str,), "a text", default)
        return "" if value is None else str(value)

    def name(self, name: str = "name", default: str = _MISSING) -> str:
        """Return a name: lower-case letters, digits, `.`, `_` and `-`."""
        value = self.text(name, default)
        if self.is_text(name) and not NAME_PATTERN.fullmatch(value):
            self.add(
                name,
                "A name has 1 to 63 lower-case letters, digits, '.', '_' or '-' and "
                "starts with a letter or digit.",
            )
            return ""
        return value

    def matching(self, name: str, pattern: re.Pattern[str], wanted: str) -> str:
        """Return a text that matches a pattern; `wanted` describes it."""
        value = self.text(name)
        if self.is_text(name) and not pattern.fullmatch(value):
            self.add(name, f"This must be {wanted}.")
        return value

    def flag(self, name: str, default: bool = _MISSING) -> bool:
        """Return true or false."""
        return self._take(name, (bool,), "true or false", default) is True

    def integer(
        self, name: str, minimum: int, maximum: int, default: int = _MISSING
    ) -> int:
        """Return a whole number between two bounds."""
        value = self._take(name, (int,), "a whole number", default)
        if value is None:
            return minimum
        if minimum <= value <= maximum:
            return int(value)
        self.add(name, f"The number must be between {minimum} and {maximum}.")
        return minimum

    def positive(
        self, name: str, default: float = _MISSING, maximum: float = math.inf
    ) -> float:
        """Return a positive finite number up to a maximum."""
        value = self._take(name, (int, float), "a number", default)
        if value is None:
            return 1.0
        number = _float_of(value)
        if not (math.isfinite(number) and number > 0.0):
            self.add(name, "The number must be positive and finite.")
            return 1.0
        if number > maximum:
            self.add(name, f"The number must be at most {maximum:g}.")
            return 1.0
        return number

    def fraction(self, name: str, default: float) -> float:
        """Return a number between 0 and 1."""
        value = self._take(name, (int, float), "a number", default)
        number = default if value is None else _float_of(value)
        if 0.0 <= number <= 1.0:
            return number
        self.add(name, "The number must be between 0 and 1.")
        return default

    def choice(self, name: str, options: type[E], default: E) -> E:
        """Return a member of an enumeration."""
        value = self._take(name, (str,), "a text", default)
        if value is None:
            return default
        if value in list(options):
            return options(value)
        allowed = ", ".join(f'"{option}"' for option in options)
        self.add(name, f"The value must be one of {allowed}.")
        return default

    def address(self, name: str, default: str = _MISSING) -> str:
        """Return an address of the form IP:port."""
        value = self.text(name, default)
        if self.is_text(name):
            self.check_address(value, child_path(self.path, name))
        return value

    def check_address(self, value: str, path: str) -> None:
        """Report a text that is not IP:port."""
        if not is_address(value):
            self.findings.add(path, "The address must be IP:port, such as 10.0.0.1:80.")

    def items(
        self, name: str, maximum: int, optional: bool = False
    ) -> Iterator[tuple[Any, str]]:
        """Yield the entries of an array with their paths."""
        default: Any = [] if optional else _MISSING
        values = self._take(name, (list,), "an array", default) or []
        if len(values) > maximum:
            self.add(name, f"There are more than {maximum} entries.")
            values = values[:maximum]
        path = child_path(self.path, name)
        for index, value in enumerate(values):
            yield value, f"{path}[{index}]"

    def texts(
        self, name: str, maximum: int, optional: bool = False
    ) -> Iterator[tuple[str, str]]:
        """Yield the texts of an array with their paths; a bad entry is empty."""
        for value, path in self.items(name, maximum, optional):
            if isinstance(value, str) and value:
                yield value, path
                continue
            found = "an empty one" if value == "" else _JSON_TYPES[type(value)]
            self.findings.add(path, f"This must be a text, not {found}.")
            yield "", path

    def nested(self, name: str) -> "ObjectReader | None":
        """Return a reader of an optional object field."""
        self._known.add(name)
        if name not in self._data:
            return None
        path = child_path(self.path, name)
        return ObjectReader(self._data[name], path, self.findings)

    def _take(
        self, name: str, kinds: Sequence[type], wanted: str, default: Any
    ) -> Any | None:
        self._known.add(name)
        if name not in self._data:
            if default is not _MISSING:
                return default
            if self.valid:
                self.add(name, "The field is missing.")
            return None
        value = self._data[name]
        if type(value) in kinds:
            return value
        self.add(name, f"This must be {wanted}, not {_JSON_TYPES[type(value)]}.")
        return None


def _float_of(value: float) -> float:
    try:
        return float(value)
    except OverflowError:
        return math.inf


@attrs.define
class UniqueNames:
    """Reports names that occur more than once."""

    kind: str
    findings: Findings
    _seen: dict[str, str] = attrs.field(factory=dict)

    def add(self, name: str, path: str) -> None:
        """Record a name with its path; an empty one is already reported."""
        if not name:
            return
        if name in self._seen:
            first = self._seen[name]
            message = f"The {self.kind} {name[:64]!a} is already given at {first}."
            self.findings.add(path, message)
        else:
            self._seen[name] = path
