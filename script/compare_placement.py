"""Compares ways to place unlike requests, on a virtual clock.

Short and long requests reach servers of uneven speed; see tests/placement/mixed_load.py
for the load. A row shows for each kind of request the mean latency and the 95th and
99th percentile, in seconds, and how many requests were refused.
"""

import argparse
import pathlib
import random
import sys
from collections.abc import Callable
from functools import partial

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from tests.placement.mixed_load import (
    LONG,
    SHORT,
    TAIL_FACTOR,
    TAIL_RATIO,
    DispatcherPlacer,
    Kind,
    Mix,
    MixedReplay,
    MixedRequest,
    PlacerFactory,
)
from wagtailrill.placement.messages import PlaceAnswer, PlaceVerdict


class ChangedDispatcher(DispatcherPlacer):
    """A dispatcher that is replaced by one that has seen no request.

    With `tells` the instances tell the new one what the former one told them.
    `told_work_s` has what the new one expects of the requests, by route and in the
    order of their placements.
    """

    def __init__(self, replay: MixedReplay, change_s: float, tells: bool) -> None:
        super().__init__(replay)
        self.told_work_s: dict[str, list[float]] = {}
        self._change_s, self._tells = change_s, tells
        self._is_changed = False
        self._known: dict[tuple[str, str], PlaceAnswer] = {}

    def hear_answer(self, req: MixedRequest, answer: PlaceAnswer) -> None:
        """Keep what the former dispatcher tells, and note what the new one does."""
        if answer.verdict is not PlaceVerdict.PLACED:
            return
        if self._is_changed:
            self.told_work_s.setdefault(req.kind.route, []).append(answer.work_s)
        else:
            self._known[req.sender, req.kind.route] = answer

    def list_known(self, req: MixedRequest) -> dict[str, float]:
        """Return the fields that a new dispatcher is told, none before the change."""
        if not self._is_changed and self._replay.now_s >= self._change_s:
            self._is_changed, self.dispatcher = True, self.make_dispatcher()
        known = self._known.get((req.sender, req.kind.route))
        if known is None or not self._is_changed or not self._tells:
            return {}
        return {
            "known_work_s": known.work_s,
            "known_spread_s": known.spread_s,
            "known_response_bytes": known.response_bytes,
            "known_certainty": known.certainty,
        }


class FewestRequests:
    """The server with the fewest requests per slot, of all or of some random ones."""

    def __init__(self, replay: MixedReplay, choices: int = 0) -> None:
        self._replay = replay
        self._choices = choices
        self._rng = random.Random(1)

    def place(self, req: MixedRequest, reply: Callable[[str | None], None]) -> None:
        """Choose at once."""
        servers = list(self._replay.servers.values())
        if self._choices:
            servers = self._rng.sample(servers, self._choices)
        else:
            self._rng.shuffle(servers)
        reply(min(servers, key=lambda s: s.running + len(s.waiting)).name)

    def end(self, req: MixedRequest, slowness: float | None) -> None:
        """Learn nothing."""

    def tick(self) -> None:
        """Do nothing."""


PLACERS: dict[str, PlacerFactory] = {
    "two choices": lambda replay: FewestRequests(replay, 2),
    "fewest requests": FewestRequests,
    "dispatcher, no traits": lambda replay: DispatcherPlacer(replay, False),
    "dispatcher": DispatcherPlacer,
}
UTILISATIONS = (0.6, 0.8, 0.9)


def describe(latencies_s: list[float]) -> str:
    """Return mean, 95th and 99th percentile of latencies."""
    ordered = sorted(latencies_s)
    mean_s = sum(ordered) / len(ordered)
    p95_s, p99_s = (ordered[int(len(ordered) * q)] for q in (0.95, 0.99))
    return f"{mean_s:.2f} / {p95_s:.2f} / {p99_s:.2f}"


def run(mix: Mix, make_placer: PlacerFactory, seeds: int) -> list[str]:
    """Return the cells of a row, for the requests of some runs together."""
    latencies_s: dict[str, list[float]] = {}
    refused, remote_bytes = 0, 0
    for seed in range(seeds):
        replay = MixedReplay(mix, make_placer, seed).run()
        for route, values in replay.latencies_s.items():
            latencies_s.setdefault(route, []).extend(values)
        refused += replay.refused
        remote_bytes += replay.remote_bytes
    megabytes = f"{remote_bytes / 1e6:.0f}"
    return [*map(describe, latencies_s.values()), str(refused), megabytes]


def print_change(mix: Mix, seeds: int) -> None:
    """Print what a new dispatcher expects of its first requests of each kind."""
    print("| told | kind | work of all | 1st request | 1st to 5th | 20th to 30th |")
    print("|---|---|---|---|---|---|")
    for tells in (False, True):
        told: dict[str, list[list[float]]] = {}
        for seed in range(seeds):
            replay = MixedReplay(
                mix,
                partial(ChangedDispatcher, change_s=mix.duration_s / 2.0, tells=tells),
                seed,
            ).run()
            assert isinstance(replay.placer, ChangedDispatcher)
            for route, values in replay.placer.told_work_s.items():
                told.setdefault(route, []).append(values)
        for kind in mix.kinds:
            runs = told[kind.route]
            work_s = kind.work_s * (1.0 + TAIL_RATIO * (TAIL_FACTOR - 1.0))
            cells = [
                f"{sum(sum(r[i:j]) for r in runs) / len(runs) / (j - i):.2f}"
                for i, j in ((0, 1), (0, 5), (19, 30))
            ]
            row = " | ".join(cells)
            print(f"| {tells} | {kind.route} | {work_s:.2f} | {row} |")


def main() -> int:
    """Print a table with a row for each utilisation and way to place."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--utilisation", type=float, nargs="+", default=UTILISATIONS)
    parser.add_argument("--placer", nargs="+", choices=PLACERS, default=list(PLACERS))
    parser.add_argument("--no-reports", action="store_true")
    parser.add_argument("--response-bytes", type=int, default=1_000)
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--change", action="store_true", help="change the dispatcher")
    args = parser.parse_args()
    short = Kind(
        *(SHORT.route, SHORT.share, SHORT.work_s, SHORT.target_s, SHORT.deadline_s),
        response_bytes=args.response_bytes,
    )
    if args.change:
        mix = Mix(0.6, (short, LONG), duration_s=args.seconds)
        print_change(mix, args.seeds)
        return 0
    print("| utilisation | placed by | short | long | refused | remote MB |")
    print("|---|---|---|---|---|---|")
    for utilisation in args.utilisation:
        mix = Mix(
            utilisation,
            (short, LONG),
            duration_s=args.seconds,
            reports=not args.no_reports,
            has_keys=args.keyed,
        )
        for name in args.placer:
            cells = run(mix, PLACERS[name], args.seeds)
            print(f"| {utilisation} | {name} | " + " | ".join(cells) + " |")
    return 0


if __name__ == "__main__":
    sys.exit(main())
