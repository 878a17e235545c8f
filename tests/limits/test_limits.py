"""Contract tests of the limits on a small cell without random faults."""

import pytest

from wagtailrill.limits.const import SHARE_UNITS
from wagtailrill.limits.messages import (
    MESSAGES,
    HolderAccount,
    HolderReport,
    HomeAccount,
    HomeGrant,
    register_messages,
)
from wagtailrill.limits.models import TakeResult
from wagtailrill.partitions.directory import Home, partition_of
from wagtailrill.peer.registry import Envelope, MessageRegistry
from wagtailrill.stand_ins.limits_bound import assert_bound, worst_excess
from wagtailrill.stand_ins.limits_cell import LimitsCell, Take

HOME_PARTITION = partition_of("organisation", "o")


def make_cell(rate=100.0, burst=100.0, **kwargs):
    cell = LimitsCell(1, {"o": (rate, burst)}, **kwargs)
    cell.fleet.run_until(3.0)
    return cell


def home_and_others(cell):
    home = cell.homes[HOME_PARTITION].instance
    return home, [name for name in sorted(cell.fleet.nodes) if name != home]


def ledger_of(cell):
    home, _ = home_and_others(cell)
    partitions = cell.node(home).limits.home._partitions
    return partitions[HOME_PARTITION].ledgers["o"]


def share_of(cell, name):
    return cell.node(name).limits.holder._shares["o"]


def take_now(cell, name):
    """Take outside of a step, so that only the local bucket can answer."""
    results = []
    cell.node(name).limits.take("o", results.append)
    return results


def test_messages_survive_the_codec():
    """Guards against fields that the schema and the classes name differently."""
    registry = MessageRegistry()
    register_messages(registry)
    account = HolderAccount("o", 1, 2, 3, 4, 5, 6, 7.0, 8)
    home_account = HomeAccount("o", 1, 2, 3, 4, True, True, True, 5, 6)
    for message in (
        HolderReport(1, 2, 3, 4, True, (account,)),
        HomeGrant(1, 2, 3, 4, (home_account,)),
        MESSAGES[50](1, 2),
    ):
        assert registry.decode(*registry.encode(message)) == message
    assert all(50 <= number <= 59 for number in MESSAGES)


def test_new_capacity_starts_empty():
    """Guards against a second burst after a restart of the whole cell."""
    cell = LimitsCell(1, {"o": (100.0, 100.0)})
    cell.fleet.run_until(0.3)
    ledger = ledger_of(cell)
    assert ledger.open
    assert ledger.bucket.level < 0.3 * 100.0


def test_replaced_instance_admits_at_once_without_asking():
    """Guards against a round trip for the first request of a small organisation."""
    cell = make_cell()
    _, others = home_and_others(cell)
    cell.fleet.kill(others[0])
    cell.fleet.run_until(7.0)
    cell.start(others[0])
    cell.fleet.run_until(8.5)
    assert take_now(cell, others[0]) == [TakeResult(True)]


def test_one_instance_can_use_nearly_the_whole_rate():
    """Guards against shares that stay where nobody needs them."""
    cell = make_cell()
    _, others = home_and_others(cell)
    for step in range(1000):
        cell.fleet.call_later(
            step * 0.01, lambda: cell.fleet.deliver(others[0], Take("o", 2), 0.0)
        )
    cell.fleet.run_until(13.0)
    assert len(cell.admitted["o"]) > 0.9 * (100 + 10 * 100)
    assert_bound(cell)


@pytest.mark.parametrize("home_works", [True, False])
def test_answers_within_the_maximum_wait(home_works):
    """Guards against requests that wait for a home that does not answer."""
    cell = make_cell(rate=1.0, burst=1.0)
    home, others = home_and_others(cell)
    if not home_works:
        cell.fleet.pause(home)
    cell.fleet.deliver(others[0], Take("o", 5), 0.0)
    cell.fleet.run_until(3.06)
    assert len(cell.admitted["o"]) == home_works
    assert cell.refused["o"] == 5 - home_works


