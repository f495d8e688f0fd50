"""Reports failures of the tests in ``KNOWN-RED.txt`` as expected; all other tests must pass.

A listed test runs like any other. Its failure is reported as an expected one, and its pass as
an unexpected one, with the entry's other fields from the list: the
command and seed, what was seen, and the issue.
"""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import pytest

from tests.known_red import LIST_PATH, KnownRed, read_list

KNOWN_RED_KEY = pytest.StashKey[dict[str, KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the list at the root of the tests; a list that is not valid ends the run."""
    path = (
        LIST_PATH if LIST_PATH.parent == config.rootpath else config.rootpath / LIST_PATH.name
    )
    try:
        config.stash[KNOWN_RED_KEY] = {entry.test: entry for entry in read_list(path)}
    except ValueError as error:
        raise pytest.UsageError(f"{LIST_PATH.name}: {error}") from None


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[Any]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Report a listed test's failure as an expected one, its pass as an unexpected one."""
    report = yield
    entry = item.config.stash[KNOWN_RED_KEY].get(item.nodeid)
    if entry is not None and report.when == "call":
        report.wasxfail = f"known red: {entry.describe()}"
        if report.failed:
            # pytest represents an expected failure as "skipped" with ``wasxfail`` set.
            report.outcome = "skipped"
    return report
