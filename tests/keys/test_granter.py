"""Guards the assignment of keys by the granter, on the virtual clock."""

import pytest

from tests.runs.deployment import Deployment

POSITION = 4711


@pytest.fixture
def run():
    deployment = Deployment(13)
    deployment.start()
    return deployment


def owner_of(run: Deployment, position: int = POSITION) -> str:
    (owner,) = run.servers.holders(position, "roll")
    return owner


def served_after_s(run: Deployment, position: int, limit_s: float) -> float:
    """Return after how many seconds a request for a key is answered."""
    start_s = run.now_s
    while run.now_s - start_s < limit_s:
        call = run.call("i-3", service="roll", position=position)
        run.fleet.run_until(run.now_s + 0.1)
        if call.answered:
            return run.now_s - start_s
    pytest.fail(f"not served within {limit_s} s")


@pytest.mark.parametrize("position", [1, 20_000, 65_000])
def test_keys_of_a_silent_owner_are_served_again_within_four_seconds(run, position):
    """Guards against ranges that are given up one by one.

    Each range of a frozen owner was asked twice, two calls of half a second at a time,
    so the last one of thirty was lost after seven seconds and more.
    """
    run.servers.by_name[owner_of(run, position)].frozen = True
    assert served_after_s(run, position, 6.0) <= 4.3


def test_silent_owner_is_not_given_its_keys_again(run):
    """Guards against keys that a silent owner loses and gets by turns."""
    silent = owner_of(run)
    run.servers.by_name[silent].frozen = True
    frozen_s = run.now_s
    # It is tried again only later.
    run.fleet.run_until(frozen_s + 4.0)
    moves = [f for at_s, _, f in run.logged("keys_moved") if at_s > frozen_s]
    assert moves
    assert all(move["owner"] != silent for move in moves)
    assert sum(m["former_owner"] == m["owner"] for m in moves) == 0


def test_owner_that_comes_back_gets_keys_again(run):
    """Guards against a server that is left out for good after a pause."""
    silent = owner_of(run)
    server = run.servers.by_name[silent]
    server.frozen = True
    run.fleet.run_until(run.now_s + 5.0)
    run.servers.unfreeze(server)
    run.fleet.run_until(run.now_s + 12.0)
    held = {
        name for p in range(0, 65_536, 64) for name in run.servers.holders(p, "roll")
    }
    assert silent in held


def test_loss_of_the_granter_interrupts_no_key(run):
    """Guards against grants that end before a successor extends them."""
    granter = next(n for n in run.names if run.router(n).duties.holds("keys/roll"))
    run.kill(granter)
    callers = [n for n in run.names if n != granter]
    end_s = run.now_s + 6.0
    calls = []
    while run.now_s < end_s:
        for position in (100, 30_000, 60_000):
            calls.append(run.call(callers[0], service="roll", position=position))
        run.fleet.run_until(run.now_s + 0.1)
    run.fleet.run_until(run.now_s + 1.0)
    assert all(call.answered for call in calls)


def test_new_process_of_an_owner_gets_its_keys_with_a_higher_token(run):
    """Guards against a grant of a former process that a new one takes over."""
    owner = owner_of(run)
    before = run.router("i-1").explain_key("roll", str(POSITION))
    run.servers.crash(run.servers.by_name[owner], 0.3)
    run.fleet.run_until(run.now_s + 5.0)
    assert len(run.servers.holders(POSITION, "roll")) == 1
    granter = next(n for n in run.names if run.router(n).duties.holds("keys/roll"))
    after = run.router(granter).explain_key("roll", str(POSITION))
    assert before is not None
    assert after is not None
    assert after["state"] == "serving"
    moves = [f for _, _, f in run.logged("keys_moved")]
    fences = [m["fence"] for m in moves]
    assert len(fences) == len(set(fences))


def test_leaving_owner_gets_nothing_while_nobody_can_move_its_keys(run):
    """Guards against requests at a server that said two seconds ago that it leaves.

    On trouble-1 of nrra-gateway the granter could not reach the store, and its
    successor took over 2.2 s after the server had said so.
    """
    granter = next(n for n in run.names if run.router(n).duties.holds("keys/roll"))
    owner = owner_of(run)
    run.fleet.store.unreachable.add(granter)
    run.fleet.run_until(run.now_s + 0.1)
    run.servers.leave(run.servers.by_name[owner], after_s=5.0)
    left_s = run.now_s
    while run.now_s < left_s + 4.0:
        for name in run.names:
            run.call(name, service="roll", position=POSITION)
        run.fleet.run_until(run.now_s + 0.05)
    late = [
        e for e in run.servers.executions if e.server == owner and e.at_s > left_s + 2.0
    ]
    assert late == []
