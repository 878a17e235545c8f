"""Header names of wagtailrill's own interface to callers and backend servers."""

from typing import Final

from ..gateway.header_dialect import HeaderNames
from ..organisations.const import TENANT_KEY_HEADER

HEADER_NAMES: Final = HeaderNames(
    request_id=b"wagtailrill-request-id",
    time_left_ms=b"wagtailrill-deadline-ms",
    organisation=b"wagtailrill-organisation",
    expected_server=b"",
    credential=TENANT_KEY_HEADER,
    credential_scheme=b"",
    key_position=b"wagtailrill-key-position",
    callers_send_key_position=False,
    expires=b"wagtailrill-expires",
    attempt_number=b"wagtailrill-attempt",
    idempotency_key=b"idempotency-key",
    load=b"wagtailrill-load",
    not_run=b"wagtailrill-not-run",
    start_id=b"wagtailrill-start-id",
    leaving=b"",  # operators declare which servers leave
    signature=b"",
    servers_echo_request_id=False,
    reserved_prefix=b"wagtailrill-",
)