def test_refuses_without_a_lease_and_unknown_organisations():
    """Guards against admission by an instance that may have been replaced."""
    cell = make_cell()
    _, others = home_and_others(cell)
    node = cell.node(others[0])
    results = []
    node.limits.take("unknown", results.append)
    node.lease_until_s = 0.0
    node.limits.take("o", results.append)
    assert [r.admitted for r in results] == [False, False]
    assert all(r.retry_after_s > 0 for r in results)


def test_idle_organisations_cause_no_messages():
    """Guards against periodic work for thousands of idle organisations."""
    cell = make_cell()
    _, others = home_and_others(cell)
    for name in others:
        cell.fleet.deliver(name, Take("o", 20), 0.0)
    cell.fleet.run_until(12.0)
    cell.fleet.bytes_of = lambda command: 1
    cell.fleet.run_until(20.0)
    assert sum(cell.fleet.sent_bytes.values()) == 0
    assert not any(r.node.limits.holder._active for r in cell.fleet.nodes.values())


def test_lost_messages_are_repaired():
    """Guards against shares that leak when messages vanish."""
    cell = make_cell()
    _, others = home_and_others(cell)
    cell.fleet.lost_message_probability = 0.5
    for step in range(100):
        name = others[step % 5]
        cell.fleet.call_later(
            step * 0.05, lambda name=name: cell.fleet.deliver(name, Take("o", 9), 0.0)
        )
    cell.fleet.run_until(8.0)
    cell.fleet.lost_message_probability = 0.0
    cell.fleet.run_until(15.0)
    ledger = ledger_of(cell)
    for member, entry in ledger.entries.items():
        assert share_of(cell, member.instance).held == entry.lent
    assert ledger.lent_burst < 0.3 * SHARE_UNITS


def test_grant_of_an_earlier_home_is_refused():
    """Guards against grants that the later home's collection did not see."""
    cell = make_cell()
    home, others = home_and_others(cell)
    node = cell.node(others[0])
    grant = HomeGrant(
        HOME_PARTITION, 1, 1, 1, (HomeAccount("o", 0, SHARE_UNITS, SHARE_UNITS, 0),)
    )
    node.homes = tuple(Home(h.instance, h.epoch + 1) for h in node.homes)
    node.limits.holder.receive_grant(Envelope(home, 1, others[0], 0, 1, grant))
    assert share_of(cell, others[0]).held.rate < SHARE_UNITS / 2


def test_lower_limit_cuts_tokens_and_higher_one_adds_none():
    """Guards against tokens that a change of the limit creates or leaves."""
    cell = make_cell()
    names = sorted(cell.fleet.nodes)

    def levels():
        total = 0.0
        for name in (home_and_others(cell)[0], *names):
            row = cell.fleet.nodes[name]
            bucket = share_of(cell, name).bucket if total else ledger_of(cell).bucket
            bucket.settle(row.offset_s + cell.fleet.now_s * row.rate)
            total += bucket.level
        return total

    before = levels()
    for version, factor in ((2, 10.0), (3, 0.1)):
        cell.configurations[version] = {"o": (0.001, 100.0 * factor)}
        for name in names:
            cell.configure(name, version)
        cell.fleet.run_until(cell.fleet.now_s + 0.1)
        assert levels() <= min(before + 11.0, 100.0 * factor) + 1e-6


def test_bound_check_finds_a_single_request_too_many():
    """Guards against a bound check that sees nothing."""
    steps = [(0.0, 10.0, 5.0)]
    assert worst_excess([1.0] * 5, steps) == 0.0
    assert worst_excess([1.0] * 6, steps) == 1.0
    assert worst_excess([1.0] * 5 + [1.05], steps) == pytest.approx(0.5)
    change = [*steps, (2.0, 10.0, 2.0)]
    assert worst_excess([1.0] * 5 + [3.0] * 3, change) == pytest.approx(1.0)
