"""Names of the HTTP headers that wagtailrill reads and writes."""

from typing import Final

REQUEST_ID_HEADER: Final = b"wagtailrill-request-id"
ORGANISATION_HEADER: Final = b"wagtailrill-organisation"
EXPIRES_HEADER: Final = b"wagtailrill-expires"  # Unix time in seconds
DEADLINE_HEADER: Final = b"wagtailrill-deadline-ms"
ATTEMPT_HEADER: Final = b"wagtailrill-attempt"
SLOT_HEADER: Final = b"wagtailrill-key-slot"
EPOCH_HEADER: Final = b"wagtailrill-epoch"
FENCE_HEADER: Final = b"wagtailrill-fence"
START_ID_HEADER: Final = b"wagtailrill-start-id"
# Set by a backend server on an answer to a request that it did not run.
NOT_RUN_HEADER: Final = b"wagtailrill-not-run"
IDEMPOTENCY_KEY_HEADER: Final = b"idempotency-key"
TRACE_HEADER: Final = b"traceparent"
