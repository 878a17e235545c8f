"""Faults of the random runs; each ends by itself."""

from collections.abc import Callable
from typing import Final

from wagtailrill.stand_ins.virtual_servers import VirtualServer

from .deployment import CLOSED_PREFIX, Deployment

Fault = Callable[[Deployment], None]


def _server(run: Deployment) -> VirtualServer | None:
    present = [s for s in run.servers.by_name.values() if not s.down and s.announced]
    return run.rng.choice(present) if present else None


def _instance(run: Deployment) -> str | None:
    names = [n for n in run.names if n in run.fleet.nodes]
    return run.rng.choice(names) if len(names) > 1 else None


def crash_server(run: Deployment) -> None:
    """Lose a server's process, which starts again."""
    server = _server(run)
    if server is not None:
        run.servers.crash(server, run.rng.uniform(0.1, 2.0))


def freeze_server(run: Deployment) -> None:
    """Stop a server for some seconds."""
    server = _server(run)
    if server is not None and not server.frozen:
        server.frozen = True
        run.fleet.call_later(
            run.rng.uniform(0.3, 6.0), lambda: run.servers.unfreeze(server)
        )


def replace_server(run: Deployment) -> None:
    """Let a server leave while another, cold one joins."""
    server = _server(run)
    if server is None or server.model.leaving:
        return
    service = server.model.cfg.service
    names = [s.model.cfg.name for s in run.servers.by_name.values()]
    number = sum(name.startswith(service) for name in names)
    run.servers.leave(server)
    run.add_server(service, number + run.rng.randrange(100, 999), cold_s=2.0)


def cut_server(run: Deployment) -> None:
    """Cut some instances off from a server."""
    server = _server(run)
    if server is not None:
        names = run.rng.sample(run.names, run.rng.randint(1, len(run.names)))
        server.cut |= set(names)
        run.fleet.call_later(run.rng.uniform(0.5, 5.0), server.cut.clear)


def slow_server(run: Deployment) -> None:
    """Let a server work slowly."""
    server = _server(run)
    if server is None:
        return
    model = server.model
    model.slowness = run.rng.uniform(3.0, 15.0)
    run.fleet.call_later(
        run.rng.uniform(1.0, 6.0), lambda: setattr(model, "slowness", 1.0)
    )


def lose_orders(run: Deployment) -> None:
    """Carry out control calls at a server late, and without an answer."""
    server = _server(run)
    if server is None:
        return
    server.lost_orders = run.rng.uniform(0.2, 1.0)
    server.late_s = run.rng.uniform(0.1, 6.0)
    run.fleet.call_later(
        run.rng.uniform(0.5, 5.0), lambda: setattr(server, "lost_orders", 0.0)
    )


def kill_instance(run: Deployment) -> None:
    """Lose an instance, which starts again."""
    name = _instance(run)
    if name is not None:
        run.kill(name)
        run.fleet.call_later(run.rng.uniform(0.5, 4.0), lambda: run.fleet.start(name))


def pause_instance(run: Deployment) -> None:
    """Stop an instance for some seconds."""
    name = _instance(run)
    if name is not None and not run.fleet.nodes[name].paused:
        run.fleet.pause(name)
        run.fleet.call_later(run.rng.uniform(0.2, 6.0), lambda: run.fleet.resume(name))


def cut_instance(run: Deployment) -> None:
    """Cut an instance off from the others."""
    name = _instance(run)
    if name is not None:
        run.fleet.partition({name})
        run.fleet.call_later(run.rng.uniform(0.5, 6.0), run.fleet.heal)


def lose_messages(run: Deployment) -> None:
    """Lose a part of the messages between instances."""
    run.fleet.lost_message_probability = run.rng.uniform(0.05, 0.6)

    def end() -> None:
        run.fleet.lost_message_probability = 0.0

    run.fleet.call_later(run.rng.uniform(0.5, 4.0), end)


def stop_store(run: Deployment) -> None:
    """Let the store answer nobody; leases do not run meanwhile."""
    store = run.fleet.store
    if store.down:
        return
    store.down = True
    outage_s = run.rng.uniform(0.5, 10.0)

    def end() -> None:
        store.down = False
        store.model.pause_leases(outage_s)

    run.fleet.call_later(outage_s, end)


def hide_store(run: Deployment) -> None:
    """Cut an instance off from the store."""
    name = _instance(run)
    if name is not None:
        unreachable = run.fleet.store.unreachable
        unreachable.add(name)
        run.fleet.call_later(
            run.rng.uniform(0.5, 8.0), lambda: unreachable.discard(name)
        )


def lose_store_answers(run: Deployment) -> None:
    """Carry out writes of the store late, and without an answer."""
    store = run.fleet.store
    store.lost_answer_probability = run.rng.uniform(0.1, 0.8)
    store.late_s = run.rng.choice((0.0, 0.5, 3.0))

    def end() -> None:
        store.lost_answer_probability = 0.0

    run.fleet.call_later(run.rng.uniform(0.5, 5.0), end)


def close_data_centre(run: Deployment) -> None:
    """Take a data centre out for some seconds."""
    key = CLOSED_PREFIX + "north"
    run.fleet.store.model.put(key, b"")
    run.fleet.call_later(
        run.rng.uniform(1.0, 5.0), lambda: run.fleet.store.model.remove(key)
    )


FAULTS: Final[dict[str, Fault]] = {
    fault.__name__: fault
    for fault in (
        crash_server,
        freeze_server,
        replace_server,
        cut_server,
        slow_server,
        lose_orders,
        kill_instance,
        pause_instance,
        cut_instance,
        lose_messages,
        stop_store,
        hide_store,
        lose_store_answers,
        close_data_centre,
    )
}
