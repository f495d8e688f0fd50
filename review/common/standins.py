"""Stand-ins for the platform: state service, cloud, workers, network and users.

Written from PROTOCOL and DEPLOY, with the standard library alone. Everything runs in one
process on loopback; the controllers are separate processes, started with the commands of
``deploy/service.toml``. Between each controller and each counterpart there is a port of its
own, so that a fault can be done to one pair of hosts: that port stands for the network.
"""

from __future__ import annotations

import asyncio
import bisect
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path
from urllib.parse import parse_qsl, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOP = "127.0.0.1"


def now() -> float:
    return time.monotonic()


def dump(value) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


# -- record ---------------------------------------------------------------------------------


class Record:
    """Writes what was sent, answered and run, a line each, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = now()
        self.file = path.open("w", encoding="utf-8")

    def __call__(self, text: str) -> None:
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


# -- HTTP -----------------------------------------------------------------------------------


class Drop(Exception):
    """The connection is to be closed without an answer."""


async def read_message(reader: asyncio.StreamReader):
    """Reads one request or response; returns (first line, headers, body) or None at the end."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        row = await reader.readline()
        if row in (b"\r\n", b"\n", b""):
            break
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length") or 0)
    body = await reader.readexactly(length) if length else b""
    return line.decode("latin-1").strip(), headers, body


def encode_response(status: int, body: bytes) -> bytes:
    head = (
        f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {len(body)}"
    )
    return head.encode() + b"\r\n\r\n" + body


