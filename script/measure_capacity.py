"""Measures what control costs an instance as the fleet grows, on the virtual clock.

Prints for each size, without requests: messages and bytes between instances, calls to
the store, and processor time of the decision code; and the same for the instance that
sends most. Then the cost of a request with its placement.
"""

import argparse
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.runs.deployment import Deployment
from wagtailrill.core.commands import Command, SendPeer
from wagtailrill.peer.frame import FrameCodec
from wagtailrill.router.messages import make_registry

SETTLE_S = 4.0
WINDOW_S = 20.0
REQUESTS_PER_S = 100.0


def measure(instances: int, servers: int, with_requests: bool) -> dict[str, float]:
    """Return the figures of one size, for each instance and second."""
    codec = FrameCodec(make_registry(), (b"x" * 32,))

    def bytes_of(command: Command) -> int:
        assert isinstance(command, SendPeer)
        if command.envelope.sender == command.envelope.receiver:
            return 0
        return len(codec.encode_frame(command.envelope)) + 4

    run = Deployment(1, instances)
    run.start(servers_per_service=servers)
    run.fleet.run_until(run.now_s + SETTLE_S)
    if with_requests:
        run.load(REQUESTS_PER_S, run.now_s + WINDOW_S)
    run.fleet.bytes_of = bytes_of
    calls = dict(run.fleet.store.calls)
    spent_s = [0.0]
    for row in run.fleet.nodes.values():
        _time_steps(row.node, spent_s)
    run.fleet.run_until(run.now_s + WINDOW_S)
    sent = run.fleet.sent_bytes
    total_calls = sum(run.fleet.store.calls.values()) - sum(calls.values())
    return {
        "instances": instances,
        "servers": servers * 2,
        "bytes_per_s": round(sum(sent.values()) / instances / WINDOW_S, 1),
        "most_bytes_per_s": round(max(sent.values(), default=0) / WINDOW_S, 1),
        "store_calls_per_s": round(total_calls / instances / WINDOW_S, 3),
        "core_part": round(spent_s[0] / instances / WINDOW_S, 5),
        "requests": len(run.calls),
    }


def _time_steps(node: object, spent_s: list[float]) -> None:
    step = node.step  # type: ignore[attr-defined]

    def timed(*args: object) -> object:
        start_s = time.perf_counter()
        try:
            return step(*args)
        finally:
            spent_s[0] += time.perf_counter() - start_s

    node.step = timed  # type: ignore[attr-defined]


def main() -> None:
    """Print the table as JSON lines."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 12, 24, 48])
    args = parser.parse_args()
    for size in args.sizes:
        for with_requests in (False, True):
            print(json.dumps(measure(size, 12, with_requests)), flush=True)


if __name__ == "__main__":
    main()
