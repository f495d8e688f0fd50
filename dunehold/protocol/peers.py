"""What controllers ask one another: for display only, nothing depends on it."""

from __future__ import annotations

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client
from dunehold.types import JobId

RUNNING_PATH = "/peer/running"
PROOF_PATH = "/peer/proof"


def encode_running(running: dict[JobId, int]) -> bytes:
    return codec.dump({"running": running})


def encode_proof(age_s: float) -> bytes:
    return codec.dump({"age_s": max(0.0, min(age_s, 1e9))})


async def get_proof_age(client: Client, timeout_s: float) -> float:
    """How long ago the peer had its last proof of a current view."""
    status, data = await client.request("GET", PROOF_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    return codec.amount(codec.load_object(data), "age_s")


async def get_running(client: Client, timeout_s: float) -> dict[JobId, int]:
    """How many tasks of each job the leader takes to be on machines."""
    status, data = await client.request("GET", RUNNING_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    row = codec.load_object(data).get("running")
    if not isinstance(row, dict):
        raise BadMessage("running must be an object")
    return {JobId(job): codec.count(row, job) for job in row}
