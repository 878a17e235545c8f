"""Log line about bytes that a connection refused by itself."""

from ..core.commands import LogEvent
from ..core.log_events import LogName
from ..gateway.caller_exchange import RefusedInput


def make_refused_input_event(
    refused: RefusedInput, *further_fields: tuple[str, str]
) -> LogEvent:
    """Return the log line."""
    fault = refused.fault
    return LogEvent(
        LogName.INPUT_REFUSED,
        (
            ("request_id", refused.caller_request_id),
            ("code", fault.refusal.code.value),
            ("status", fault.refusal.status),
            ("reason", fault.reason),
            ("received_bytes", fault.received_bytes),
            ("limit_bytes", fault.limit_bytes),
            ("pending_requests", refused.pending_requests),
            *further_fields,
        ),
    )
