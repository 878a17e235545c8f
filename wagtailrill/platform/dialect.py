"""Header names of the platform, for the gateway's callers and backend servers."""

from typing import Final

from ..gateway.header_dialect import HeaderNames
from . import wire

HEADER_NAMES: Final = HeaderNames(
    request_id=wire.REQUEST_ID,
    time_left_ms=wire.TIME_LEFT_MS,
    organisation=wire.TENANT,
    expected_server=wire.EXPECTED_SERVER,
    credential=wire.AUTHORIZATION,
    credential_scheme=wire.AUTHORIZATION_SCHEME,
    key_position=wire.KEY_POSITION,
    callers_send_key_position=True,
    expires=b"",
    attempt_number=b"",
    idempotency_key=b"",
    load=wire.LOAD,
    not_run=wire.NOT_RUN,
    start_id=wire.START_ID,
    leaving=wire.LEAVING,
    signature=wire.SIGNATURE,
    servers_echo_request_id=True,
)
