"""Messages between controllers: hints on who should lead or serve, and counts for display.

Correctness does not depend on these answers: the state service decides who may lead and what
may start.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from dunehold.protocol import codec
from dunehold.protocol.codec import BadMessage
from dunehold.transport.http import Client
from dunehold.types import JobId, Revision

RUNNING_PATH = "/peer/running"  # the leader's counts of tasks on machines
PEER_STATUS_PATH = "/peer/proof"  # a ``PeerStatus``
SERVED_PATH = "/peer/served"  # service statistics, for operators
# Followed by a job's id: the dependencies that it waits for. Used by the command line.
DEPENDENCIES_PATH = "/peer/waits/"
MAINTENANCE_PATH = "/peer/upkeep"  # the leader's progress with each order
MAX_AGE_S = 1e9  # upper bound of a sent age, since JSON can't hold an infinite age


def encode_running(running: dict[JobId, int]) -> bytes:
    """Encodes how many tasks of each job are on a machine."""
    return codec.dump({"running": running})


def encode_unmet_dependencies(job: JobId, waits: Iterable[JobId]) -> bytes:
    """Encodes the jobs that a job waits for."""
    return codec.dump({"uid": job, "waits": sorted(waits)})


async def get_unmet_dependencies(
    client: Client, job: JobId, timeout_s: float
) -> list[JobId] | None:
    """The dependencies that a job waits for, or None if that controller does not know the job.

    Like the other ``get`` functions, it raises NoResponse or BadMessage.
    """
    status, data = await client.request("GET", DEPENDENCIES_PATH + job, None, timeout_s)
    if status != 200:
        return None
    waits = codec.load_object(data).get("waits")
    if not isinstance(waits, list):
        raise BadMessage("waits must be a list of job ids")
    return [JobId(str(name)) for name in waits]


class PeerStatus(NamedTuple):
    """How long ago a node last had a proof that its view is current, and heard a worker."""

    proof_age_s: float
    worker_age_s: float


def encode_peer_status(status: PeerStatus) -> bytes:
    """Encodes a node's status; ``age_s`` is the age of its proof."""
    proof, worker = (max(0.0, min(age, MAX_AGE_S)) for age in status)
    return codec.dump({"age_s": proof, "worker_age_s": worker})


async def get_peer_status(client: Client, timeout_s: float) -> PeerStatus:
    """Asks a node for its status."""
    status, data = await client.request("GET", PEER_STATUS_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"peer answered with status {status}, expected 200")
    row = codec.load_object(data)
    # Without ``worker_age_s``, assume that the node hears workers now.
    return PeerStatus(codec.amount(row, "age_s"), codec.opt_amount(row, "worker_age_s") or 0.0)


def encode_maintenance(applied: Revision, status: dict[str, Any]) -> bytes:
    """Encodes the revision of the leader's view and the progress of each order."""
    return codec.dump({"applied": applied, "orders": status})


async def get_maintenance(client: Client, timeout_s: float) -> tuple[Revision, dict[str, Any]]:
    """Asks the leader for the revision of its view and the progress of each order."""
    status, data = await client.request("GET", MAINTENANCE_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"peer answered with status {status}, expected 200")
    row = codec.load_object(data)
    orders = row.get("orders")
    if not isinstance(orders, dict):
        raise BadMessage("orders must be an object")
    return Revision(codec.count(row, "applied")), orders


async def get_running(client: Client, timeout_s: float) -> dict[JobId, int]:
    """Asks the leader how many tasks of each job it counts as being on a machine."""
    status, data = await client.request("GET", RUNNING_PATH, None, timeout_s)
    if status != 200:
        raise BadMessage(f"peer answered with status {status}, expected 200")
    row = codec.load_object(data).get("running")
    if not isinstance(row, dict):
        raise BadMessage("running must be an object")
    return {JobId(job): codec.count(row, job) for job in row}
