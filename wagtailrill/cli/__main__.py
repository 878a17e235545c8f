"""Entry point of `wagtailrillctl`: runs one command and prints its result."""

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
from ..platform.configuration import PlatformConfigurationDecoder
from ..platform.store_client import PlatformStore
from ..settings.models import InstanceSettings
from ..settings.parse import parse_settings
from .arguments import make_parser
from .const import CALL_TIMEOUT_S, STORE_ENV_VARIABLE, ExitCode
from .declaration_store import DeclarationStore
from .instance_commands import async_explain_key, async_show_status, async_start_drain
from .log_commands import explain_request
from .models import CommandResult
from .progress import async_show_progress
from .store_commands import (
    async_apply_declaration,
    async_export_declaration,
    async_grant_tenant_key,
    async_set_backend_server_state,
    async_set_data_centre_state,
    async_withdraw_tenant_keys,
    make_refused_result,
)
from .validate_command import (
    FileFormat,
    async_add_difference,
    refuse_warnings,
    validate_content,
)


class UsageError(Exception):
    """The arguments are incomplete, invalid or contradictory."""


class FindingsError(Exception):
    """A file has findings; `args[0]` is a tuple of them."""


@attrs.frozen
class Invocation:
    """Parsed arguments, and the instance settings from the directory that they name."""

    options: argparse.Namespace
    instances: tuple[InstanceSettings, ...]

    def get_admin_addresses(self) -> dict[str, str]:
        """Return the admin address of each instance; raise `UsageError` if unknown."""
        if not self.instances:
            raise UsageError("--instances must name a directory of settings files")
        return {i.instance: i.admin_address for i in self.instances}

    def get_store_addresses(self) -> tuple[str, ...]:
        """Return the store addresses from the options, environment or settings.

        Raises `UsageError` if there are none or one is malformed.
        """
        addresses = tuple(self.options.store or ())
        if not addresses and STORE_ENV_VARIABLE in os.environ:
            addresses = tuple(os.environ[STORE_ENV_VARIABLE].split(","))
        if not addresses and self.instances:
            addresses = self.instances[0].store_addresses
        if not addresses:
            raise UsageError("--store or --instances is required")
        for address in addresses:
            if not is_address(address):
                raise UsageError(f"{address} is not IP:port")
        return addresses

    def get_deployment(self) -> str:
        """Return the name of the deployment; raise `UsageError` if unknown."""
        if self.options.deployment:
            return str(self.options.deployment)
        if not self.instances:
            raise UsageError("--deployment or --instances is required")
        return self.instances[0].deployment


StoreCommand = Callable[[Invocation, DeclarationStore], Awaitable[CommandResult]]
InstanceCommand = Callable[[Invocation], Awaitable[CommandResult]]


def _read_file(file: str) -> bytes:
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as exc:
        raise UsageError(f"{file} cannot be read: {exc.strerror}") from exc


def _read_declaration(file: str) -> Declaration:
    match parse_declaration(_read_file(file)):
        case Result(tag="ok", ok=declaration):
            return declaration
        case Result(error=findings):
            raise FindingsError(findings)


def _load_instance_settings(
    directory: Path | str | None,
) -> tuple[InstanceSettings, ...]:
    if directory is None:
        return ()
    all_settings: list[InstanceSettings] = []
    for file in sorted(Path(directory).glob("*.json")):
        match parse_settings(_read_file(str(file))):
            case Result(tag="ok", ok=settings):
                all_settings.append(settings)
            case Result(error=findings):
                raise FindingsError(
                    tuple(Finding(f"{file.name} {f.path}", f.message) for f in findings)
                )
    if not all_settings:
        raise UsageError(f"{directory} contains no settings files")
    return tuple(all_settings)


async def _async_validate_file(invocation: Invocation) -> CommandResult:
    options = invocation.options
    file_format = FileFormat(options.format)
    content = _read_file(options.file)
    match validate_content(content, file_format, invocation.instances):
        case Result(tag="ok", ok=result):
            pass
        case Result(error=findings):
            raise FindingsError(findings)
    if options.strict:
        result = refuse_warnings(result)
    if not options.compare:
        return result
    async with PlatformStore(invocation.get_store_addresses(), CALL_TIMEOUT_S) as http:
        store = _make_store_reader(http, invocation, file_format)
        return await async_add_difference(result, content, file_format, store)


def _make_store_reader(
    http: PlatformStore, invocation: Invocation, file_format: FileFormat
) -> DeclarationStore:
    if file_format is FileFormat.DECLARATION:
        return DeclarationStore(http, invocation.get_deployment())
    decoder = PlatformConfigurationDecoder({})
    return DeclarationStore(http, "", decoder=decoder)


