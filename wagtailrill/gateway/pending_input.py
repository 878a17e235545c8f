"""Bytes that a connection has read and not parsed yet."""

from .body_memory import BodyMemory
from .const import BODY_READ_BYTES, CHUNKS_READ_BYTES, HEAD_READ_BYTES
from .parsed_request import InputPhase
from .request_parser import RequestParser


class PendingInput:
    """The bytes of one read, taken piece by piece; they count in the memory."""

    def __init__(self, parser: RequestParser, memory: BodyMemory) -> None:
        self._parser = parser
        self._hold = memory.open_hold()
        self._data, self._taken_bytes = b"", 0
        self._read_bytes_max = HEAD_READ_BYTES

    def __bool__(self) -> bool:
        return self._data != b""

    def choose_read_bytes(self) -> int:
        """Return how many bytes the next read takes at most."""
        if self._parser.is_in_announced_body:
            self._read_bytes_max = BODY_READ_BYTES
        elif self._parser.phase is InputPhase.BODY:
            self._read_bytes_max = CHUNKS_READ_BYTES
        else:
            self._read_bytes_max = HEAD_READ_BYTES
        return self._read_bytes_max

    def is_full_read(self, received_bytes: int) -> bool:
        """Return whether a read brought as much as it could take."""
        return received_bytes >= self._read_bytes_max

    def set_data(self, data: bytes) -> None:
        """Set the bytes of a read; those of the one before must have been taken."""
        self._data, self._taken_bytes = data, 0

    def take_piece(self) -> bytes:
        """Return the next piece, in which at most one request is complete."""
        data, start = self._data, self._taken_bytes
        end = self._taken_bytes = self._parser.find_piece_end(data, start)
        if end == len(data):
            self._data, self._taken_bytes = b"", 0
        return data[start:end]

    def count(self) -> None:
        """Count the bytes that are kept."""
        if len(self._data) != self._hold.held_bytes:
            self._hold.set_bytes(len(self._data))

    def drop(self) -> None:
        """Drop the bytes."""
        self._data, self._taken_bytes = b"", 0
        self._hold.release()
