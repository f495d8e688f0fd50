"""The state service's model follows the protocol and agrees with a simple reference."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunehold.emulator.agents.external_services import StateAgent
from dunehold.emulator.disk_storage import DiskStorage
from dunehold.emulator.model.base import Reply
from dunehold.emulator.model.store import Limits, Store, Watch

KEYS = st.sampled_from(["a", "a/b", "a/c", "b", "b/x"])


def ask(
    store: Store, method: str, target: str, body: Any = None, now: float = 0.0, who: str = "n"
) -> tuple[int, dict[str, Any]]:
    """Send a request that needs no waiting; return the status and the decoded body."""
    data = None if body is None else orjson.dumps(body)
    answer = store.handle(method, target, data, who, now)
    assert isinstance(answer, Reply)
    return answer.status, orjson.loads(answer.body)


def put(store: Store, key: str, value: Any = 1, now: float = 0.0, **more: Any) -> int:
    """Write one key in a transaction; return the status."""
    row = {"guards": [], "writes": [{"put": key, "v": value, **more}]}
    return ask(store, "POST", "/txn", row, now)[0]


class AgainstReference(RuleBasedStateMachine):
    """Random transactions, leases and reads, compared with a reference made of dicts."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.now = 0.0
        self.rows: dict[str, tuple[int, int, int | None]] = {}  # key -> value, version, lease
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}  # lease -> duration, expiry in s
        self.rebuilt: dict[str, int] = {}  # key -> value, rebuilt from /changes alone
        self.seen_revision = 0

    def _expire(self) -> None:
        for grant in [g for g, (_, ends) in self.leases.items() if ends < self.now]:
            self._end_lease(grant)

    def _end_lease(self, grant: int) -> None:
        del self.leases[grant]
        held = [key for key, row in self.rows.items() if row[2] == grant]
        self.revision += bool(held)
        for key in held:
            del self.rows[key]

    @rule(
        guards=st.dictionaries(KEYS, st.integers(0, 12), max_size=2),
        right=st.booleans(),
        puts=st.dictionaries(KEYS, st.integers(0, 9), max_size=3),
        drops=st.sets(KEYS, max_size=2),
        grant=st.none() | st.integers(1, 4),
    )
    def txn(
        self,
        guards: dict[str, int],
        right: bool,
        puts: dict[str, int],
        drops: set[str],
        grant: int | None,
    ) -> None:
        self._expire()
        if right:
            guards = {key: self.rows.get(key, (0, 0, None))[1] for key in guards}
        drops = drops - puts.keys()
        writes = [{"put": k, "v": v, "grant": grant} for k, v in puts.items()]
        writes += [{"drop": k} for k in sorted(drops)]
        rows = [{"path": k, "stamp": v} for k, v in guards.items()]
        status, row = ask(
            self.store, "POST", "/txn", {"guards": rows, "writes": writes}, self.now
        )
        failed = [k for k, v in guards.items() if self.rows.get(k, (0, 0, None))[1] != v]
        if puts and grant is not None and grant not in self.leases:
            assert (status, row["error"]) == (400, "no such lease")
        elif failed:
            assert (status, row["failed"]) == (409, failed)
        else:
            assert status == 200
            self.revision += bool(writes)
            self.rows.update({k: (v, self.revision, grant) for k, v in puts.items()})
            for key in drops:
                self.rows.pop(key, None)
            assert row["epoch"] == self.revision

    @rule(life_ms=st.integers(100, 900))
    def new_lease(self, life_ms: int) -> None:
        self._expire()
        status, row = ask(self.store, "POST", "/leases", {"life_ms": life_ms}, self.now)
        assert status == 200
        assert row["grant"] not in self.leases
        self.leases[row["grant"]] = (life_ms / 1000, self.now + life_ms / 1000)

    @rule(grant=st.integers(1, 4), ends=st.booleans())
    def touch_lease(self, grant: int, ends: bool) -> None:
        self._expire()
        how = ("DELETE", "") if ends else ("POST", "/extend")
        status, _ = ask(self.store, how[0], f"/leases/{grant}{how[1]}", None, self.now)
        assert status == (200 if grant in self.leases else 404)
        if grant in self.leases and ends:
            self._end_lease(grant)
        elif grant in self.leases:
            life = self.leases[grant][0]
            self.leases[grant] = (life, self.now + life)

    @rule(seconds=st.floats(0.01, 0.7))
    def wait(self, seconds: float) -> None:
        self.now += seconds

    @invariant()
    def the_same_is_there(self) -> None:
        self._expire()
        _, row = ask(self.store, "GET", "/store?starts=", None, self.now)
        found = {e["path"]: (e["v"], e["stamp"]) for e in row["entries"]}
        assert found == {k: v[:2] for k, v in self.rows.items()}
        assert [e["path"] for e in row["entries"]] == sorted(found)
        assert row["epoch"] == self.revision

    @invariant()
    def changes_alone_rebuild_it(self) -> None:
        self._expire()
        _, row = ask(
            self.store, "GET", f"/changes?starts=&after={self.seen_revision}", None, self.now
        )
        for change in row["news"]:
            if "drop" in change:
                self.rebuilt.pop(change["drop"], None)
            else:
                self.rebuilt[change["put"]] = change["v"]
        self.seen_revision = row["epoch"]
        assert self.rebuilt == {k: v[0] for k, v in self.rows.items()}


