"""Constants of the command line."""

import enum
from typing import Final


class ExitCode(enum.IntEnum):
    """Exit codes, documented in docs/operators/command-line.md."""

    OK = 0
    REFUSED = 1  # findings, or a change that cannot be made
    USAGE = 2
    UNREACHABLE = 3
    CHANGED = 4  # another operator changed the configuration first


CALL_TIMEOUT_S: Final = 2.0
# Calls are repeated for this long while the store does not answer.
STORE_PATIENCE_S: Final = 10.0
STORE_RETRY_S: Final = 0.3
PROGRESS_AFTER_S: Final = 1.0
# A command that races with others starts again from the latest version.
CHANGE_ATTEMPTS: Final = 5
ADMIN_ANSWER_MAX_BYTES: Final = 4_194_304
STORE_VARIABLE: Final = "WAGTAILRILL_STORE"
DEPLOYMENT_VARIABLE: Final = "WAGTAILRILL_DEPLOYMENT"
INSTANCES_VARIABLE: Final = "WAGTAILRILL_INSTANCES"
