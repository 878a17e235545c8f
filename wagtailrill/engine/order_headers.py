"""Headers of the orders that go to backend servers."""

from ..core.headers import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    EPOCH_HEADER,
    EXPIRES_HEADER,
    FENCE_HEADER,
    ORGANISATION_HEADER,
    REQUEST_ID_HEADER,
    SLOT_HEADER,
)
from ..core.orders import Headers
from ..ownership.models import SlotRoute
from .models import RequestRow

MS_PER_S = 1000


def order_headers(
    row: RequestRow,
    request_name: str,
    timeout_s: float,
    expires_unix_s: float,
    route: SlotRoute | None,
) -> Headers:
    """Return the caller's checked headers with those that wagtailrill sets."""
    own: list[tuple[bytes, bytes]] = [
        (REQUEST_ID_HEADER, request_name.encode()),
        (DEADLINE_HEADER, str(int(timeout_s * MS_PER_S)).encode()),
        (EXPIRES_HEADER, f"{expires_unix_s:.3f}".encode()),
        (ATTEMPT_HEADER, str(row.attempt_header + row.attempts_made - 1).encode()),
    ]
    if row.tenant is not None:
        own.append((ORGANISATION_HEADER, row.tenant.organisation.encode()))
    if route is not None:
        own.append((SLOT_HEADER, str(route.slot).encode()))
        own.append((EPOCH_HEADER, str(route.epoch).encode()))
        own.append((FENCE_HEADER, str(route.fence).encode()))
    return (*row.headers, *own)