TestAgainstReference = AgainstReference.TestCase
TestAgainstReference.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,  # the same examples in each run that loads the same modules
    suppress_health_check=list(HealthCheck),
)


def test_changes_report_the_end_of_a_lease_that_expired_since_the_last_request() -> None:
    machine = AgainstReference()
    machine.new_lease(100)
    machine.txn(guards={}, right=False, puts={"a": 1}, drops=set(), grant=1)
    machine.changes_alone_rebuild_it()
    assert machine.rebuilt == {"a": 1}
    machine.wait(0.5)
    machine.changes_alone_rebuild_it()
    assert machine.rebuilt == {}


@pytest.mark.parametrize(
    ("row", "reason"),
    [
        ({"writes": [{"put": "a b", "v": 1}]}, "key"),
        ({"writes": [{"put": "k" * 201, "v": 1}]}, "key"),
        ({"writes": [{"put": "k", "v": "x" * 5000}]}, "value"),
        ({"writes": [{"drop": f"k{n}"} for n in range(13)]}, "12"),
        ({"guards": [{"path": "k", "stamp": 0}] * 49, "writes": []}, "48"),
        ({"writes": [{"put": "k", "v": 1, "grant": 9}]}, "no such lease"),
        ({"writes": [{"put": "k"}]}, "v is missing"),
        ({"writes": "all"}, "list"),
        ({"guards": [{"path": "k", "stamp": -1}]}, "stamp"),
    ],
)
def test_malformed_transactions_change_nothing(row: dict[str, Any], reason: str) -> None:
    store = Store(Limits(None, None, 4096, 12))
    status, answer = ask(store, "POST", "/txn", row)
    assert status == 400
    assert reason in answer["error"]
    assert store.revision == 0


def test_an_unknown_lease_is_reported_even_if_a_guard_fails() -> None:
    row = {
        "guards": [{"path": "k", "stamp": 7}],
        "writes": [{"put": "k", "v": 1, "grant": 3}],
    }
    assert ask(Store(), "POST", "/txn", row) == (400, {"error": "no such lease"})


def test_rate_limits_allow_a_burst_of_one_second_and_count_failed_writes() -> None:
    store = Store(Limits(rps=5.0, write_rps=3.0))
    failing = {"guards": [{"path": "k", "stamp": 4}], "writes": [{"drop": "k"}]}
    assert [ask(store, "POST", "/txn", failing)[0] for _ in range(4)] == [409, 409, 409, 429]
    assert ask(store, "GET", "/store/k")[0] == 404
    assert ask(store, "GET", "/store/k")[0] == 429
    assert ask(store, "GET", "/store/k", now=1.0)[0] == 404


def test_leases_don_t_expire_in_an_outage_and_get_their_full_duration_after_it() -> None:
    store = Store()
    _, row = ask(store, "POST", "/leases", {"life_ms": 1000})
    put(store, "k", grant=row["grant"])
    store.begin_outage()
    assert ask(store, "GET", "/store/k", now=50.0)[0] == 503
    store.end_outage(50.0)
    assert ask(store, "GET", "/store/k", now=50.9)[0] == 200
    assert ask(store, "GET", "/store/k", now=51.1)[0] == 404


def test_the_lease_of_a_node_that_alone_is_refused_expires() -> None:
    store = Store()
    _, row = ask(store, "POST", "/leases", {"life_ms": 1000}, who="n0")
    put(store, "k", grant=row["grant"])
    store.refused_sources.add("n0")
    assert ask(store, "POST", f"/leases/{row['grant']}/extend", None, 0.5, "n0")[0] == 503
    assert ask(store, "GET", "/store/k", None, 1.5, "n1")[0] == 404


def test_watches_wait_for_changes_and_get_410_for_compacted_revisions() -> None:
    store = Store()
    put(store, "a/1")
    watch = store.handle("GET", "/changes?starts=b/&after=0&hold_ms=500", None, "n", 0.0)
    assert isinstance(watch, Watch)
    assert store.poll(watch, 0.4) is None
    put(store, "b/1", now=0.4)
    answer = store.poll(watch, 0.4)
    assert answer is not None
    assert [c["put"] for c in orjson.loads(answer.body)["news"]] == ["b/1"]
    for n in range(10_000):
        put(store, f"c/{n % 7}", n)
    assert ask(store, "GET", "/changes?starts=b/&after=1")[0] == 410
    assert ask(store, "GET", f"/changes?starts=b/&after={store.revision - 9000}")[0] == 200


