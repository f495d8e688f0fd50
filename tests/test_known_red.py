"""The list of known failures covers only the listed tests and has at most three lines."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from tests.known_red import KnownRed, read_list

ROOT = Path(__file__).resolve().parent.parent
SUITE = """
def test_red():
    assert False

def test_green():
    pass
"""


def _run_suite(tmp_path: Path, listed: str, suite: str = SUITE) -> tuple[int, str]:
    """Check the list and run the tests as ``.ci/run`` does; return exit code and output."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    for name in ("known_red.py", "conftest.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_some.py").write_text(suite)
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -rxX\n")
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    output = ""
    for arguments in (["tests.known_red"], ["pytest", "-q", "-p", "no:cacheprovider"]):
        result = subprocess.run(
            [sys.executable, "-m", *arguments], cwd=tmp_path, capture_output=True, text=True
        )
        output += result.stdout + result.stderr
        if result.returncode:
            return result.returncode, output
    return 0, output


RED_FIELDS = ("tests/test_some.py::test_red", "pytest -q --seed 5", "it fails", "29")
RED_LINE = " | ".join(RED_FIELDS) + "\n"


def test_a_listed_failing_test_runs_and_is_printed(tmp_path: Path) -> None:
    code, output = _run_suite(tmp_path, RED_LINE)
    assert code == 0 and "it fails" in output and "1 passed, 1 xfailed" in output
    description = "it fails (command: pytest -q --seed 5; issue 29)"
    check_line, *pytest_lines = output.splitlines()
    assert check_line == f"known red: {RED_FIELDS[0]}: {description}"
    assert any(RED_FIELDS[0] in line and description in line for line in pytest_lines)


@pytest.mark.parametrize(
    "listed",
    [
        "",  # the failing test is not listed
        RED_LINE * 4,  # more lines than allowed
        RED_LINE + "tests/test_some.py::test_gone | pytest | it fails | 29\n",  # no such test
        "tests/test_some.py | pytest | all of it | 29\n",  # a whole file
        "tests/test_some.py::test_red\n",  # only the test
        "tests/test_some.py::test_red | it fails | 29\n",  # the earlier form of three fields
    ],
)
def test_the_run_fails_for_an_unlisted_failure_or_an_invalid_list(
    tmp_path: Path, listed: str
) -> None:
    assert _run_suite(tmp_path, listed)[0] != 0


def test_an_entry_has_all_four_fields(tmp_path: Path) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"\n{RED_LINE}")
    assert read_list(path) == [KnownRed(*RED_FIELDS)]


@pytest.mark.parametrize(
    "fields",
    [
        RED_FIELDS[:1],
        (RED_FIELDS[0], "it fails", "29"),  # the earlier form: test, cause, issue
        (*RED_FIELDS, "more"),
        *((*RED_FIELDS[:n], " ", *RED_FIELDS[n + 1 :]) for n in range(4)),  # an empty field
    ],
)
def test_a_line_without_exactly_four_non_empty_fields_is_refused(
    tmp_path: Path, fields: tuple[str, ...]
) -> None:
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(RED_LINE + " | ".join(fields) + "\n")
    with pytest.raises(ValueError, match="a line must be"):
        read_list(path)
