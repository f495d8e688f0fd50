"""Inherited priorities agree with a plain reference, and take time linear in the graph.

``python -m tests.test_priority_inheritance`` compares the time with that of the depth-first
propagation that was used before; the results are in docs/measurements/awaits.md.
"""

from __future__ import annotations

import math
import random
import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest

from dunehold.bookkeeping.dependencies import DependencyIndex
from dunehold.bookkeeping.records import JobRecord
from dunehold.coordination.planning.priority_inheritance import (
    InheritedPriority,
    PriorityInheritance,
)
from dunehold.types import Duration, JobId, JobPhase, Rank, Revision, WallTime
from tests.test_dependencies import WritableView, spec, uid

Graph = list[list[int]]  # by job: the earlier jobs that it depends on


# -- shapes of graphs ------------------------------------------------------------------------


def layered(jobs: int, width: int = 20) -> Graph:
    """Layers of ``width`` jobs, each of which depends on all jobs of the layer before."""
    return [
        list(range((number // width - 1) * width, number // width * width))
        if number >= width
        else []
        for number in range(jobs)
    ]


def chain(jobs: int) -> Graph:
    return [[number - 1] if number else [] for number in range(jobs)]


def fan_in(jobs: int, group: int = 100) -> Graph:
    """Groups of jobs without dependencies, of which each last one depends on all others."""
    return [
        list(range(number - group + 1, number)) if number % group == group - 1 else []
        for number in range(jobs)
    ]


def fan_out(jobs: int) -> Graph:
    """All jobs depend on the first one."""
    return [[0] if number else [] for number in range(jobs)]


SHAPES: dict[str, Callable[[int], Graph]] = {
    "layered": layered,
    "chain": chain,
    "fan-in": fan_in,
    "fan-out": fan_out,
}


class Pipeline:
    """Jobs with random estimates of which the last one has a deadline."""

    def __init__(self, graph: Graph, seed: int, wrong_by: float = 0.5) -> None:
        rng = random.Random(seed)
        self.active: dict[JobId, JobRecord] = {}
        self.index = DependencyIndex()
        template = spec(1, rank="idle")
        for number, needs in enumerate([*graph, leaves(graph)]):
            last = number == len(graph)
            job = replace(
                template,
                id=uid(number),
                dependencies=tuple(uid(need) for need in needs),
                rank=Rank.HIGH if last else template.rank,
                deadline_s=Duration(1e6) if last else None,
                estimate_s=Duration(60.0 * rng.uniform(1 - wrong_by, 1 + wrong_by)),
            )
            record = JobRecord(job.id, JobPhase.ACTIVE, Revision(1), WallTime(0.0), job, 1)
            self.active[job.id] = record
            self.index.add(job.id, job.dependencies)
        view = SimpleNamespace(active=self.active, dependency_index=self.index)
        self.ledger: Any = SimpleNamespace(view=view)
        self.size = len(self.active) + sum(map(len, self.index.pending.values()))

    def waiting(self) -> list[JobId]:
        """The jobs with dependencies, in the order of their submission."""
        return list(self.index.pending)

    def inheritance(self, kind: Any = PriorityInheritance) -> Any:
        return kind(self.ledger, lambda job: job.estimate_s, lambda job: None)


def leaves(graph: Graph) -> list[int]:
    """The jobs that no other job depends on."""
    needed = {need for needs in graph for need in needs}
    return [number for number in range(len(graph)) if number not in needed]


def reference(pipeline: Pipeline) -> dict[JobId, InheritedPriority]:
    """What each job inherits, derived from the last submitted job to the first."""
    inherited: dict[JobId, InheritedPriority] = {}
    for job, record in reversed(pipeline.active.items()):
        assert record.spec is not None
        rank, due = record.spec.rank, math.inf
        for dependent in pipeline.index.dependents.get(job, ()):
            other = pipeline.active[dependent].spec
            assert other is not None
            own = math.inf if other.deadline_s is None else other.deadline_s
            above = inherited.get(dependent, InheritedPriority(other.rank, math.inf))
            rank = max(rank, other.rank, above.rank)
            due = min(due, min(own, above.due_at) - other.estimate_s)
        if job in pipeline.index.dependents:
            inherited[job] = InheritedPriority(rank, due)
    return inherited


# -- counting --------------------------------------------------------------------------------


@pytest.fixture
def counts(monkeypatch: pytest.MonkeyPatch) -> Counter[str]:
    """Counts the visits to jobs and the dependencies that are looked at."""
    found: Counter[str] = Counter()

    def count(name: str, key: str) -> None:
        method = getattr(PriorityInheritance, name)

        def counted(self: PriorityInheritance, *args: Any) -> Any:
            found[key] += 1
            return method(self, *args)

        monkeypatch.setattr(PriorityInheritance, name, counted)

    count("_visit", "visits")
    for name in ("_offer_to", "_mark_stale", "_offer"):
        count(name, "dependencies")
    return found


@pytest.mark.parametrize("jobs", [400, 4_000, 40_000])
@pytest.mark.parametrize("shape", SHAPES)
def test_work_grows_no_faster_than_jobs_and_dependencies(
    shape: str, jobs: int, counts: Counter[str]
) -> None:
    """Guards against propagation that visits a job once for each path that leads to it.

    With differing estimates that took longer than the leader's lease for 401 jobs, and no
    controller got to lead.
    """
    pipeline = Pipeline(SHAPES[shape](jobs), seed=jobs)
    expected = reference(pipeline)
    orders = {"submission": pipeline.waiting(), "backwards": pipeline.waiting()[::-1]}
    orders["random"] = random.Random(jobs).sample(pipeline.waiting(), len(pipeline.waiting()))
    for order, waiting in orders.items():
        counts.clear()
        inheritance = pipeline.inheritance()
        inheritance.update(waiting, [])
        assert counts["visits"] <= len(pipeline.active), (order, counts)
        assert counts["visits"] + counts["dependencies"] <= 2 * pipeline.size, (order, counts)
        assert inheritance._inherited == expected


@pytest.mark.parametrize("shape", SHAPES)
def test_jobs_that_are_added_singly_cost_no_more(shape: str, counts: Counter[str]) -> None:
    """The jobs inherit nothing until the last one comes, which changes all of them once."""
    pipeline = Pipeline(SHAPES[shape](4_000), seed=1)
    inheritance = pipeline.inheritance()
    dependents = pipeline.index.dependents
    pipeline.index.dependents = {}
    for job in pipeline.waiting():
        for need in pipeline.index.pending[job]:
            pipeline.index.dependents.setdefault(need, {})[job] = None
        inheritance.add_waiting_job(job)
    assert counts["visits"] <= 3 * len(pipeline.active)
    assert counts["dependencies"] <= 4 * pipeline.size
    assert pipeline.index.dependents == dependents
    assert inheritance._inherited == reference(pipeline)


def test_an_update_that_alters_nothing_visits_nothing_below(counts: Counter[str]) -> None:
    pipeline = Pipeline(layered(400), seed=3)
    inheritance = pipeline.inheritance()
    inheritance.update(pipeline.waiting(), [])
    counts.clear()
    last = pipeline.waiting()[-1]
    inheritance.add_waiting_job(last)
    assert counts["visits"] == 1
    counts.clear()
    inheritance.update([], list(pipeline.active))
    assert counts["visits"] <= len(pipeline.active)


# -- random changes --------------------------------------------------------------------------


@pytest.mark.parametrize("seed", range(30))
def test_inherited_priorities_agree_with_a_reference_after_any_change(seed: int) -> None:
    """Jobs are accepted, completed and cancelled at random."""
    rng, store = random.Random(seed), WritableView()
    ledger: Any = SimpleNamespace(view=store.view)
    inheritance = PriorityInheritance(ledger, lambda job: job.estimate_s, lambda job: None)

    def apply(touched: Iterable[JobId]) -> None:
        changed = list(touched)
        for job in changed:
            if job not in store.view.active:
                inheritance.remove(job)
        waiting = [job for job in changed if store.view.waits_for_dependencies(job)]
        inheritance.update(waiting, [job for job in changed if job in store.view.active])

    for number in range(1, 60):
        active = sorted(int(job[4:]) for job in store.view.active)
        action = rng.random()
        if action < 0.75 or not active:
            needs = rng.sample(active, min(len(active), rng.randrange(4)))
            more = {
                "rank": rng.choice(["idle", "normal", "high"]),
                "due_s": rng.choice([None, None, rng.uniform(10.0, 900.0)]),
                "expect_s": rng.uniform(1.0, 90.0),
            }
            apply(store.accept(spec(number, *needs, **more)))
        elif action < 0.9:
            apply(store.cancel(rng.choice(active)))
        else:
            ready = [n for n in active if not store.view.waits_for_dependencies(uid(n))]
            apply(store.done(rng.choice(ready)))
        current = SimpleNamespace(
            active=dict(sorted(store.view.active.items())), index=store.view.dependency_index
        )
        assert values(inheritance) == reference_with_times(current), number


def values(inheritance: PriorityInheritance) -> dict[JobId, tuple[Rank, float]]:
    return {
        job: (inherited.rank, round(inherited.due_at, 6))
        for job, inherited in inheritance._inherited.items()
    }


def reference_with_times(pipeline: Any) -> dict[JobId, tuple[Rank, float]]:
    """As ``reference``, for jobs that were all accepted at 1.0 s."""
    return {
        job: (inherited.rank, round(inherited.due_at + 1.0, 6))
        for job, inherited in reference(pipeline).items()
    }


# -- measurement -----------------------------------------------------------------------------


class DepthFirstInheritance(PriorityInheritance):
    """The propagation of earlier versions: it comes back to a job by each path."""

    __slots__ = ()

    def update(self, added: Iterable[JobId], stale: Iterable[JobId]) -> None:
        active = self.ledger.view.active
        for source in added:
            pending = list(active[source].spec.dependencies)  # type: ignore[union-attr]
            while pending:
                job = pending.pop()
                record = active[job]
                assert record.spec is not None
                inherited = self._inherit(job, record.spec)
                if inherited == self._inherited.get(job):
                    continue
                if inherited is not None:
                    self._inherited[job] = inherited
                pending.extend(record.spec.dependencies)


def measured_s(kind: Any, pipeline: Pipeline, spec_of: Callable[[], list[JobId]]) -> float:
    inheritance = pipeline.inheritance(kind)
    began = time.perf_counter()
    inheritance.update(spec_of(), [])
    return time.perf_counter() - began


def main() -> None:
    print("| shape | jobs | dependencies | depth first, ms | in topological order, ms |")
    print("| --- | --- | --- | --- | --- |")
    sizes = {
        "layered": [200, 400],
        "chain": [400, 4_000],
        "fan-in": [4_000, 40_000],
        "fan-out": [200, 400],
    }
    for shape, graph in SHAPES.items():
        for jobs in sizes[shape]:
            pipeline = Pipeline(graph(jobs), seed=1)
            old = measured_s(DepthFirstInheritance, pipeline, pipeline.waiting)
            new = measured_s(PriorityInheritance, pipeline, pipeline.waiting)
            edges = pipeline.size - len(pipeline.active)
            print(f"| {shape} | {jobs} | {edges} | {old * 1e3:.1f} | {new * 1e3:.1f} |")


if __name__ == "__main__":
    main()
