"""Guards against requests of legal size whose handling takes seconds.

Targets of 63,000 slashes on 20 connections hung an instance: the work for a path grew
with the square of its slashes, and the limit of headers bounded no target (review/8).
"""

import time

import pytest

from tests.gateway.test_body_memory import LIMITS
from wagtailrill.declaration.models import Declaration, Route, Service
from wagtailrill.declaration.routing import RouteTable
from wagtailrill.gateway.request_parser import InputFault, RequestParser
from wagtailrill.organisations.headers import check_headers, strip_headers

# A request of 64 KiB takes a hundredth of this where its work grows with its bytes.
WORK_MAX_S = 0.1
SMALL, LARGE = 8_000, 64_000


def measure_s(work, argument):
    """Return the shortest of three times that some work takes, in seconds."""
    times_s = []
    for _ in range(3):
        started_s = time.process_time()
        work(argument)
        times_s.append(time.process_time() - started_s)
    return min(times_s)


def make_table(*prefixes):
    routes = tuple(
        Route("", prefix, True, host="a.example", by_prefix=True) for prefix in prefixes
    )
    return RouteTable(Declaration("d", (), (Service("s", routes, ()),), ()))


TABLE = make_table("/a/", "/a/b/", "/longer/")
PATHS = {
    "slashes": lambda size: "/" * size,
    "slashes after a prefix": lambda size: "/a" + "/" * size,
    "segments": lambda size: "/a" * (size // 2),
    "escapes": lambda size: "/" + "%2f" * (size // 3),
    "no slash": lambda size: "/" + "a" * size,
}
HEADERS = {
    "connection headers": lambda size: tuple(
        (b"connection", b"x%d" % n) for n in range(size // 16)
    ),
    "names in one connection header": lambda size: (
        (b"connection", b",".join(b"x%d" % n for n in range(size // 6))),
    ),
    "short headers": lambda size: tuple((b"a", b"b") for _ in range(size // 6)),
    "cookies": lambda size: ((b"cookie", b"a=b; " * (size // 5)),),
    "equal lengths": lambda size: tuple(
        (b"content-length", b"1") for _ in range(size // 19)
    ),
}


@pytest.mark.parametrize("name", sorted(PATHS))
def test_route_of_a_long_path_is_found_in_little_time(name):
    """Against a loop over the slashes of a path that copies it each time."""
    path = PATHS[name](LARGE)
    took_s = measure_s(lambda p: TABLE.find_route("GET", p, "a.example:80"), path)
    assert took_s < WORK_MAX_S


@pytest.mark.parametrize("name", sorted(HEADERS))
def test_headers_of_a_large_head_are_checked_in_little_time(name):
    """Against sets that are copied for each of very many headers."""

    def handle(headers):
        check_headers(headers)
        strip_headers(headers, lambda header: False)

    assert measure_s(handle, HEADERS[name](LARGE)) < WORK_MAX_S


def test_longest_prefix_of_a_path_wins():
    """Against a route of a shorter prefix, or of one that the path only begins."""
    found = {
        path: TABLE.find_route("GET", path, "a.example")
        for path in ("/a/b/c", "/a/bc", "/a/", "/a", "/longer/", "/longe/", "//a/")
    }
    assert {p: m and m.route.path for p, m in found.items()} == {
        "/a/b/c": "/a/b/",
        "/a/bc": "/a/",
        "/a/": "/a/",
        "/a": None,
        "/longer/": "/longer/",
        "/longe/": None,
        "//a/": None,
    }


@pytest.mark.parametrize("piece_bytes", [1_000, 4_096, 100_000])
@pytest.mark.parametrize("excess_bytes", [0, 1])
def test_limit_of_headers_bounds_the_target(piece_bytes, excess_bytes):
    """Against targets of 64 KiB at a limit of 16 KiB."""
    target = b"/" * (LIMITS.header_max_bytes + excess_bytes)
    request = b"GET " + target + b" HTTP/1.1\r\nhost: a\r\n\r\n"
    parser = RequestParser(lambda: LIMITS)
    results = []
    for start in range(0, len(request), piece_bytes):
        results += parser.feed(request[start : start + piece_bytes])
    is_refused = isinstance(results[0], InputFault)
    assert is_refused == bool(excess_bytes)
    if is_refused:
        assert (results[0].refusal.status, results[0].reason) == (431, "target")
