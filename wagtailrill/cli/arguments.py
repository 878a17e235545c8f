"""Argument parser of `wagtailrillctl`."""

import argparse
import os
from pathlib import Path
from typing import Any, Final

from .const import DEPLOYMENT_ENV_VARIABLE, INSTANCES_ENV_VARIABLE
from .validate_command import FileFormat

_EPILOG: Final = """\
examples:
  wagtailrillctl validate examples/piraeus/services.json
  wagtailrillctl --store 127.0.0.1:21500 validate --format platform --compare new.json
  wagtailrillctl --instances examples/piraeus/instances apply services.json --dry-run
  wagtailrillctl --store 127.0.0.1:21500 --deployment piraeus data-centre out volos-a
  wagtailrillctl --instances examples/piraeus/instances organisation grant aegean-lines
  wagtailrillctl --instances examples/piraeus/instances explain-key ledgerroll C123
  wagtailrillctl explain-request 9c41d07be2a35f68 logs/*.log
  wagtailrillctl drain --admin 127.0.0.1:21512

exit codes:
  0 ok, 1 findings or refused, 2 wrong usage, 3 store or instance unreachable,
  4 changed by another operator

--store, --deployment and --instances may also be set in the environment as
WAGTAILRILL_STORE, WAGTAILRILL_DEPLOYMENT and WAGTAILRILL_INSTANCES. Settings files
given by --instances also provide the store addresses and the deployment.
"""
_Subparsers = Any


def make_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="wagtailrillctl",
        description="Checks and changes the configuration, and shows instances.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_options(parser, is_top_level=True)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_declaration_commands(commands)
    _add_state_commands(commands)
    _add_instance_commands(commands)
    return parser


def _add_common_options(parser: argparse.ArgumentParser, is_top_level: bool) -> None:
    """Add the options that are accepted before and after the command.

    Only the top level sets defaults; those of a command would overwrite values given
    before the command.
    """

    def get_default(name: str) -> Any:
        return os.environ.get(name) if is_top_level else argparse.SUPPRESS

    parser.add_argument(
        "--store",
        action="append",
        default=None if is_top_level else argparse.SUPPRESS,
        metavar="IP:PORT",
        help="address of the platform store; may be repeated",
    )
    parser.add_argument(
        "--deployment", default=get_default(DEPLOYMENT_ENV_VARIABLE), metavar="NAME"
    )
    parser.add_argument(
        "--instances",
        type=Path,
        default=get_default(INSTANCES_ENV_VARIABLE),
        metavar="DIRECTORY",
        help="directory of instance settings files",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=False if is_top_level else argparse.SUPPRESS,
        help="print the result as one JSON object",
    )


def _add_command(
    commands: _Subparsers, name: str, help_text: str
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=help_text,
        description=help_text,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common_options(parser, is_top_level=False)
    return parser


def _add_declaration_commands(commands: _Subparsers) -> None:
    validate = _add_command(
        commands, "validate", "check a configuration before it is sent"
    )
    validate.add_argument("file", metavar="FILE", help="JSON file, or - for stdin")
    validate.add_argument(
        "--format",
        choices=[file_format.value for file_format in FileFormat],
        default=FileFormat.DECLARATION.value,
        help="a services declaration, or the platform's configuration",
    )
    validate.add_argument(
        "--compare",
        action="store_true",
        help="also show the differences to the version in force, which the store has",
    )
    validate.add_argument(
        "--strict", action="store_true", help="exit with 1 if there are warnings"
    )
    apply = _add_command(commands, "apply", "replace the declaration in the store")
    apply.add_argument("file", metavar="FILE", help="JSON file, or - for stdin")
    apply.add_argument(
        "--dry-run", action="store_true", help="only show the difference"
    )
    apply.add_argument(
        "--base-version",
        type=int,
        metavar="N",
        help="refuse unless the stored version is still N, as shown by export",
    )
    _add_command(commands, "export", "print the stored declaration")


def _add_state_commands(commands: _Subparsers) -> None:
    data_centre = _add_command(
        commands, "data-centre", "take a data centre out of service or put it back in"
    )
    data_centre.add_argument("state", choices=("out", "in"))
    data_centre.add_argument("name", metavar="NAME")
    backend_server = _add_command(
        commands,
        "backend-server",
        "mark a backend server as leaving or put it back in",
    )
    backend_server.add_argument("state", choices=("leaving", "in"))
    backend_server.add_argument("name", metavar="NAME")
    organisation = _add_command(
        commands, "organisation", "issue or withdraw tenant keys"
    )
    organisation.add_argument("action", choices=("grant", "withdraw"))
    organisation.add_argument("name", metavar="NAME")
    organisation.add_argument(
        "--key-id", metavar="ID", help="withdraw only this key instead of all"
    )


def _add_instance_commands(commands: _Subparsers) -> None:
    _add_command(commands, "status", "show the state of all instances")
    explain_key = _add_command(
        commands, "explain-key", "show which backend server owns a key"
    )
    explain_key.add_argument("service", metavar="SERVICE")
    explain_key.add_argument("key", metavar="KEY")
    explain_request = _add_command(
        commands, "explain-request", "explain the outcome of a request from log files"
    )
    explain_request.add_argument("request_id", metavar="ID")
    explain_request.add_argument(
        "files", nargs="*", metavar="FILE", help="log files, or - for standard input"
    )
    drain = _add_command(commands, "drain", "start a planned stop of an instance")
    target = drain.add_mutually_exclusive_group(required=True)
    target.add_argument("instance", nargs="?", metavar="INSTANCE")
    target.add_argument("--admin", metavar="IP:PORT", help="admin address")
