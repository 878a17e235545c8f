"""Matches requests to the routes of a declaration; the request checks use it."""

import re
from typing import Final

import attrs

from .const import KEY_SEGMENT
from .models import Declaration, Route, Service

_SEGMENT_PATTERN: Final = re.compile(
    r"(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})+"
)
_ESCAPE_PATTERN: Final = re.compile(rb"%[0-9A-Fa-f]{2}")
# Also leaves the colons within the brackets of an IPv6 address.
_PORT_PATTERN: Final = re.compile(r":[0-9]*$")
_NO_KEY_POSITION: Final = -1


@attrs.frozen
class RouteMatch:
    """A matched route; `key` is the decoded key segment, if the route has one."""

    service: Service
    route: Route
    key: bytes | None


@attrs.frozen
class _RouteEntry:
    service: Service
    route: Route


_PathShape = tuple[str, int]


def decode_key(segment: str) -> bytes | None:
    """Return the bytes of a key segment, or None when its encoding is ambiguous.

    Escapes are decoded once, so that `a` and `%61` are the same key. An empty segment,
    malformed escapes, bytes that are not UTF-8, `.` and `..`, and keys that contain a
    slash, a backslash, a control character or a further escape are rejected: servers
    and proxies decode these differently, and would disagree on the key's owner.
    """
    if not _SEGMENT_PATTERN.fullmatch(segment):
        return None
    key = segment.encode()
    if b"%" in key:
        key = _ESCAPE_PATTERN.sub(
            lambda escape: bytes.fromhex(escape[0][1:].decode()), key
        )
        if not _is_unambiguous(key):
            return None
    return None if key in (b".", b"..") else key


def _is_unambiguous(key: bytes) -> bool:
    try:
        text = key.decode()
    except UnicodeDecodeError:
        return False
    if any(character in "/\\\x7f" or character < " " for character in text):
        return False
    return not _ESCAPE_PATTERN.search(key)


class RouteTable:
    """Routes of all hosts.

    A route of the request's host takes precedence over one without a host, then a
    route of the whole path over one of a prefix. Of several routes with the same host
    and prefix the last one is used; `shadowed_routes` are the others.
    """

    def __init__(self, declaration: Declaration) -> None:
        self._path_tables: dict[str, _PathTable] = {}
        self._prefix_tables: dict[str, _PrefixTable] = {}
        self.shadowed_routes: tuple[Route, ...] = ()
        for service in declaration.services:
            for route in service.routes:
                self._add_route(_RouteEntry(service, route))
        for path_table in self._path_tables.values():
            path_table.sort_key_positions()

    def find_route(self, method: str, path: str, host: str = "") -> RouteMatch | None:
        """Return the route of a request, or None; `path` has no query."""
        if not path.startswith("/"):
            return None
        for route_host in _list_route_hosts(host):
            path_table = self._path_tables.get(route_host)
            if path_table is not None:
                route_match = path_table.find_route(method, path)
                if route_match is not None:
                    return route_match
            prefix_table = self._prefix_tables.get(route_host)
            if prefix_table is not None:
                route_match = prefix_table.find_route(path)
                if route_match is not None:
                    return route_match
        return None

    def _add_route(self, entry: _RouteEntry) -> None:
        route = entry.route
        if route.by_prefix:
            prefix_table = self._prefix_tables.setdefault(route.host, _PrefixTable())
            shadowed = prefix_table.add_route(entry)
            if shadowed is not None:
                self.shadowed_routes += (shadowed,)
        else:
            self._path_tables.setdefault(route.host, _PathTable()).add_route(entry)


def _list_route_hosts(host: str) -> tuple[str, ...]:
    """Return the hosts of routes that match a request's host, in order of precedence.

    A port and a final dot make no difference, unless a route names them.
    """
    if not host:
        return ("",)
    name = host
    if ":" in host:
        name = _PORT_PATTERN.sub("", host)
    name = name.removesuffix(".")
    return (host, "") if name == host else (host, name, "")


class _PrefixTable:
    """Routes by prefix, which ends with a slash.

    A path is only compared at the lengths of known prefixes: its own slashes may be
    very many, and a part of it would be copied for each.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _RouteEntry] = {}
        # The longest one first.
        self._prefix_lengths: list[int] = []

    def add_route(self, entry: _RouteEntry) -> Route | None:
        """Add a route; return the one that it replaces, if there is one."""
        prefix = entry.route.path
        replaced = self._entries.get(prefix)
        self._entries[prefix] = entry
        if len(prefix) not in self._prefix_lengths:
            self._prefix_lengths.append(len(prefix))
            self._prefix_lengths.sort(reverse=True)
        return replaced.route if replaced is not None else None

    def find_route(self, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix of a path, or None."""
        for length in self._prefix_lengths:
            entry = self._entries.get(path[:length])
            if entry is not None:
                return RouteMatch(entry.service, entry.route, None)
        return None


class _PathTable:
    """Routes by method and segment count, then by their literal segments.

    A route without a key segment takes precedence, then the one whose key segment is
    furthest right. Literal segments are compared undecoded, so that an escaped literal
    matches no route.
    """

    def __init__(self) -> None:
        self._entries_by_shape: dict[
            _PathShape, dict[int, dict[tuple[str, ...], _RouteEntry]]
        ] = {}

    def sort_key_positions(self) -> None:
        """Sort the positions of key segments by precedence."""
        for shape, entries_by_position in self._entries_by_shape.items():
            sorted_positions = sorted(
                entries_by_position, key=lambda p: (p != _NO_KEY_POSITION, -p)
            )
            self._entries_by_shape[shape] = {
                p: entries_by_position[p] for p in sorted_positions
            }

    def find_route(self, method: str, path: str) -> RouteMatch | None:
        """Return the route of a method and path, or None."""
        segments = tuple(path[1:].split("/"))
        entries_by_position = self._entries_by_shape.get((method, len(segments)))
        if entries_by_position is None:
            return None
        for position, entries in entries_by_position.items():
            entry = entries.get(_get_literals(segments, position))
            if entry is None:
                continue
            if position == _NO_KEY_POSITION:
                return RouteMatch(entry.service, entry.route, None)
            key = decode_key(segments[position])
            if key is None:
                return None
            return RouteMatch(entry.service, entry.route, key)
        return None

    def add_route(self, entry: _RouteEntry) -> None:
        """Add a route."""
        segments = tuple(entry.route.path[1:].split("/"))
        position = (
            segments.index(KEY_SEGMENT) if KEY_SEGMENT in segments else _NO_KEY_POSITION
        )
        shape = (entry.route.method, len(segments))
        entries = self._entries_by_shape.setdefault(shape, {}).setdefault(position, {})
        entries[_get_literals(segments, position)] = entry


def _get_literals(segments: tuple[str, ...], position: int) -> tuple[str, ...]:
    if position == _NO_KEY_POSITION:
        return segments
    return segments[:position] + segments[position + 1 :]
