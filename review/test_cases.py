"""The cases of the review as tests, so that KNOWN-RED.txt can name them.

They are in no default run: pytest looks for tests in ``tests/`` only. Each takes one to two
minutes: ``python -m pytest -n 0 review/test_cases.py::test_case_1``.
"""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

HERE = Path(__file__).resolve().parent


def _run(case: str) -> None:
    result = subprocess.run([HERE / case / "run.sh"], capture_output=True, text=True)
    if result.returncode == 2:
        pytest.skip(result.stdout)
    assert result.returncode == 0, result.stdout


def test_case_1() -> None:
    """No task of a cancelled job starts after cancel_s, a start held back by a cut included."""
    _run("1")


def test_case_2() -> None:
    """A job is not left waiting because another team's pipeline has differing estimates."""
    _run("2")


def test_case_3() -> None:
    """A job that failed on faulty machines runs once they are gone."""
    _run("3")
