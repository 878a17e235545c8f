"""Structured logs on standard output, bounded in volume; writing never blocks."""

import asyncio
import logging
import os
import sys
import time
from collections import deque
from collections.abc import Callable

import attrs
import structlog

from ..core.commands import LogEvent
from ..settings.models import LogLevel
from .const import (
    FLUSH_RETRY_INTERVAL_S,
    LINES_PER_KIND_BURST,
    LINES_PER_KIND_PER_S,
    LOG_BUFFER_MAX_BYTES,
)


class LineWriter:
    """Writes lines to a file descriptor without blocking; a structlog logger.

    Lines that do not fit into the buffer of `max_bytes` are dropped and counted.
    """

    def __init__(self, descriptor: int, max_bytes: int = LOG_BUFFER_MAX_BYTES) -> None:
        self.dropped_count = 0
        self._descriptor = descriptor
        self._max_bytes = max_bytes
        self._lines: deque[bytes] = deque()
        self._size_bytes = 0
        self._flush_scheduled = False
        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Queue a line; structlog calls this for every level."""
        line = message.encode() + b"\n"
        if self._size_bytes + len(line) > self._max_bytes:
            self.dropped_count += 1
            return
        self._lines.append(line)
        self._size_bytes += len(line)
        self._schedule_flush()

    debug = info = warning = error = critical = exception = msg

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts now."""
        self._flush_scheduled = False
        while self._lines:
            chunk = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                self._schedule_retry()
                return
            except OSError:
                # Standard output is closed, so this failure cannot be logged either.
                self._lines.clear()
                self._size_bytes = 0
                return
            self._lines.clear()
            if written < len(chunk):
                self._lines.append(chunk[written:])
            self._size_bytes = len(chunk) - written

    def _schedule_flush(self) -> None:
        """Write all lines of one event loop iteration at once."""
        if self._flush_scheduled:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self._flush_scheduled = True
        loop.call_soon(self.flush)

    def _schedule_retry(self) -> None:
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        self._flush_scheduled = True
        loop.call_later(FLUSH_RETRY_INTERVAL_S, self.flush)


@attrs.define
class KindBucket:
    """Token bucket of one event name, and its lines suppressed since the last one."""

    tokens: float = LINES_PER_KIND_BURST
    updated_s: float = 0.0
    suppressed_count: int = 0


@attrs.define
class EventLog:
    """Writes the log events of the router, rate-limited per event name."""

    clock: Callable[[], float] = time.monotonic
    suppressed_count: int = 0
    _buckets: dict[str, KindBucket] = attrs.field(factory=dict)

    def write_event(self, log_event: LogEvent) -> None:
        """Write a line, or count it in the next one with its event name."""
        bucket = self._buckets.get(log_event.event)
        now_s = self.clock()
        if bucket is None:
            bucket = self._buckets[log_event.event] = KindBucket(updated_s=now_s)
        bucket.tokens = min(
            LINES_PER_KIND_BURST,
            bucket.tokens + (now_s - bucket.updated_s) * LINES_PER_KIND_PER_S,
        )
        bucket.updated_s = now_s
        if bucket.tokens < 1.0:
            bucket.suppressed_count += 1
            self.suppressed_count += 1
            return
        bucket.tokens -= 1.0
        fields = dict(log_event.fields)
        if bucket.suppressed_count:
            fields["left_out"] = bucket.suppressed_count
            bucket.suppressed_count = 0
        structlog.get_logger().info(log_event.event, **fields)


def configure_logs(
    level: LogLevel, instance: str, writer: LineWriter | None = None
) -> LineWriter:
    """Configure structlog to write JSON lines from `level` up to standard output.

    Every line carries the name of the instance.
    """
    writer = writer or LineWriter(sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            getattr(logging, level.value.upper())
        ),
        logger_factory=lambda *args: writer,
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)
    return writer
