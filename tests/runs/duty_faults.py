"""Faults of the random runs in which holders of a duty follow each other."""

from functools import partial

from .deployment import Deployment


def replace_granters_in_turn(run: Deployment) -> None:
    """Cut the granter off, hide a server, and kill the next granters one by one.

    The granter still reaches the servers, and only it reaches the hidden one.
    """
    duty = "keys/roll"
    granters = _find_holders(run, duty)
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
        for name in _find_holders(run, duty):
            if name != granter and len(fleet.nodes) > 1:
                run.kill_instance(name)
                delay_s = run.rng.uniform(0.1, 1.0)
                fleet.call_later(delay_s, partial(fleet.start_instance, name))

    for _ in range(run.rng.randint(1, 3)):
        fleet.call_later(run.rng.uniform(2.3, 8.0), kill_successor)


def _find_holders(run: Deployment, duty: str) -> list[str]:
    return [n for n in run.fleet.nodes if run.get_router(n).duties.holds(duty)]
