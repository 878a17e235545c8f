"""Constants of the HTTP connections to callers and backend servers."""

from typing import Final

CONNECT_TIMEOUT_S: Final = 0.5
CONTROL_TIMEOUT_S: Final = 0.25
# Network devices between two hosts drop connections that are idle for minutes.
CONNECTION_IDLE_MAX_S: Final = 10.0
RESPONSE_MAX_BYTES: Final = 8_388_608
RESPONSE_HEAD_MAX_BYTES: Final = 65_536
CLEANUP_INTERVAL_S: Final = 0.25
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# A connection that is idle for less may have been opened for a request.
FIRST_REQUEST_TIME_S: Final = 0.3
# After a response that closes its connection, what the caller still sends is read and
# dropped for this long: closing with unread bytes would reset the connection.
LINGER_S: Final = 1.0
# Unanswered requests on one connection at which reading from it pauses.
PIPELINED_REQUESTS_MAX: Final = 32
# The ids of refused requests are kept with their connection, which limits its use.
REFUSALS_PER_CONNECTION_MAX: Final = 64
REFUSAL_REASON_MAX_CHARS: Final = 200
# A connection is not reused this shortly before the server's keep-alive timeout, since
# the server might close it while a request is on its way.
KEEP_ALIVE_MARGIN_S: Final = 0.7
# A dead peer is detected within about three seconds: the idle time plus one interval
# for each probe.
TCP_KEEP_ALIVE_IDLE_S: Final = 1
TCP_KEEP_ALIVE_INTERVAL_S: Final = 1
TCP_KEEP_ALIVE_PROBES: Final = 2
# A connection is closed when sent bytes stay unacknowledged for this long.
TCP_USER_TIMEOUT_MS: Final = 1500
# Up to this size only unfinished input and unread answers of callers are given up, and
# only beyond the reserve for small requests.
SMALL_BODY_MAX_BYTES: Final = 65_536
# Larger bodies are written piece by piece, as the peer reads them: a transport would
# copy all that it cannot send at once.
BODY_PIECE_BYTES: Final = 65_536
# A control call is answered with a few headers.
CONTROL_RESPONSE_MAX_BYTES: Final = 65_536
# A server sends few interim responses (1xx) before the final one.
INTERIM_RESPONSES_MAX: Final = 32
# A caller that reads nothing of a large response for this long may lose it when the
# memory for requests is full.
UNREAD_RESPONSE_S: Final = 2.0
# What a header takes besides the bytes of its name and value: two byte strings, a pair
# and its place in a list.
FIELD_COST_BYTES: Final = 180
# What a request takes besides its headers and body, from its parser to its answer.
REQUEST_COST_BYTES: Final = 4_096
# Read at a time from a connection. Few requests have a larger head, and reading little
# keeps the turn of one connection short; bodies are only copied.
HEAD_READ_BYTES: Final = 4_096
BODY_READ_BYTES: Final = 32_768
# A body in chunks of few bytes costs as much to parse as a head.
CHUNKS_READ_BYTES: Final = 8_192
# Requests of one connection that are handled before others get their turn.
TURN_REQUESTS_MAX: Final = 8
# Connections with more input than a turn are served for this long, and in this number,
# before the event loop looks for other events again.
TURNS_TIME_S: Final = 0.005
TURNS_MAX: Final = 8
DEFAULT_CONNECTIONS_MAX: Final = 4_096
# Part of a listener's connections that is closed at a time when they are too many.
CONNECTIONS_CLOSED_RATIO: Final = 1 / 16
