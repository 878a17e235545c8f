"""Tests the format, rate limit and buffering of log lines."""

import fcntl
import json
import os

import anyio
import pytest
import structlog

from wagtailrill.core.commands import LogEvent
from wagtailrill.core.log_events import LogName
from wagtailrill.observability.const import LINES_PER_KIND_BURST
from wagtailrill.observability.logs import EventLog, LineWriter, configure_logs
from wagtailrill.settings.models import LogLevel


@pytest.fixture
def pipe():
    """Return both ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        os.close(end)


@pytest.fixture
def read_lines(pipe):
    """Return a function that reads the log lines written since its last call."""
    reader, writer = pipe
    configure_logs(LogLevel.INFO, "i-0", LineWriter(writer))
    yield lambda: [json.loads(line) for line in os.read(reader, 65536).splitlines()]
    structlog.contextvars.clear_contextvars()
    structlog.reset_defaults()


def test_failed_step_is_logged_with_its_traceback(read_lines):
    """Guards against logged failures without a traceback."""
    try:
        raise ValueError("odd message")
    except ValueError:
        structlog.get_logger().exception("step_failed")
    (line,) = read_lines()
    assert line["level"] == "error"
    assert "test_logs.py" in line["exception"]
    assert "odd message" in line["exception"]


def test_event_is_one_line_with_its_fields(read_lines):
    """Guards against log lines other than documented for operators."""
    EventLog().write_event(LogEvent(LogName.CONFIGURATION_APPLIED, (("version", 7),)))
    (line,) = read_lines()
    assert (line["event"], line["version"], line["instance"], line["level"]) == (
        *("configuration_applied", 7, "i-0"),
        "info",
    )


def test_frequent_lines_are_suppressed_and_counted(read_lines):
    """Guards against many lines of one event that crowd out other events."""
    now_s = [0.0]
    log = EventLog(clock=lambda: now_s[0])
    frequent_event = LogEvent(LogName.REQUEST_REFUSED, ())
    for _ in range(1000):
        log.write_event(frequent_event)
    log.write_event(LogEvent(LogName.DUTY_TAKEN, ()))
    now_s[0] = 60.0
    log.write_event(frequent_event)
    log_lines = read_lines()
    assert log_lines[-2]["event"] == "duty_taken"
    assert (
        log_lines[-1]["left_out"] == log.suppressed_count == 1000 - LINES_PER_KIND_BURST
    )


def test_full_pipe_drops_only_lines_beyond_the_buffer(pipe):
    """Guards against a process that blocks because nobody reads its log."""
    reader, descriptor = pipe
    fcntl.fcntl(descriptor, fcntl.F_SETPIPE_SZ, 4096)

    async def async_main():
        writer = LineWriter(descriptor, max_bytes=20_000)
        for number in range(1000):
            writer.msg(f"{number:099}")
            if number % 10 == 0:
                await anyio.sleep(0)
        output = b""
        with anyio.fail_after(10.0):
            while writer._lines:
                output += os.read(reader, 65536)
                writer.flush()
        output += os.read(reader, 65536)
        return writer.dropped_count, output.splitlines()

    dropped, output = anyio.run(async_main)
    assert dropped > 0
    assert len(output) + dropped == 1000
    assert [int(line) for line in output] == list(range(1000 - dropped))


def test_write_to_closed_pipe_does_not_raise(pipe):
    """Guards against a process that fails when the reader of its log has exited."""
    own_reader, own_writer = os.pipe()
    os.close(own_reader)
    LineWriter(own_writer).msg("x")
    os.close(own_writer)
