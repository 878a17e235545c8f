"""Entry point of wagtailrillctl."""

import argparse
import json
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Final

import anyio
import attrs
from expression import Result

from ..core.findings import Finding
from ..declaration.check import is_address
from ..declaration.models import BackendServerState, DataCentreState, Declaration
from ..declaration.parse import parse_declaration
from ..platform.store_client import PlatformStore
from ..settings.models import InstanceSettings
from ..settings.parse import parse_settings
from .arguments import make_parser
from .const import CALL_TIMEOUT_S, STORE_VARIABLE, ExitCode
from .declaration_store import DeclarationStore
from .instance_commands import async_drain, async_explain_key, async_status
from .log_commands import explain_request
from .models import CommandResult
from .progress import async_progress
from .store_commands import (
    async_apply,
    async_export,
    async_grant,
    async_set_backend_server,
    async_set_data_centre,
    async_withdraw,
    refused,
)


class UsageError(Exception):
    """The arguments do not say enough, or contradict each other."""


class FindingsError(Exception):
    """A file has findings; `args[0]` is the tuple of them."""


@attrs.frozen
class Invocation:
    """Arguments with the settings files that they name."""

    options: argparse.Namespace
    instances: tuple[InstanceSettings, ...]

    def admin_addresses(self) -> dict[str, str]:
        """Return the admin address of each instance."""
        if not self.instances:
            raise UsageError("--instances must name a directory of settings files")
        return {i.instance: i.admin_address for i in self.instances}

    def store_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the store."""
        found = tuple(self.options.store or ())
        if not found and STORE_VARIABLE in os.environ:
            found = tuple(os.environ[STORE_VARIABLE].split(","))
        if not found and self.instances:
            found = self.instances[0].store_addresses
        if not found:
            raise UsageError("--store or --instances is needed")
        for address in found:
            if not is_address(address):
                raise UsageError(f"{address} is not IP:port")
        return found

    def deployment(self) -> str:
        """Return the name of the deployment."""
        if self.options.deployment:
            return str(self.options.deployment)
        if not self.instances:
            raise UsageError("--deployment or --instances is needed")
        return self.instances[0].deployment


StoreCommand = Callable[[Invocation, DeclarationStore], Awaitable[CommandResult]]
InstanceCommand = Callable[[Invocation], Awaitable[CommandResult]]


def _read(file: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as exc:
        raise UsageError(f"{file} cannot be read: {exc.strerror}") from exc


def _read_declaration(file: str) -> Declaration:
    match parse_declaration(_read(file)):
        case Result(tag="ok", ok=declaration):
            return declaration
        case Result(error=findings):
            raise FindingsError(findings)


def _load_instances(directory: Path | str | None) -> tuple[InstanceSettings, ...]:
    if directory is None:
        return ()
    loaded: list[InstanceSettings] = []
    for file in sorted(Path(directory).glob("*.json")):
        match parse_settings(_read(str(file))):
            case Result(tag="ok", ok=settings):
                loaded.append(settings)
            case Result(error=findings):
                raise FindingsError(
                    tuple(Finding(f"{file.name} {f.path}", f.message) for f in findings)
                )
    if not loaded:
        raise UsageError(f"{directory} holds no settings files")
    return tuple(loaded)


async def _async_validate(invocation: Invocation) -> CommandResult:
    declaration = _read_declaration(invocation.options.file)
    counts = {
        "services": len(declaration.services),
        "backend_servers": sum(len(s.backend_servers) for s in declaration.services),
        "organisations": len(declaration.organisations),
    }
    text = ", ".join(f"{n} {name.replace('_', ' ')}" for name, n in counts.items())
    return CommandResult(ExitCode.OK, (f"valid: {text}",), {"findings": [], **counts})


async def _async_apply(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    declaration = _read_declaration(options.file)
    wanted = invocation.deployment()
    if declaration.deployment != wanted:
        found = declaration.deployment
        return refused(f'The file is for deployment "{found}", not "{wanted}".')
    return await async_apply(store, declaration, options.base_version, options.dry_run)


async def _async_data_centre(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    return await async_set_data_centre(
        store, options.name, DataCentreState(options.state)
    )


async def _async_backend_server(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    state = BackendServerState(options.state)
    return await async_set_backend_server(store, options.name, state)


async def _async_organisation(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    if options.action == "withdraw":
        return await async_withdraw(store, options.name, options.key_id)
    if options.key_id:
        raise UsageError("--key-id belongs to withdraw")
    return await async_grant(store, options.name)


async def _async_drain(invocation: Invocation) -> CommandResult:
    options = invocation.options
    if options.admin:
        if not is_address(options.admin):
            raise UsageError(f"{options.admin} is not IP:port")
        return await async_drain(options.admin)
    addresses = invocation.admin_addresses()
    if options.instance not in addresses:
        return refused(f'There are no settings of an instance "{options.instance}".')
    return await async_drain(addresses[options.instance])


async def _async_explain_request(invocation: Invocation) -> CommandResult:
    options = invocation.options
    try:
        return explain_request(options.request_id, tuple(options.files))
    except OSError as exc:
        raise UsageError(f"{exc.filename} cannot be read: {exc.strerror}") from exc


STORE_COMMANDS: Final[dict[str, StoreCommand]] = {
    "apply": _async_apply,
    "export": lambda _, store: async_export(store),
    "data-centre": _async_data_centre,
    "backend-server": _async_backend_server,
    "organisation": _async_organisation,
}
INSTANCE_COMMANDS: Final[dict[str, InstanceCommand]] = {
    "validate": _async_validate,
    "status": lambda invocation: async_status(invocation.admin_addresses()),
    "explain-key": lambda invocation: async_explain_key(
        invocation.admin_addresses(), invocation.options.service, invocation.options.key
    ),
    "drain": _async_drain,
    "explain-request": _async_explain_request,
}


async def async_run(options: argparse.Namespace) -> CommandResult:
    """Run one command."""
    invocation = Invocation(options, _load_instances(options.instances))
    if options.command in INSTANCE_COMMANDS:
        async with async_progress("the instances"):
            return await INSTANCE_COMMANDS[options.command](invocation)
    addresses = invocation.store_addresses()
    async with (
        async_progress("the store"),
        PlatformStore(addresses, CALL_TIMEOUT_S) as http,
    ):
        store = DeclarationStore(http, invocation.deployment())
        return await STORE_COMMANDS[options.command](invocation, store)


def write_result(result: CommandResult, as_json: bool) -> None:
    """Print a result; what went wrong goes to standard error."""
    if as_json:
        print(json.dumps({"exit_code": int(result.exit_code), **result.fields}))
        return
    answers = result.exit_code is ExitCode.OK or result.partial
    stream = sys.stdout if answers else sys.stderr
    for line in result.lines:
        print(line, file=stream)
    for note in result.notes:
        print(note, file=sys.stderr)


def _findings_result(findings: tuple[Finding, ...]) -> CommandResult:
    fields = {"findings": [attrs.asdict(f) for f in findings]}
    lines = (*map(str, findings), f"{len(findings)} findings")
    return CommandResult(ExitCode.REFUSED, lines, fields)


def run(options: argparse.Namespace) -> CommandResult:
    """Run one command; findings and wrong usage become results."""
    result: CommandResult
    try:
        result = anyio.run(async_run, options)
    except* UsageError as group:
        message = str(_first(group))
        result = CommandResult(ExitCode.USAGE, (message,), {"error": message})
    except* FindingsError as group:
        result = _findings_result(_first(group).args[0])
    return result


def _first(group: BaseExceptionGroup[BaseException]) -> BaseException:
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    options = make_parser().parse_args(arguments)
    result = run(options)
    try:
        write_result(result, options.json)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has left; the interpreter must not flush it again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(int(result.exit_code))


if __name__ == "__main__":
    main()
