"""Looks for keys that two upstreams hold at the same time."""

import asyncio
import time
from dataclasses import dataclass, field

from .upstream import Journal, Upstream

SAMPLE_S = 0.02


@dataclass
class Overlap:
    """Keys that two upstreams hold, and for how long now."""

    since_s: float
    longest_s: float = 0.0
    keys: str = ""


@dataclass
class HoldWatch:
    """Samples what the upstreams hold; `longest` is by pair of upstreams."""

    upstreams: list[Upstream]
    journal: Journal
    open: dict[tuple[str, str], Overlap] = field(default_factory=dict)
    longest: dict[tuple[str, str], Overlap] = field(default_factory=dict)

    async def run(self) -> None:
        """Sample until cancelled."""
        while True:
            self._sample()
            await asyncio.sleep(SAMPLE_S)

    def find_longest_s(self) -> float:
        """Return for how long two upstreams held the same keys at most."""
        return max((o.longest_s for o in self.longest.values()), default=0.0)

    def _sample(self) -> None:
        now_s = self.journal.now_s()
        found: dict[tuple[str, str], str] = {}
        ups = self.upstreams
        for index, one in enumerate(ups):
            for other in ups[index + 1 :]:
                keys = _find_common(one, other)
                if keys is not None:
                    found[one.name, other.name] = keys
        for pair in list(self.open):
            if pair not in found:
                overlap = self.open.pop(pair)
                self.journal.note(
                    f"{pair} no longer hold the same keys, after "
                    f"{now_s - overlap.since_s:.2f} s"
                )
        for pair, keys in found.items():
            if pair not in self.open:
                self.open[pair] = Overlap(now_s)
                self.journal.note(f"{pair} hold the same keys: {keys}")
            overlap = self.open[pair]
            overlap.longest_s, overlap.keys = now_s - overlap.since_s, keys
            known = self.longest.get(pair)
            if known is None or known.longest_s < overlap.longest_s:
                self.longest[pair] = Overlap(overlap.since_s, overlap.longest_s, keys)


def _find_common(one: Upstream, other: Upstream) -> str | None:
    """Return keys that two running upstreams hold now, and by which fences."""
    if not (one.is_up and other.is_up):
        return None
    now_s = time.monotonic()
    for a in one.grants:
        if a.until_s <= now_s:
            continue
        for b in other.grants:
            if b.until_s <= now_s or a.first > b.last or b.first > a.last:
                continue
            first, last = max(a.first, b.first), min(a.last, b.last)
            return f"{first} to {last}, by the fences {a.fence} and {b.fence}"
    return None
