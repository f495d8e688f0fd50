"""The cases of the second review as tests, so that KNOWN-RED.txt can name them.

They are in no default run: pytest looks for tests in ``tests/`` only. Each takes up to two
minutes: ``python -m pytest -n 0 review/test_cases_2.py::test_case_4``.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

HERE = Path(__file__).resolve().parent


@pytest.fixture(scope="module", autouse=True)
def build() -> None:
    subprocess.run([HERE / "build-2.sh"], check=True)


def _run(case: str) -> None:
    result = subprocess.run([HERE / case / "run.sh"], capture_output=True, text=True)
    if result.returncode == 2:
        pytest.skip(result.stdout)
    assert result.returncode == 0, result.stdout


def test_case_4() -> None:
    """A finished job stays known although the records of four weeks are kept."""
    _run("4")


def test_case_5() -> None:
    """A job runs although the only machine that is up fails every task."""
    _run("5")


def test_case_6() -> None:
    """A task is not killed because many short tasks ended on its machine."""
    _run("6")


def test_case_7() -> None:
    """A machine on which cancelled, mistaken jobs failed is used again."""
    _run("7")


def test_case_8() -> None:
    """An idle-time job that is the only one to wait is started where it fits."""
    _run("8")
