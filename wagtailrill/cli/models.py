"""Models of command results, store access and responses of the admin interface."""

import typing
from typing import Any, TypeVar

import attrs

from ..declaration.models import Declaration
from .const import ExitCode

T = TypeVar("T")


@attrs.frozen
class InstanceStatus:
    """Response of `GET /status`."""

    instance: str
    data_centre: str
    ready: bool
    draining: bool
    configuration_version: int
    members: list[Any]
    duties: list[Any]
    open_requests: int


@attrs.frozen
class KeyExplanation:
    """Response of `GET /explain-key`: the owner of a key and the instance granting it.

    `duty_fence` is the fencing token of the granting duty.
    """

    service: str
    position: int
    owner: str
    granter: str
    duty_fence: int


@attrs.frozen
class DrainResponse:
    """Response of `POST /drain`."""

    draining: bool


@attrs.frozen
class CommandResult:
    """Output of a command: `lines` for people, `fields` for `--json`.

    `partial` marks a command that failed in part, but whose lines are still an answer.
    `notes` go to standard error, so that the lines can be piped.
    """

    exit_code: ExitCode
    lines: tuple[str, ...]
    fields: dict[str, Any] = attrs.field(factory=dict)
    partial: bool = False
    notes: tuple[str, ...] = ()


@attrs.frozen
class StoredDeclaration:
    """Declaration in the store, None if it is absent or invalid.

    `revision` is 0 if nothing is stored.
    """

    revision: int
    declaration: Declaration | None


@attrs.frozen
class WriteAccepted:
    """A write took effect as `version`."""

    version: int


@attrs.frozen
class WriteConflict:
    """Another write changed the declaration first.

    `uncertain` says that this write may have taken effect before the other.
    """

    uncertain: bool


@attrs.frozen
class CommandFailure:
    """A command failed; `uncertain` says that its write may have taken effect."""

    exit_code: ExitCode
    message: str
    uncertain: bool = False


WriteOutcome = WriteAccepted | WriteConflict | CommandFailure


def parse_model(cls: type[T], data: Any) -> T:
    """Return a model of a JSON object; raise `ValueError` if it is malformed.

    Unknown fields are ignored, so that newer instances can add fields.
    """
    if not isinstance(data, dict):
        raise ValueError("not an object")
    values = {}
    for name, hint in typing.get_type_hints(cls).items():
        value = data.get(name)
        if type(value) is not (typing.get_origin(hint) or hint):
            raise ValueError(f"field {name} is malformed")
        values[name] = value
    return cls(**values)
