"""A start that a cut holds back reaches its machine after the job was cancelled."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from standins import CannotRun, Site, now, run_case, trouble

NEAR, FAR = "milano-sud", "brescia-est"


async def case(folder: Path) -> list[str]:
    async with Site(folder) as site:
        near = await site.cloud.create("nodo-otto", NEAR, False, 0)
        far = await site.cloud.create("nodo-otto", FAR, False, 0)
        workers = [site.cloud.machines[name]["worker"] for name in (near, far)]
        # A controller of one zone is started first, so that it leads.
        site.start("dunehost-0")
        await site.until(lambda: all(w.answered_by for w in workers), 30, "nobody leads")
        site.start("dunehost-1")
        site.start("dunehost-2")
        await site.healthy()
        # First jobs, so that the image is there and the leader has a connection to the machine.
        for number in (1, 2):
            job = site.job(number, hall=FAR)
            if not await site.submit(job, 1.0) or not await site.wait_done(job["uid"]):
                raise CannotRun("the first jobs were not done")
        await asyncio.sleep(3.0)
        session = workers[1].tenure
        arrived = asyncio.Event()

        async def cut_at_the_start(node, worker, method, target, body) -> None:
            orders = json.loads(body).get("orders", []) if body else []
            if any(o["verb"] == "run" and o["item"].startswith("job-000003/") for o in orders):
                site.network.on_direct = None
                if trouble():
                    site.network.begin_zone_cut(FAR)
                arrived.set()

        site.network.on_direct = cut_at_the_start
        if not await site.submit(site.job(3, hall=FAR), 60.0):
            raise CannotRun("job-000003 was not accepted")
        await site.until(arrived.is_set, 20, "no start was sent directly")
        await asyncio.sleep(0.2)
        if not await site.cancel("job-000003"):
            raise CannotRun("the cancellation was not answered")
        told = site.cancelled["job-000003"]
        while now() < told + site.cancel_s + 3.0:
            await asyncio.sleep(0.1)
        if trouble():
            site.network.end_zone_cut()
        await asyncio.sleep(6.0)
        if workers[1].tenure != session:
            site.rec("the worker's session ended in between, so the start was refused")
        return site.breaches


if __name__ == "__main__":
    run_case(case)
