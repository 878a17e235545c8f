"""Faults that the random runs inject; each ends by itself.

The functions' names are the values of the `--fault` flag.
"""

import json
from collections.abc import Callable
from functools import partial
from typing import Final

import attrs

from wagtailrill.stand_ins.virtual_models import VirtualServer
from wagtailrill.stand_ins.virtual_servers import ENTRY_PREFIX

from .deployment import CLOSED_PREFIX, Deployment
from .duty_faults import refuse_granters_amid_late_writes, replace_granters_in_turn

Fault = Callable[[Deployment], None]


def _choose_server(run: Deployment) -> VirtualServer | None:
    running_servers = [
        s for s in run.servers.by_name.values() if not s.down and s.announced
    ]
    return run.rng.choice(running_servers) if running_servers else None


def _choose_instance(run: Deployment) -> str | None:
    running_names = [n for n in run.instance_names if n in run.fleet.nodes]
    return run.rng.choice(running_names) if len(running_names) > 1 else None


def crash_server(run: Deployment) -> None:
    """Crash a server, which restarts after up to 2 s."""
    server = _choose_server(run)
    if server is not None:
        run.servers.crash_server(server, run.rng.uniform(0.1, 2.0))


def restart_under_its_id(run: Deployment) -> None:
    """Crash a server, which is back under its id within 0.8 s."""
    server = _choose_server(run)
    if server is not None:
        model = server.model
        model.cfg = attrs.evolve(model.cfg, name=model.server_id, keeps_id=True)
        run.servers.crash_server(server, run.rng.uniform(0.05, 0.8))


def write_odd_entry(run: Deployment) -> None:
    """Put an entry without start and number in a server's place, until its next."""
    server = _choose_server(run)
    store = run.fleet.store
    if server is None or store.down:
        return
    for item in store.model.list_items(f"{ENTRY_PREFIX}{server.model.server_id}"):
        fields = json.loads(item.value)
        odd = {k: v for k, v in fields.items() if k not in ("born", "seq")}
        store.model.put_item(item.key, json.dumps(odd).encode())


def freeze_server(run: Deployment) -> None:
    """Freeze a server for up to 6 s."""
    server = _choose_server(run)
    if server is not None and not server.frozen:
        server.frozen = True
        run.fleet.call_later(
            run.rng.uniform(0.3, 6.0), lambda: run.servers.unfreeze_server(server)
        )


def replace_server(run: Deployment) -> None:
    """Drain a server while another, cold one joins."""
    server = _choose_server(run)
    if server is None or server.model.leaving:
        return
    service = server.model.cfg.service
    names = [s.model.cfg.name for s in run.servers.by_name.values()]
    number = sum(name.startswith(service) for name in names)
    run.servers.drain_server(server)
    run.add_server(service, number + run.rng.randrange(100, 999), cold_s=2.0)


def leave_in_answers(run: Deployment) -> None:
    """Let a server say that it leaves in its answers, and later in its entry."""
    server = _choose_server(run)
    if server is None or server.model.leaving:
        return
    server.model.leaving = server.entry_says_ready = True
    service = server.model.cfg.service
    run.add_server(service, run.rng.randrange(1_000, 9_999), cold_s=0.0)

    def say_in_entry() -> None:
        server.entry_says_ready = False
        run.servers.drain_server(server)

    run.fleet.call_later(run.rng.uniform(0.5, 6.0), say_in_entry)


def ask_for_pause(run: Deployment) -> None:
    """Let a server turn all requests away, and ask each instance for a pause.

    Later answers ask for another span, which may end sooner or later than the first. At
    times the server's entry is not in the store for a while meanwhile.
    """
    server = _choose_server(run)
    if server is None:
        return
    model = server.model

    def ask(pause_s: float) -> None:
        model.asked_pause_s = pause_s

    ask(run.rng.uniform(0.6, 8.0))
    run.fleet.call_later(0.004, lambda: ask(run.rng.uniform(0.3, 6.0)))
    run.fleet.call_later(run.rng.uniform(0.1, 3.0), lambda: ask(0.0))
    if run.rng.random() < 0.5 and not server.entry_hidden:
        hidden_s = run.rng.uniform(0.8, 1.6)
        run.fleet.call_later(0.1, lambda: run.servers.hide_entry(server, hidden_s))


