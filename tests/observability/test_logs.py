"""Guards the log lines that operators rely on."""

import io
import json
import sys

import pytest
import structlog

from wagtailrill.core.commands import LogEvent
from wagtailrill.observability.logs import configure_logs, write_event
from wagtailrill.settings.models import LogLevel


@pytest.fixture
def lines(monkeypatch):
    """Return a function that reads the log lines written so far."""
    stream = io.StringIO()
    monkeypatch.setattr(sys, "stderr", stream)
    configure_logs(LogLevel.INFO, "i-0")
    yield lambda: [json.loads(line) for line in stream.getvalue().splitlines()]
    structlog.contextvars.clear_contextvars()
    structlog.reset_defaults()


def test_failed_step_is_logged_with_its_traceback(lines):
    """Guards against failures whose place in the code is not logged."""
    try:
        raise ValueError("odd message")
    except ValueError:
        structlog.get_logger().exception("step_failed")
    (line,) = lines()
    assert line["level"] == "error"
    assert "test_logs.py" in line["exception"]
    assert "odd message" in line["exception"]


def test_event_is_one_line_with_its_fields(lines):
    """Guards against log lines that the pages for operators describe wrongly."""
    write_event(LogEvent("configuration_applied", (("version", 7),)))
    (line,) = lines()
    assert (line["event"], line["version"], line["instance"], line["level"]) == (
        *("configuration_applied", 7, "i-0"),
        "info",
    )
