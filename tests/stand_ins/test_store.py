"""Guards the store stand-in: tests against a false platform prove nothing."""

from pathlib import Path

import anyio
import httpcore
import pytest

from wagtailrill.platform.models import InstanceEntry
from wagtailrill.stand_ins.faults import Outage, StoreFaults, parse_faults
from wagtailrill.stand_ins.http import async_serve
from wagtailrill.stand_ins.instance_registry import InstanceRegistry
from wagtailrill.stand_ins.store import StoreStandIn, load_registry

EXAMPLES = Path(__file__).parents[2] / "examples"
ENTRY = InstanceEntry("i-1", "127.0.0.1:1", "volos-a")


def test_instance_list_lags_and_forgets():
    """Guards against a list that is fresher than the platform's."""
    registry = InstanceRegistry(lag_s=2.0, ttl_s=10.0)
    registry.heartbeat(ENTRY, 0.0)
    assert registry.entries(1.9) == ()
    assert registry.entries(2.0) == (ENTRY,)
    assert registry.entries(11.9) == (ENTRY,)
    assert registry.entries(12.0) == ()


def test_settings_files_fill_the_list():
    """Guards against a demo whose instances do not find each other."""
    registry = load_registry(EXAMPLES / "piraeus" / "instances", 2.0, 10.0)
    assert len(registry.entries(0.0)) == 12


@pytest.mark.parametrize(
    "text", [b"", b"[]", b'{"outage": "x"}', b'{"latency_s": -1}', b'{"x": 1}']
)
def test_malformed_faults_are_refused(text):
    """Guards against a mistyped fault that injects nothing."""
    assert parse_faults(text).is_error()


async def async_request(address, method, path, content):
    async with httpcore.AsyncConnectionPool() as pool:
        url = f"http://{address}{path}"
        response = await pool.request(method, url, content=content)
        return response.status


def test_faults_are_set_over_http_also_in_an_outage():
    """Guards against an outage that nothing can end."""

    async def async_main():
        app = StoreStandIn()
        async with async_serve(app) as address:
            silent = b'{"outage": "silent"}'
            assert await async_request(address, "PUT", "/v1/faults", silent) == 200
            assert app.faults == StoreFaults(outage=Outage.SILENT)
            assert await async_request(address, "PUT", "/v1/faults", b"{}") == 200
            assert app.faults == StoreFaults()

    anyio.run(async_main)


@pytest.mark.parametrize(
    ("method", "path", "content", "status"),
    [
        ("GET", "/", b"", 404),
        ("PUT", "/v1/keys/a", b"{}", 400),
        ("PUT", "/v1/keys/a", b"\xff", 400),
        ("GET", "/v1/keys/a?after_revision=x", b"", 400),
        ("POST", "/v1/leases", b'{"ttl_s": "x"}', 400),
        ("PUT", "/v1/instances/a", b'{"instance": 5}', 400),
        ("PATCH", "/v1/leases", b"", 404),
    ],
)
def test_malformed_request_is_refused(method, path, content, status):
    """Guards against a stand-in that ends on a client's mistake."""

    async def async_main():
        async with async_serve(StoreStandIn()) as address:
            assert await async_request(address, method, path, content) == status

    anyio.run(async_main)