def test_open_watches_stay_open_in_an_outage_and_for_a_node_that_is_refused() -> None:
    async def watch_through(fault: str) -> float:
        store = Store()
        agent = StateAgent(store)
        loop = asyncio.get_running_loop()
        watch = loop.create_task(
            agent.handle("GET", "/changes?starts=k&after=0&hold_ms=100", None, "n0")
        )
        await asyncio.sleep(0.02)
        if fault == "outage":
            store.begin_outage()
        else:
            store.refused_sources.add("n0")
        began = loop.time()
        await asyncio.sleep(0.4)
        assert not watch.done()
        assert (await agent.handle("GET", "/store/k", None, "n0")).status == 503
        store.end_outage(loop.time())
        store.refused_sources.clear()
        agent.wake_watches()
        answer = await asyncio.wait_for(watch, 1.0)
        assert answer.status == 200
        return loop.time() - began

    for fault in ("outage", "refusal"):
        assert asyncio.run(watch_through(fault)) >= 0.4


def test_pages_of_a_listing_are_ordered_and_bounded() -> None:
    store = Store()
    for n in range(30):
        put(store, f"p/{n:02d}", "x" * 100)
    _, row = ask(store, "GET", "/store?starts=p/&most=20")
    assert (len(row["entries"]), row["more"]) == (20, True)
    _, row = ask(store, "GET", f"/store?starts=p/&after={row['entries'][-1]['path']}")
    assert [e["path"] for e in row["entries"]] == [f"p/{n:02d}" for n in range(20, 30)]
    assert row["more"] is False
    for n in range(300):
        put(store, f"q/{n:03d}", "y" * 4000)
    _, row = ask(store, "GET", "/store?starts=q/")
    assert row["more"] is True
    assert len(orjson.dumps(row["entries"])) <= 512 * 1024


def test_a_restart_keeps_all_data_and_gives_leases_their_full_duration(tmp_path: Path) -> None:
    disk = DiskStorage(tmp_path / "s", 1 << 20)
    store = Store(storage=disk)
    _, row = ask(store, "POST", "/leases", {"life_ms": 1000})
    put(store, "held", {"x": 1}, grant=row["grant"])
    put(store, "kept", [1, 2])
    put(store, "gone")
    ask(store, "POST", "/txn", {"writes": [{"drop": "gone"}]})
    disk.close()
    restarted = Store(storage=(reopened := DiskStorage(tmp_path / "s", 1 << 20)))
    reopened.restore(restarted, 100.0)
    assert restarted.revision == store.revision
    assert ask(restarted, "GET", "/store/kept", None, 100.0)[1]["v"] == [1, 2]
    assert ask(restarted, "GET", "/store/gone", None, 100.0)[0] == 404
    assert ask(restarted, "GET", "/store/held", None, 100.9)[0] == 200
    assert ask(restarted, "GET", "/store/held", None, 101.1)[0] == 404
    # A lease's number is never reused, and changes before the restart are not available.
    assert (
        ask(restarted, "POST", "/leases", {"life_ms": 1000}, 101.2)[1]["grant"] > row["grant"]
    )
    assert ask(restarted, "GET", "/changes?starts=&after=0", None, 101.2)[0] == 410
    reopened.close()


def test_a_full_disk_gives_a_clear_error_and_loses_no_data(tmp_path: Path) -> None:
    disk = DiskStorage(tmp_path / "s", 128 * 1024)
    store = Store(storage=disk)
    n = 0
    while put(store, f"k{n}", "x" * 3000) == 200:
        n += 1
        assert n < 1000
    row = {"writes": [{"put": "more", "v": "x" * 3000}]}
    status, answer = ask(store, "POST", "/txn", row)
    assert (status, answer["error"]) == (503, "no space left on the device")
    disk.close()
    restarted = Store(storage=(reopened := DiskStorage(tmp_path / "s", 1 << 20)))
    reopened.restore(restarted, 0.0)
    assert sorted(restarted.rows) == sorted(f"k{i}" for i in range(n))
    assert restarted.revision == store.revision == n
    reopened.close()


KILLED_WRITER_SCRIPT = """
import os, sys
from pathlib import Path
from dunehold.emulator.disk_storage import DiskStorage
from dunehold.emulator.model.store import Row
disk = DiskStorage(Path(sys.argv[1]))
for n in range(1, 6):
    disk.commit(n, {f"k{n}": Row(b"1", n, None), "all": Row(b"%d" % n, n, None)}, {})
os.kill(os.getpid(), 9)
"""


def test_committed_data_survives_a_kill(tmp_path: Path) -> None:
    result = subprocess.run(
        [sys.executable, "-c", KILLED_WRITER_SCRIPT, str(tmp_path / "s")],
        cwd=Path(__file__).parent.parent,
    )
    assert result.returncode == -9
    store = Store(storage=(disk := DiskStorage(tmp_path / "s")))
    disk.restore(store, 0.0)
    assert (store.revision, store.rows["all"].value) == (5, b"5")
    disk.close()
