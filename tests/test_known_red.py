"""The list of known failures hides nothing else, and can't grow beyond three lines."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
SUITE = """
def test_red():
    assert False

def test_green():
    pass
"""


def _run_suite(tmp_path: Path, listed: str, suite: str = SUITE) -> tuple[int, str]:
    """As ``.ci/run`` does: the list is checked, then everything runs."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tests / "__init__.py").touch()
    for name in ("known_red.py", "conftest.py"):
        (tests / name).write_text((ROOT / "tests" / name).read_text())
    (tests / "test_some.py").write_text(suite)
    (tmp_path / "pytest.ini").write_text("[pytest]\naddopts = -rxX\n")
    (tmp_path / "KNOWN-RED.txt").write_text(listed)
    said = ""
    for words in (["tests.known_red"], ["pytest", "-q", "-p", "no:cacheprovider"]):
        done = subprocess.run(
            [sys.executable, "-m", *words], cwd=tmp_path, capture_output=True, text=True
        )
        said += done.stdout + done.stderr
        if done.returncode:
            return done.returncode, said
    return 0, said


RED_LINE = "tests/test_some.py::test_red | it fails | 29\n"


def test_a_listed_failure_is_run_and_printed(tmp_path: Path) -> None:
    code, said = _run_suite(tmp_path, RED_LINE)
    assert code == 0 and "it fails" in said and "1 passed, 1 xfailed" in said


@pytest.mark.parametrize(
    "listed",
    [
        "",  # a failure that is not listed
        RED_LINE * 4,  # a fourth line
        RED_LINE + "tests/test_some.py::test_gone | it fails | 29\n",  # no such test
        "tests/test_some.py | all of it | 29\n",  # no test, but a file
        "tests/test_some.py::test_red\n",  # no cause
    ],
)
def test_nothing_else_passes(tmp_path: Path, listed: str) -> None:
    assert _run_suite(tmp_path, listed)[0] != 0
