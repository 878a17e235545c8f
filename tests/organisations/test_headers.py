"""Tests the header checks against request smuggling and forged identities."""

import pytest
from hypothesis import given, settings, strategies as st

from wagtailrill.core.refusals import RefusalCode
from wagtailrill.gateway.header_dialect import HeaderBackendDialect
from wagtailrill.native.dialect import HEADER_NAMES as NATIVE_HEADER_NAMES
from wagtailrill.organisations.headers import check_headers, strip_headers

RESERVED = HeaderBackendDialect(NATIVE_HEADER_NAMES).is_reserved_header
HOST = (b"host", b"box.example")
AMBIGUOUS_HEADERS = {
    "CR in value": ((b"a", b"x\ry"),),
    "LF in value": ((b"a", b"x\n"), (b"b", b"y")),
    "NUL in value": ((b"a", b"\0"),),
    "space in name": ((b"content-length ", b"1"),),
    "LF in name": ((b"a\nb", b"1"),),
    "empty name": ((b"", b"1"),),
    "colon in name": ((b"a:", b"1"),),
    "upper case": ((b"X-Tenant-Key", b"1"),),
    "length and encoding": (
        (b"content-length", b"1"),
        (b"transfer-encoding", b"chunked"),
    ),
    "lengths differ": ((b"content-length", b"1"), (b"content-length", b"2")),
    "length list": ((b"content-length", b"1, 1"),),
    "signed length": ((b"content-length", b"+1"),),
    "unknown encoding": ((b"transfer-encoding", b"xchunked"),),
    "two encodings": (
        (b"transfer-encoding", b"chunked"),
        (b"transfer-encoding", b"chunked"),
    ),
}


@pytest.mark.parametrize("headers", AMBIGUOUS_HEADERS.values(), ids=AMBIGUOUS_HEADERS)
def test_refuses_ambiguous_headers(headers):
    """Guards against requests that two servers parse differently."""
    for combined in ((HOST, *headers), (*headers, HOST)):
        refusal = check_headers(combined)
        assert refusal is not None
        assert refusal.code is RefusalCode.BAD_REQUEST


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (HOST, (b"content-length", b"12")),
        ((b"content-length", b"1"), (b"content-length", b"1")),
        (HOST, (b"transfer-encoding", b"Chunked")),
        ((b"x-empty", b""), (b"x-tab", b"a\tb")),
    ],
)
def test_accepts_well_formed_headers(headers):
    """Guards against refusals of well-formed requests."""
    assert check_headers(headers) is None


def test_strips_identity_and_hop_by_hop_headers():
    """Guards against forged organisations and keys forwarded to backend servers."""
    kept = (HOST, (b"accept", b"*/*"), (b"content-length", b"3"))
    dropped = (
        (b"x-tenant-key", b"wr_a_b"),
        (b"x_tenant_key", b"wr_a_b"),
        (b"wagtailrill-organisation", b"other"),
        (b"wagtailrill_organisation", b"other"),
        (b"connection", b"X-Hop , content-length"),
        (b"connection", b"close"),
        (b"x-hop", b"1"),
        (b"te", b"trailers"),
        (b"transfer-encoding", b"chunked"),
    )
    assert strip_headers(kept + dropped, RESERVED) == kept
    assert strip_headers(dropped + kept, RESERVED) == kept


HEADER_NAMES = st.sampled_from(
    [b"connection", b"x-tenant-key", b"wagtailrill-x", b"host", b"x-a", b"a b", b""]
)
HEADER_VALUES = st.one_of(st.binary(max_size=8), st.sampled_from([b"x-a, te", b"1"]))


@settings(derandomize=True, max_examples=300)
@given(st.lists(st.tuples(HEADER_NAMES, HEADER_VALUES), max_size=6).map(tuple))
def test_no_generated_header_list_evades_the_checks(headers):
    """Guards against combinations that `AMBIGUOUS_HEADERS` does not list."""
    stripped = strip_headers(headers, RESERVED)
    assert not {b"connection", b"x-tenant-key", b"wagtailrill-x"} & set(dict(stripped))
    assert strip_headers(stripped, RESERVED) == stripped
    is_invalid = any(
        name in (b"a b", b"") or set(value) & set(b"\r\n\0") for name, value in headers
    )
    assert (check_headers(headers) is not None) == is_invalid
