"""Known red tests run and are printed; all others must pass."""

from __future__ import annotations

from collections.abc import Generator
from typing import Any

import pytest

from tests.known_red import LIST_PATH, KnownRed, read_list

KNOWN_RED_KEY = pytest.StashKey[dict[str, KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    listed = (
        LIST_PATH if LIST_PATH.parent == config.rootpath else config.rootpath / LIST_PATH.name
    )
    try:
        config.stash[KNOWN_RED_KEY] = {red.test: red for red in read_list(listed)}
    except ValueError as error:
        raise pytest.UsageError(f"{LIST_PATH.name}: {error}") from None


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[Any]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    report = yield
    red = item.config.stash[KNOWN_RED_KEY].get(item.nodeid)
    if red is not None and report.when == "call":
        report.wasxfail = f"known red: {red.cause} (issue {red.issue})"
        if report.failed:
            report.outcome = "skipped"  # with wasxfail, this is how an expected failure reads
    return report
