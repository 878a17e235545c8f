"""Guards against callers that send bytes without end.

They cost memory for as long as the gateway reads on. A part of a header, a target or an
extension of a chunk is not counted among the headers until it is complete.
"""

import pytest

from tests.gateway.test_body_memory import CHUNKED_HEAD, LIMITS
from wagtailrill.gateway.request_parser import InputFault, RequestParser

PIECE_BYTES = 4096
FIRST_BYTES = {
    "target": b"GET /",
    "name of a header": b"GET / HTTP/1.1\r\nhost: a\r\n",
    "value of a header": b"GET / HTTP/1.1\r\nhost: a\r\nx: ",
    "extension of a chunk": CHUNKED_HEAD + b"1;",
    "name of a trailer": CHUNKED_HEAD + b"0\r\n",
    "value of a trailer": CHUNKED_HEAD + b"0\r\nx: ",
}


@pytest.mark.parametrize("case", sorted(FIRST_BYTES))
def test_bytes_without_end_are_refused(case):
    """Guards against memory that one caller fills until the process is killed."""
    parser = RequestParser(lambda: LIMITS)
    assert parser.feed(FIRST_BYTES[case]) == []
    fed_bytes = 0
    results = []
    while not results and fed_bytes < 1_000_000:
        results = parser.feed(b"e" * PIECE_BYTES)
        fed_bytes += PIECE_BYTES
    assert isinstance(results[0], InputFault)
    # The first piece may complete the header before it.
    limit_bytes = 2 * LIMITS.header_max_bytes
    assert fed_bytes <= limit_bytes + 2 * PIECE_BYTES


def test_large_head_and_long_body_in_pieces_are_accepted():
    """Guards against a limit that also counts what is complete.

    Target and headers are each just below the limit of headers.
    """
    headers = b"".join(b"x%d: %b\r\n" % (n, b"v" * 1000) for n in range(15))
    request = (
        b"POST /%b HTTP/1.1\r\nhost: a\r\ncontent-length: 300000\r\n" % (b"t" * 16_000)
        + headers
        + b"\r\n"
        + b"b" * 300_000
    )
    parser = RequestParser(lambda: LIMITS)
    results = []
    for start in range(0, len(request), 997):
        results += parser.feed(request[start : start + 997])
    assert [len(result.body) for result in results] == [300_000]
