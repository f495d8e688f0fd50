"""The rules of the protocol, checked against a history alone.

Nothing here comes from the controllers' code: a fault that they share with a checker would
hide itself. ``Checker`` takes events one by one, so it serves a run as well as its file.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.emulator.history import Event

FINAL_PHASES = ("done", "cancelled")
UNANSWERED_LIMIT_S = 90.0
CALM_UNANSWERED_LIMIT_S = 75.0  # once all troubles are over, however others fare
LEFT_WAITING_LIMIT_S = 90.0  # once all troubles are over, beside a machine that fits
WAITING_CHECK_INTERVAL_S = 2.0  # between looks for who is left waiting
# What a submission must not lack; a field that may be null may also be omitted.
REQUIRED_FIELDS = (
    "uid", "jobclass", "owner", "shape", "rank", "units", "vcpus", "gpus", "memory_gb",
    "bundle", "size_gb", "together", "spread", "loaner", "expect_s", "snapshot_s", "flush_s",
)  # fmt: skip
MIN_DONE_SHARE, LARGEST_JOBS_SHARE, LARGEST_JOBS_START_LIMIT_S = 0.5, 0.1, 240.0
EPSILON = 1e-6


class Breach(NamedTuple):
    rule: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.2f}: {self.detail}"


class Placement(NamedTuple):
    """A task on a machine."""

    attempt: int
    host: str
    machine_type: str
    zone: str


class Machine(NamedTuple):
    """A machine that is up."""

    machine_type: str
    zone: str
    spot: bool
    capacity: tuple[float, float, float]  # CPUs, GPUs, GB


@dataclass(slots=True)
class ObservedJob:
    """What was seen of one job."""

    row: dict[str, Any]
    accepted_at: float | None = None
    refused: bool = False
    given_up: bool = False
    cancel_requested: bool = False
    final_phase: str | None = None
    final_at: float = 0.0
    final_phases: set[str] = field(default_factory=set)
    unanswered_since: float | None = None
    completed: set[int] = field(default_factory=set)
    started_at: float | None = None  # its first task
    startable_since: float | None = None  # beside a machine that fits, all troubles being over


@dataclass(slots=True)
class Checker:
    """``limits``: team -> most CPUs and GPUs, None for no limit. ``flavours``: name -> CPUs,
    GPUs and GB of a machine, where it should be judged what can run at all."""

    limits: dict[str, tuple[float | None, float | None]]
    cancel_s: float
    machine_types: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    placements: dict[str, list[Placement]] = field(default_factory=dict)  # item -> where it is
    starts: int = 0
    completions: int = 0
    calm_since: float | None = None  # all troubles are over
    starts_after_cancel: int = 0  # starts of jobs whose users knew them to be cancelled
    machines: dict[str, Machine] = field(default_factory=dict)  # that are up
    _machine_usage: dict[str, list[float]] = field(
        default_factory=dict
    )  # machine -> CPUs, GPUs, GB
    _waiting_checked_at: float = -1e9
    _team_usage: dict[str, list[float]] = field(default_factory=dict)  # team -> CPUs, GPUs
    _cancelled: deque[tuple[str, float]] = field(default_factory=deque)  # uid, told at
    _task_zones: dict[str, Counter[str]] = field(default_factory=dict)  # uid -> tasks in each
    _polls: deque[tuple[float, bool]] = field(default_factory=deque)
    _now: float = 0.0

    def feed(self, event: Event) -> None:
        self.advance(event.at)
        handler = _HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event.data)

    def advance(self, now: float) -> None:
        """Rules that time alone can break."""
        self._now = max(self._now, now)
        while self._cancelled and now > self._cancelled[0][1] + self.cancel_s:
            uid, _ = self._cancelled.popleft()
            if self._task_zones.get(uid):
                self._record_breach("ran_cancelled", f"{uid} still has tasks on machines")
        if self.calm_since is not None and now >= max(
            self._waiting_checked_at + WAITING_CHECK_INTERVAL_S, self.calm_since
        ):
            self._waiting_checked_at = now
            self._check_left_waiting(now)

    def _check_left_waiting(self, now: float) -> None:
        """Nobody is left waiting beside a machine that has had room for it all the time."""
        for uid, job in self.jobs.items():
            if not self._could_start(uid, job):
                job.startable_since = None
            elif job.startable_since is None:
                job.startable_since = now
            elif now - job.startable_since > LEFT_WAITING_LIMIT_S:
                self._record_breach("left_waiting", f"{uid} since {job.startable_since:.0f}")
                job.startable_since = None

    def _could_start(self, uid: str, job: ObservedJob) -> bool:
        row = job.row
        if (
            job.accepted_at is None
            or job.final_phase is not None
            or job.cancel_requested
            or row.get("broken")  # tried ever more seldom, by design of whoever made it
            or uid in self._task_zones
            or len(job.completed) >= row["units"]
            or any(
                b.cancel_requested or b.final_phase != "done" for b in self._dependencies(job)
            )
        ):
            return False
        tasks = row["units"] if row["shape"] == "gang" else 1
        need = _task_resources(row)
        use = self._team_usage.get(row["owner"], [0.0, 0.0])
        for used, limit, amount in zip(
            use, self.limits.get(row["owner"], (None, None)), need, strict=False
        ):
            if limit and used + amount * tasks > limit + EPSILON:
                return False
        fits: Counter[str] = Counter()
        for name, machine in self.machines.items():
            if _is_allowed_on(row, machine):
                fits[machine.zone] += self._tasks_that_fit(name, machine, need, tasks)
        if row["shape"] == "gang":
            most = (tasks + 1) // 2 if row.get("spread") else tasks
            whole = (
                max(fits.values(), default=0)
                if row.get("together")
                else sum(min(number, most) for number in fits.values())
            )
            return whole >= tasks
        return sum(fits.values()) > 0

    def _tasks_that_fit(
        self, name: str, machine: Machine, need: tuple[float, float, float], max_tasks: int
    ) -> int:
        used = self._machine_usage.get(name, [0.0, 0.0, 0.0])
        fit = [
            int((room - taken + EPSILON) / amount)
            for room, taken, amount in zip(machine.capacity, used, need, strict=True)
            if amount > 0
        ]
        return max(0, min([max_tasks, *fit]))

    def finish(self, settled: bool) -> list[Breach]:
        """The end of a run; ``settled``: everything had the time to end."""
        accepted = {uid: job for uid, job in self.jobs.items() if job.accepted_at is not None}
        if accepted and not self.starts:
            self._record_breach("nothing_ran", "no task was started")
        for uid, job in accepted.items():
            if len(job.final_phases) > 1:
                self._record_breach(
                    "final_answer", f"{uid} was called {sorted(job.final_phases)}"
                )
            elif settled and not job.final_phases and job.row["shape"] != "standing":
                self._record_breach("final_answer", f"{uid} never got one")
            elif settled and job.final_phase == "done":
                self._check_done(uid, job)
        return self.breaches

    def underserved_groups(self) -> list[str]:
        """Why the day has failed though no rule is broken: whom it did not serve.

        Of each class, team and class's largest jobs at least half must be done, and the
        largest ones must begin within four minutes. Cancelled jobs and services don't count.
        """
        groups: dict[str, list[ObservedJob]] = {}
        for job in self.jobs.values():
            if job.accepted_at is None or job.row["shape"] == "standing":
                continue
            if job.cancel_requested or any(b.cancel_requested for b in self._dependencies(job)):
                continue
            for key in (f"class {job.row['jobclass']}", f"team {job.row['owner']}"):
                groups.setdefault(key, []).append(job)
        for key, jobs in list(groups.items()):
            if key.startswith("class "):
                jobs = sorted(jobs, key=_total_vcpus, reverse=True)
                groups[f"largest of {key}"] = jobs[
                    : max(1, round(len(jobs) * LARGEST_JOBS_SHARE))
                ]
        found = []
        for key, jobs in sorted(groups.items()):
            done = sum(job.final_phase == "done" for job in jobs)
            if done < MIN_DONE_SHARE * len(jobs):
                found.append(f"{key}: {done} of {len(jobs)} served")
            late = sum(self._started_late(job) for job in jobs)
            if key.startswith("largest") and late:
                found.append(
                    f"{key}: {late} began after {LARGEST_JOBS_START_LIMIT_S:g} s or never"
                )
        return found

    def _dependencies(self, job: ObservedJob) -> list[ObservedJob]:
        """All jobs that it needs, directly or through others."""
        found: dict[str, ObservedJob] = {}
        names = list(job.row.get("awaits") or ())
        while names:
            name = names.pop()
            other = self.jobs.get(name)
            if other is not None and name not in found:
                found[name] = other
                names.extend(other.row.get("awaits") or ())
        return list(found.values())

    def _started_late(self, job: ObservedJob) -> bool:
        assert job.accepted_at is not None
        began = self._now if job.started_at is None else job.started_at
        return began - job.accepted_at > LARGEST_JOBS_START_LIMIT_S

    def _record_breach(self, rule: str, detail: str) -> None:
        self.breaches.append(Breach(rule, self._now, detail))

    # -- what users saw ------------------------------------------------------------------

    def _on_job(self, data: dict[str, Any]) -> None:
        self.jobs.setdefault(data["uid"], ObservedJob(data["job"]))

    def _on_accepted(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is None:
            self._record_breach("invented", data["uid"])
        else:
            self._mark_accepted(job)

    def _mark_accepted(self, job: ObservedJob) -> None:
        if job.accepted_at is None:
            job.accepted_at = self._now
            reason = self._rejection_reason(job.row) if self.machine_types else None
            if reason is not None:
                self._record_breach("impossible", f"{job.row.get('uid')} is accepted: {reason}")

    def _rejection_reason(self, row: dict[str, Any]) -> str | None:
        """Why the submission had to be refused, or None."""
        for name in REQUIRED_FIELDS:
            if row.get(name) is None:
                return f"{name} is missing"
        if row["owner"] not in self.limits:
            return "unknown team"
        need = _task_resources(row)
        tasks = 1 if row["shape"] == "batch" else row["units"]
        for limit, amount in zip(self.limits[row["owner"]], need, strict=False):
            if limit and amount * tasks > limit + EPSILON:
                return "more than the team's limit"
        allowed = row.get("flavours") or self.machine_types
        if not any(
            all(a <= b + EPSILON for a, b in zip(need, self.machine_types[name], strict=True))
            for name in allowed
            if name in self.machine_types
        ):
            return "a task fits no allowed machine type"
        return None

    def _on_refused(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None and job.accepted_at is not None:
            self._record_breach(
                "forgotten", f"{data['uid']}: status {data['status']} to a repetition"
            )
        elif job is not None:
            job.refused = True

    def _on_gave_up(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None:
            job.given_up = True

    def _on_cancel(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None:
            job.cancel_requested = True

    def _on_status(self, data: dict[str, Any]) -> None:
        uid, phase = data["uid"], data["phase"]
        self._record_poll(uid, True)
        job = self.jobs.get(uid)
        if job is None:
            self._record_breach("invented", uid)
            return
        self._mark_accepted(job)
        if phase in FINAL_PHASES:
            job.final_phases.add(phase)
        contradicts = phase in FINAL_PHASES or data.get("asked", self._now) >= job.final_at
        if job.final_phase is not None and phase != job.final_phase and contradicts:
            self._record_breach("went_back", f"{uid}: {job.final_phase}, then {phase}")
        if phase == "done":
            self._check_done(uid, job)
        before = self._dependencies(job)
        if phase not in FINAL_PHASES:
            ends = [b.final_at for b in before if b.final_phase == "cancelled"]
            if ends and data.get("asked", self._now) > min(ends) + self.cancel_s:
                self._record_breach("orphaned", f"{uid} is {phase}, what it needs is cancelled")
        if phase == "cancelled":
            if not job.cancel_requested and not any(b.cancel_requested for b in before):
                self._record_breach("went_back", f"{uid} was never cancelled by its user")
            if job.final_phase is None:
                self._cancelled.append((uid, self._now))
        if phase in FINAL_PHASES and job.final_phase is None:
            job.final_phase, job.final_at = phase, self._now

    def _check_done(self, uid: str, job: ObservedJob) -> None:
        missing = job.row["units"] - len(job.completed)
        if missing > 0:
            self._record_breach("not_done", f"{uid}: {missing} tasks were never completed")

    def _on_not_found(self, data: dict[str, Any]) -> None:
        uid = data["uid"]
        self._record_poll(uid, True)
        job = self.jobs.get(uid)
        if job is None or job.accepted_at is None:
            return
        if data.get("asked", self._now) >= job.accepted_at:
            self._record_breach("forgotten", f"{uid}: 404")

    def _on_no_answer(self, data: dict[str, Any]) -> None:
        uid = data["uid"]
        self._record_poll(uid, False)
        job = self.jobs.get(uid)
        if job is None or job.accepted_at is None or job.unanswered_since is None:
            return
        answered = sum(good for _, good in self._polls)
        calm = self.calm_since is not None and (
            self._now - max(job.unanswered_since, self.calm_since) >= CALM_UNANSWERED_LIMIT_S
        )
        unheard = self._now - job.unanswered_since >= UNANSWERED_LIMIT_S
        if calm or (unheard and answered > len(self._polls) / 2):
            self._record_breach(
                "forgotten", f"{uid}: unanswered since {job.unanswered_since:.0f}"
            )
            job.unanswered_since = self._now

    def _record_poll(self, uid: str, answered: bool) -> None:
        self._polls.append((self._now, answered))
        while self._polls[0][0] < self._now - UNANSWERED_LIMIT_S:
            self._polls.popleft()
        job = self.jobs.get(uid)
        if job is not None:
            if answered:
                job.unanswered_since = None
            elif job.unanswered_since is None:
                job.unanswered_since = self._now

    # -- what workers saw ----------------------------------------------------------------

    def _on_task_started(self, data: dict[str, Any]) -> None:
        self.starts += 1
        item = data["item"]
        uid = item.rpartition("/")[0]
        place = Placement(data["attempt"], data["host"], data["flavour"], data["hall"])
        others = self.placements.setdefault(item, [])
        if others:
            where = [other.host for other in others]
            self._record_breach("ran_twice", f"{item} on {place.host} and {where}")
        others.append(place)
        job = self.jobs.get(uid)
        if job is None:
            self._record_breach("invented", f"{item} started")
            return
        if job.started_at is None:
            job.started_at = self._now
        for need in job.row.get("awaits") or ():
            needed = self.jobs.get(need)
            if needed is None or len(needed.completed) < needed.row["units"]:
                self._record_breach("too_early", f"{item} starts before {need} is done")
        halls = self._task_zones.setdefault(uid, Counter())
        halls[place.zone] += 1
        self._add_usage(job.row, 1, place.host)
        self._check_quota(job.row["owner"])
        self._check_placement(item, job.row, place, data["loaner"], halls)
        if job.final_phase == "cancelled":
            self.starts_after_cancel += 1
            if self._now > job.final_at + self.cancel_s:
                self._record_breach("ran_cancelled", f"{item} starts")

    def _add_usage(self, row: dict[str, Any], sign: int, host: str) -> None:
        need = _task_resources(row)
        for sums in (
            self._team_usage.setdefault(row["owner"], [0.0, 0.0]),
            self._machine_usage.setdefault(host, [0.0, 0.0, 0.0]),
        ):
            for index, amount in enumerate(need[: len(sums)]):
                sums[index] += sign * amount

    def _on_machine(self, data: dict[str, Any]) -> None:
        if data["what"] == "up" and "room" in data:
            cpus, gpus, memory = data["room"]
            self.machines[data["host"]] = Machine(
                data["flavour"], data["hall"], data["loaner"], (cpus, gpus, memory)
            )
        elif data["what"] == "gone":
            self.machines.pop(data["host"], None)

    def _check_quota(self, team: str) -> None:
        for use, limit in zip(
            self._team_usage[team], self.limits.get(team, (None, None)), strict=True
        ):
            if limit and use > limit + EPSILON:
                self._record_breach("quota", f"{team} uses {use:g} of {limit:g}")

    def _check_placement(
        self,
        item: str,
        row: dict[str, Any],
        placement: Placement,
        spot: bool,
        zones: Counter[str],
    ) -> None:
        if row.get("flavours") and placement.machine_type not in row["flavours"]:
            self._record_breach("wrong_place", f"{item} on type {placement.machine_type}")
        if row.get("hall") and placement.zone != row["hall"]:
            self._record_breach("wrong_place", f"{item} in zone {placement.zone}")
        if spot and not row.get("loaner"):
            self._record_breach("wrong_place", f"{item} on a spot machine")
        if row.get("together") and sum(1 for n in zones.values() if n) > 1:
            self._record_breach("wrong_place", f"{item}: its job is in two zones")
        if row.get("spread") and zones[placement.zone] > (row["units"] + 1) // 2:
            self._record_breach("wrong_place", f"{item}: too many in {placement.zone}")

    def _on_task_ended(self, data: dict[str, Any]) -> None:
        places = self.placements.get(data["item"], [])
        for place in places:
            if (place.attempt, place.host) == (data["attempt"], data["host"]):
                places.remove(place)
                uid = data["item"].rpartition("/")[0]
                job = self.jobs.get(uid)
                if job is not None:
                    self._add_usage(job.row, -1, place.host)
                    self._remove_from_zone(uid, place.zone)
                break
        if not places:
            self.placements.pop(data["item"], None)

    def _remove_from_zone(self, uid: str, hall: str) -> None:
        halls = self._task_zones[uid]
        halls[hall] -= 1
        if not halls[hall]:
            del halls[hall]
        if not halls:
            del self._task_zones[uid]

    def _on_task_completed(self, data: dict[str, Any]) -> None:
        self.completions += 1
        uid, _, number = data["item"].rpartition("/")
        if uid in self.jobs:
            self.jobs[uid].completed.add(int(number))


def _task_resources(row: dict[str, Any]) -> tuple[float, float, float]:
    return row["vcpus"], row.get("gpus") or 0.0, row.get("memory_gb") or 0.0


def _is_allowed_on(row: dict[str, Any], machine: Machine) -> bool:
    return (
        (not row.get("flavours") or machine.machine_type in row["flavours"])
        and (not row.get("hall") or machine.zone == row["hall"])
        and (bool(row.get("loaner")) or not machine.spot)
    )


def _total_vcpus(job: ObservedJob) -> float:
    return float(job.row["units"] * job.row["vcpus"])


_HANDLERS: dict[str, Callable[[Checker, dict[str, Any]], None]] = {
    "job": Checker._on_job,
    "accepted": Checker._on_accepted,
    "refused": Checker._on_refused,
    "told": Checker._on_status,
    "missing": Checker._on_not_found,
    "silent": Checker._on_no_answer,
    "gave_up": Checker._on_gave_up,
    "cancel": Checker._on_cancel,
    "on": Checker._on_task_started,
    "off": Checker._on_task_ended,
    "completed": Checker._on_task_completed,
    "machine": Checker._on_machine,
}


class Summary(NamedTuple):
    """What a history comes to, for people."""

    jobs: int
    accepted: int
    done: int
    cancelled: int
    open: int
    tasks_completed: int
    starts: int
    lost_tasks: int  # tasks that were on a machine which went away, or whose lease ran out
    breaches: list[Breach]


def check(
    events: Iterable[Event],
    limits: dict[str, tuple[float | None, float | None]],
    cancel_s: float,
    settled: bool,
) -> Summary:
    """Check a whole history."""
    checker, lost = Checker(limits, cancel_s), 0
    for event in events:
        checker.feed(event)
        lost += event.kind == "off" and event.data.get("why") in ("gone", "lease")
    breaches = checker.finish(settled)
    return summarize(checker, lost, breaches)


def summarize(checker: Checker, lost: int, breaches: list[Breach]) -> Summary:
    jobs = [job for job in checker.jobs.values() if job.accepted_at is not None]
    return Summary(
        len(checker.jobs),
        len(jobs),
        sum(job.final_phase == "done" for job in jobs),
        sum(job.final_phase == "cancelled" for job in jobs),
        sum(job.final_phase is None for job in jobs),
        sum(len(job.completed) for job in jobs),
        checker.starts,
        lost,
        breaches,
    )
