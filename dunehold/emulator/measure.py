"""Measures how much load one machine can emulate, without controllers.

``python -m dunehold.emulator.measure store`` measures operations of the state service a second,
``... reports`` measures workers' reports a second. The results show at which load the emulator
itself limits a run, rather than the service.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path

import msgspec
import orjson
from numpy.random import default_rng

from dunehold.emulator.agents.external_services import WorkerAgent
from dunehold.emulator.agents.network_gate import NetworkGate
from dunehold.emulator.history import History
from dunehold.emulator.model.copies import RequestCopies
from dunehold.emulator.model.jobs import Jobs
from dunehold.emulator.model.worker import Machine, Worker
from dunehold.emulator.scenario import DEFAULT_SCENARIO, Scenario, parse
from dunehold.emulator.serve import config_files
from dunehold.emulator.serve.addresses import AddressPlan
from dunehold.emulator.serve.processes import (
    SupervisedProcess,
    own_usage,
    raise_file_limit,
    suppress_loop_errors,
)
from dunehold.emulator.serve.sockets import SocketTransport
from dunehold.transport.http import HttpClient, HttpServer, NoResponse, Request, Response

MEASUREMENT_S = 5.0  # duration of each measurement
NETWORK_OCTET = 97  # second octet of all addresses


def _scenario(unlimited: bool) -> Scenario:
    scenario = parse(DEFAULT_SCENARIO, "built in")
    state = msgspec.structs.replace(scenario.state, unlimited=unlimited)
    return msgspec.structs.replace(scenario, state=state)


async def _measure_store(
    unlimited: bool, writes: bool, connections: int = 16
) -> tuple[float, float]:
    """Returns operations a second that are served, and that are refused with 429.

    Reads of missing keys (404) count as served.
    """
    scenario = _scenario(unlimited)
    addresses = AddressPlan(NETWORK_OCTET, config_files.node_names(scenario))
    with tempfile.TemporaryDirectory() as name:
        path = config_files.write_state_settings(scenario, addresses, Path(name))
        state_process = SupervisedProcess(
            "state", ["-m", "dunehold.emulator.serve.state", str(path)], Path(name) / "log"
        )
        running = asyncio.ensure_future(state_process.run())
        client = HttpClient(addresses.state.host, addresses.state.port, connections)
        await _wait_until_answering(client)
        counts = {200: 0, 404: 0, 429: 0}
        end = time.monotonic() + MEASUREMENT_S

        async def send_requests(number: int) -> None:
            row = {"guards": [], "writes": [{"put": f"k/{number}", "v": "x" * 200}]}
            body = orjson.dumps(row)
            while time.monotonic() < end:
                if writes:
                    status, _ = await client.request("POST", "/txn", body, 5.0)
                else:
                    status, _ = await client.request("GET", f"/store/k/{number}", None, 5.0)
                counts[status] += 1

        await asyncio.gather(*(send_requests(number) for number in range(connections)))
        suppress_loop_errors()
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        client.close()
    return (counts[200] + counts[404]) / MEASUREMENT_S, counts[429] / MEASUREMENT_S


async def _wait_until_answering(client: HttpClient) -> None:
    for _ in range(100):
        try:
            await client.request("GET", "/store/k", None, 1.0)
            return
        except NoResponse:
            await asyncio.sleep(0.1)
    raise SystemExit("the state service did not answer any of 100 requests")


async def _measure_reports(workers: int) -> tuple[float, float]:
    """Returns the reports a second of so many workers, and the CPU cores that this takes.

    The cores include the server that answers the reports, which runs in the same process.
    """
    addresses = AddressPlan(NETWORK_OCTET, ("dunehold-0",))
    answer = orjson.dumps({"baton": 1, "orders": []})

    async def serve(request: Request) -> Response:
        return Response(200, answer)

    server = await HttpServer(serve, 1 << 16).start(*addresses.node(0))
    rng = default_rng(1)
    transport = SocketTransport(addresses, NetworkGate(), RequestCopies(rng))
    jobs, history = Jobs(rng), History(time.monotonic, None, False)
    agents = []
    for number in range(1, workers + 1):
        endpoint = addresses.worker(number)
        name = f"m-{number:06d}"
        transport.machine_addresses[name] = endpoint.host
        machine = Machine(
            name, str(endpoint), "small", "north", True, 4.0, 0.0, 16.0, 50.0, 1.0
        )
        worker = Worker(machine, jobs, 14.0, time.monotonic())
        agents.append(WorkerAgent(worker, ["dunehold-0"], 0, 2.5, transport, history, rng))
    for agent in agents:
        agent.start()
    await asyncio.sleep(3.0)
    before, cpu = sum(agent.reports for agent in agents), own_usage().cpu_s
    await asyncio.sleep(MEASUREMENT_S)
    rate = (sum(agent.reports for agent in agents) - before) / MEASUREMENT_S
    share = (own_usage().cpu_s - cpu) / MEASUREMENT_S
    suppress_loop_errors()
    for agent in agents:
        agent.stop()
    server.close()
    return rate, share


def main(arguments: list[str]) -> int:
    """Runs the measurement that the first argument names; returns the exit code."""
    raise_file_limit()
    if arguments == ["store"]:
        for unlimited in (False, True):
            for writes in (False, True):
                served, refused = asyncio.run(_measure_store(unlimited, writes))
                what = "writes" if writes else "reads"
                limits = "no limit" if unlimited else "default limits"
                print(f"{what}, {limits}: {served:.0f}/s served, {refused:.0f}/s refused")
        return 0
    if arguments == ["reports"]:
        for workers in (100, 300, 600, 1200, 2400):
            rate, share = asyncio.run(_measure_reports(workers))
            print(
                f"{workers} workers: {rate:.0f} reports/s of {workers / 2.5:.0f} due, "
                f"{share:.2f} of a core, including the stub server"
            )
        return 0
    print("usage: python -m dunehold.emulator.measure store|reports", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
