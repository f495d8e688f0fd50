"""The command line: the controller, the users', the operators' and the emulator's commands."""

from __future__ import annotations

import argparse
import asyncio
import gc
import logging
import os
import sys
from pathlib import Path
from typing import Any

from dunehold import operator_commands
from dunehold import settings as settings_module
from dunehold.settings import Settings, SettingsError

OPERATOR_FILE = Path(__file__).resolve().parent.parent / "deploy" / "operator.sexp"
EXIT_FAILED = 1  # no answer, or the request was refused
EXIT_USAGE = 2  # wrong arguments, settings or files
EXIT_INTERRUPTED = 130  # by SIGINT, as shells report it
EMULATOR_COMMANDS = ("up", "emulate", "experiment", "fault", "check-history")
LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser(emulator: bool = True) -> argparse.ArgumentParser:
    """Builds the parser; ``emulator`` adds the operators' and the emulator's commands."""
    parser = argparse.ArgumentParser(prog="dunehold", description="A cluster scheduler.")
    commands = parser.add_subparsers(dest="command", required=True)
    serve = commands.add_parser("serve", help="run one controller until it is killed")
    check = commands.add_parser("check-config", help="check the settings and say what is wrong")
    for command in (serve, check):
        command.add_argument("--config", required=True, type=Path, help="settings file (TOML)")
        command.add_argument(
            "--operator",
            type=Path,
            default=None,
            help="operators' settings (S-expressions); default: deploy/operator.sexp if there",
        )
    submit = commands.add_parser("submit", help="submit a job from a JSON file")
    submit.add_argument("file", help="the job, as in POST /v1/jobs; - for standard input")
    submit.add_argument(
        "--upload",
        metavar="HOST:PORT",
        default=os.environ.get("DUNEHOLD_UPLOAD"),
        help="where workers get job descriptions from, such as an emulator's control interface",
    )
    status = commands.add_parser("status", help="show a job's state")
    status.add_argument(
        "--peer",
        metavar="HOST:PORT",
        help="any controller's peer_bind: also say what a waiting job waits for",
    )
    cancel = commands.add_parser("cancel", help="cancel a job")
    served = commands.add_parser(
        "served", help="what is served of each class and team, and which zones are not well"
    )
    served.add_argument("--json", action="store_true", help="print the answer as it came")
    for command in (status, cancel):
        command.add_argument("job", help="the job's id, such as job-000412")
    for command in (submit, status, cancel, served):
        port, where = (8081, "'s peer_bind") if command is served else (8080, "")
        command.add_argument(
            "--server", default=f"127.0.0.1:{port}", help=f"HOST:PORT of any controller{where}"
        )
        command.add_argument("--timeout", type=float, default=5.0, help="seconds to wait")
    if emulator:
        operator_commands.add_parsers(commands)
        _add_emulator(commands)
    return parser


def _add_emulator(commands: Any) -> None:
    """Adds the emulator's commands, or stubs if the packages that it needs are not installed.

    A controller's machine need not have those packages.
    """
    try:
        from dunehold.emulator.commands import add_parsers
    except ImportError as error:
        for name in EMULATOR_COMMANDS:
            missing = commands.add_parser(
                name, help=f"needs the emulator's extra: {error.name}"
            )
            missing.add_argument("rest", nargs=argparse.REMAINDER)
        return
    add_parsers(commands)


def _emulator(options: argparse.Namespace) -> int:
    try:
        from dunehold.emulator.commands import run
    except ImportError as error:
        print(
            f"dunehold: {options.command}: {error.name} is missing: "
            "install requirements-emulator.txt",
            file=sys.stderr,
        )
        return EXIT_USAGE
    return run(options)


