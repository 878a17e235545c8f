"""Matching of requests to the routes of a declaration."""

import re
from typing import Final

import attrs

from .const import KEY_SEGMENT
from .models import Declaration, Route, Service

_SEGMENT: Final = re.compile(r"(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})+")
_ESCAPE: Final = re.compile(rb"%[0-9A-Fa-f]{2}")
_NO_KEY: Final = -1


@attrs.frozen
class RouteMatch:
    """A matched route; `key` is the decoded key segment, if the route has one."""

    service: Service
    route: Route
    key: bytes | None


@attrs.frozen
class _Entry:
    service: Service
    route: Route


_Shape = tuple[str, int]


def decode_key(segment: str) -> bytes | None:
    """Return the bytes of a key segment, or None when its encoding is ambiguous.

    Escapes are decoded once, so that `a` and `%61` are one key. Refused are an empty
    segment, malformed escapes, bytes that are not UTF-8, `.` and `..`, and keys that
    contain a slash, a backslash, a control character or a further escape: servers and
    proxies differ in how they read these, and would disagree on the key's owner.
    """
    if not _SEGMENT.fullmatch(segment):
        return None
    key = segment.encode()
    if b"%" in key:
        key = _ESCAPE.sub(lambda found: bytes.fromhex(found[0][1:].decode()), key)
        if not _is_plain(key):
            return None
    return None if key in (b".", b"..") else key


def _is_plain(key: bytes) -> bool:
    try:
        text = key.decode()
    except UnicodeDecodeError:
        return False
    if any(character in "/\\\x7f" or character < " " for character in text):
        return False
    return not _ESCAPE.search(key)


class RouteTable:
    """Routes of all hosts.

    A route of the request's host goes before one without a host, and a route for the
    whole path before one for a prefix.
    """

    def __init__(self, declaration: Declaration) -> None:
        self._paths: dict[str, _PathTable] = {}
        self._prefixes: dict[str, dict[str, _Entry]] = {}
        for service in declaration.services:
            for route in service.routes:
                self._add(_Entry(service, route))
        for table in self._paths.values():
            table.order()

    def match(self, method: str, path: str, host: str = "") -> RouteMatch | None:
        """Return the route of a request path (without query), or None."""
        if not path.startswith("/"):
            return None
        for name in (host, "") if host else ("",):
            table = self._paths.get(name)
            found = table.match(method, path) if table is not None else None
            if found is None and name in self._prefixes:
                found = _match_prefix(self._prefixes[name], path)
            if found is not None:
                return found
        return None

    def _add(self, entry: _Entry) -> None:
        route = entry.route
        if route.by_prefix:
            self._prefixes.setdefault(route.host, {})[route.path] = entry
        else:
            self._paths.setdefault(route.host, _PathTable()).add(entry)


def _match_prefix(prefixes: dict[str, _Entry], path: str) -> RouteMatch | None:
    """Return the route with the longest prefix that begins the path."""
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        entry = prefixes.get(path[: end + 1])
        if entry is not None:
            return RouteMatch(entry.service, entry.route, None)
    return None


class _PathTable:
    """Routes by method and segment count, then by their literal segments.

    An all-literal route wins; otherwise the route whose key segment is furthest right.
    Literal segments are compared as sent: an escaped literal matches nothing.
    """

    def __init__(self) -> None:
        self._shapes: dict[_Shape, dict[int, dict[tuple[str, ...], _Entry]]] = {}

    def order(self) -> None:
        """Put the positions of key segments in the order in which they are tried."""
        for shape, positions in self._shapes.items():
            ordered = sorted(positions, key=lambda p: (p != _NO_KEY, -p))
            self._shapes[shape] = {p: positions[p] for p in ordered}

    def match(self, method: str, path: str) -> RouteMatch | None:
        """Return the route of a path, or None."""
        segments = tuple(path[1:].split("/"))
        positions = self._shapes.get((method, len(segments)))
        if positions is None:
            return None
        for position, entries in positions.items():
            entry = entries.get(_literals(segments, position))
            if entry is None:
                continue
            if position == _NO_KEY:
                return RouteMatch(entry.service, entry.route, None)
            key = decode_key(segments[position])
            if key is None:
                return None
            return RouteMatch(entry.service, entry.route, key)
        return None

    def add(self, entry: _Entry) -> None:
        """Add a route."""
        segments = tuple(entry.route.path[1:].split("/"))
        position = segments.index(KEY_SEGMENT) if KEY_SEGMENT in segments else _NO_KEY
        shape = (entry.route.method, len(segments))
        entries = self._shapes.setdefault(shape, {}).setdefault(position, {})
        entries[_literals(segments, position)] = entry


def _literals(segments: tuple[str, ...], position: int) -> tuple[str, ...]:
    if position == _NO_KEY:
        return segments
    return segments[:position] + segments[position + 1 :]
