"""Commands that read log files of instances."""

import sys
from collections.abc import Iterator
from pathlib import Path

import attrs

from .const import ExitCode
from .log_lines import parse_log_lines
from .models import CommandResult
from .request_story import make_request_explanation

STANDARD_INPUT = "-"


def explain_request(request_id: str, files: tuple[str, ...]) -> CommandResult:
    """Explain the outcome of a request from log files; `-` is standard input.

    Raises `OSError` for a file that cannot be read.
    """
    logs = parse_log_lines(_read_raw_lines(files or (STANDARD_INPUT,)))
    explanation = make_request_explanation(logs, request_id)
    notes: tuple[str, ...] = ()
    if logs.unreadable_count:
        notes = (f"{logs.unreadable_count} lines could not be parsed and were skipped",)
    fields = {
        "request_id": request_id,
        "cause": explanation.cause,
        "unreadable": logs.unreadable_count,
        "lines": [attrs.asdict(line) for line in explanation.lines],
    }
    code = ExitCode.OK if explanation.lines else ExitCode.REFUSED
    return CommandResult(code, explanation.format_lines(), fields, notes=notes)


def _read_raw_lines(paths: tuple[str, ...]) -> Iterator[bytes]:
    for path in paths:
        if path == STANDARD_INPUT:
            yield from sys.stdin.buffer
        else:
            with Path(path).open("rb") as log_file:
                yield from log_file