def main(arguments: list[str] | None = None) -> int:
    """Runs a command and returns its exit code."""
    given = sys.argv[1:] if arguments is None else arguments
    # A controller must not load any module of the emulator.
    options = build_parser(emulator=given[:1] not in (["serve"], ["check-config"])).parse_args(
        given
    )
    try:
        return _run_command(options)
    except KeyboardInterrupt:
        print(f"dunehold: {options.command}: interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED


def _run_command(options: argparse.Namespace) -> int:
    if options.command in EMULATOR_COMMANDS:
        return _emulator(options)
    if options.command in operator_commands.COMMANDS:
        return operator_commands.run(options)
    if options.command in ("serve", "check-config"):
        try:
            settings = _load(options)
        except SettingsError as error:
            print(f"dunehold: {error}", file=sys.stderr)
            return EXIT_USAGE
        if options.command == "check-config":
            print(f"{options.config}: in order; node {settings.node} of {settings.node_count}")
            return 0
        return _serve(settings)
    return _client(options)


def _load(options: argparse.Namespace) -> Settings:
    """Reads the settings; deploy/operator.sexp is used if no other operators' file is given."""
    operator = options.operator
    if operator is None and OPERATOR_FILE.exists():
        operator = OPERATOR_FILE
    return settings_module.load(options.config, operator)


def _serve(settings: Settings) -> int:
    """Runs a controller; returns only after an error or an interrupt."""
    name = os.environ.get("LOG_LEVEL", "info").lower()
    logging.basicConfig(
        stream=sys.stderr,
        level=LEVELS.get(name, logging.INFO),
        format="%(levelname).1s %(name)s: %(message)s",
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)
    from dunehold.coordination.node import Node  # client commands don't need it
    from dunehold.transport.http import HttpClient

    local_host = settings.listen.host if settings.operator.bind_outgoing else None

    def connect(host: str, port: int, max_connections: int) -> HttpClient:
        return HttpClient(host, port, max_connections, local_host)

    async def run() -> None:
        await Node(settings, connect).run()

    # Objects loaded so far stay for good, so the garbage collector need not scan them again.
    gc.collect()
    gc.freeze()
    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        return 0
    except OSError as error:
        print(f"dunehold: {error}", file=sys.stderr)
        return EXIT_FAILED
    return EXIT_FAILED


def _client(options: argparse.Namespace) -> int:
    """Runs a command that sends one request to a controller, and prints the answer."""
    from dunehold.command_request import run_request
    from dunehold.protocol import codec, peers, users
    from dunehold.transport.http import NoResponse, parse_address

    address = parse_address(options.server)
    if address is None:
        print("dunehold: --server: must be HOST:PORT", file=sys.stderr)
        return EXIT_USAGE
    if options.command == "submit":
        try:
            body = (
                sys.stdin.buffer.read()
                if options.file == "-"
                else Path(options.file).read_bytes()
            )
            job = users.decode_job(body)
        except OSError as error:
            print(f"dunehold: {options.file}: {error.strerror}", file=sys.stderr)
            return EXIT_USAGE
        except codec.BadMessage as error:
            print(f"dunehold: {options.file}: {error}", file=sys.stderr)
            return EXIT_USAGE
        if options.upload:
            from dunehold.emulator.commands import upload

            code = upload(options.upload, body)
            if code:
                return code
        method, target = "POST", users.JOBS_PATH
        sent: bytes | None = codec.dump(users.encode_job(job))
    elif options.command == "served":
        method, target, sent = "GET", peers.SERVED_PATH, None
    else:
        if not users.valid_job_id(options.job):
            print("dunehold: a job's id looks like job-000412", file=sys.stderr)
            return EXIT_USAGE
        target = f"{users.JOBS_PATH}/{options.job}"
        method, sent = "GET", None
        if options.command == "cancel":
            method, target, sent = "POST", f"{target}/{users.CANCEL_SUFFIX}", b"{}"
    try:
        code, data = run_request(
            address, lambda client: client.request(method, target, sent, options.timeout)
        )
    except NoResponse as error:
        print(f"dunehold: {options.server}: no answer ({error}); try again", file=sys.stderr)
        return EXIT_FAILED
    if options.command == "served" and code == 200 and not options.json:
        from dunehold import report

        print(report.format_served(codec.load_object(data)))
        return 0
    print(data.decode("utf-8", "replace"))
    if code in (200, 201):
        return _print_unmet_dependencies(options) if getattr(options, "peer", None) else 0
    hint = "try again" if code in (429, 503, 504) else "not accepted"
    print(f"dunehold: status {code}: {hint}", file=sys.stderr)
    return EXIT_FAILED


def _print_unmet_dependencies(options: argparse.Namespace) -> int:
    """Prints the jobs that this one waits for, which the users' API does not tell."""
    from dunehold.command_request import run_request
    from dunehold.protocol import codec, peers
    from dunehold.transport.http import NoResponse, parse_address

    address = parse_address(options.peer)
    if address is None:
        print("dunehold: --peer: must be HOST:PORT", file=sys.stderr)
        return EXIT_USAGE
    try:
        waits = run_request(
            address,
            lambda client: peers.get_unmet_dependencies(client, options.job, options.timeout),
        )
    except (NoResponse, codec.BadMessage) as error:
        print(f"dunehold: {options.peer}: no answer ({error}); try again", file=sys.stderr)
        return EXIT_FAILED
    if waits is None:
        print(f"dunehold: {options.peer} does not know {options.job} yet", file=sys.stderr)
        return EXIT_FAILED
    if waits:
        print("waits for " + ", ".join(waits))
    return 0
