"""Faults of the random runs in which holders of a duty follow each other."""

from functools import partial
from typing import Final

from wagtailrill.stand_ins.virtual_fleet import ANSWERED_REFUSALS

from .deployment import Deployment

GRANTER_DUTY: Final = "keys/roll"


def replace_granters_in_turn(run: Deployment) -> None:
    """Cut the granter off, hide a server, and kill the next granters one by one.

    The granter still reaches the servers, and only it reaches the hidden one.
    """
    granters = _find_holders(run, GRANTER_DUTY)
    announced = [
        s
        for s in run.servers.by_name.values()
        if not s.down and s.announced and not s.entry_hidden
    ]
    if not granters or not announced:
        return
    server = run.rng.choice(announced)
    granter, fleet = granters[0], run.fleet
    fleet.isolate_instances({granter})
    fleet.store.unreachable_instances.add(granter)
    run.servers.hide_entry(server, 10.0)
    server.cut_instances |= set(run.instance_names) - {granter}

    def reconnect() -> None:
        fleet.store.unreachable_instances.discard(granter)
        fleet.restore_links()
        server.cut_instances.clear()

    fleet.call_later(run.rng.uniform(9.0, 11.0), reconnect)

    def kill_successor() -> None:
        for name in _find_holders(run, GRANTER_DUTY):
            if name != granter and len(fleet.nodes) > 1:
                run.kill_instance(name)
                delay_s = run.rng.uniform(0.1, 1.0)
                fleet.call_later(delay_s, partial(fleet.start_instance, name))

    for _ in range(run.rng.randint(1, 3)):
        fleet.call_later(run.rng.uniform(2.3, 8.0), kill_successor)


def refuse_granters_amid_late_writes(run: Deployment) -> None:
    """Lose answers of writes that are executed late, and refuse granters meanwhile."""
    store = run.fleet.store
    store.lost_answer_probability = run.rng.uniform(0.2, 0.6)
    store.late_s = run.rng.uniform(0.5, 4.0)
    lasts_s = run.rng.uniform(3.0, 6.0)

    def end() -> None:
        store.lost_answer_probability = 0.0

    def refuse() -> None:
        for name in _find_holders(run, GRANTER_DUTY):
            store.refusals[name] = run.rng.choice(ANSWERED_REFUSALS)
            serve_again = partial(store.refusals.pop, name, None)
            run.fleet.call_later(run.rng.uniform(0.1, 1.2), serve_again)

    run.fleet.call_later(lasts_s, end)
    for _ in range(run.rng.randint(2, 6)):
        run.fleet.call_later(run.rng.uniform(0.0, lasts_s), refuse)


def _find_holders(run: Deployment, duty: str) -> list[str]:
    return [n for n in run.fleet.nodes if run.get_router(n).duties.holds(duty)]
