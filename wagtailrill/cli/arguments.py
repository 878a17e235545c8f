"""Arguments of the command line."""

import argparse
import os
from pathlib import Path
from typing import Any, Final

from .const import DEPLOYMENT_VARIABLE, INSTANCES_VARIABLE

_EPILOG: Final = """\
examples:
  wagtailrillctl validate examples/piraeus/services.json
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
given by --instances also tell the store and the deployment.
"""
_Subparsers = Any


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="wagtailrillctl",
        description="Checks and changes the configuration, and shows instances.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common(parser, top=True)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_declaration_commands(commands)
    _add_state_commands(commands)
    _add_instance_commands(commands)
    return parser


def _add_common(parser: argparse.ArgumentParser, top: bool) -> None:
    """Add options that may stand before or after the command."""

    def default(name: str) -> Any:
        return os.environ.get(name) if top else argparse.SUPPRESS

    parser.add_argument(
        "--store",
        action="append",
        default=None if top else argparse.SUPPRESS,
        metavar="IP:PORT",
        help="address of the platform store; may be repeated",
    )
    parser.add_argument(
        "--deployment", default=default(DEPLOYMENT_VARIABLE), metavar="NAME"
    )
    parser.add_argument(
        "--instances",
        type=Path,
        default=default(INSTANCES_VARIABLE),
        metavar="DIRECTORY",
        help="directory of instance settings files",
    )
    parser.add_argument(
        "--json",
        action="store_true",
        default=False if top else argparse.SUPPRESS,
        help="print one JSON object",
    )


def _add(commands: _Subparsers, name: str, text: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common(parser, top=False)
    return parser


def _add_declaration_commands(commands: _Subparsers) -> None:
    validate = _add(commands, "validate", "check a services declaration")
    validate.add_argument("file", metavar="FILE", help="JSON file, or - for stdin")
    apply = _add(commands, "apply", "replace the declaration in the store")
    apply.add_argument("file", metavar="FILE", help="JSON file, or - for stdin")
    apply.add_argument(
        "--dry-run", action="store_true", help="only show the difference"
    )
    apply.add_argument(
        "--base-version",
        type=int,
        metavar="N",
        help="refuse unless version N, which was exported, is still stored",
    )
    _add(commands, "export", "print the stored declaration")


def _add_state_commands(commands: _Subparsers) -> None:
    data_centre = _add(commands, "data-centre", "take a data centre out, or back in")
    data_centre.add_argument("state", choices=("out", "in"))
    data_centre.add_argument("name", metavar="NAME")
    server = _add(commands, "backend-server", "mark a backend server as leaving")
    server.add_argument("state", choices=("leaving", "in"))
    server.add_argument("name", metavar="NAME")
    organisation = _add(commands, "organisation", "issue or withdraw tenant keys")
    organisation.add_argument("action", choices=("grant", "withdraw"))
    organisation.add_argument("name", metavar="NAME")
    organisation.add_argument(
        "--key-id", metavar="ID", help="withdraw only this key instead of all"
    )


def _add_instance_commands(commands: _Subparsers) -> None:
    _add(commands, "status", "show the state of all instances")
    explain = _add(commands, "explain-key", "show which backend server owns a key")
    explain.add_argument("service", metavar="SERVICE")
    explain.add_argument("key", metavar="KEY")
    request = _add(
        commands, "explain-request", "tell from logs why a request ended as it did"
    )
    request.add_argument("request_id", metavar="ID")
    request.add_argument(
        "files", nargs="*", metavar="FILE", help="log files, or - for standard input"
    )
    drain = _add(commands, "drain", "start a planned stop of an instance")
    target = drain.add_mutually_exclusive_group(required=True)
    target.add_argument("instance", nargs="?", metavar="INSTANCE")
    target.add_argument("--admin", metavar="IP:PORT", help="admin address")
