"""Issues tokens for the organisations whose duty this instance holds.

`RateLimiter` calls it on token requests and when duties change hands.
"""

import attrs

from ..core.context import Context
from .const import ISSUED_BOUND_RATIO, ISSUED_BURST_RATIO, ISSUED_BURSTS_PER_WINDOW
from .models import RateLimit, RateSettings, TokenBucket, split_limits


@attrs.define(eq=False)
class BucketShard:
    """Token buckets of the organisations of one duty.

    Nothing is issued before `issues_from_s`, because a predecessor may still issue
    until then. With `starts_full` a bucket that is created starts full, not empty.
    """

    issues_from_s: float
    starts_full: bool = False
    buckets: dict[str, TokenBucket] = attrs.field(factory=dict)


class TokenIssuer:
    """Token buckets of all duties that this instance holds.

    A bucket starts empty, so that the tokens of a predecessor in the same window and
    the tokens of this issuer stay within the bound together. Once per window the
    buckets of a duty may start full. An organisation without a limit gets all tokens
    that instances ask for, which may act by an earlier configuration.
    """

    def __init__(self, ctx: Context, cfg: RateSettings) -> None:
        self._ctx = ctx
        self._cfg = cfg
        self._declared_limits: dict[str, RateLimit] = {}
        self._unlimited: frozenset[str] = frozenset()
        self._bucket_limits: dict[str, RateLimit] = {}
        self._shards: dict[str, BucketShard] = {}

    def configure(self, limits: dict[str, RateLimit]) -> None:
        """Apply the limits of a configuration, by organisation."""
        self._declared_limits, self._unlimited = split_limits(limits)
        self._apply_limits()

    def apply_settings(self, cfg: RateSettings) -> None:
        """Replace the settings and resize the buckets."""
        self._cfg = cfg
        self._apply_limits()

    def _apply_limits(self) -> None:
        bucket_limits = {
            name: self._cfg.compute_bucket_limit(
                limit, ISSUED_BOUND_RATIO, ISSUED_BURST_RATIO, ISSUED_BURSTS_PER_WINDOW
            )
            for name, limit in self._declared_limits.items()
        }
        self._bucket_limits = bucket_limits
        for shard in self._shards.values():
            for name, bucket in list(shard.buckets.items()):
                if name in bucket_limits:
                    bucket.set_limit(bucket_limits[name], self._ctx.now_s)
                else:
                    del shard.buckets[name]

    def start_issuing(self, duty: str, wait_s: float) -> None:
        """Issue tokens for a duty after `wait_s` seconds."""
        shard = BucketShard(self._ctx.now_s + wait_s)
        self._shards[duty] = shard

    def stop_waiting_for_predecessor(self, duty: str) -> None:
        """Issue tokens for a duty now, because its predecessor has stopped."""
        shard = self._shards.get(duty)
        if shard is not None:
            shard.issues_from_s = min(shard.issues_from_s, self._ctx.now_s)

    def fill_buckets(self, duty: str) -> None:
        """Fill the buckets of a duty, as if the issuer had not changed."""
        shard = self._shards.get(duty)
        if shard is None:
            return
        shard.starts_full = True
        for bucket in shard.buckets.values():
            bucket.level = bucket.limit.burst

    def stop_issuing(self, duty: str) -> None:
        """Issue no more tokens for a duty."""
        self._shards.pop(duty, None)

    def is_issuing(self, duty: str) -> bool:
        """Return whether this instance issues the tokens of a duty now."""
        shard = self._shards.get(duty)
        return shard is not None and self._ctx.now_s >= shard.issues_from_s

    def take_tokens(
        self, duty: str, organisation: str, wanted: int, returned: int
    ) -> int:
        """Put `returned` tokens back and take up to `wanted`; return how many."""
        if organisation in self._unlimited:
            return wanted
        bucket = self._get_bucket(duty, organisation)
        if bucket is None:
            return 0
        bucket.return_tokens(returned, self._ctx.now_s)
        return bucket.take_tokens(wanted, self._ctx.now_s)

    def compute_token_delay_s(self, duty: str, organisation: str) -> float:
        """Return the seconds until another token of an organisation is due."""
        if organisation in self._unlimited:
            return 0.0
        bucket = self._get_bucket(duty, organisation)
        return bucket.compute_token_delay_s() if bucket is not None else 1.0

    def _get_bucket(self, duty: str, organisation: str) -> TokenBucket | None:
        shard = self._shards.get(duty)
        limit = self._bucket_limits.get(organisation)
        if shard is None or limit is None:
            return None
        bucket = shard.buckets.get(organisation)
        if bucket is None:
            updated_s = max(shard.issues_from_s, 0.0)
            level = limit.burst if shard.starts_full else 0.0
            bucket = shard.buckets[organisation] = TokenBucket(limit, updated_s, level)
        return bucket
