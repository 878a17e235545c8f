"""Defaults and bounds of the services declaration, which the parser applies."""

from typing import Final

DEFAULT_TIMEOUT_S: Final = 2.0
DEFAULT_DEFERRABLE_TIMEOUT_S: Final = 120.0
DEFAULT_SLOW_START_SLOTS: Final = 1
DEFAULT_SLOW_START_STEP_S: Final = 2.0
DEFAULT_WEIGHT: Final = 1.0
DEFAULT_ATTEMPTS_MAX: Final = 3

# The platform store takes values of up to 1 MB.
DECLARATION_MAX_BYTES: Final = 1_000_000
DATA_CENTRES_MAX: Final = 64
SERVICES_MAX: Final = 256
ROUTES_PER_SERVICE_MAX: Final = 64
BACKEND_SERVERS_PER_SERVICE_MAX: Final = 8192
ORGANISATIONS_MAX: Final = 4096
TENANT_KEYS_PER_ORGANISATION_MAX: Final = 16
SLOTS_MAX: Final = 65_536
CONNECTIONS_MAX: Final = 65_536
# Far above any real value, and low enough that the product of two is finite.
RATE_MAX_PER_S: Final = 1e9
BURST_MAX: Final = 1e9
WEIGHT_MAX: Final = 1e6
DURATION_MAX_S: Final = 86_400.0
CALLER_LIMIT_MAX_BYTES: Final = 1_073_741_824
PRIORITY_MAX: Final = 1_000
ATTEMPTS_MAX: Final = 16
PATH_MAX_CHARACTERS: Final = 512
# Findings beyond this number are only counted.
FINDINGS_MAX: Final = 200

HTTP_METHODS: Final = frozenset(
    ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
)
KEY_SEGMENT: Final = "{key}"