class Server:
    """Serves one port; ``handler(method, target, body)`` returns (status, bytes)."""

    def __init__(self, handler) -> None:
        self.handler = handler
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, port: int = 0) -> int:
        self.server = await asyncio.start_server(self._serve, LOOP, port, limit=1 << 20)
        return self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        connected_at = now()
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split(" ", 2)
                status, body = await self.handler(method, target, message[2], connected_at)
                writer.write(encode_response(status, body))
                await writer.drain()
        except (Drop, OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


async def call(port: int, method: str, target: str, body=None, timeout_s: float = 5.0):
    """One request on a connection of its own; (status, object), or (0, why) without answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(LOOP, port, limit=1 << 20)
            data = b"" if body is None else (body if isinstance(body, bytes) else dump(body))
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {LOOP}\r\nContent-Length: {len(data)}\r\n"
            )
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + data)
            message = await read_message(reader)
            if message is None:
                return 0, "closed"
            status = int(message[0].split(" ")[1])
            return status, (json.loads(message[2]) if message[2] else {})
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()


def free_port() -> int:
    with socket.socket() as one:
        one.bind((LOOP, 0))
        return one.getsockname()[1]


# -- state service --------------------------------------------------------------------------


class Bucket:
    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = now()

    def take(self, amount: float) -> bool:
        at = now()
        self.level = min(self.rate, self.level + (at - self.at) * self.rate)
        self.at = at
        if self.level < amount:
            return False
        self.level -= amount
        return True


class StateService:
    """Keys with stamps, leases, watches and limits, as in PROTOCOL."""

    def __init__(self, rps, write_rps, value_kb, txn_ops, rec: Record) -> None:
        self.rec = rec
        self.requests, self.changes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.rows: dict[str, tuple[object, int, int | None]] = {}
        self.epoch = 0
        self.log: deque[tuple[int, str, object, bool]] = deque(maxlen=10_000)
        self.leases: dict[int, list[float]] = {}  # id -> [life, ends at]
        self.next_lease = 0
        self.outage = False
        self.changed = asyncio.Event()
        # fault(source, method, target, body) -> None, or an awaitable that replaces handling
        self.fault = None

    def expire(self) -> None:
        if self.outage:
            return
        for lease in [i for i, (_, ends) in self.leases.items() if ends < now()]:
            self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        gone = {k: None for k, row in self.rows.items() if row[2] == lease}
        if gone:
            self.apply(gone)

    def end_outage(self) -> None:
        self.outage = False
        for lease in self.leases.values():
            lease[1] = now() + lease[0]

    def apply(self, changes: dict) -> None:
        self.epoch += 1
        for key, row in changes.items():
            if row is None:
                if self.rows.pop(key, None) is not None:
                    self.log.append((self.epoch, key, None, True))
            else:
                self.rows[key] = (row[0], self.epoch, row[1])
                self.log.append((self.epoch, key, row[0], False))
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, source: str, method: str, target: str, body: bytes):
        if self.fault is not None:
            done = self.fault(source, method, target, body)
            if done is not None:
                found = await done
                if found is not None:
                    return found
        return await self.serve(method, target, body)

    async def serve(self, method: str, target: str, body: bytes):
        if self.outage:
            return 503, b"{}"
        if not self.requests.take(1):
            return 429, b"{}"
        self.expire()
        url = urlsplit(target)
        path, query = unquote(url.path), dict(parse_qsl(url.query))
        if path == "/changes":
            return await self.watch(query)
        if path == "/txn":
            return self.txn(json.loads(body))
        if path == "/store":
            return self.listing(query)
        if path.startswith("/store/"):
            row = self.rows.get(path[7:])
            if row is None:
                return 404, dump({"epoch": self.epoch})
            return 200, dump({"path": path[7:], "v": row[0], "stamp": row[1], "grant": row[2]})
        if path == "/leases":
            self.next_lease += 1
            life = json.loads(body)["life_ms"] / 1000
            self.leases[self.next_lease] = [life, now() + life]
            return 200, dump({"grant": self.next_lease})
        if path.startswith("/leases/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, b"{}"
            if method == "DELETE":
                self.end_lease(lease)
                return 200, b"{}"
            self.leases[lease][1] = now() + self.leases[lease][0]
            return 200, dump({"grant": lease})
        return 404, b"{}"

    def listing(self, query):
        starts, after = query.get("starts", ""), query.get("after", "")
        keys = sorted(k for k in self.rows if k.startswith(starts))
        keys = keys[bisect.bisect_right(keys, after) :] if after else keys
        most = min(1000, int(query.get("most", 1000)))
        entries, size = [], 0
        for key in keys[:most]:
            entry = {"path": key, "v": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(dump(entry))
            if size > 500 * 1024:
                break
            entries.append(entry)
        more = len(entries) < len(keys)
        return 200, dump({"entries": entries, "more": more, "epoch": self.epoch})

    async def watch(self, query):
        after, starts = int(query.get("after", 0)), query.get("starts", "")
        until = now() + int(query.get("hold_ms", 0)) / 1000
        while True:
            changed = self.changed
            if not self.outage:
                if len(self.log) == self.log.maxlen and after < self.log[0][0] - 1:
                    return 410, b"{}"
                news = [
                    {"drop": k, "stamp": e} if gone else {"put": k, "v": v, "stamp": e}
                    for e, k, v, gone in self.log
                    if e > after and k.startswith(starts)
                ]
                if news or now() >= until:
                    return 200, dump({"epoch": self.epoch, "news": news})
            wait = max(0.01, until - now()) if not self.outage else 0.2
            try:
                async with asyncio.timeout(min(wait, 1.0)):
                    await changed.wait()
            except TimeoutError:
                pass

    def txn(self, row):
        writes, guards = row.get("writes") or [], row.get("guards") or []
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, dump({"error": "too many"})
        for write in writes:
            if "put" in write and len(dump(write.get("v"))) > self.value_bytes:
                return 400, dump({"error": "value too large"})
        if writes and not self.changes.take(len(writes)):
            return 429, b"{}"
        for write in writes:
            if write.get("grant") is not None and write["grant"] not in self.leases:
                return 400, dump({"error": "no such lease"})
        failed = [
            g["path"]
            for g in guards
            if (self.rows[g["path"]][1] if g["path"] in self.rows else 0) != g["stamp"]
        ]
        if failed:
            return 409, dump({"failed": failed, "epoch": self.epoch})
        changes = {
            w["put"] if "put" in w else w["drop"]: (
                (w.get("v"), w.get("grant")) if "put" in w else None
            )
            for w in writes
        }
        if changes:
            self.apply(changes)
        return 200, dump({"epoch": self.epoch})


# -- workers --------------------------------------------------------------------------------


class Task:
    def __init__(self, item: str, attempt: int, job: dict | None) -> None:
        self.item, self.attempt, self.job = item, attempt, job
        self.phase, self.cause, self.kept = "pulling", None, False
        self.on = False  # on its machine, as "How aims are counted" has it
        self.timer: asyncio.Task | None = None


class Worker:
    """One machine with its worker: sessions, tokens, lease, images, commands."""

    def __init__(self, site: Site, name: str, flavour: str, hall: str, loaner: bool) -> None:
        self.site, self.name, self.flavour, self.hall, self.loaner = (
            site, name, flavour, hall, loaner,
        )  # fmt: skip
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.reclaim_at: float | None = None
        self.tasks: dict[tuple[str, int], Task] = {}
        self.images: set[str] = set()
        self.pulls: dict[str, asyncio.Task] = {}
        self.renewed_at = now()
        self.gone = False
        self.hung_until = 0.0
        self.wake = asyncio.Event()
        self.node: str | None = None  # the controller that it reports to
        self.answered_by: str | None = None  # the controller whose 200 counted last
        self.servers: dict[str, Server] = {}
        self.ports: dict[str, int] = {}  # by controller: where that one reaches this worker
        self.loops: list[asyncio.Task] = []

    async def start(self) -> None:
        for node in self.site.names:
            server = Server(lambda m, t, b, c, node=node: self.direct(node, m, t, b, c))
            self.ports[node] = await server.start()
            self.servers[node] = server
        self.renewed_at = now()
        self.loops = [
            asyncio.create_task(self.report_loop()),
            asyncio.create_task(self.lease_loop()),
        ]

    def power_off(self) -> None:
        self.gone = True
        for loop in self.loops:
            loop.cancel()
        for server in self.servers.values():
            server.close()
        self.drop_all("gone")

    # -- tasks ---

    def drop_all(self, why: str) -> None:
        for task in self.tasks.values():
            self.off(task, why)
            if task.timer is not None:
                task.timer.cancel()
        self.tasks.clear()
        for pull in self.pulls.values():
            pull.cancel()
        self.pulls.clear()

    async def lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            # A machine that hangs keeps its lease no longer than others.
            if now() - self.renewed_at > self.site.lease_s:
                if self.tasks:
                    self.site.rec(f"worker {self.name}: lease over, session {self.tenure} ends")
                self.drop_all("lease")
                self.tenure += 1
                self.renewed_at = now()
                self.wake.set()

    def hung(self) -> bool:
        return now() < self.hung_until

    def on(self, task: Task) -> None:
        task.phase, task.on = "running", True
        self.site.started(self, task)
        task.timer = asyncio.create_task(self.run(task))
        self.wake.set()

    def off(self, task: Task, why: str) -> None:
        if task.on:
            task.on = False
            self.site.ended(self, task, why)

    async def run(self, task: Task) -> None:
        fails = self.site.fails(self, task.item)
        done = task.item in self.site.results
        left = 0.0 if done else 0.3 if fails else self.site.run_s(task.item)
        while left > 0:
            await asyncio.sleep(min(0.05, left))
            if not self.hung():
                left -= 0.05
        while self.hung():
            await asyncio.sleep(0.05)
        if task.phase == "running":
            if fails:
                self.end(task, "error")
            else:
                self.site.results.add(task.item)
                self.end(task, "done")

    def end(self, task: Task, cause: str) -> None:
        self.off(task, cause)
        task.phase, task.cause = "ended", cause
        if task.timer is not None and task.timer is not asyncio.current_task():
            task.timer.cancel()
        self.wake.set()

    def execute(self, orders: list[dict], where: str) -> None:
        for order in orders:
            key = (order["item"], order["try"])
            task = self.tasks.get(key)
            self.site.rec(
                f"worker {self.name}: {order['verb']} {key[0]} try {key[1]:x} ({where})"
                + ("" if task is None else f", known as {task.phase}")
            )
            if order["verb"] == "run" and task is None:
                self.begin(*key)
            elif order["verb"] == "stop" and task is not None and task.phase != "ended":
                self.stop(task, float(order.get("wind_down_s") or 0.0))
            elif order["verb"] == "reap" and task is not None and task.phase == "ended":
                del self.tasks[key]

    def begin(self, item: str, attempt: int) -> None:
        job = self.site.jobs.get(item.rpartition("/")[0])
        task = Task(item, attempt, job)
        busy = any(t.item == item and t.phase != "ended" for t in self.tasks.values())
        self.tasks[item, attempt] = task
        kind = self.site.types[self.flavour]
        used = [t.job for t in self.tasks.values() if t.phase != "ended" and t.job]
        if job is None or not 0 <= int(item.rpartition("/")[2]) < job["units"]:
            self.end(task, "unknown")
        elif busy:
            self.end(task, "in_use")
        elif any(
            sum(j[f] for j in used) > kind[f] + 1e-6 for f in ("vcpus", "gpus", "memory_gb")
        ):
            self.end(task, "no_room")
        elif job["bundle"] in self.images:
            self.on(task)
        elif job["bundle"] not in self.pulls:
            self.pulls[job["bundle"]] = asyncio.create_task(self.pull(job, kind))
        self.wake.set()

    async def pull(self, job: dict, kind: dict) -> None:
        await asyncio.sleep(job["size_gb"] / kind["fetch_gb_per_s"])
        self.pulls.pop(job["bundle"], None)
        self.images.add(job["bundle"])
        for task in list(self.tasks.values()):
            if task.phase == "pulling" and task.job["bundle"] == job["bundle"]:
                self.on(task)

    def stop(self, task: Task, grace_s: float) -> None:
        saves = task.job is not None and task.job["snapshot_s"] > 0
        if task.phase == "running" and saves and grace_s >= task.job["flush_s"]:
            task.phase = "flushing"
            task.timer.cancel()
            task.timer = asyncio.create_task(self.flush(task))
            self.wake.set()
        elif task.phase != "flushing" or grace_s == 0.0:
            self.end(task, "halted")

    async def flush(self, task: Task) -> None:
        await asyncio.sleep(task.job["flush_s"])
        task.kept = True
        self.end(task, "halted")

    # -- messages ---

    def report(self, node: str) -> dict:
        self.tally += 1
        units = []
        for task in self.tasks.values():
            row = {"item": task.item, "try": task.attempt, "phase": task.phase}
            if task.cause is not None:
                row["cause"] = task.cause
            if task.kept:
                row["kept"] = True
            units.append(row)
        left = None if self.reclaim_at is None else max(0.0, self.reclaim_at - now())
        return {
            "host": self.name, "address": f"{LOOP}:{self.ports[node]}", "flavour": self.flavour,
            "hall": self.hall, "loaner": self.loaner, "tenure": self.tenure,
            "tally": self.tally, "baton": self.baton, "reclaim_s": left, "units": units,
        }  # fmt: skip

    def observe(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self.wake.set()

    async def direct(
        self, node: str, method: str, target: str, body: bytes, connected_at: float
    ):
        await self.site.network.to_worker(node, self, method, target, body, connected_at)
        while self.hung():
            await asyncio.sleep(0.02)
        if self.gone:
            raise Drop
        if target == "/status":
            return 200, dump(self.report(node))
        row = json.loads(body)
        if "baton" not in row or "tenure" not in row:
            return 400, b"{}"
        self.observe(row["baton"])
        if row["baton"] < self.baton or row["tenure"] != self.tenure:
            self.site.rec(f"worker {self.name}: orders of {node} refused (token or session)")
            return 409, dump(self.report(node))
        self.execute(row.get("orders") or [], f"direct from {node}")
        return 200, dump(self.report(node))

    async def report_loop(self) -> None:
        names = self.site.names
        at, sent_at = random.randrange(len(names)), -9.0
        pause: float | None = 0.1
        while True:
            self.wake.clear()
            if pause is None:
                gap = self.site.report_s * random.uniform(0.75, 1.25)
                try:
                    async with asyncio.timeout(max(0.0, sent_at + gap - now())):
                        await self.wake.wait()
                except TimeoutError:
                    pass
                await asyncio.sleep(max(0.0, sent_at + 0.5 - now()))
            else:
                await asyncio.sleep(pause)
            while self.hung():
                await asyncio.sleep(0.02)
            node = self.node = names[at]
            sent_at, session = now(), self.tenure
            status, row = await self.site.network.report(self, node, self.report(node))
            while self.hung():
                await asyncio.sleep(0.02)
            if status == 200 and now() - sent_at <= 4.0:
                pause = None
                baton = row.get("baton")
                if session == self.tenure and isinstance(baton, int) and baton >= self.baton:
                    self.observe(baton)
                    self.renewed_at = max(self.renewed_at, sent_at)
                    if self.answered_by != node:
                        self.answered_by = node
                        self.site.rec(f"worker {self.name}: answered by {node}, token {baton}")
                    self.execute(row.get("orders") or [], f"answer of {node}")
                continue
            steward = row.get("steward") if status == 421 and isinstance(row, dict) else None
            if steward in names and steward != node:
                at, pause = names.index(steward), random.uniform(0.0, 0.5)
            else:
                at, pause = (at + 1) % len(names), 1.0


# -- cloud ----------------------------------------------------------------------------------


class Cloud:
    def __init__(self, site: Site) -> None:
        self.site = site
        self.rentals: dict[str, list[str]] = {}
        self.rented_at: list[float] = []
        self.machines: dict[str, dict] = {}  # by name, in order of creation
        self.history: list[tuple[float, list[dict]]] = []
        self.number = 0
        self.bucket = Bucket(site.cloud_rps)
        self.bucket.rate, self.burst = site.cloud_rps, 2 * site.cloud_rps
        self.outage = False
        self.boot_s: float | None = None  # a fixed time; None: as the type's boot_s says
        self.capacity: dict[tuple[str, str, bool], int] = {}

    def rows(self) -> list[dict]:
        return [
            {k: v for k, v in row.items() if k != "worker"} for row in self.machines.values()
        ]

    def note(self) -> None:
        self.history.append((now(), self.rows()))
        del self.history[:-500]

    def lagging(self) -> list[dict]:
        found: list[dict] = self.history[0][1] if self.history else []
        for at, rows in self.history:
            if at <= now() - self.site.list_lag_s:
                found = rows
        return found

    async def create(self, flavour: str, hall: str, loaner: bool, boot_s: float) -> str:
        self.number += 1
        name = f"m-{self.number:06d}"
        worker = Worker(self.site, name, flavour, hall, loaner)
        self.machines[name] = {
            "uid": name, "flavour": flavour, "hall": hall, "loaner": loaner,
            "phase": "booting", "since": now(), "worker": worker,
        }  # fmt: skip
        self.note()
        if boot_s <= 0:
            await self.boot(name, 0.0)
        else:
            self.site.spawn(self.boot(name, boot_s))
        return name

    async def reclaim(self, name: str, notice_s: float) -> None:
        """Takes a spot machine back after a notice, which its worker reports."""
        row = self.machines[name]
        row["worker"].reclaim_at = now() + notice_s
        row["worker"].wake.set()
        self.site.rec(f"cloud: {name} is taken back in {notice_s:.1f} s")
        await asyncio.sleep(notice_s)
        if self.machines.pop(name, None) is not None:
            row["worker"].power_off()
            self.note()
            self.site.rec(f"cloud: {name} is gone")

    async def boot(self, name: str, boot_s: float) -> None:
        await asyncio.sleep(boot_s)
        row = self.machines.get(name)
        if row is not None:
            row["phase"] = "running"
            self.note()
            await row["worker"].start()
            self.site.rec(f"machine {name} ({row['flavour']}, {row['hall']}) is up")

    async def handle(self, node: str, method: str, target: str, body: bytes):
        if self.outage:
            return 503, dump({"error": "trouble"})
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        if url.path == "/flavors":
            return 200, dump({"flavours": list(self.site.types.values())})
        if url.path == "/hosts" and method == "GET":
            rows = [r for r in self.lagging() if r["uid"] > query.get("after", "")]
            most = int(query.get("most", 500))
            out = []
            for row in rows[:most]:
                live = self.machines.get(row["uid"])
                port = live["worker"].ports.get(node, 9) if live else 9
                out.append(
                    {
                        "uid": row["uid"],
                        "address": f"{LOOP}:{port}",
                        "flavour": row["flavour"],
                        "hall": row["hall"],
                        "loaner": row["loaner"],
                        "phase": row["phase"],
                        "held_s": now() - row["since"],
                    }
                )
            return 200, dump({"hosts": out, "more": len(rows) > most})
        row = json.loads(body)
        if url.path == "/hosts/delete":
            for name in row["hosts"]:
                found = self.machines.pop(name, None)
                if found is not None:
                    self.site.rec(f"machine {name} deleted by {node}")
                    found["worker"].power_off()
            self.note()
            return 200, b"{}"
        if url.path == "/hosts":
            if row["rental"] in self.rentals:
                return 200, dump({"hosts": self.rentals[row["rental"]]})
            kind = (row["flavour"], row["hall"], row["loaner"])
            self.rented_at.append(now())
            held = sum(
                (m["flavour"], m["hall"], m["loaner"]) == kind for m in self.machines.values()
            )
            number = min(row["number"], self.capacity.get(kind, 0) - held)
            if number <= 0:
                return 503, dump({"error": "no capacity"})
            nominal_s = self.site.types[row["flavour"]]["boot_s"]
            boot_s = self.boot_s or nominal_s * random.uniform(0.6, 1.2)
            names = [await self.create(*kind, boot_s) for _ in range(number)]
            self.rentals[row["rental"]] = names
            self.site.rec(f"cloud: {node} rents {', '.join(names)}: {' '.join(map(str, kind))}")
            return 200, dump({"hosts": names})
        return 404, b"{}"


# -- network --------------------------------------------------------------------------------


class Network:
    """Which pairs of hosts are cut. A cut holds packets back until it ends."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.cut_since: float | None = None
        self.cut_zone: str | None = None
        self.healed = asyncio.Event()
        # Called with (controller, worker, orders) as a direct command arrives at the network.
        self.on_direct = None

    def begin_zone_cut(self, zone: str) -> None:
        """Hosts of ``zone`` and hosts of other zones can't reach each other from now on."""
        self.cut_since, self.cut_zone, self.healed = now(), zone, asyncio.Event()
        self.site.rec(
            f"network: zone {zone} can't reach the other zones, packets are held back"
        )

    def end_zone_cut(self) -> None:
        self.site.rec("network: the zones reach each other again")
        self.cut_since = self.cut_zone = None
        self.healed.set()

    def is_cut(self, one: str, other: str) -> bool:
        """Whether hosts of these two zones can't reach each other."""
        return self.cut_zone is not None and (one == self.cut_zone) != (other == self.cut_zone)

    async def hold(self, connected_at: float) -> None:
        """Holds a message back. A connection that was attempted in the cut never opens."""
        late = self.cut_since is not None and connected_at > self.cut_since
        await self.healed.wait()
        if late:
            raise Drop

    async def to_worker(self, node, worker, method, target, body, connected_at) -> None:
        if self.on_direct is not None:
            await self.on_direct(node, worker, method, target, body)
        if self.is_cut(self.site.zone_of[node], worker.hall):
            if body:
                self.site.rec(f"network: holds back {target} of {node} to {worker.name}")
            await self.hold(connected_at)
            if body:
                self.site.rec(f"network: delivers {target} of {node} to {worker.name}")

    async def report(self, worker, node, report: dict):
        if self.is_cut(self.site.zone_of[node], worker.hall):
            # Connection attempts hang; the worker gives up after 4 s.
            await asyncio.sleep(4.0)
            return 0, {}
        done = asyncio.create_task(
            call(self.site.bind[node], "POST", "/v1/report", report, 4.0)
        )
        began = now()
        while not done.done():
            await asyncio.wait({done}, timeout=0.05)
            if self.is_cut(self.site.zone_of[node], worker.hall):
                done.cancel()
                await asyncio.sleep(max(0.0, began + 4.0 - now()))
                return 0, {}
        return done.result()


class Pipe:
    """The network between two controllers: a port that passes bytes on, or holds them back."""

    def __init__(self, site: Site, source: str, target: str) -> None:
        self.site, self.source, self.target = site, source, target

    async def start(self) -> int:
        server = await asyncio.start_server(self._serve, LOOP, 0)
        return server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer) -> None:
        site, connected_at = self.site, now()
        zones = site.zone_of[self.source], site.zone_of[self.target]
        out = None

        async def pump(source, sink) -> None:
            while data := await source.read(65536):
                if site.network.is_cut(*zones):
                    await site.network.hold(connected_at)
                sink.write(data)
                await sink.drain()

        try:
            if site.network.is_cut(*zones):
                await site.network.hold(connected_at + 1e9)
            far, out = await asyncio.open_connection(LOOP, site.peer[self.target])
            both = [
                asyncio.create_task(pump(reader, out)),
                asyncio.create_task(pump(far, writer)),
            ]
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
            for one in both:
                one.cancel()
        except (OSError, Drop):
            pass
        finally:
            for one in (writer, out):
                if one is not None:
                    one.close()


