"""Decoding and validation of users' jobs and of operators' settings."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson
import pytest

from dunehold.protocol import users
from dunehold.protocol.codec import BadMessage
from dunehold.settings import SettingsError, load_operator_settings

JOB: dict[str, Any] = {
    "uid": "job-000412",
    "jobclass": "train",
    "owner": "vision",
    "shape": "batch",
    "rank": "high",
    "units": 16,
    "vcpus": 8.0,
    "gpus": 1.0,
    "memory_gb": 64.0,
    "bundle": "img-07",
    "size_gb": 6.2,
    "flavours": ["g8"],
    "hall": None,
    "together": True,
    "spread": False,
    "loaner": True,
    "expect_s": 240.0,
    "snapshot_s": 30.0,
    "flush_s": 4.0,
    "due_s": 900.0,
}


def test_a_job_survives_encoding_and_decoding() -> None:
    spec = users.decode_job(orjson.dumps(JOB))
    assert users.decode_job(orjson.dumps(users.encode_job(spec))) == spec


@pytest.mark.parametrize(
    "change",
    [
        {"uid": "train-1"},
        {"uid": "job-" + "1" * 40},
        {"units": 0},
        {"units": 100_001},
        {"units": True},
        {"units": 1.5},
        {"vcpus": -1},
        {"vcpus": False},
        {"vcpus": None},
        {"memory_gb": 1e999},
        {"rank": "urgent"},
        {"shape": 3},
        {"flavours": []},
        {"flavours": "g8"},
        {"loaner": 1},
        {"owner": ""},
    ],
)
def test_malformed_jobs_are_rejected(change: dict[str, Any]) -> None:
    body = repr(JOB | change).replace("inf", "1e999").replace("'", '"')
    body = body.replace("True", "true").replace("False", "false").replace("None", "null")
    with pytest.raises(BadMessage):
        users.decode_job(body.encode())


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b"1", b"\xff", b"[" * 60_000])
def test_bodies_that_are_not_json_objects_are_rejected(body: bytes) -> None:
    with pytest.raises(BadMessage):
        users.decode_job(body)


@pytest.mark.parametrize(
    "text",
    [
        "(other)",
        "(dunehold (no-such 1))",
        "(dunehold (leader-lease-s))",
        '(dunehold (leader-lease-s "3"))',
        "(dunehold (leader-lease-s 1.0))",
        "(dunehold (backfill -1))",
        "(dunehold",
    ],
)
def test_malformed_operator_settings_are_rejected(tmp_path: Path, text: str) -> None:
    path = tmp_path / "operator.sexp"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_operator_settings(path)


def test_operator_settings_in_deploy_equal_the_defaults() -> None:
    from dunehold.settings import OperatorSettings

    root = Path(__file__).resolve().parent.parent
    assert load_operator_settings(root / "deploy" / "operator.sexp") == OperatorSettings()
