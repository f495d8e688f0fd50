"""Exit codes and tables of the command line, and the checks of settings files."""

from __future__ import annotations

import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from dunehold import report
from dunehold.settings import SettingsError, load

ROOT = Path(__file__).parent.parent
VALID_CONFIG = """
host_name = "n0"
site = "a"
bind = "127.0.0.1:1"
peer_bind = "127.0.0.1:2"
unknown = "ignored"
[[seeds]]
host_name = "n1"
site = "b"
address = "127.0.0.1:4"
[endpoints]
cloud = "127.0.0.1:5"
state = "127.0.0.1:6"
[params]
zones = ["a", "b"]
clock_error_ms = 5.0
[[params.teams]]
name = "blue"
cpus = 8.0
cpus_max = 16.0
[params.workers]
report_s = 2.5
lease_s = 14.0
cancel_s = 39.0
[params.state]
rps = 80.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12
[params.cloud]
rps = 5.0
list_lag_s = 6.0
[params.machine_limits]
core_share = 0.75
ram_mb = 266.0
sockets = 1500
"""


def run_cli(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "dunehold", *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_valid_settings_are_loaded(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_CONFIG)
    settings = load(path)
    assert settings.node_count == 2
    assert settings.teams[next(iter(settings.teams))].limit_cpus == 16.0


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('host_name = "n0"\n', "", "host_name"),
        ('bind = "127.0.0.1:1"', 'bind = "127.0.0.1"', "bind"),
        ('address = "127.0.0.1:4"', 'address = "x:99999"', "seeds[0].address"),
        ("cpus = 8.0", "cpus = 32.0", "teams[0].cpus"),
        ("report_s = 2.5", 'report_s = "soon"', "report_s"),
        ("cancel_s = 39.0", "cancel_s = 10.0", "cancel_s"),
        ("txn_ops = 12", "txn_ops = 1", "txn_ops"),
        ("rps = 80.0", "rps = nan", "state.rps"),
        ('zones = ["a", "b"]', "zones = []", "zones"),
        ("[endpoints]", "[endpoints", "not TOML"),
        ('host_name = "n1"', 'host_name = "n0"', "seeds"),
    ],
)
def test_errors_in_settings_name_the_field(
    tmp_path: Path, old: str, new: str, field: str
) -> None:
    path = tmp_path / "s.toml"
    assert old in VALID_CONFIG
    path.write_text(VALID_CONFIG.replace(old, new, 1))
    with pytest.raises(SettingsError) as raised:
        load(path)
    assert field in str(raised.value)
    assert "\n" not in str(raised.value)


def test_exit_codes(tmp_path: Path) -> None:
    good, bad = tmp_path / "good.toml", tmp_path / "bad.toml"
    good.write_text(VALID_CONFIG)
    bad.write_text(VALID_CONFIG.replace("rps = 80.0", "rps = 0.0"))
    assert run_cli("check-config", "--config", str(good)).returncode == 0
    for arguments in (
        ("serve", "--config", str(bad)),
        ("check-config", "--config", str(tmp_path / "none.toml")),
        ("status", "not-a-job"),
        ("submit", str(tmp_path / "none.json")),
        ("status", "job-000001", "--server", "nowhere"),
    ):
        completed = run_cli(*arguments)
        assert completed.returncode == 2
        assert len(completed.stderr.strip().splitlines()) == 1
    assert run_cli("status", "job-000001", "--server", "127.0.0.1:1").returncode == 1


def test_served_statistics_are_printed_as_tables() -> None:
    statistics = {"jobs": 9, "done": 7, "cancelled": 1, "in_time": 5, "timed": 7,
             "cpu_s": 7200.0, "served_cpu_s": 5400.0, "share": 0.75}  # fmt: skip
    row = {"since_s": 60.0, "classes": {"train": statistics}, "teams": {"vision": statistics},
           "zones": {"north": "lost", "south": "well"}}  # fmt: skip
    printed = report.format_served(row).splitlines()
    assert "train 9 7 5/7 1 2.00 1.50 0.750" in [" ".join(line.split()) for line in printed]
    assert printed[-1] == "zones: north lost"
    assert report.format_served(row | {"zones": {}}).endswith("zones: all well")


NEXT_STATE_LIMITS = "\n[params.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\nwrite_rps = 15.0\n"