# -- the site -------------------------------------------------------------------------------


TYPES = [
    {"label": "nodo-otto", "vcpus": 8.0, "gpus": 0.0, "memory_gb": 16.0, "cache_gb": 35.0,
     "fetch_gb_per_s": 0.5, "price": 0.51, "spot_price": 0.2, "boot_s": 25.0},
    {"label": "nodo-grande", "vcpus": 64.0, "gpus": 0.0, "memory_gb": 256.0, "cache_gb": 80.0,
     "fetch_gb_per_s": 0.25, "price": 4.92, "spot_price": 1.66, "boot_s": 25.0},
]  # fmt: skip


class Site:
    """A small deployment like banco-sim: three controllers in two zones."""

    report_s, lease_s, cancel_s = 2.5, 14.0, 34.0
    cloud_rps, list_lag_s = 1.5, 10.0
    zones = ("milano-sud", "brescia-est")

    def __init__(self, folder: Path, controllers: int = 3) -> None:
        self.rec = Record(folder / "record.txt")
        self.names = [f"dunehost-{n}" for n in range(controllers)]
        self.zone_of = {name: self.zones[n % 2] for n, name in enumerate(self.names)}
        self.types = {t["label"]: t | {"halls": list(self.zones)} for t in TYPES}
        self.teams = [{"name": t} for t in ("farmalba", "chimitalia", "biovalle")]
        self.extra_params: dict = {}
        self.state_limits = {"rps": 250.0, "write_rps": 40.0, "value_kb": 16.0, "txn_ops": 24}
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.jobs: dict[str, dict] = {}
        self.results: set[str] = set()
        self.durations: dict[str, float] = {}
        self.failing: set[str] = set()  # machines on which every task fails
        self.present: list[tuple[str, str, int]] = []  # (task, machine, try) now on a machine
        self.starts: list[tuple[float, str, str]] = []
        self.ends: list[tuple[str, str, str]] = []  # task, machine, why
        self.cancelled: dict[str, float] = {}  # when the user was told
        self.told: dict[str, str] = {}  # final state that a user was told
        self.breaches: list[str] = []
        self.processes: dict[str, subprocess.Popen] = {}
        self.bind: dict[str, int] = {}
        self.peer: dict[str, int] = {}
        self.configs: dict[str, Path] = {}
        self.tasks: set[asyncio.Task] = set()
        self.watched = False
        self.ends_by_itself: list[str] = []

    async def __aenter__(self) -> Site:
        # Connections that end with this process are no news.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        self.network = Network(self)
        self.state = StateService(**self.state_limits, rec=self.rec)
        self.cloud = Cloud(self)
        self.spawn(self._expire())
        self.spawn(self._watch_presence())
        for name in self.names:
            self.bind[name], self.peer[name] = free_port(), free_port()
        for name in self.names:
            await self._configure(name)
        return self

    async def __aexit__(self, *_exc) -> None:
        for name in list(self.processes):
            self.kill(name)
        for row in self.cloud.machines.values():
            row["worker"].power_off()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.temp, ignore_errors=True)

    def spawn(self, work) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self.state.expire()

    # -- controllers ---

    async def _configure(self, name: str) -> None:
        state = await Server(lambda m, t, b, _c: self.state.handle(name, m, t, b)).start()
        cloud = await Server(lambda m, t, b, _c: self.cloud.handle(name, m, t, b)).start()
        lines = [
            f'host_name = "{name}"', f'site = "{self.zone_of[name]}"',
            f'bind = "{LOOP}:{self.bind[name]}"', f'peer_bind = "{LOOP}:{self.peer[name]}"',
        ]  # fmt: skip
        for other in self.names:
            if other != name:
                port = await Pipe(self, name, other).start()
                lines += [
                    "[[seeds]]", f'host_name = "{other}"', f'site = "{self.zone_of[other]}"',
                    f'address = "{LOOP}:{port}"',
                ]  # fmt: skip
        lines += ["[endpoints]", f'cloud = "{LOOP}:{cloud}"', f'state = "{LOOP}:{state}"']
        zones = ", ".join(f'"{zone}"' for zone in self.zones)
        lines += ["[params]", f"nodes = {len(self.names)}", f"zones = [{zones}]"]
        lines += ["clock_error_ms = 100.0"]
        for team in self.teams:
            lines += ["[[params.teams]]", f'name = "{team["name"]}"']
            for field in ("cpus", "cpus_max", "gpus", "gpus_max"):
                lines += [f"{field} = {float(team.get(field, 0.0))}"]
        lines += [
            "[params.workers]", f"report_s = {self.report_s}", f"lease_s = {self.lease_s}",
            "gang_wait_s = 35.0", "gang_peer_s = 6.0", f"cancel_s = {self.cancel_s}",
            "[params.state]", *(f"{k} = {v}" for k, v in self.state_limits.items()),
            "[params.cloud]", f"rps = {self.cloud_rps}", f"list_lag_s = {self.list_lag_s}",
            "[params.machine_limits]", "core_share = 1.0", "ram_mb = 266.0", "sockets = 1800",
        ]  # fmt: skip
        self.configs[name] = self.temp / f"{name}.toml"
        self.configs[name].write_text("\n".join(lines) + "\n")

    def start(self, name: str) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.configs[name])]
        log = (self.temp / f"{name}.log").open("ab")
        environment = os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.processes[name] = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment
        )
        self.rec(f"controller {name} ({self.zone_of[name]}) started")

    async def healthy(self, within_s: float = 20.0) -> None:
        """Waits until every controller that was started answers its health check."""
        end = now() + within_s
        for name in self.processes:
            while (await call(self.bind[name], "GET", "/up", None, 1.0))[0] != 200:
                if now() > end:
                    raise CannotRun(f"{name} is not healthy")
                await asyncio.sleep(0.2)

    def kill(self, name: str) -> None:
        process = self.processes.pop(name, None)
        if process is not None:
            if process.poll() is not None:
                self.ends_by_itself.append(name)
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
            self.rec(f"controller {name} killed")

    def signal(self, name: str, what: signal.Signals) -> None:
        self.processes[name].send_signal(what)
        self.rec(f"controller {name}: {what.name}")

    def log(self, name: str) -> str:
        return (self.temp / f"{name}.log").read_text()

    def save_logs(self, folder: Path) -> None:
        for path in self.temp.glob("*.log"):
            shutil.copy(path, folder / path.name)

    # -- what happens on machines ---

    def run_s(self, item: str) -> float:
        return self.durations.get(item.rpartition("/")[0], 5.0)

    def fails(self, worker: Worker, item: str) -> bool:
        return worker.name in self.failing

    def breach(self, text: str) -> None:
        if text not in self.breaches:
            self.breaches.append(text)
            self.rec(f"BROKEN {text}")

    def started(self, worker: Worker, task: Task) -> None:
        self.rec(f"task {task.item} try {task.attempt:x} STARTS on {worker.name}")
        for other, machine, _ in self.present:
            if other == task.item and machine != worker.name:
                self.breach(f"ran_twice: {task.item} starts on {worker.name}, is on {machine}")
        self.present.append((task.item, worker.name, task.attempt))
        job = task.item.rpartition("/")[0]
        self.starts.append((now(), task.item, worker.name))
        told = self.cancelled.get(job)
        if told is not None and now() - told > self.cancel_s:
            self.breach(
                f"ran_cancelled: {task.item} starts on {worker.name} {now() - told:.1f} s after"
                f" its user was told that {job} is cancelled (cancel_s = {self.cancel_s:g})"
            )
        self._check_quota()

    def _check_quota(self) -> None:
        for team in self.teams:
            most = team.get("cpus_max")
            if most:
                used = sum(
                    self.jobs[item.rpartition("/")[0]]["vcpus"]
                    for item, _, _ in self.present
                    if self.jobs[item.rpartition("/")[0]]["owner"] == team["name"]
                )
                if used > most + 1e-6:
                    self.breach(f"quota: {team['name']} uses {used:g} of {most:g} CPUs")

    def ended(self, worker: Worker, task: Task, why: str) -> None:
        self.rec(f"task {task.item} try {task.attempt:x} off {worker.name}: {why}")
        self.present.remove((task.item, worker.name, task.attempt))
        self.ends.append((task.item, worker.name, why))

    async def _watch_presence(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for item, machine, _ in self.present:
                job = item.rpartition("/")[0]
                told = self.cancelled.get(job)
                if told is not None and now() - told > self.cancel_s:
                    self.breach(
                        f"ran_cancelled: {item} is on {machine} more than {self.cancel_s:g} s"
                        f" after its user was told that {job} is cancelled"
                    )

    # -- users ---

    def job(self, number: int, **fields) -> dict:
        row = {
            "uid": f"job-{number:06d}", "jobclass": "diffusione", "owner": "farmalba",
            "shape": "batch", "rank": "normal", "units": 1, "vcpus": 4.0, "gpus": 0.0,
            "memory_gb": 6.8, "bundle": "img-01", "size_gb": 0.5, "flavours": None,
            "hall": None, "together": False, "spread": False, "loaner": True,
            "expect_s": 5.0, "snapshot_s": 0.0, "flush_s": 0.0, "due_s": None,
        }  # fmt: skip
        return row | fields

    async def ask(self, node: str, method: str, path: str, body=None, timeout_s: float = 5.0):
        status, row = await call(self.bind[node], method, path, body, timeout_s)
        self.rec(f"user -> {node} {method} {path}: {status} {json.dumps(row)}")
        job = path.split("/")[3] if path.count("/") >= 3 else None
        phase = row.get("phase") if isinstance(row, dict) and status in (200, 201) else None
        if method == "POST" and path == "/v1/jobs" and body is not None:
            job = body["uid"] if isinstance(body, dict) else None
        if job is not None and phase in ("done", "cancelled"):
            before = self.told.setdefault(job, phase)
            if before != phase:
                self.breach(f"went_back: {job} was called {before}, now {phase}")
            if phase == "done":
                units = self.jobs.get(job, {}).get("units", 0)
                missing = [n for n in range(units) if f"{job}/{n}" not in self.results]
                if missing:
                    self.breach(f"not_done: {job} is called done, task {missing[0]} is not")
            else:
                self.cancelled.setdefault(job, now())
        return status, row

    async def submit(self, job: dict, duration_s: float = 5.0, within_s: float = 30.0) -> bool:
        self.jobs[job["uid"]] = job
        self.durations[job["uid"]] = duration_s
        return await self._repeat("POST", "/v1/jobs", job, (200, 201), within_s)

    async def cancel(self, uid: str, within_s: float = 30.0) -> bool:
        return await self._repeat("POST", f"/v1/jobs/{uid}/cancel", None, (200,), within_s)

    async def _repeat(self, method, path, body, accepted, within_s: float) -> bool:
        until = now() + within_s
        while now() < until:
            node = random.choice([n for n in self.names if n in self.processes])
            if (await self.ask(node, method, path, body))[0] in accepted:
                return True
            await asyncio.sleep(1.0)
        return False

    async def until(self, condition, within_s: float, what: str) -> None:
        """Waits for a condition of the setting; the case can't run if it does not come."""
        end = now() + within_s
        while not condition():
            if now() > end:
                raise CannotRun(what)
            await asyncio.sleep(0.02)

    async def wait_done(self, uid: str, within_s: float = 30.0) -> bool:
        end = now() + within_s
        while now() < end:
            node = random.choice([n for n in self.names if n in self.processes])
            status, row = await self.ask(node, "GET", f"/v1/jobs/{uid}", timeout_s=2.0)
            if status == 200 and row.get("phase") in ("done", "cancelled"):
                return True
            await asyncio.sleep(0.5)
        return False

    def leader(self) -> str | None:
        """The controller that answers workers' reports now."""
        nodes = {m["worker"].answered_by for m in self.cloud.machines.values()}
        nodes.discard(None)
        return nodes.pop() if len(nodes) == 1 else None


class CannotRun(Exception):
    """The setting of the case did not come about."""


def trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, limit_s: float = 118.0) -> None:
    """Runs ``case(site folder)`` and ends this process with the status of the case."""
    folder = Path(sys.argv[1]).resolve()
    if not (ROOT / "target" / "deps").exists():
        print("target/deps is missing: run the deploy file's build command first")
        sys.exit(2)

    async def limited() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(folder)

    try:
        breaches = asyncio.run(limited())
    except CannotRun as error:
        print(f"the case could not run: {error}")
        sys.exit(2)
    except TimeoutError:
        print("the case could not run: out of time")
        sys.exit(2)
    for breach in breaches:
        print(f"BROKEN {breach}")
    print("the rule was broken" if breaches else "the rule held")
    sys.exit(1 if breaches else 0)
