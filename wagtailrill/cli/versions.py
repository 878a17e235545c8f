"""Versions of the configuration as operators see them; used by the commands.

A version is the number that the store gave to the operator's write. A store that was
restored from a copy gives out its numbers again, so from then on the version also tells
the era of the store.
"""

from ..store.revision import FIRST_ERA, build_revision, get_era, get_number


def build_version(era: int, number: int) -> int:
    """Return the version of a write with a number in an era of the store."""
    return build_revision(era, number) if era > FIRST_ERA else number


def convert_revision(revision: int) -> int:
    """Return the version of a revision as instances report it."""
    return build_version(get_era(revision), get_number(revision))
