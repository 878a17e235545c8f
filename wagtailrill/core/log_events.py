"""Names of the log lines, a closed list that docs/OPERATIONS.md explains."""

import enum


class LogName(enum.StrEnum):
    """Name of a log line of the decision code."""

    STORE_WATCH_LOST = "store_watch_lost"
    STORE_WATCH_REGAINED = "store_watch_regained"
    SERVER_LIST_LOST = "server_list_lost"
    SERVER_LIST_REGAINED = "server_list_regained"
    SERVER_JOINED = "server_joined"
    SERVER_CHANGED = "server_changed"
    SERVER_GONE = "server_gone"
    SERVER_ENTRY_INVALID = "server_entry_invalid"
    SERVER_EJECTED = "server_ejected"
    SERVER_READMITTED = "server_readmitted"
    SERVER_WARMTH_DOUBTED = "server_warmth_doubted"
    CONFIGURATION_APPLIED = "configuration_applied"
    CONFIGURATION_INVALID = "configuration_invalid"
    DATA_CENTRES_CLOSED = "data_centres_closed"
    REQUEST_REFUSED = "request_refused"
    REQUEST_FAILED = "request_failed"
    REQUEST_RETRIED = "request_retried"
    REQUEST_HEDGED = "request_hedged"
    CALLER_LEFT = "caller_left"
    DRAIN_STATE = "drain_state"
