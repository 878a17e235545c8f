"""Guards against two owners of keys after several holders of a duty in a row.

The bound on what an earlier granter may still do lived only in the process that had
taken the duty from it. When that process ended, its successor gave keys to another
server while the first granter still renewed them (review/7).
"""

import pytest

from tests.runs.deployment import Deployment
from wagtailrill.core.events import DrainRequested
from wagtailrill.fleet.const import LEASE_TTL_S, OUTAGE_DUTY_EXTENSION_S
from wagtailrill.keys.const import KEY_POSITIONS
from wagtailrill.rates.component import get_issuing_duty

DUTY = "keys/roll"
SEEDS = (31, 32)
CUT_S = 12.0
# From the first cut until all grants of the first granter have ended.
WATCHED_S = 15.0
SAMPLED_POSITIONS = range(0, KEY_POSITIONS, 2048)
CHECK_INTERVAL_S = 0.2
TAKEN_WITHIN_S = 6.0
DRAIN_S = 1.0
START_DELAY_S = 0.5


class SuccessionRun:
    """A granter that only reaches the servers, and one server that left the list."""

    def __init__(self, seed, duty=DUTY):
        self.run = Deployment(seed, instances=5)
        self.run.start_all()
        self.duty = duty
        self.doubles = set()
        self.advance(6.0)
        (self.first,) = self.find_holders()

    def find_holders(self):
        nodes = self.run.fleet.nodes
        return [n for n in nodes if self.run.get_router(n).duties.holds(self.duty)]

    def find_successor(self):
        """Return the instance that the store names as the last holder, if it acts."""
        fences = {
            name: self.run.get_router(name).duties.get_fence(self.duty)
            for name in self.find_holders()
        }
        return max(fences, key=fences.__getitem__)

    def advance(self, seconds):
        """Let time pass, and record the positions that two servers hold."""
        end_s = self.run.now_s + seconds
        while self.run.now_s < end_s:
            self.run.fleet.run_until(self.run.now_s + CHECK_INTERVAL_S)
            self.doubles |= {
                position
                for position in SAMPLED_POSITIONS
                if len(self.run.servers.find_key_holders(position, "roll")) > 1
            }

    def cut_off(self, name, seconds=CUT_S):
        """Cut an instance off from the store and from all other instances."""
        fleet = self.run.fleet
        fleet.isolate_instances({name})
        fleet.store.unreachable_instances.add(name)

        def reconnect():
            fleet.store.unreachable_instances.discard(name)
            fleet.restore_links()

        fleet.call_later(seconds, reconnect)

    def hide_server(self, seconds=CUT_S):
        """Cut a server with keys off from the store and from the later granters.

        Its entry ends, and it cannot be asked to release its keys.
        """
        for name in self.run.servers.find_key_holders(0, "roll"):
            server = self.run.servers.by_name[name]
            self.run.servers.hide_entry(server, seconds)
            server.cut_instances |= set(self.run.instance_names) - {self.first}
            self.run.fleet.call_later(seconds, server.cut_instances.clear)

    def await_successor(self, *former):
        """Wait until an instance other than the former ones has the duty."""
        end_s = self.run.now_s + TAKEN_WITHIN_S
        while self.run.now_s < end_s:
            self.advance(CHECK_INTERVAL_S)
            if set(self.find_holders()) - set(former):
                return self.find_successor()
        pytest.fail("no instance takes the duty")

    def end(self, name, how):
        """End a process: killed, killed and restarted, or stopped as planned."""
        fleet = self.run.fleet
        if how == "stop":
            fleet.deliver_event(name, DrainRequested(DRAIN_S), 0.0)
            self.advance(DRAIN_S)
        self.run.kill_instance(name)
        if how != "kill":
            fleet.call_later(START_DELAY_S, lambda: fleet.start_instance(name))


