"""Balanced assignment of partition homes that moves few of them."""

from collections.abc import Collection, Sequence

from ..partitions.directory import Home


def _loads(homes: Sequence[Home], eligible: Collection[str]) -> dict[str, int]:
    loads = dict.fromkeys(sorted(eligible), 0)
    for home in homes:
        if home.instance in loads:
            loads[home.instance] += 1
    return loads


def assign(
    homes: Sequence[Home], partitions: Collection[int], eligible: Collection[str]
) -> list[Home]:
    """Return the homes with the given partitions given to the least loaded."""
    result = list(homes)
    loads = _loads(homes, eligible)
    if not loads:
        return result
    for partition in sorted(partitions):
        instance = min(loads, key=loads.__getitem__)
        loads[instance] += 1
        result[partition] = Home(instance, homes[partition].epoch + 1)
    return result


def vacate(homes: Sequence[Home], partitions: Collection[int]) -> list[Home]:
    """Return the homes with the given partitions vacant under a higher epoch."""
    return [
        Home("", home.epoch + 1) if partition in partitions else home
        for partition, home in enumerate(homes)
    ]


def surplus(homes: Sequence[Home], eligible: Collection[str]) -> set[int]:
    """Return the fewest partitions to move so that loads differ by at most one."""
    loads = _loads(homes, eligible)
    moved: set[int] = set()
    while loads and max(loads.values()) - min(loads.values()) > 1:
        heaviest = max(loads, key=loads.__getitem__)
        lightest = min(loads, key=loads.__getitem__)
        moved.add(
            next(
                p
                for p, home in enumerate(homes)
                if home.instance == heaviest and p not in moved
            )
        )
        loads[heaviest] -= 1
        loads[lightest] += 1
    return moved
