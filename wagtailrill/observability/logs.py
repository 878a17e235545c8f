"""Structured logs."""

import logging
import sys

import structlog

from ..core.commands import LogEvent
from ..settings.models import LogLevel


def configure_logs(level: LogLevel, instance: str) -> None:
    """Write JSON lines of at least a level to standard error."""
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
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=instance)


def write_event(command: LogEvent) -> None:
    """Write a log line of the decision code."""
    structlog.get_logger().info(command.event, **dict(command.fields))
