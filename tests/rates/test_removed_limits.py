"""Guards against limits that go or come back and keep a configuration from applying.

A version that removed an organisation's limit raised an error in the middle of its
application: a withdrawn key went on running requests, an added route got 404, and the
instance that read the store ignored all later versions (review/6).
"""

import math
from itertools import pairwise, product

import pytest

from tests.runs.declaration import RATES
from tests.support import advance_time, make_context
from wagtailrill.rates.const import ISSUED_BOUND_RATIO
from wagtailrill.rates.holder import TokenHolder
from wagtailrill.rates.issuer import TokenIssuer
from wagtailrill.rates.messages import TokenGrant
from wagtailrill.rates.models import RateLimit

UNLIMITED = RateLimit(math.inf, math.inf)
LIMITS = {
    "unlimited": UNLIMITED,
    "low": RateLimit(4.0, 2.0),
    "high": RateLimit(200.0, 300.0),
    "without burst": RateLimit(20.0, 0.0),
    "huge": RateLimit(1e12, 1e12),
}
DUTY = "rates/0"


class Instances:
    """A holder of tokens and an issuer, each with its own version of the limits."""

    def __init__(self) -> None:
        self.ctx = make_context()
        self.issuer = TokenIssuer(self.ctx, RATES)
        self.issuer.start_issuing(DUTY, 0.0)
        self.holder = TokenHolder(self.ctx, RATES, lambda: ("i-1", "i-2"), self._ask)
        self.results: list[bool] = []

    def _ask(self, organisation: str, wanted: int, returned: int, number: int) -> bool:
        """Answer a request for tokens a little later."""
        tokens = self.issuer.take_tokens(DUTY, organisation, wanted, returned)
        if number:
            delay_s = self.issuer.compute_token_delay_s(DUTY, organisation)
            grant = TokenGrant(organisation, tokens, delay_s, number, issues=True)
            self.ctx.timers.call_later(0.002, lambda: self.holder.apply_grant(grant))
        return True

    def apply(self, limit: RateLimit) -> None:
        """Apply a limit at both, as one version does."""
        self.issuer.configure({"lines": limit})
        self.holder.configure({"lines": limit})

    def send(self, count: int, duration_s: float) -> int:
        """Send requests at an even rate; return how many were admitted."""
        self.results.clear()
        for _ in range(count):
            self.holder.take_token("lines", lambda r: self.results.append(r.admitted))
            advance_time(self.ctx, duration_s / count)
        advance_time(self.ctx, 1.0)
        return sum(self.results)


@pytest.mark.parametrize(
    "names", [*pairwise(LIMITS), *product(LIMITS, LIMITS, ["unlimited", "low"])]
)
def test_last_limit_of_any_series_is_in_force(names):
    """Against an error, or a former limit, after any series of limits in one step."""
    instances = Instances()
    for name in names:
        instances.apply(LIMITS[name])
        instances.send(20, 0.2)
        instances.apply(LIMITS[name])
    limit = LIMITS[names[-1]]
    advance_time(instances.ctx, RATES.window_s)
    admitted = instances.send(400, 4.9)
    if limit in (UNLIMITED, LIMITS["huge"]):
        assert admitted == 400
    else:
        assert admitted <= RATES.compute_bound(limit) * (ISSUED_BOUND_RATIO + 0.08)


def test_waiting_requests_are_admitted_when_the_limit_goes():
    """Against requests that are refused for a limit that is no longer in force."""
    instances = Instances()
    instances.apply(LIMITS["low"])
    instances.holder.take_token(
        "lines", lambda result: instances.results.append(result.admitted)
    )
    instances.holder.configure({"lines": UNLIMITED})
    advance_time(instances.ctx, 0.0)
    assert instances.results == [True]


def test_issuer_without_a_limit_serves_instances_that_still_have_one():
    """Against refusals where an instance has yet to learn that a limit has gone."""
    instances = Instances()
    instances.apply(LIMITS["low"])
    instances.issuer.configure({"lines": UNLIMITED})
    assert instances.send(200, 1.0) == 200


def test_issuer_that_still_has_a_limit_does_not_bind_instances_without_one():
    """Against refusals where only the issuer has yet to learn that a limit has gone."""
    instances = Instances()
    instances.apply(LIMITS["low"])
    instances.holder.configure({"lines": UNLIMITED})
    assert instances.send(200, 1.0) == 200
