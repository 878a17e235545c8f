"""The one zone in which a keyed service has upstreams is evacuated."""

import asyncio
import random
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "rig"))

from rig import (  # noqa: E402
    KEYS,
    TROUBLE,
    Client,
    Instance,
    Store,
    Upstream,
    build_config,
    make_route,
    make_service,
    run_case,
    wait_until,
)

HOST = "roll.example"
EVACUATED_S = 12.0
BOUND_S = 5.0


async def case(record, folder, instances):
    store = Store(record)
    upstreams = [
        Upstream(store, record, "roll", f"u-{n}", zone="z1", sharded=True)
        for n in range(4)
    ]
    others = [Upstream(store, record, "look", f"v-{n}", zone="z2") for n in range(2)]
    store.put(
        "op/config",
        build_config(
            7,
            [
                make_route("r1", HOST, "/a/", "safe", "roll"),
                make_route("r2", HOST, "/b/", "safe", "look"),
            ],
            [
                make_service("roll", sharded=True, warm="5s", grants="invoke"),
                make_service("look"),
            ],
        ),
    )
    for upstream in upstreams + others:
        await upstream.start()
    for number in range(3):
        door = await store.open_door()
        zone = "z1" if number == 0 else "z2"
        instances.append(Instance(number, door, folder, zone, ("z1", "z2")))
        instances[-1].start()
    for instance in instances:
        await wait_until(instance.is_ready, f"{instance.name} is ready")

    def all_held():
        return all(any(u.find_hold(k) for u in upstreams) for k in range(0, KEYS, 64))

    await wait_until(all_held, "all keys have owners")
    client, rng, ends = Client(record), random.Random(1), asyncio.Event()

    async def send_requests():
        while not ends.is_set():
            instance = rng.choice(instances)
            path = rng.choice(("/a/x", "/b/x"))
            key = rng.randrange(KEYS) if path == "/a/x" else None
            await client.send(instance.front, "GET", path, HOST, key=key)
            await asyncio.sleep(0.02)

    clients = [asyncio.ensure_future(send_requests()) for _ in range(4)]
    await asyncio.sleep(5.0)
    evacuated_s = time.monotonic()
    if TROUBLE:
        store.put("op/evacuate/z1", b"{}")
        record.write("z1 is evacuated")
    await asyncio.sleep(EVACUATED_S)
    taken_back_s = time.monotonic()
    if TROUBLE:
        store.remove("op/evacuate/z1")
        record.write("z1 is taken back")
    await asyncio.sleep(1.0)
    ends.set()
    await asyncio.gather(*clients)
    late = [
        run
        for upstream in upstreams
        for run in upstream.runs
        if TROUBLE and evacuated_s + BOUND_S < run[3] < taken_back_s
    ]
    for request_id, life, key, begun_s in late:
        record.write(
            "LATE",
            request_id,
            "key",
            key,
            "at",
            life,
            f"{begun_s - evacuated_s:.3f} s after the evacuation",
        )
    print(f"{len(late)} requests reached the evacuated zone later than {BOUND_S} s")
    return bool(late)


run_case(case, HERE)
