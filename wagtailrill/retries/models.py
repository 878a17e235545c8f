"""Settings of retries and hedges."""

import attrs


@attrs.frozen
class RetrySettings:
    """Budgets as shares, and durations in seconds.

    The retry budget counts attempts and the hedge budget their duration, with a decay
    of `window_s`. The minimum lets a service with few requests retry at all.
    """

    retry_share: float = 0.1
    retry_minimum: float = 3.0
    hedge_share: float = 0.05
    window_s: float = 10.0
    attempts_max: int = 3
    hedge_quantile: float = 0.95
    hedge_samples_min: int = 100
    backoff_base_s: float = 0.01
    backoff_max_s: float = 0.5
