"""Guards the figures taken from requests, and the repeatability of runs."""

from pathlib import Path

import attrs

from wagtailrill.core.refusals import Ran
from wagtailrill.measure import wrongful
from wagtailrill.measure.fleet import MeasuredFleet, load_example, scale_rates
from wagtailrill.measure.models import (
    FleetSettings,
    Measured,
    RouterKind,
    SafetyCounts,
    Sent,
)
from wagtailrill.measure.report import missed
from wagtailrill.measure.traffic import latencies_s, safety_counts, success_share
from wagtailrill.stand_ins.virtual_backends import Execution
from wagtailrill.stand_ins.virtual_callers import Delivery

ROOT = Path(__file__).resolve().parents[2]
EXAMPLE = load_example(ROOT, "piraeus")
SERVICE = EXAMPLE.declaration.services[0]


def sent(code, ended_s, at_s=1.0):
    delivery = Delivery("d", "i", "o", "", at_s, ended_s, code)
    return Sent(delivery, SERVICE, SERVICE.routes[0], at_s, "k1")


def test_failed_requests_count_with_their_timeout():
    """Guards against quick refusals that improve the latency."""
    timeout_s = SERVICE.routes[0].timeout_s
    rows = [sent("answered", 1.25), sent("queue_full", 1.001), sent("", None)]
    assert latencies_s(rows) == [0.25, timeout_s, timeout_s]
    assert success_share(rows) == 1 / 3


def test_unsafe_results_are_counted():
    """Guards against counts that are 0 because nothing is looked at."""
    fleet = MeasuredFleet(
        FleetSettings(EXAMPLE, RouterKind.PLAIN, EXAMPLE.declaration, 1)
    )
    runs = [("d1", "key"), ("d2", "key"), ("d3", "")]
    fleet.backends.executions += [
        Execution(1.0, "ledger-01", 1, None, None, key, name, "o") for name, key in runs
    ]
    fleet.callers.deliveries += [
        Delivery("d1", "i", "o", "key", 1.0, 2.0, "answered", answered_by="d2"),
        Delivery("d2", "i", "o", "key", 1.0, 2.0, "queue_full", Ran.NO),
        Delivery("d3", "i", "o", "", 1.0, 2.0, "answered", answered_by="d1"),
    ]
    fleet.backends.by_name["ledger-01"].model.overloads = 4
    assert safety_counts(fleet) == SafetyCounts(4, 1, 1, 1)


def test_same_seed_gives_the_same_figures(monkeypatch):
    """Guards against figures that cannot be repeated."""
    monkeypatch.setattr(wrongful, "DURATION_S", 1.0)
    runs = [wrongful.measure(EXAMPLE, RouterKind.PLAIN, [3]) for _ in range(2)]
    assert runs[0] == runs[1]
    assert runs[0].figures["requests"] > 500


def test_missed_targets_and_counts_are_named():
    """Guards against a missed target that the table passes over."""
    figures = {"refused": 0.0011}
    counts = SafetyCounts(duplicates=1)
    row = Measured("wrongful", "piraeus", RouterKind.ENGINE, figures, counts)
    assert len(missed(row)) == 2
    assert (
        missed(attrs.evolve(row, figures={"refused": 0.001}, counts=SafetyCounts()))
        == []
    )


def test_scaled_rates_keep_their_proportions():
    """Guards against a load that is cut by rates that were not scaled."""
    scaled = scale_rates(EXAMPLE.declaration, 2160.0)
    pairs = zip(EXAMPLE.declaration.organisations, scaled.organisations, strict=True)
    for before, after in pairs:
        assert after.rate_per_s == 2.0 * before.rate_per_s
        assert after.burst == 2.0 * before.burst
