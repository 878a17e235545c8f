"""Issues the tokens of organisations while this instance has their duty."""

import attrs

from ..core.context import Context
from .const import ISSUED_BURST_PART, ISSUED_BURSTS, ISSUED_PART
from .models import Bucket, Limit, RateSettings


@attrs.define(eq=False)
class Shard:
    """Buckets of the organisations of one duty.

    Nothing is issued before `issues_from_s`: until then a predecessor may issue, too.
    """

    issues_from_s: float
    starts_full: bool = False
    buckets: dict[str, Bucket] = attrs.field(factory=dict)


class Issuer:
    """Buckets of the duties that this instance has.

    A bucket starts empty, so that what a predecessor issued in the same window and
    what this one issues keep the bound together. Once in a window one may be filled.
    """

    def __init__(self, ctx: Context, cfg: RateSettings) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._declared: dict[str, Limit] = {}
        self._limits: dict[str, Limit] = {}
        self._shards: dict[str, Shard] = {}

    def configure(self, limits: dict[str, Limit]) -> None:
        """Apply the limits of a configuration."""
        self._declared = limits
        self._apply()

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings."""
        self._cfg = cfg
        self._apply()

    def _apply(self) -> None:
        limits = {
            name: self._cfg.shape(limit, ISSUED_PART, ISSUED_BURST_PART, ISSUED_BURSTS)
            for name, limit in self._declared.items()
        }
        self._limits = limits
        for shard in self._shards.values():
            for name, bucket in list(shard.buckets.items()):
                if name in limits:
                    bucket.resize(limits[name], self._ctx.now_s)
                else:
                    del shard.buckets[name]

    def begin(self, duty: str, wait_s: float) -> None:
        """Begin to issue for a duty after a wait."""
        shard = Shard(self._ctx.now_s + wait_s)
        self._shards[duty] = shard

    def predecessor_stopped(self, duty: str) -> None:
        """Wait no longer for a predecessor."""
        shard = self._shards.get(duty)
        if shard is not None:
            shard.issues_from_s = min(shard.issues_from_s, self._ctx.now_s)

    def fill(self, duty: str) -> None:
        """Fill the buckets of a duty, as they would be without a change of issuer."""
        shard = self._shards.get(duty)
        if shard is None:
            return
        shard.starts_full = True
        for bucket in shard.buckets.values():
            bucket.level = bucket.limit.burst

    def end(self, duty: str) -> None:
        """Issue no more for a duty."""
        self._shards.pop(duty, None)

    def issues(self, duty: str) -> bool:
        """Return whether tokens of a duty are issued here now."""
        shard = self._shards.get(duty)
        return shard is not None and self._ctx.now_s >= shard.issues_from_s

    def take(self, duty: str, name: str, wanted: int, returned: int) -> int:
        """Return how many tokens are issued."""
        bucket = self._bucket(duty, name)
        if bucket is None:
            return 0
        bucket.give_back(returned, self._ctx.now_s)
        return bucket.take(wanted, self._ctx.now_s)

    def due_in_s(self, duty: str, name: str) -> float:
        """Return the seconds until another token is due."""
        bucket = self._bucket(duty, name)
        return bucket.due_in_s() if bucket is not None else 1.0

    def _bucket(self, duty: str, name: str) -> Bucket | None:
        shard = self._shards.get(duty)
        limit = self._limits.get(name)
        if shard is None or limit is None:
            return None
        bucket = shard.buckets.get(name)
        if bucket is None:
            since_s = max(shard.issues_from_s, 0.0)
            level = limit.burst if shard.starts_full else 0.0
            bucket = shard.buckets[name] = Bucket(limit, since_s, level)
        return bucket
