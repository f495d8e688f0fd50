"""An idle-time job of a guest waits for minutes although a machine that fits has room."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab"))

from lab import BANCO, GRANDE, HostKind, Lab, job, main  # noqa: E402

WAIT_S = 90.0  # the page's bound
MARGIN_S = 3.0
MEMBERS_CPUS = (32.0, 29.0)  # of the 64 of the machine
GUEST_CPUS = 2.0


async def case(trouble: bool) -> bool:
    kind = HostKind("nodo-grande", "milano-sud", False)
    guest = '[[params.teams]]\nname = "ateneo-pv"\ncpus = 0.0\ncpus_max = 0.0\n'
    params = BANCO.replace("[[params.objectives]]", guest + "\n[[params.objectives]]", 1)
    lab = Lab(HERE / "record.txt", params, [GRANDE], {kind: 0}, lag_s=10.0)
    try:
        lab.cloud.cloud.add_host(kind, lab.now(), up=True)
        await lab.start()
        await asyncio.sleep(3.0)
        for number, cpus in enumerate(MEMBERS_CPUS, 1):
            row = {"jobclass": "reazione", "vcpus": cpus, "memory_gb": 56.0}
            await lab.submit(job(number, expect_s=250.0, real_s=250.0, **row))
        await asyncio.sleep(6.0)
        owner, rank = ("ateneo-pv", "idle") if trouble else ("chimitalia", "normal")
        row = {"jobclass": "notturno", "units": 20, "vcpus": GUEST_CPUS, "memory_gb": 3.6}
        await lab.submit(job(3, owner=owner, rank=rank, expect_s=20.0, real_s=20.0, **row))
        began = room_since = lab.seconds()
        agent = next(iter(lab.cloud.workers.values()))
        while lab.seconds() < began + WAIT_S + MARGIN_S:
            await asyncio.sleep(1.0)
            worker = agent.worker
            tasks = [t for t in worker.tasks.values() if t.facts and t.phase != "ended"]
            if any(t.task_id.startswith("job-000003/") for t in tasks):
                lab.note("verdict", started_s=round(lab.seconds() - began, 1))
                return True
            used = sum(t.facts.vcpus for t in tasks if t.facts)
            if worker.gone or used + GUEST_CPUS > worker.machine.vcpus:
                room_since = lab.seconds()
            if int(lab.seconds()) % 5 == 0:
                lab.note("room", host=worker.machine.name, used=used, gone=worker.gone)
                await lab.poll("job-000003")
        waited = lab.seconds() - room_since
        lab.note("verdict", waited_with_room_s=round(waited, 1))
        return waited < WAIT_S
    finally:
        await lab.stop()


if __name__ == "__main__":
    sys.exit(main(case))
