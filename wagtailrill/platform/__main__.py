"""Entry point of `python -m wagtailrill.platform`."""

import gc
import sys

# Objects created while modules are imported live as long as the process. Scanning them
# for garbage takes a tenth of the start-up time, which callers wait for after a power
# failure.
gc.disable()

from .program import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
