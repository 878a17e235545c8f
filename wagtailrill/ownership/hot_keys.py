"""Choice of the keys that get an owner of their own."""

from collections.abc import Mapping, Set

import attrs

from . import const


@attrs.frozen
class HotKeyPlan:
    """Key hashes to promote, hottest first, and to demote."""

    promote: tuple[int, ...] = ()
    demote: tuple[int, ...] = ()


def plan_hot_keys(
    hot: Set[int],
    rates: Mapping[int, float],
    mean_server_rate: float,
    hot_keys_max: int,
) -> HotKeyPlan:
    """Plan promotions and demotions from the rates of the top keys in requests/s.

    A key displaces another one only when it is twice as hot.
    """
    if mean_server_rate <= 0.0:
        return HotKeyPlan()
    keep_rate = const.HOT_DEMOTE_SHARE * mean_server_rate
    demote = {h for h in hot if rates.get(h, 0.0) < keep_rate}
    kept = sorted(hot - demote, key=lambda h: (rates.get(h, 0.0), h))
    enter_rate = const.HOT_PROMOTE_SHARE * mean_server_rate
    candidates = sorted(
        (h for h, rate in rates.items() if h not in hot and rate >= enter_rate),
        key=lambda h: (-rates[h], h),
    )
    room = max(hot_keys_max - len(hot), 0)
    promote = candidates[:room]
    for coming, going in zip(candidates[room:], kept, strict=False):
        if rates[coming] < 2.0 * rates.get(going, 0.0):
            break
        demote.add(going)
    return HotKeyPlan(tuple(promote), tuple(sorted(demote)))
