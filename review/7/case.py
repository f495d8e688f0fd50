"""Two mistaken jobs are cancelled; the healthy machine on which they failed stays unused."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab"))

from lab import BANCO, GRANDE, HostKind, Lab, job, main  # noqa: E402

MISTAKEN_S = 6.0  # from the submission of the mistaken jobs until their users cancel them
WAIT_S = 90.0  # the page's bound, from the end of the trouble
MARGIN_S = 3.0


async def case(trouble: bool) -> bool:
    kind = HostKind("nodo-grande", "milano-sud", False)
    lab = Lab(HERE / "record.txt", BANCO, [GRANDE], {kind: 0}, lag_s=10.0)
    try:
        lab.cloud.cloud.add_host(kind, lab.now(), up=True)
        await lab.start()
        task = {"vcpus": 16.0, "memory_gb": 28.0}
        await lab.submit(job(1, jobclass="reazione", expect_s=250.0, real_s=250.0, **task))
        await asyncio.sleep(3.0)
        agent = next(iter(lab.cloud.workers.values()))
        if trouble:
            mistaken = ("farmalba", "chimitalia")
            for number, owner in enumerate(mistaken, 2):
                await lab.submit(job(number, owner=owner, broken=True, **task))
            await asyncio.sleep(MISTAKEN_S)
            for number in range(2, 2 + len(mistaken)):
                for _ in range(30):
                    status, _ = await lab.cancel(f"job-{number:06d}")
                    if status == 200:
                        break
                    await asyncio.sleep(1.0)
        await lab.submit(job(4, expect_s=10.0, real_s=10.0, **task))
        lab.note("trouble is over")
        over = lab.seconds()
        room_since = over
        while lab.seconds() < over + WAIT_S + MARGIN_S:
            await asyncio.sleep(1.0)
            worker = agent.worker
            tasks = [t for t in worker.tasks.values() if t.facts and t.phase != "ended"]
            if any(t.task_id == "job-000004/0" for t in tasks):
                lab.note("verdict", started_s=round(lab.seconds() - over, 1))
                return True
            used = sum(t.facts.vcpus for t in tasks if t.facts)
            if worker.gone or used + task["vcpus"] > worker.machine.vcpus:
                room_since = lab.seconds()
            if int(lab.seconds()) % 5 == 0:
                lab.note("room", host=worker.machine.name, used=used, gone=worker.gone)
                await lab.poll("job-000004")
        waited = lab.seconds() - room_since
        lab.note("verdict", waited_with_room_s=round(waited, 1))
        return waited < WAIT_S
    finally:
        await lab.stop()


if __name__ == "__main__":
    sys.exit(main(case))
