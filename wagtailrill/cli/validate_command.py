"""The command that checks a configuration before it is sent."""

import enum
from collections.abc import Callable
from typing import Final

from expression import Error, Ok, Result

from ..core.findings import Finding
from ..declaration.advice import list_memory_warnings, list_warnings
from ..declaration.difference import diff_declarations
from ..declaration.models import Declaration
from ..declaration.parse import parse_declaration
from ..platform.configuration import PlatformConfigurationDecoder
from ..settings.models import InstanceSettings
from ..store.models import Item
from .const import ExitCode
from .declaration_store import DeclarationStore
from .models import CommandResult

DeclarationDecoder = Callable[[bytes], Result[Declaration, tuple[Finding, ...]]]


class FileFormat(enum.StrEnum):
    """Format of the file: a services declaration, or the platform's configuration."""

    DECLARATION = "declaration"
    PLATFORM = "platform"


def _decode_platform_configuration(
    content: bytes,
) -> Result[Declaration, tuple[Finding, ...]]:
    """Return the declaration made of a platform configuration.

    Its data centres are in the settings of the instances and not known here.
    """
    decoder = PlatformConfigurationDecoder({})
    decoded = decoder.decode(Item(decoder.get_declaration_key(), content, 0))
    if decoded.is_error():
        return Error((Finding("$", decoded.error.reason),))
    return Ok(decoded.ok)


DECODERS: Final[dict[FileFormat, DeclarationDecoder]] = {
    FileFormat.DECLARATION: parse_declaration,
    FileFormat.PLATFORM: _decode_platform_configuration,
}


def validate_content(
    content: bytes,
    file_format: FileFormat,
    instances: tuple[InstanceSettings, ...] = (),
) -> Result[CommandResult, tuple[Finding, ...]]:
    """Return a summary with warnings, or the findings that make a file invalid.

    Warnings are entries that can never match and limits that contradict each other;
    the settings of `instances` are compared with the limits, too.
    """
    decoded = DECODERS[file_format](content)
    if decoded.is_error():
        return Error(decoded.error)
    declaration = decoded.ok
    memory = ((i.instance, i.limits.body_memory_bytes) for i in instances)
    warnings = (
        *list_warnings(declaration),
        *list_memory_warnings(declaration, memory),
    )
    return Ok(_make_result(declaration, warnings))


def _make_result(
    declaration: Declaration, warnings: tuple[Finding, ...]
) -> CommandResult:
    counts = {
        "services": len(declaration.services),
        "routes": sum(len(s.routes) for s in declaration.services),
        "backend_servers": sum(len(s.backend_servers) for s in declaration.services),
        "organisations": len(declaration.organisations),
    }
    summary = ", ".join(f"{n} {name.replace('_', ' ')}" for name, n in counts.items())
    lines = (*(f"warning: {w}" for w in warnings), f"valid: {summary}")
    fields = {
        "findings": [],
        "warnings": [{"path": w.path, "message": w.message} for w in warnings],
        **counts,
    }
    return CommandResult(ExitCode.OK, lines, fields)


def refuse_warnings(result: CommandResult) -> CommandResult:
    """Return the result with the exit code of findings if it has warnings."""
    if not result.fields["warnings"]:
        return result
    return CommandResult(ExitCode.REFUSED, result.lines, result.fields)


async def async_add_difference(
    result: CommandResult,
    content: bytes,
    file_format: FileFormat,
    store: DeclarationStore,
) -> CommandResult:
    """Return the result with the differences to the version in force.

    `store` reads the configuration in the format of the file.
    """
    loaded = await store.async_load()
    if loaded.is_error():
        failure = loaded.error
        fields = {**result.fields, "error": failure.message}
        lines = (*result.lines, failure.message)
        return CommandResult(failure.exit_code, lines, fields)
    stored = loaded.ok
    if stored.declaration is None:
        difference: tuple[str, ...] = ("+ no valid version is in force",)
    else:
        declaration = DECODERS[file_format](content).ok
        difference = diff_declarations(stored.declaration, declaration)
    title = f"differences to version {stored.revision}:"
    lines = (*result.lines, title, *(difference or ("none",)))
    fields = {**result.fields, "version": stored.revision, "difference": difference}
    return CommandResult(result.exit_code, lines, fields)
