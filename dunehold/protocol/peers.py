"""What controllers ask one another: hints on who should lead or serve, and counts to show.

No rule depends on an answer: who may lead and what may start is decided by the state service.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client
from dunehold.types import JobId, Revision

RUNNING_PATH = "/peer/running"
PEER_STATUS_PATH = "/peer/proof"
SERVED_PATH = "/peer/served"  # operators ask for it
DEPENDENCIES_PATH = "/peer/waits/"  # and a job's id: what it waits for; users' commands ask
MAINTENANCE_PATH = "/peer/upkeep"  # of the leader: how far it is with each order


def encode_running(running: dict[JobId, int]) -> bytes:
    return codec.dump({"running": running})


def encode_unmet_dependencies(job: JobId, waits: Iterable[JobId]) -> bytes:
    return codec.dump({"uid": job, "waits": sorted(waits)})


async def get_unmet_dependencies(
    client: Client, job: JobId, timeout_s: float
) -> list[JobId] | None:
    """What the job waits for; None where that controller does not know the job."""
    status, data = await client.request("GET", DEPENDENCIES_PATH + job, None, timeout_s)
    if status != 200:
        return None
    waits = codec.load_object(data).get("waits")
    if not isinstance(waits, list):
        raise BadMessage("waits must be a list")
    return [JobId(str(name)) for name in waits]


class PeerStatus(NamedTuple):
    """What a node has seen lately, in seconds ago: a proof of a current view, any worker."""

    proof_age_s: float
    worker_age_s: float


def encode_peer_status(status: PeerStatus) -> bytes:
    proof, worker = (max(0.0, min(age, 1e9)) for age in status)
    return codec.dump({"age_s": proof, "worker_age_s": worker})


async def get_peer_status(client: Client, timeout_s: float) -> PeerStatus:
    status, data = await client.request("GET", PEER_STATUS_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    row = codec.load_object(data)
    # A node that does not say when it heard a worker may hear them now.
    return PeerStatus(codec.amount(row, "age_s"), codec.opt_amount(row, "worker_age_s") or 0.0)


def encode_maintenance(applied: Revision, status: dict[str, Any]) -> bytes:
    return codec.dump({"applied": applied, "orders": status})


async def get_maintenance(client: Client, timeout_s: float) -> tuple[Revision, dict[str, Any]]:
    """The revision that the leader's view has, and what it knows of each order."""
    status, data = await client.request("GET", MAINTENANCE_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    row = codec.load_object(data)
    orders = row.get("orders")
    if not isinstance(orders, dict):
        raise BadMessage("orders must be an object")
    return Revision(codec.count(row, "applied")), orders


async def get_running(client: Client, timeout_s: float) -> dict[JobId, int]:
    """How many tasks of each job the leader takes to be on machines."""
    status, data = await client.request("GET", RUNNING_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"status {status}")
    row = codec.load_object(data).get("running")
    if not isinstance(row, dict):
        raise BadMessage("running must be an object")
    return {JobId(job): codec.count(row, job) for job in row}
