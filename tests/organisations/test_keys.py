"""Guards tenant keys against forgery, disclosure and late withdrawal."""

import random

import pytest

from wagtailrill.core.refusals import Ran, RefusalCode
from wagtailrill.declaration.models import Configuration, Declaration, Organisation
from wagtailrill.organisations.keys import TenantKeys, issue_key

CLEAR, STORED = issue_key(random.Random(1).randbytes)
OTHER, OTHER_STORED = issue_key(random.Random(2).randbytes)


def configuration(version, **keys):
    organisations = tuple(
        Organisation(name, 10.0, 10.0, tenant_keys=tuple(stored))
        for name, stored in keys.items()
    )
    return Configuration(version, Declaration("test", (), (), organisations))


def make_keys(version=1, **keys):
    tenant_keys = TenantKeys()
    tenant_keys.configure(configuration(version, **keys))
    return tenant_keys


def header(*values):
    return tuple((b"x-tenant-key", value) for value in values)


FAULTS = [
    ("missing", (), RefusalCode.TENANT_KEY_MISSING),
    ("duplicate", header(CLEAR.encode(), CLEAR.encode()), None),
    ("over-long", header(b"wr_a_" + b"x" * 10_000), None),
    ("empty", header(b""), None),
    ("no secret", header(CLEAR.rpartition("_")[0].encode()), None),
    ("trailing newline", header(CLEAR.encode() + b"\n"), None),
    ("not ASCII", header(CLEAR.encode()[:-1] + b"\xff"), None),
    ("unknown key id", header(OTHER.encode()), None),
    ("wrong secret", header(f"wr_{STORED.key_id}_{'0' * 64}".encode()), None),
    ("key id of the dummy", header(b"wr_0_" + b"0" * 64), None),
]


@pytest.mark.parametrize(
    ("headers", "code"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS]
)
def test_refuses_every_other_header(headers, code):
    """Guards against requests that run without the organisation's key."""
    refusal = make_keys(acme=[STORED]).authenticate(headers).error
    assert refusal.code is (code or RefusalCode.TENANT_KEY_INVALID)
    assert refusal.ran is Ran.NO
    assert CLEAR not in repr(refusal)


def test_accepts_a_key_until_it_is_withdrawn_or_replaced():
    """Guards against withdrawn or replaced keys that keep working."""
    keys = make_keys(acme=[STORED], other=[OTHER_STORED])
    tenant = keys.authenticate(header(CLEAR.encode())).ok
    assert (tenant.organisation, tenant.key_id) == ("acme", STORED.key_id)
    assert keys.still_valid(tenant)
    for version, now in enumerate(
        ({}, {"other": [STORED]}, {"acme": [type(STORED)(STORED.key_id, "00", "00")]}),
        start=2,
    ):
        keys.configure(configuration(version, **now))
        assert not keys.still_valid(tenant)
    keys.configure(configuration(1, acme=[STORED]))
    assert not keys.still_valid(tenant)
    assert keys.authenticate(header(CLEAR.encode())).is_error()


def test_key_id_of_two_organisations_works_for_neither():
    """Guards against one organisation acting for another by a copied key id."""
    keys = make_keys(acme=[STORED], other=[STORED])
    assert keys.authenticate(header(CLEAR.encode())).is_error()


def test_nothing_shows_a_key():
    """Guards against keys in logs and tracebacks."""
    keys = make_keys(acme=[STORED])
    shown = repr(keys.authenticate(header(CLEAR.encode()))) + repr(keys)
    assert CLEAR.rpartition("_")[2] not in shown + repr(STORED)
    assert STORED.sha256 not in shown
