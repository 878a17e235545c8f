"""Entry point: `python -m wagtailrill.platform`."""

import gc
import sys

# Objects that are made while modules load stay; to look among them for garbage takes a
# tenth of the start, and callers wait for it after a loss of power.
gc.disable()

from .program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
