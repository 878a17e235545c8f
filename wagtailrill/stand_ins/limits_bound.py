"""Exact check of the bound over every window of admitted requests."""

from typing import Final

from .limits_cell import LimitsCell

Step = tuple[float, float, float]  # start, rate and burst from then on

TOLERANCE_TOKENS: Final = 1e-4  # rounding of float sums; no whole token is tolerated


def limits_in_force(cell: LimitsCell, organisation: str) -> list[Step]:
    """Return (start, rate, burst) steps of the highest limit in force anywhere."""
    steps: list[Step] = []
    for time_s, versions in cell.version_log:
        limits = [cell.configurations[v].get(organisation, (0, 0)) for v in versions]
        steps.append((time_s, max(r for r, _ in limits), max(b for _, b in limits)))
    return steps


def worst_excess(times: list[float], steps: list[Step]) -> float:
    """Return how far any window exceeds its bound, in tokens.

    A window's bound is the highest burst in force within it plus the integral of
    the rate, so each burst is checked on the stretches where none is higher.
    """
    worst = 0.0
    for limit in {burst for _, _, burst in steps}:
        excess, level = 0.0, 0.0
        events = sorted(
            [(t, 0, r, b) for t, r, b in steps] + [(t, 1, 0.0, 0.0) for t in times]
        )
        rate, burst, last_s = 0.0, 0.0, 0.0
        for time_s, is_take, new_rate, new_burst in events:
            level = max(0.0, level - rate * (time_s - last_s))
            last_s = time_s
            if not is_take:
                rate, burst = new_rate, new_burst
            if burst > limit:
                level = 0.0
            elif is_take:
                level += 1.0
                excess = max(excess, level - limit)
        worst = max(worst, excess)
    return worst


def assert_bound(cell: LimitsCell) -> None:
    """Raise unless every window of every organisation is within its bound."""
    for organisation, times in cell.admitted.items():
        excess = worst_excess(times, limits_in_force(cell, organisation))
        assert excess <= TOLERANCE_TOKENS, (
            f"{organisation}: {excess:.3f} requests above burst + rate x window"
        )
