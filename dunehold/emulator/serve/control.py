"""The emulator's control interface, for ``dunehold fault`` and for uploads of jobs.

It speaks HTTP on a loopback address.

| request | answer |
| --- | --- |
| ``GET /`` | the state of machines, controllers and state service |
| ``POST /faults`` with a fault as in a scenario | ``{"targets": [...]}`` |
| ``POST /jobs`` with a job's description, as users upload it for workers | ``{}`` |

A mistake in a request gets 400 with the reason.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import msgspec

from dunehold.emulator import faults
from dunehold.emulator.model.base import Malformed, Reply, bad_request, decode_body, reply
from dunehold.emulator.serve.cluster import Cluster
from dunehold.emulator.serve.fault_injector import FaultInjector, NoSuchTarget
from dunehold.transport.http import HttpServer, Request, Response

FAULTS_PATH, JOBS_PATH = "/faults", "/jobs"


@dataclass(slots=True)
class ControlServer:
    """Serves the control interface of one cluster."""

    cluster: Cluster
    fault_injector: FaultInjector
    server: HttpServer = field(init=False)

    def __post_init__(self) -> None:
        self.server = HttpServer(self._serve, 64)

    async def _serve(self, request: Request) -> Response:
        answer = await self._answer(request)
        return Response(answer.status, answer.body)

    async def _answer(self, request: Request) -> Reply:
        try:
            if (request.method, request.path) == ("GET", "/"):
                return reply(200, await self.status())
            if (request.method, request.path) == ("POST", JOBS_PATH):
                self.cluster.jobs.upload(decode_body(request.body))
                return reply(200, {})
            if (request.method, request.path) == ("POST", FAULTS_PATH):
                return reply(
                    200,
                    {"targets": await self.fault_injector.inject(faults.decode(request.body))},
                )
        except (Malformed, msgspec.DecodeError, NoSuchTarget) as error:
            return bad_request(str(error))
        return reply(404, {"error": "no such path"})

    async def status(self) -> dict[str, Any]:
        """Returns the answer to ``GET /``."""
        cluster = self.cluster
        machines_by_zone = Counter(
            a.worker.machine.zone for a in cluster.cloud.workers.values()
        )
        running = sum(
            task.on_machine
            for a in cluster.cloud.workers.values()
            for task in a.worker.tasks.values()
        )
        return {
            "machines": dict(machines_by_zone),
            "tasks": running,
            "cuts": len(cluster.gate.partitions),
            "controllers": {
                name: {"pid": child.pid, "starts": child.starts, **child.usage()._asdict()}
                for name, child in cluster.controllers.items()
            },
            "leader": cluster.leader(),
            "state": await cluster.control_state_service(None),
        }
