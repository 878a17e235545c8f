"""Commands that read log files."""

import sys
from collections.abc import Iterator
from pathlib import Path

import attrs

from .const import ExitCode
from .log_lines import read_lines
from .models import CommandResult
from .request_story import tell

STANDARD_INPUT = "-"


def explain_request(request_id: str, files: tuple[str, ...]) -> CommandResult:
    """Tell the story of a request from log files, `-` for standard input.

    Raises `OSError` for a file that cannot be read.
    """
    logs = read_lines(_content(files or (STANDARD_INPUT,)))
    story = tell(logs, request_id)
    notes: tuple[str, ...] = ()
    if logs.unreadable:
        notes = (f"{logs.unreadable} lines could not be read and are left out",)
    fields = {
        "request_id": request_id,
        "cause": story.cause,
        "unreadable": logs.unreadable,
        "lines": [attrs.asdict(line) for line in story.lines],
    }
    code = ExitCode.OK if story.lines else ExitCode.REFUSED
    return CommandResult(code, story.text(), fields, notes=notes)


def _content(files: tuple[str, ...]) -> Iterator[bytes]:
    for file in files:
        if file == STANDARD_INPUT:
            yield from sys.stdin.buffer
        else:
            with Path(file).open("rb") as opened:
                yield from opened