def hide_entry(run: Deployment) -> None:
    """Remove the entry of a running server from the store for up to 5 s."""
    server = _choose_server(run)
    if server is not None and not server.entry_hidden:
        run.servers.hide_entry(server, run.rng.uniform(0.5, 5.0))


def cut_server(run: Deployment) -> None:
    """Make a server unreachable for some instances."""
    server = _choose_server(run)
    if server is not None:
        names = run.rng.sample(
            run.instance_names, run.rng.randint(1, len(run.instance_names))
        )
        server.cut_instances |= set(names)
        run.fleet.call_later(run.rng.uniform(0.5, 5.0), server.cut_instances.clear)


def slow_server(run: Deployment) -> None:
    """Multiply the service times of a server."""
    server = _choose_server(run)
    if server is None:
        return
    model = server.model
    model.slowness = run.rng.uniform(3.0, 15.0)
    run.fleet.call_later(
        run.rng.uniform(1.0, 6.0), lambda: setattr(model, "slowness", 1.0)
    )


def lose_orders(run: Deployment) -> None:
    """Let some control calls take effect late at a server, without an answer."""
    server = _choose_server(run)
    if server is None:
        return
    server.lost_call_probability = run.rng.uniform(0.2, 1.0)
    server.late_s = run.rng.uniform(0.1, 6.0)
    run.fleet.call_later(
        run.rng.uniform(0.5, 5.0), lambda: setattr(server, "lost_call_probability", 0.0)
    )


def kill_instance(run: Deployment) -> None:
    """Kill an instance, which restarts after up to 4 s."""
    name = _choose_instance(run)
    if name is not None:
        run.kill_instance(name)
        run.fleet.call_later(
            run.rng.uniform(0.5, 4.0), lambda: run.fleet.start_instance(name)
        )


def pause_instance(run: Deployment) -> None:
    """Pause an instance for up to 6 s."""
    name = _choose_instance(run)
    if name is not None and not run.fleet.nodes[name].paused:
        run.fleet.pause_instance(name)
        run.notice_checks.excuse_instance(name)
        run.fleet.call_later(
            run.rng.uniform(0.2, 6.0), lambda: run.fleet.resume_instance(name)
        )


def cut_instance(run: Deployment) -> None:
    """Drop all messages between an instance and the others."""
    name = _choose_instance(run)
    if name is not None:
        run.fleet.isolate_instances({name})
        run.fleet.call_later(run.rng.uniform(0.5, 6.0), run.fleet.restore_links)


def lose_messages(run: Deployment) -> None:
    """Drop a part of the messages between instances."""
    run.fleet.lost_message_probability = run.rng.uniform(0.05, 0.6)

    def end() -> None:
        run.fleet.lost_message_probability = 0.0

    run.fleet.call_later(run.rng.uniform(0.5, 4.0), end)


def stop_store(run: Deployment) -> None:
    """Stop the store from answering; leases do not expire meanwhile."""
    store = run.fleet.store
    if store.down:
        return
    store.down = True
    outage_s = run.rng.uniform(0.5, 10.0)

    def end() -> None:
        store.down = False
        store.model.pause_leases(outage_s)

    run.fleet.call_later(outage_s, end)


def restore_store(run: Deployment) -> None:
    """Stop the store; it comes back from a copy of up to 10 s ago."""
    store = run.fleet.store
    if store.down:
        return
    store.down = True
    age_s = run.rng.uniform(1.0, 10.0)

    def end() -> None:
        store.down = False
        run.fleet.restore_store(age_s)

    run.fleet.call_later(run.rng.uniform(0.2, 3.0), end)


def start_after_restore(run: Deployment) -> None:
    """Restore the store from before a version, and replace some instances then."""
    run.write_configuration()
    run.fleet.call_later(0.4, lambda: restore_store(run))
    for _ in range(run.rng.randint(1, 3)):
        run.fleet.call_later(run.rng.uniform(0.5, 5.0), lambda: _restart_instance(run))


def _restart_instance(run: Deployment) -> None:
    name = _choose_instance(run)
    if name is not None:
        run.kill_instance(name)
        run.fleet.start_instance(name)


def restore_amid_late_writes(run: Deployment) -> None:
    """Restore the store while writes without an answer have yet to take effect."""
    store = run.fleet.store
    store.lost_answer_probability = run.rng.uniform(0.2, 0.8)
    store.late_s = run.rng.uniform(0.5, 4.0)

    def begin_restore() -> None:
        store.lost_answer_probability = 0.0
        if not store.down:
            run.fleet.restore_store(run.rng.uniform(0.3, 5.0))

    run.fleet.call_later(run.rng.uniform(0.1, 3.0), begin_restore)