@pytest.mark.parametrize("how", ["restart", "stop", "kill"])
@pytest.mark.parametrize("seed", SEEDS)
def test_successor_of_a_successor_waits_for_the_first_granter(seed, how):
    """Against keys at two servers when the one that knew of the granter has ended."""
    case = SuccessionRun(seed)
    case.cut_off(case.first)
    case.hide_server()
    second = case.await_successor(case.first)
    case.end(second, how)
    case.advance(WATCHED_S)
    assert case.doubles == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_chain_of_restarted_holders_waits_for_the_first_granter(seed):
    """Against a bound that is lost with the third or fourth process in a row."""
    case = SuccessionRun(seed)
    case.cut_off(case.first)
    case.hide_server()
    for how in ("restart", "stop", "restart"):
        second = case.await_successor(case.first)
        case.end(second, how)
    case.advance(WATCHED_S)
    assert case.doubles == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_two_holders_that_are_cut_off_in_turn_are_both_awaited(seed):
    """Against a third granter that reckons with the second one alone."""
    case = SuccessionRun(seed)
    case.cut_off(case.first)
    case.hide_server(CUT_S + 6.0)
    second = case.await_successor(case.first)
    case.cut_off(second, CUT_S + 6.0)
    third = case.await_successor(case.first, second)
    case.end(third, "restart")
    case.advance(WATCHED_S)
    assert case.doubles == set()


@pytest.mark.parametrize("late_s", [0.0, 1.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_unanswered_writes_of_the_entry_keep_the_first_granter_known(seed, late_s):
    """Against a holder that finds its own entry and forgets who was there before."""
    case = SuccessionRun(seed)
    store = case.run.fleet.store
    store.lost_answer_probability, store.late_s = 0.6, late_s
    case.cut_off(case.first)
    case.hide_server()
    second = case.await_successor(case.first)
    case.end(second, "restart")
    case.advance(WATCHED_S)
    assert case.doubles == set()


@pytest.mark.parametrize("seed", SEEDS)
def test_restore_amid_a_chain_keeps_the_first_granter_known(seed):
    """Against a copy of the store that lacks an earlier holder."""
    case = SuccessionRun(seed)
    case.cut_off(case.first)
    case.hide_server()
    second = case.await_successor(case.first)
    case.run.fleet.restore_store(1.0)
    case.end(second, "restart")
    case.advance(WATCHED_S)
    assert case.doubles == set()


@pytest.mark.parametrize("seed", range(31, 37))
def test_granter_whose_lease_has_ended_does_not_act_by_a_new_one(seed):
    """Against a granter that regains the store, but not yet knows of its successor."""
    case = SuccessionRun(seed)
    case.cut_off(case.first, CUT_S + 6.0)
    case.hide_server(CUT_S + 6.0)
    store = case.run.fleet.store

    def regain():
        store.unreachable_instances.discard(case.first)
        store.has_silent_watches = True

    acts_max_s = LEASE_TTL_S + OUTAGE_DUTY_EXTENSION_S
    case.run.fleet.call_later(acts_max_s - 0.5, regain)
    case.advance(acts_max_s + 0.4)
    assert case.first not in case.find_holders()
    case.advance(WATCHED_S)
    assert case.doubles == set()


def test_former_issuer_is_known_to_the_successor_of_its_successor():
    """Against tokens of a tenant that two issuers hand out in one window."""
    duty = get_issuing_duty("busy")
    case = SuccessionRun(31, duty)
    case.cut_off(case.first)
    second = case.await_successor(case.first)
    case.end(second, "restart")
    third = case.await_successor(case.first)
    case.advance(0.5)
    assert case.first in case.find_holders()
    assert not case.run.get_router(third).rates.issuer.is_issuing(duty)


def test_end_of_the_granter_alone_delays_its_successor_as_little_as_before():
    """Against a wait of all take-overs for holders that have long ended."""
    case = SuccessionRun(31)
    case.cut_off(case.first, 4.0)
    second = case.await_successor(case.first)
    case.advance(CUT_S)
    case.end(second, "restart")
    third = case.await_successor()
    taken = [f for _, name, f in case.run.find_log_lines("duty_taken") if name == third]
    waits_s = [f["predecessor_may_act_s"] for f in taken if f["duty"] == DUTY]
    assert waits_s[-1] == 0.0