def test_the_smaller_of_present_and_later_limits_applies_to_sizes(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_CONFIG + NEXT_STATE_LIMITS)
    later = load(path)
    assert (later.value_bytes, later.txn_ops, later.write_burst) == (2048, 4, 12.0)
    assert (later.state_write_rps, later.later_write_rps, later.later_rps) == (20.0, 15.0, 80.0)
    path.write_text(VALID_CONFIG + "\n[params.state.next]\nvalue_kb = 8.0\n")
    larger = load(path)
    assert (larger.value_bytes, larger.txn_ops, larger.later_write_rps) == (4096, 12, 20.0)


@pytest.mark.parametrize("line", ['txn_ops = "4"', "value_kb = 0.1", "rps = -1", "txn_ops = 1"])
def test_later_limits_are_validated(tmp_path: Path, line: str) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_CONFIG + f"\n[params.state.next]\n{line}\n")
    with pytest.raises(SettingsError, match=f"params.state.next.{line.split()[0]}"):
        load(path)


def test_submit_rejects_a_job_that_depends_on_itself(tmp_path: Path) -> None:
    job = tmp_path / "job.json"
    row = '"uid":"job-1","jobclass":"c","owner":"t","shape":"batch","rank":"normal","units":1'
    rest = '"vcpus":1,"memory_gb":1,"bundle":"i","size_gb":1,"expect_s":1,"awaits":["job-1"]'
    more = '"gpus":0,"together":false,"spread":false,"loaner":true,"snapshot_s":0,"flush_s":0'
    job.write_text("{" + row + "," + more + "," + rest + "}")
    completed = run_cli("submit", str(job), "--server", "127.0.0.1:1")
    assert (
        completed.returncode == 2 and "awaits must not name the job itself" in completed.stderr
    )


def http_response(status: int, body: bytes) -> bytes:
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b" % (status, len(body), body)


@contextmanager
def server_that_answers(response: bytes | None) -> Iterator[tuple[str, threading.Event]]:
    """Serve one connection, which stays open; yield the address, and when a request came.

    Without a response the request is never answered.
    """
    requested, ended = threading.Event(), threading.Event()
    with socket.create_server(("127.0.0.1", 0)) as server:

        def serve() -> None:
            connection, _ = server.accept()
            with connection:
                connection.recv(65536)
                requested.set()
                if response is not None:
                    connection.sendall(response)
                ended.wait(30.0)

        thread = threading.Thread(target=serve)
        thread.start()
        try:
            yield f"127.0.0.1:{server.getsockname()[1]}", requested
        finally:
            ended.set()
            thread.join()


CLIENT_COMMANDS = [("orders",), ("show", "out"), ("status", "job-000001"), ("served",)]


@pytest.mark.parametrize("command", CLIENT_COMMANDS)
@pytest.mark.parametrize("status", [409, 503])
def test_a_refused_command_prints_its_error_and_nothing_about_its_connection(
    command: tuple[str, ...], status: int
) -> None:
    with server_that_answers(http_response(status, b'{"error":"no"}')) as (address, _):
        completed = run_cli(*command, "--server", address)
    assert (completed.returncode, completed.stderr.count("\n")) == (1, 1), completed


@pytest.mark.parametrize(
    ("response", "stderr_lines"), [(http_response(200, b"{}"), 0), (b"garbage\r\n\r\n", 1)]
)
def test_an_answered_command_leaves_no_connection_open(
    response: bytes, stderr_lines: int
) -> None:
    with server_that_answers(response) as (address, _):
        completed = run_cli("orders", "--json", "--server", address)
    assert completed.returncode == stderr_lines
    assert completed.stderr.count("\n") == stderr_lines, completed


def test_a_command_that_gets_no_answer_closes_its_connection() -> None:
    with server_that_answers(None) as (address, _):
        completed = run_cli("orders", "--timeout", "0.3", "--server", address)
    assert (completed.returncode, completed.stderr.count("\n")) == (1, 1), completed


@pytest.mark.parametrize("command", CLIENT_COMMANDS)
def test_an_interrupted_command_says_so_in_one_line(command: tuple[str, ...]) -> None:
    arguments = [sys.executable, "-m", "dunehold", *command]
    with server_that_answers(None) as (address, requested):
        process = subprocess.Popen(
            [*arguments, "--server", address], cwd=ROOT, stderr=subprocess.PIPE, text=True
        )
        assert requested.wait(20.0)
        process.send_signal(signal.SIGINT)
        _, err = process.communicate(timeout=20.0)
    assert (process.returncode, err.count("\n")) == (130, 1), err
