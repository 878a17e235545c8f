"""Revisions of the store, ordered also across restores of the store from a copy.

A store that was restored from a copy gives out revision numbers again. It counts its
restores in an era, so a revision is the pair of the era in which it was read and the
store's number. The pair is packed into one integer, which can be compared, logged and
sent to peers like a plain number.
"""

from typing import Final, NewType

# A packed revision is `era * NUMBER_LIMIT + number`. At 3,200 writes per second the
# numbers of one era last for ten years, and eras up to 9,000 fit into a JSON number.
NUMBER_LIMIT: Final = 10**12

Revision = NewType("Revision", int)

NO_REVISION: Final = Revision(0)
# The era of a store that has never been restored; one that reports no era has era 0.
FIRST_ERA: Final = 1
# A packed revision of a later era could be rounded as a JSON number.
ERA_MAX: Final = 9_000


def build_revision(era: int, number: int) -> Revision:
    """Return the revision with a number in an era; number 0 means no revision."""
    return Revision(era * NUMBER_LIMIT + number) if number else NO_REVISION


def get_era(revision: int) -> int:
    """Return the era in which a revision was read."""
    return revision // NUMBER_LIMIT


def get_number(revision: int) -> int:
    """Return the number that the store gave to a revision."""
    return revision % NUMBER_LIMIT
