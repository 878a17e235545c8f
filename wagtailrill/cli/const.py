"""Limits, exit codes and environment variables of `wagtailrillctl`."""

import enum
from typing import Final


class ExitCode(enum.IntEnum):
    """Exit codes, documented in docs/operators/command-line.md."""

    OK = 0
    REFUSED = 1  # findings, or a change that cannot be made
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4  # another operator changed the configuration first


CALL_TIMEOUT_S: Final = 2.0
# Calls to the store are repeated for this long while it does not answer.
STORE_RETRY_MAX_S: Final = 10.0
STORE_RETRY_INTERVAL_S: Final = 0.3
PROGRESS_INTERVAL_S: Final = 1.0
# A change that conflicts with another operator's is retried on the latest version.
CHANGE_ATTEMPTS_MAX: Final = 5
ADMIN_RESPONSE_MAX_BYTES: Final = 4_194_304
# Names of environment variables that replace options.
STORE_ENV_VARIABLE: Final = "WAGTAILRILL_STORE"
DEPLOYMENT_ENV_VARIABLE: Final = "WAGTAILRILL_DEPLOYMENT"
INSTANCES_ENV_VARIABLE: Final = "WAGTAILRILL_INSTANCES"
