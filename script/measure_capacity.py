"""Measures the load of an instance by fleet size, on the virtual clock.

Prints for each size, without and with requests: bytes between instances, on average
and for the instance that sends most, calls to the store, and processor time of the
decision code.
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


def measure_size(instances: int, servers: int, with_requests: bool) -> dict[str, float]:
    """Return the figures of one fleet size, per instance and second."""
    codec = FrameCodec(make_registry(), (b"x" * 32,))

    def count_bytes(command: Command) -> int:
        assert isinstance(command, SendPeer)
        if command.envelope.sender == command.envelope.receiver:
            return 0
        return len(codec.encode_frame(command.envelope)) + 4

    deployment = Deployment(1, instances)
    deployment.start_all(servers_per_service=servers)
    deployment.fleet.run_until(deployment.now_s + SETTLE_S)
    if with_requests:
        deployment.send_random_requests(REQUESTS_PER_S, deployment.now_s + WINDOW_S)
    deployment.fleet.measure_bytes = count_bytes
    calls_before = dict(deployment.fleet.store.call_counts)
    processor_time_s = [0.0]
    for row in deployment.fleet.nodes.values():
        _time_steps(row.node, processor_time_s)
    deployment.fleet.run_until(deployment.now_s + WINDOW_S)
    sent_bytes = deployment.fleet.sent_bytes
    total_calls = sum(deployment.fleet.store.call_counts.values()) - sum(
        calls_before.values()
    )
    return {
        "instances": instances,
        "servers": servers * 2,
        "bytes_per_s": round(sum(sent_bytes.values()) / instances / WINDOW_S, 1),
        "most_bytes_per_s": round(max(sent_bytes.values(), default=0) / WINDOW_S, 1),
        "store_calls_per_s": round(total_calls / instances / WINDOW_S, 3),
        "core_part": round(processor_time_s[0] / instances / WINDOW_S, 5),
        "requests": len(deployment.calls),
    }


def _time_steps(node: object, processor_time_s: list[float]) -> None:
    step = node.step  # type: ignore[attr-defined]

    def run_timed(*args: object) -> object:
        start_s = time.perf_counter()
        try:
            return step(*args)
        finally:
            processor_time_s[0] += time.perf_counter() - start_s

    node.step = run_timed  # type: ignore[attr-defined]


def main() -> None:
    """Print the figures of each size as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=[4, 12, 24, 48])
    args = parser.parse_args()
    for size in args.sizes:
        for with_requests in (False, True):
            print(json.dumps(measure_size(size, 12, with_requests)), flush=True)


if __name__ == "__main__":
    main()