def restore_beside_losses(run: Deployment) -> None:
    """Restore the store while an instance cannot reach it and others restart."""
    store = run.fleet.store
    if store.down:
        return
    store.down = True
    names = [n for n in run.instance_names if n in run.fleet.nodes]
    hidden = run.rng.sample(names, run.rng.randint(0, 1))
    lost = [n for n in run.rng.sample(names, run.rng.randint(0, 2)) if n not in hidden]
    age_s = run.rng.uniform(1.0, 10.0)
    unreachable = store.unreachable_instances
    unreachable.update(hidden)
    run.fleet.call_later(
        run.rng.uniform(1.0, 8.0), lambda: unreachable.difference_update(hidden)
    )
    for name in lost:
        run.kill_instance(name)
        delay_s = run.rng.uniform(0.1, 2.0)
        run.fleet.call_later(delay_s, partial(run.fleet.start_instance, name))

    def end() -> None:
        store.down = False
        run.fleet.restore_store(age_s)

    run.fleet.call_later(run.rng.uniform(0.2, 2.0), end)


def slow_store(run: Deployment) -> None:
    """Let the store answer slowly, so that much happens during a write."""
    store = run.fleet.store
    latency_s, store.latency_s = store.latency_s, run.rng.uniform(0.05, 0.4)
    run.fleet.call_later(
        run.rng.uniform(2.0, 8.0), lambda: setattr(store, "latency_s", latency_s)
    )


def silence_watches(run: Deployment) -> None:
    """Let watches of the store tell of changes only when their wait ends."""
    store = run.fleet.store
    store.has_silent_watches = True
    run.fleet.call_later(
        run.rng.uniform(2.0, 12.0), lambda: setattr(store, "has_silent_watches", False)
    )


def hide_store(run: Deployment) -> None:
    """Make the store unreachable for an instance."""
    name = _choose_instance(run)
    if name is not None:
        unreachable = run.fleet.store.unreachable_instances
        unreachable.add(name)
        run.fleet.call_later(
            run.rng.uniform(0.5, 8.0), lambda: unreachable.discard(name)
        )


def lose_store_answers(run: Deployment) -> None:
    """Let some writes to the store take effect late, without an answer."""
    store = run.fleet.store
    store.lost_answer_probability = run.rng.uniform(0.1, 0.8)
    store.late_s = run.rng.choice((0.0, 0.5, 3.0))

    def end() -> None:
        store.lost_answer_probability = 0.0

    run.fleet.call_later(run.rng.uniform(0.5, 5.0), end)


def close_data_centre(run: Deployment) -> None:
    """Close a data centre for up to 5 s."""
    key = CLOSED_PREFIX + "north"
    run.fleet.store.write_operator_key(key, b"")
    run.fleet.call_later(
        run.rng.uniform(1.0, 5.0),
        lambda: run.fleet.store.write_operator_key(key, None),
    )


def change_configuration(run: Deployment) -> None:
    """Write a new version of the configuration now, and others within 4 s."""
    run.write_configuration()
    for _ in range(run.rng.randint(0, 3)):
        run.fleet.call_later(run.rng.uniform(0.1, 4.0), run.write_configuration)


FAULTS: Final[dict[str, Fault]] = {
    fault.__name__: fault
    for fault in (
        crash_server,
        freeze_server,
        replace_server,
        leave_in_answers,
        ask_for_pause,
        hide_entry,
        cut_server,
        slow_server,
        lose_orders,
        kill_instance,
        pause_instance,
        cut_instance,
        lose_messages,
        stop_store,
        restore_store,
        start_after_restore,
        restore_amid_late_writes,
        slow_store,
        silence_watches,
        hide_store,
        lose_store_answers,
        close_data_centre,
        change_configuration,
    )
}

# Those that are only drawn when they are named, too.
NAMED_FAULTS: Final[dict[str, Fault]] = FAULTS | {
    fault.__name__: fault
    for fault in (
        restore_beside_losses,
        restart_under_its_id,
        write_odd_entry,
        replace_granters_in_turn,
        refuse_granters_amid_late_writes,
    )
}
