"""Checks the rules of the protocol against a recorded history.

This module uses none of the controllers' code, because the checker would not notice a fault in
code that it shares with them. ``Checker`` takes events one at a time, so that it can check a
run while it goes on as well as a history file afterwards.

| rule | it is broken when |
| --- | --- |
| ``ran_twice`` | a task starts while another attempt of it is on a machine |
| ``quota`` | a team's running tasks exceed its limit of CPUs or GPUs |
| ``wrong_place`` | a task is on a machine, or in a zone, that its job does not allow |
| ``ran_cancelled`` | a cancelled job has tasks on machines after the time for cancelling |
| ``forgotten`` | an accepted job is unknown, is refused, or stays unanswered for too long |
| ``invented`` | a job that nobody submitted is reported or started |
| ``not_done`` | a job is reported done before all its tasks are completed |
| ``went_back`` | a final phase changes, or a job is cancelled at no user's request |
| ``nothing_ran`` | jobs are accepted, but no task starts during the whole run |
| ``too_early`` | a task starts before a dependency of its job is completed |
| ``left_waiting`` | a job that could start is not started though all faults are over |
| ``impossible`` | a submission is accepted that has to be refused |
| ``orphaned`` | a job is still active long after one of its dependencies was cancelled |
| ``final_answer`` | a job has two final phases, or none when the run has settled |
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from dunehold.emulator.history import Event

FINAL_PHASES = ("done", "cancelled")
# A job counts as forgotten when polls for it stay unanswered for this long while most polls for
# all jobs are answered.
UNANSWERED_LIMIT_S = 90.0
# The same limit once all faults are over. It holds whether or not other polls are answered.
CALM_UNANSWERED_LIMIT_S = 75.0
# How long a job may wait beside a machine with room for it once all faults are over.
LEFT_WAITING_LIMIT_S = 90.0
WAITING_CHECK_INTERVAL_S = 2.0  # between two checks for jobs that are left waiting
# Fields that a submission must contain. A field that may be null may also be omitted.
REQUIRED_FIELDS = (
    "uid", "jobclass", "owner", "shape", "rank", "units", "vcpus", "gpus", "memory_gb",
    "bundle", "size_gb", "together", "spread", "loaner", "expect_s", "snapshot_s", "flush_s",
)  # fmt: skip
MIN_DONE_SHARE = 0.5  # share of each group's jobs that has to be done
LARGEST_JOBS_SHARE = 0.1  # share of a class's jobs that count as its largest
LARGEST_JOBS_START_LIMIT_S = 240.0  # from a large job's acceptance to its first start
EPSILON = 1e-6  # tolerance for sums of floating-point amounts


class Breach(NamedTuple):
    """A broken rule: its name, the time in seconds of the history, and what was seen."""

    rule: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.2f}: {self.detail}"


class Placement(NamedTuple):
    """The machine that one attempt of a task is on."""

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
    """What the history shows of one job; times are in seconds of the history."""

    row: dict[str, Any]  # the job as its user submitted it
    accepted_at: float | None = None
    refused: bool = False
    given_up: bool = False  # its user stopped retrying the submission
    cancel_requested: bool = False
    final_phase: str | None = None  # the first final phase that a user was told
    final_at: float = 0.0
    final_phases: set[str] = field(default_factory=set)  # all that users were told
    # The time of the first poll without an answer since the last answer.
    unanswered_since: float | None = None
    completed: set[int] = field(default_factory=set)  # numbers of its completed tasks
    started_at: float | None = None  # when its first task started
    # Since when the job could start on a machine that is up; counted once all faults are over.
    startable_since: float | None = None


@dataclass(slots=True)
class Checker:
    """Follows a history event by event and records each breach of a rule.

    ``limits`` maps a team to its limits of CPUs and GPUs; None means that there is no limit.
    ``cancel_s`` is the time in which a cancelled job's tasks have to leave their machines.
    ``machine_types`` maps a machine type to its CPUs, GPUs and GB of memory; without it, the
    rule ``impossible`` is not checked.
    """

    limits: dict[str, tuple[float | None, float | None]]
    cancel_s: float
    machine_types: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    jobs: dict[str, ObservedJob] = field(default_factory=dict)
    # Task id -> its attempts that are on machines.
    placements: dict[str, list[Placement]] = field(default_factory=dict)
    starts: int = 0
    completions: int = 0
    calm_since: float | None = None  # when the last fault ended, set by the caller
    starts_after_cancel: int = 0  # task starts after a user was told that the job is cancelled
    machines: dict[str, Machine] = field(default_factory=dict)  # name -> a machine that is up
    # Machine -> CPUs, GPUs and GB of memory in use.
    _machine_usage: dict[str, list[float]] = field(default_factory=dict)
    _waiting_checked_at: float = -1e9
    # Team -> CPUs and GPUs in use.
    _team_usage: dict[str, list[float]] = field(default_factory=dict)
    # Cancelled jobs and when their users were first told so, in the order of these times.
    _cancelled: deque[tuple[str, float]] = field(default_factory=deque)
    # Job's uid -> zone -> number of its tasks on machines there.
    _task_zones: dict[str, Counter[str]] = field(default_factory=dict)
    # The polls of the last UNANSWERED_LIMIT_S: their times, and whether they were answered.
    _polls: deque[tuple[float, bool]] = field(default_factory=deque)
    _now: float = 0.0

    def feed(self, event: Event) -> None:
        """Processes one event; events have to come in the order of their times."""
        self.advance(event.at)
        handler = _HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event.data)

    def advance(self, now: float) -> None:
        """Moves the time to ``now`` and checks the rules that are broken by waiting."""
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
        """Records jobs that waited too long although there was always a machine for them."""
        for uid, job in self.jobs.items():
            if not self._could_start(uid, job):
                job.startable_since = None
            elif job.startable_since is None:
                job.startable_since = now
            elif now - job.startable_since > LEFT_WAITING_LIMIT_S:
                self._record_breach("left_waiting", f"{uid} since {job.startable_since:.0f}")
                job.startable_since = None

    def _could_start(self, uid: str, job: ObservedJob) -> bool:
        """Tells whether a waiting job could start now.

        That is so when its dependencies are done and both its team's limit and the machines
        that are up leave room for one task, or, for a gang, for all its tasks at once.
        """
        row = job.row
        if (
            job.accepted_at is None
            or job.final_phase is not None
            or job.cancel_requested
            # The tasks of a broken job always fail, so that it waits while retries back off.
            or row.get("broken")
            or uid in self._task_zones
            or len(job.completed) >= row["units"]
            or any(
                dependency.cancel_requested or dependency.final_phase != "done"
                for dependency in self._dependencies(job)
            )
        ):
            return False
        tasks = row["units"] if row["shape"] == "gang" else 1
        need = _task_resources(row)
        used_by_team = self._team_usage.get(row["owner"], [0.0, 0.0])
        for used, limit, amount in zip(
            used_by_team, self.limits.get(row["owner"], (None, None)), need, strict=False
        ):
            if limit and used + amount * tasks > limit + EPSILON:
                return False
        fits: Counter[str] = Counter()
        for name, machine in self.machines.items():
            if _is_allowed_on(row, machine):
                fits[machine.zone] += self._tasks_that_fit(name, machine, need, tasks)
        if row["shape"] == "gang":
            max_per_zone = (tasks + 1) // 2 if row.get("spread") else tasks
            startable_tasks = (
                max(fits.values(), default=0)
                if row.get("together")
                else sum(min(number, max_per_zone) for number in fits.values())
            )
            return startable_tasks >= tasks
        return sum(fits.values()) > 0

    def _tasks_that_fit(
        self, name: str, machine: Machine, need: tuple[float, float, float], max_tasks: int
    ) -> int:
        """Returns how many more tasks the machine has room for, at most ``max_tasks``."""
        used = self._machine_usage.get(name, [0.0, 0.0, 0.0])
        fit = [
            int((room - taken + EPSILON) / amount)
            for room, taken, amount in zip(machine.capacity, used, need, strict=True)
            if amount > 0
        ]
        return max(0, min([max_tasks, *fit]))

    def finish(self, settled: bool) -> list[Breach]:
        """Checks the rules that need the whole run, and returns all breaches.

        ``settled`` says that every job had enough time to end, so that each accepted job must
        have a final phase.
        """
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
        """Lists the groups of jobs that were served too badly although no rule is broken.

        In each class, each team, and among the largest tenth of each class's jobs, at least
        half of the jobs must be done. The largest jobs must also start within
        ``LARGEST_JOBS_START_LIMIT_S`` of their acceptance. Services, cancelled jobs and jobs
        that depend on cancelled ones are left out.
        """
        groups: dict[str, list[ObservedJob]] = {}
        for job in self.jobs.values():
            if job.accepted_at is None or job.row["shape"] == "standing":
                continue
            if job.cancel_requested or any(
                dependency.cancel_requested for dependency in self._dependencies(job)
            ):
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
        """Returns all jobs that a job depends on, directly or through others."""
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

    # -- events of users -----------------------------------------------------------------

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
        """Returns why the submission has to be refused, or None if it may be accepted."""
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
        # The answer to a request that was sent before the job ended may still show an earlier
        # phase.
        contradicts = phase in FINAL_PHASES or data.get("asked", self._now) >= job.final_at
        if job.final_phase is not None and phase != job.final_phase and contradicts:
            self._record_breach("went_back", f"{uid}: {job.final_phase}, then {phase}")
        if phase == "done":
            self._check_done(uid, job)
        dependencies = self._dependencies(job)
        if phase not in FINAL_PHASES:
            cancelled_at = [
                dependency.final_at
                for dependency in dependencies
                if dependency.final_phase == "cancelled"
            ]
            if (
                cancelled_at
                and data.get("asked", self._now) > min(cancelled_at) + self.cancel_s
            ):
                self._record_breach("orphaned", f"{uid} is {phase}, what it needs is cancelled")
        if phase == "cancelled":
            if not job.cancel_requested and not any(
                dependency.cancel_requested for dependency in dependencies
            ):
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
        # A poll that was sent before the job's acceptance may rightly get a 404.
        if data.get("asked", self._now) >= job.accepted_at:
            self._record_breach("forgotten", f"{uid}: 404")

    def _on_no_answer(self, data: dict[str, Any]) -> None:
        uid = data["uid"]
        self._record_poll(uid, False)
        job = self.jobs.get(uid)
        if job is None or job.accepted_at is None or job.unanswered_since is None:
            return
        answered = sum(good for _, good in self._polls)
        past_calm_limit = self.calm_since is not None and (
            self._now - max(job.unanswered_since, self.calm_since) >= CALM_UNANSWERED_LIMIT_S
        )
        past_limit = self._now - job.unanswered_since >= UNANSWERED_LIMIT_S
        if past_calm_limit or (past_limit and answered > len(self._polls) / 2):
            self._record_breach(
                "forgotten", f"{uid}: unanswered since {job.unanswered_since:.0f}"
            )
            # It is reported again only after another such period.
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

    # -- events of workers and machines --------------------------------------------------

    def _on_task_started(self, data: dict[str, Any]) -> None:
        self.starts += 1
        task_id = data["item"]
        uid = task_id.rpartition("/")[0]
        placement = Placement(data["attempt"], data["host"], data["flavour"], data["hall"])
        others = self.placements.setdefault(task_id, [])
        if others:
            where = [other.host for other in others]
            self._record_breach("ran_twice", f"{task_id} on {placement.host} and {where}")
        others.append(placement)
        job = self.jobs.get(uid)
        if job is None:
            self._record_breach("invented", f"{task_id} started")
            return
        if job.started_at is None:
            job.started_at = self._now
        for need in job.row.get("awaits") or ():
            needed = self.jobs.get(need)
            if needed is None or len(needed.completed) < needed.row["units"]:
                self._record_breach("too_early", f"{task_id} starts before {need} is done")
        zones = self._task_zones.setdefault(uid, Counter())
        zones[placement.zone] += 1
        self._add_usage(job.row, 1, placement.host)
        self._check_quota(job.row["owner"])
        self._check_placement(task_id, job.row, placement, data["loaner"], zones)
        if job.final_phase == "cancelled":
            self.starts_after_cancel += 1
            if self._now > job.final_at + self.cancel_s:
                self._record_breach("ran_cancelled", f"{task_id} starts")

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
        task_id: str,
        row: dict[str, Any],
        placement: Placement,
        spot: bool,
        zones: Counter[str],
    ) -> None:
        """Checks a started task against its job's constraints on machines and zones.

        ``zones`` counts the job's tasks on machines by zone, with the started one.
        """
        if row.get("flavours") and placement.machine_type not in row["flavours"]:
            self._record_breach("wrong_place", f"{task_id} on type {placement.machine_type}")
        if row.get("hall") and placement.zone != row["hall"]:
            self._record_breach("wrong_place", f"{task_id} in zone {placement.zone}")
        if spot and not row.get("loaner"):
            self._record_breach("wrong_place", f"{task_id} on a spot machine")
        if row.get("together") and sum(1 for n in zones.values() if n) > 1:
            self._record_breach("wrong_place", f"{task_id}: its job is in two zones")
        if row.get("spread") and zones[placement.zone] > (row["units"] + 1) // 2:
            self._record_breach("wrong_place", f"{task_id}: too many in {placement.zone}")

    def _on_task_ended(self, data: dict[str, Any]) -> None:
        attempts = self.placements.get(data["item"], [])
        for placement in attempts:
            if (placement.attempt, placement.host) == (data["attempt"], data["host"]):
                attempts.remove(placement)
                uid = data["item"].rpartition("/")[0]
                job = self.jobs.get(uid)
                if job is not None:
                    self._add_usage(job.row, -1, placement.host)
                    self._remove_from_zone(uid, placement.zone)
                break
        if not attempts:
            self.placements.pop(data["item"], None)

    def _remove_from_zone(self, uid: str, zone: str) -> None:
        zones = self._task_zones[uid]
        zones[zone] -= 1
        if not zones[zone]:
            del zones[zone]
        if not zones:
            del self._task_zones[uid]

    def _on_task_completed(self, data: dict[str, Any]) -> None:
        self.completions += 1
        uid, _, number = data["item"].rpartition("/")
        if uid in self.jobs:
            self.jobs[uid].completed.add(int(number))


def _task_resources(row: dict[str, Any]) -> tuple[float, float, float]:
    """Returns the CPUs, GPUs and GB of memory that one task needs."""
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
    """Counts of a whole history, and the breaches found in it."""

    jobs: int
    accepted: int  # the next three count only accepted jobs
    done: int
    cancelled: int
    open: int
    tasks_completed: int
    starts: int
    lost_tasks: int  # tasks that ended because their machine went away or its lease expired
    breaches: list[Breach]


def check(
    events: Iterable[Event],
    limits: dict[str, tuple[float | None, float | None]],
    cancel_s: float,
    settled: bool,
) -> Summary:
    """Checks a whole history, with the arguments of ``Checker`` and ``Checker.finish``."""
    checker, lost = Checker(limits, cancel_s), 0
    for event in events:
        checker.feed(event)
        lost += event.kind == "off" and event.data.get("why") in ("gone", "lease")
    breaches = checker.finish(settled)
    return summarize(checker, lost, breaches)


def summarize(checker: Checker, lost: int, breaches: list[Breach]) -> Summary:
    """Builds the summary. ``lost`` is the number of lost tasks, which the caller counts."""
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
