"""The operators' commands: drain, undrain, replace, pause, resume, abort, orders, show.

Each command sends one request to the operators' port of a controller and prints the answer.
"""

from __future__ import annotations

import argparse
import re
import secrets
import sys
import time
from typing import Any

from dunehold import report
from dunehold.command_request import run_request
from dunehold.protocol import codec, operators
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import Order
from dunehold.transport.http import NoResponse, parse_address
from dunehold.types import OrderId

# Actions of the operators' API on an existing order.
ACTION_BY_COMMAND = {"undrain": "abort", "abort": "abort", "pause": "pause", "resume": "resume"}
COMMANDS = ("drain", "replace", *ACTION_BY_COMMAND, "orders", "show")
EXIT_FAILED = 1  # no answer, or the request was refused
EXIT_USAGE = 2  # the command line or the request is not valid
TIMEOUT_S = 5.0  # default of --timeout
UNIT_SECONDS = {"s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}


def add_parsers(commands: Any) -> None:
    """Adds the operators' sub-commands to the sub-parsers of the command line."""
    drain = commands.add_parser("drain", help="take machines out of service")
    replace = commands.add_parser("replace", help="replace machines by new ones, in waves")
    for command in (drain, replace):
        _add_selection(command)
    drain.add_argument(
        "--from", dest="begins", metavar="TIME", help="when the maintenance window begins"
    )
    drain.add_argument("--by", metavar="TIME", help="when the machines have to be empty")
    drain.add_argument(
        "--keep", action="store_true", help="keep the machines rented once they are empty"
    )
    replace.add_argument("--to", metavar="TYPE", help="replace by machines of another type")
    replace.add_argument(
        "--within", metavar="SPAN", help="how long the machines of a wave may take to drain"
    )
    for name, text in (
        ("undrain", "put machines back into service"),
        ("abort", "end an order at its present state"),
        ("pause", "stop no more work and take no more machines for an order"),
        ("resume", "continue a paused order"),
        ("show", "show the progress of one order and what it waits for"),
    ):
        command = commands.add_parser(name, help=text)
        command.add_argument("order", help="the order's id")
    commands.add_parser("orders", help="list all orders, including those that ended lately")
    for name in COMMANDS:
        command = commands.choices[name]
        command.add_argument(
            "--server",
            default="127.0.0.1:8082",
            help="HOST:PORT of any controller's operator port",
        )
        command.add_argument("--timeout", type=float, default=TIMEOUT_S)
        command.add_argument("--json", action="store_true", help="print the answer as JSON")
        if name not in ("orders", "show"):
            command.add_argument(
                "--seen",
                type=int,
                help="refuse if any order has changed since this serial of the list",
            )


def _add_selection(command: argparse.ArgumentParser) -> None:
    command.add_argument("hosts", nargs="*", help="machines by name")
    command.add_argument("--type", dest="types", action="append", default=[])
    command.add_argument("--zone", dest="zones", action="append", default=[])
    kind = command.add_mutually_exclusive_group()
    kind.add_argument("--spot", action="store_true", default=None)
    kind.add_argument("--ordinary", dest="spot", action="store_false")
    command.add_argument(
        "--older", metavar="SPAN", help="only machines rented longer ago than this"
    )
    command.add_argument(
        "--share", metavar="SHARE", help="only a share of the machines, such as 10%%"
    )
    command.add_argument("--reason", default="")
    command.add_argument("--id", help="id of the order, so that it can be sent again safely")


def parse_duration_s(text: str) -> float:
    """Parses a duration such as ``90``, ``90s``, ``15m``, ``2h`` or ``1d`` into seconds.

    Raises:
        ValueError: the text is not a duration.
    """
    found = re.fullmatch(r"(\d+(?:\.\d+)?)([smhd]?)", text)
    if found is None:
        raise ValueError(f"{text}: not a duration such as 90s, 15m or 2h")
    return float(found[1]) * UNIT_SECONDS[found[2] or "s"]


def parse_time_s(text: str, now: float) -> float:
    """Parses a time: a duration from ``now`` such as ``+15m``, or seconds since the epoch.

    Raises:
        ValueError: the text is not a time.
    """
    if text.startswith("+"):
        return round(now + parse_duration_s(text[1:]), 3)
    if re.fullmatch(r"\d{9,}(\.\d+)?", text) is None:
        raise ValueError(f"{text}: not a time such as +15m, or seconds since the epoch")
    return float(text)


def _share(text: str) -> float:
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(%?)", text)
    if found is None:
        raise ValueError(f"{text}: not a share such as 10% or 0.1")
    return float(found[1]) / (100.0 if found[2] else 1.0)


def build_order(options: argparse.Namespace, now: float) -> Order:
    """Builds the order of a ``drain`` or ``replace`` command line.

    Raises:
        ValueError, BadMessage: an option is not valid; the message is one line that says why.
    """
    row: dict[str, Any] = {
        "kind": options.command,
        "hosts": options.hosts,
        "types": options.types,
        "zones": options.zones,
        "spot": options.spot,
        "reason": options.reason or None,
    }
    if options.older is not None:
        row["older_s"] = parse_duration_s(options.older)
    if options.share is not None:
        row["share"] = _share(options.share)
    if options.command == "drain":
        row["keep"] = options.keep
        for key, text in (("from", options.begins), ("by", options.by)):
            row[key] = None if text is None else parse_time_s(text, now)
    else:
        row["to"] = options.to
        row["within_s"] = None if options.within is None else parse_duration_s(options.within)
    name = options.id or f"{options.command}-{secrets.token_hex(4)}"
    if not operators.valid_order_id(name):
        raise ValueError(f"{name}: not an order's id: use letters, digits, - and _")
    return operators.decode_order_fields(OrderId(name), row)


def run(options: argparse.Namespace) -> int:
    """Sends the command's request, prints the answer and returns the exit code."""
    address = parse_address(options.server)
    if address is None:
        return _usage("--server: must be HOST:PORT")
    body: bytes | None = None
    method, target = "GET", operators.ORDERS_PATH
    if options.command in ("drain", "replace"):
        try:
            order = build_order(options, time.time())
        except (ValueError, BadMessage) as error:
            return _usage(str(error))
        method, body = "POST", operators.encode_request(order, options.seen)
    elif options.command != "orders":
        if not operators.valid_order_id(options.order):
            return _usage(f"{options.order}: not an order's id")
        target += f"/{options.order}"
        if options.command in ACTION_BY_COMMAND:
            method, target = "POST", f"{target}/{ACTION_BY_COMMAND[options.command]}"
            body = codec.dump({} if options.seen is None else {"seen": options.seen})
    try:
        status, data = run_request(
            address, lambda client: client.request(method, target, body, options.timeout)
        )
        row = codec.load_object(data)
    except (NoResponse, BadMessage) as error:
        # The order may have been accepted; with the same id it can be sent again safely.
        again = f" with --id {order.id}" if options.command in ("drain", "replace") else ""
        print(
            f"dunehold: {options.server}: no answer ({error}); try again{again}",
            file=sys.stderr,
        )
        return EXIT_FAILED
    if status not in (200, 201):
        hint = ": try again" if status in (429, 503) else ""
        print(f"dunehold: {row.get('error', f'status {status}')}{hint}", file=sys.stderr)
        return EXIT_USAGE if status == 400 else EXIT_FAILED
    if options.json:
        print(data.decode("utf-8", "replace"))
    elif options.command == "orders":
        print(report.format_orders(row))
    else:
        print(report.format_order(row, time.time()))
    return 0


def _usage(reason: str) -> int:
    print(f"dunehold: {reason}", file=sys.stderr)
    return EXIT_USAGE