async def _async_apply_file(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    declaration = _read_declaration(options.file)
    deployment = invocation.get_deployment()
    if declaration.deployment != deployment:
        file_deployment = declaration.deployment
        return make_refused_result(
            f'The file is for deployment "{file_deployment}", not "{deployment}".'
        )
    return await async_apply_declaration(
        store, declaration, options.base_version, options.dry_run
    )


async def _async_change_data_centre(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    return await async_set_data_centre_state(
        store, options.name, DataCentreState(options.state)
    )


async def _async_change_backend_server(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    state = BackendServerState(options.state)
    return await async_set_backend_server_state(store, options.name, state)


async def _async_change_tenant_keys(
    invocation: Invocation, store: DeclarationStore
) -> CommandResult:
    options = invocation.options
    if options.action == "withdraw":
        return await async_withdraw_tenant_keys(store, options.name, options.key_id)
    if options.key_id:
        raise UsageError("--key-id is valid only with withdraw")
    return await async_grant_tenant_key(store, options.name)


async def _async_drain_instance(invocation: Invocation) -> CommandResult:
    options = invocation.options
    if options.admin:
        if not is_address(options.admin):
            raise UsageError(f"{options.admin} is not IP:port")
        return await async_start_drain(options.admin)
    addresses = invocation.get_admin_addresses()
    if options.instance not in addresses:
        return make_refused_result(
            f'No settings file describes an instance "{options.instance}".'
        )
    return await async_start_drain(addresses[options.instance])


async def _async_explain_request(invocation: Invocation) -> CommandResult:
    options = invocation.options
    try:
        return explain_request(options.request_id, tuple(options.files))
    except OSError as exc:
        raise UsageError(f"{exc.filename} cannot be read: {exc.strerror}") from exc


STORE_COMMANDS: Final[dict[str, StoreCommand]] = {
    "apply": _async_apply_file,
    "export": lambda _, store: async_export_declaration(store),
    "data-centre": _async_change_data_centre,
    "backend-server": _async_change_backend_server,
    "organisation": _async_change_tenant_keys,
}
INSTANCE_COMMANDS: Final[dict[str, InstanceCommand]] = {
    "validate": _async_validate_file,
    "status": lambda invocation: async_show_status(invocation.get_admin_addresses()),
    "explain-key": lambda invocation: async_explain_key(
        invocation.get_admin_addresses(),
        invocation.options.service,
        invocation.options.key,
    ),
    "drain": _async_drain_instance,
    "explain-request": _async_explain_request,
}


async def async_run_command(options: argparse.Namespace) -> CommandResult:
    """Run one command; raise `UsageError` or `FindingsError`."""
    invocation = Invocation(options, _load_instance_settings(options.instances))
    if options.command in INSTANCE_COMMANDS:
        async with async_show_progress("the instances"):
            return await INSTANCE_COMMANDS[options.command](invocation)
    addresses = invocation.get_store_addresses()
    async with (
        async_show_progress("the store"),
        PlatformStore(addresses, CALL_TIMEOUT_S) as http,
    ):
        store = DeclarationStore(http, invocation.get_deployment())
        return await STORE_COMMANDS[options.command](invocation, store)


def write_result(result: CommandResult, as_json: bool) -> None:
    """Print a result; as text, errors and notes go to standard error."""
    if as_json:
        print(json.dumps({"exit_code": int(result.exit_code), **result.fields}))
        return
    has_answer = result.exit_code is ExitCode.OK or result.partial
    stream = sys.stdout if has_answer else sys.stderr
    for line in result.lines:
        print(line, file=stream)
    for note in result.notes:
        print(note, file=sys.stderr)


def _make_findings_result(findings: tuple[Finding, ...]) -> CommandResult:
    fields = {"findings": [attrs.asdict(f) for f in findings]}
    lines = (*map(str, findings), f"{len(findings)} findings")
    return CommandResult(ExitCode.REFUSED, lines, fields)


def run_command(options: argparse.Namespace) -> CommandResult:
    """Run one command; `UsageError` and `FindingsError` become results."""
    result: CommandResult
    try:
        result = anyio.run(async_run_command, options)
    except* UsageError as group:
        message = str(_get_first_exception(group))
        result = CommandResult(ExitCode.USAGE, (message,), {"error": message})
    except* FindingsError as group:
        result = _make_findings_result(_get_first_exception(group).args[0])
    return result


def _get_first_exception(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Return the first exception of nested groups."""
    exc: BaseException = group
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def main(arguments: list[str] | None = None) -> None:
    """Run the command line and exit."""
    options = make_parser().parse_args(arguments)
    result = run_command(options)
    try:
        write_result(result, options.json)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader closed the pipe. Without the redirection, the interpreter would
        # flush standard output again at exit and fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    sys.exit(int(result.exit_code))


if __name__ == "__main__":
    main()
