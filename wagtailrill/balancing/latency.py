"""Latency of one backend server as this instance sees it."""

import math

import attrs

from .const import INITIAL_LATENCY_S


@attrs.define
class Latency:
    """Peak-EWMA for choosing and a plain mean for finding outliers, in seconds."""

    decay_s: float
    peak_s: float = INITIAL_LATENCY_S
    mean_s: float = INITIAL_LATENCY_S
    samples: int = 0
    updated_s: float = float("-inf")

    def record(self, latency_s: float, now_s: float) -> None:
        """Take in an answer; the peak rises at once and falls slowly."""
        weight = math.exp(-max(0.0, now_s - self.updated_s) / self.decay_s)
        if latency_s >= self.peak_s * weight:
            self.peak_s = latency_s
        else:
            self.peak_s = self.peak_s * weight + latency_s * (1.0 - weight)
        self.updated_s = now_s
        self.samples += 1
        share = max(1.0 / self.samples, 0.1)
        self.mean_s += share * (latency_s - self.mean_s)

    def score_s(self, now_s: float) -> float:
        """Return the peak, decayed since the last answer so that it is tried again."""
        if not self.samples:
            return self.peak_s
        return self.peak_s * math.exp(-(now_s - self.updated_s) / self.decay_s)

    def reset(self) -> None:
        """Forget former answers, so that the server is tried."""
        self.peak_s = self.mean_s = INITIAL_LATENCY_S
        self.samples = 0
