"""Names that the platform uses in headers, and prefixes of keys in its store."""

from typing import Final

# Headers, in lower case.
REQUEST_ID: Final = b"request-id"
# Milliseconds that the caller still waits; a deadline in the platform's terms.
TIME_LEFT_MS: Final = b"deadline-ms"
TENANT: Final = b"tenant"
# Name of the only backend server process that may run the request.
EXPECTED_SERVER: Final = b"target-instance"
# Running and waiting requests, slots and, from some services, slowness in per cent.
LOAD: Final = b"upstream-load"
NOT_RUN: Final = b"not-executed"
START_ID: Final = b"instance-id"
# `1` in all answers of a backend server whose process ends soon.
LEAVING: Final = b"server-leaving"
# Digest that a server adds to its answer to a request that it has run.
SIGNATURE: Final = b"upstream-signature"
KEY_POSITION: Final = b"shard-key"
HANDOVER: Final = b"handover"
AUTHORIZATION: Final = b"authorization"
AUTHORIZATION_SCHEME: Final = b"bearer "

# In all answers of the store: rises by one each time it comes back from an older copy.
STORE_ERA: Final = b"store-era"

# Store keys that the platform's operator and the backend servers write.
OPERATOR_PREFIX: Final = "op/"
CONFIGURATION_KEY: Final = "op/config"
EVACUATION_PREFIX: Final = "op/evacuate/"
SERVER_PREFIX: Final = "servers/"
ROLLOUT_PREFIX: Final = "op/rollout/"

# In the list of contracts of the settings file: roll-outs have to keep their bounds.
ROLLOUT_CONTRACT: Final = "rollout"

KEY_POSITIONS: Final = 65_536

# Store keys that wagtailrill writes.
ROLLOUT_STATUS_PREFIX: Final = "status/rollout/"
FLEET_PREFIX: Final = "wagtailrill/fleet/"
KEY_TABLE_PREFIX: Final = "wagtailrill/keys/"
CLAIM_PREFIX: Final = "wagtailrill/claims/"
