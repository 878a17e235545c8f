"""State of one duty on an instance, and the order in which instances take duties."""

from collections import Counter
from collections.abc import Collection, Mapping

import attrs

from .awaited_answers import AwaitedAnswers
from .models import DutyHolder, DutyListener, HolderTerm, hash_rank


@attrs.define(eq=False)
class DutyRow:
    """State of one duty: its last known holder, and whether this instance holds it.

    `fence` is of an earlier era of the store from a restore until this instance has
    written its entry again. It then acts until `acts_until_s` at the latest, and writes
    the entry if `is_confirmed`: nobody can have taken the duty over before the restore.
    Nobody else may do an exclusive duty at the same time. Times are monotonic.
    """

    name: str
    listener: DutyListener
    weight: int
    is_exclusive: bool = True
    holder: DutyHolder | None = None
    holder_seen_s: float = float("-inf")
    # Since when each earlier holder has been seen in the stored list.
    earlier_terms_s: dict[HolderTerm, float] = attrs.field(factory=dict)
    is_held: bool = False
    fence: int = 0
    # Lease under which the duty was taken, or found to be still held.
    lease_id: int = 0
    # Time before which the list of earlier holders is not removed again.
    forgets_from_s: float = float("-inf")
    commit_pending: bool = False
    # Time before which the entry is not written again, after a write without an answer.
    next_write_s: float = float("-inf")
    # Time since which this instance has seen the duty without a live holder.
    vacant_since_s: float | None = None
    answers: AwaitedAnswers = attrs.field(factory=AwaitedAnswers)
    announced_s: float = float("-inf")
    # Time until which a predecessor may act that is not known to have stopped.
    predecessor_bound_s: float = float("-inf")
    predecessor_may_act_until_s: float = float("-inf")
    acts_until_s: float = float("inf")
    is_confirmed: bool = True


def count_preferred_members(
    row: DutyRow, rows: Collection[DutyRow], own: str, capacities: Mapping[str, float]
) -> int:
    """Return how many other instances rank before this one, the least loaded first.

    `own` is the name of this instance, and `rows` are all duties. Loads count in
    proportion to `capacities`, which has all instances: the work of a duty that a large
    machine does aside would fill the processor and the link of a small one.
    """
    weights = _sum_duty_weights(rows, own)

    def rank(name: str) -> tuple[float, int]:
        load = (weights[name] + row.weight) / capacities[name]
        return load, hash_rank(row.name, name)

    own_rank = rank(own)
    return sum(rank(name) < own_rank for name in capacities if name != own)


def _sum_duty_weights(rows: Collection[DutyRow], own: str) -> Counter[str]:
    """Return the total duty weight of each instance, with duties being taken."""
    weights: Counter[str] = Counter()
    for row in rows:
        if row.commit_pending:
            weights[own] += row.weight
        elif row.holder is not None and row.vacant_since_s is None:
            weights[row.holder.instance] += row.weight
    return weights
