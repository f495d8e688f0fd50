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

FINAL = ("done", "cancelled")
UNHEARD_S = 90.0
CALM_UNHEARD_S = 75.0  # once all troubles are over, however others fare
LEFT_WAITING_S = 90.0  # once all troubles are over, beside a machine that fits
LOOK_S = 2.0  # between looks for who is left waiting
# What a submission must not lack; a field that may be null may also be omitted.
REQUIRED = (
    "uid", "jobclass", "owner", "shape", "rank", "units", "vcpus", "gpus", "memory_gb",
    "bundle", "size_gb", "together", "spread", "loaner", "expect_s", "snapshot_s", "flush_s",
)  # fmt: skip
LEAST_SERVED, LARGEST_SHARE, LARGEST_BEGIN_S = 0.5, 0.1, 240.0
EPSILON = 1e-6


class Breach(NamedTuple):
    rule: str
    at: float
    detail: str

    def __str__(self) -> str:
        return f"{self.rule} at {self.at:.2f}: {self.detail}"


class Place(NamedTuple):
    """A task on a machine."""

    attempt: int
    host: str
    flavour: str
    hall: str


class Machine(NamedTuple):
    """A machine that is up."""

    flavour: str
    hall: str
    loaner: bool
    room: tuple[float, float, float]  # CPUs, GPUs, GB


@dataclass(slots=True)
class JobSeen:
    """What was seen of one job."""

    row: dict[str, Any]
    accepted_at: float | None = None
    refused: bool = False
    given_up: bool = False
    cancel_asked: bool = False
    final: str | None = None
    final_at: float = 0.0
    finals: set[str] = field(default_factory=set)
    silent_since: float | None = None
    completed: set[int] = field(default_factory=set)
    began_at: float | None = None  # its first task
    waits_since: float | None = None  # beside a machine that fits, all troubles being over


@dataclass(slots=True)
class Checker:
    """``limits``: team -> most CPUs and GPUs, None for no limit. ``flavours``: name -> CPUs,
    GPUs and GB of a machine, where it should be judged what can run at all."""

    limits: dict[str, tuple[float | None, float | None]]
    cancel_s: float
    flavours: dict[str, tuple[float, float, float]] = field(default_factory=dict)
    breaches: list[Breach] = field(default_factory=list)
    jobs: dict[str, JobSeen] = field(default_factory=dict)
    on: dict[str, list[Place]] = field(default_factory=dict)  # item -> where it is
    starts: int = 0
    completions: int = 0
    calm_since: float | None = None  # all troubles are over
    after_cancel: int = 0  # starts of jobs whose users knew them to be cancelled
    machines: dict[str, Machine] = field(default_factory=dict)  # that are up
    _used: dict[str, list[float]] = field(default_factory=dict)  # machine -> CPUs, GPUs, GB
    _looked_at: float = -1e9
    _use: dict[str, list[float]] = field(default_factory=dict)  # team -> CPUs, GPUs
    _cancelled: deque[tuple[str, float]] = field(default_factory=deque)  # uid, told at
    _halls: dict[str, Counter[str]] = field(default_factory=dict)  # uid -> tasks in each
    _polls: deque[tuple[float, bool]] = field(default_factory=deque)
    _now: float = 0.0

    def feed(self, event: Event) -> None:
        self.step(event.at)
        handler = _HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event.data)

    def step(self, now: float) -> None:
        """Rules that time alone can break."""
        self._now = max(self._now, now)
        while self._cancelled and now > self._cancelled[0][1] + self.cancel_s:
            uid, _ = self._cancelled.popleft()
            if self._halls.get(uid):
                self._break("ran_cancelled", f"{uid} still has tasks on machines")
        if self.calm_since is not None and now >= max(
            self._looked_at + LOOK_S, self.calm_since
        ):
            self._looked_at = now
            self._look_for_waiting(now)

    def _look_for_waiting(self, now: float) -> None:
        """Nobody is left waiting beside a machine that has had room for it all the time."""
        for uid, job in self.jobs.items():
            if not self._could_start(uid, job):
                job.waits_since = None
            elif job.waits_since is None:
                job.waits_since = now
            elif now - job.waits_since > LEFT_WAITING_S:
                self._break("left_waiting", f"{uid} since {job.waits_since:.0f}")
                job.waits_since = None

    def _could_start(self, uid: str, job: JobSeen) -> bool:
        row = job.row
        if (
            job.accepted_at is None
            or job.final is not None
            or job.cancel_asked
            or row.get("broken")  # tried ever more seldom, by design of whoever made it
            or uid in self._halls
            or len(job.completed) >= row["units"]
            or any(b.cancel_asked or b.final != "done" for b in self._before(job))
        ):
            return False
        tasks = row["units"] if row["shape"] == "gang" else 1
        need = _need(row)
        use = self._use.get(row["owner"], [0.0, 0.0])
        for used, limit, amount in zip(
            use, self.limits.get(row["owner"], (None, None)), need, strict=False
        ):
            if limit and used + amount * tasks > limit + EPSILON:
                return False
        fits: Counter[str] = Counter()
        for name, machine in self.machines.items():
            if _allowed(row, machine):
                fits[machine.hall] += self._fit(name, machine, need, tasks)
        if row["shape"] == "gang":
            most = (tasks + 1) // 2 if row.get("spread") else tasks
            whole = (
                max(fits.values(), default=0)
                if row.get("together")
                else sum(min(number, most) for number in fits.values())
            )
            return whole >= tasks
        return sum(fits.values()) > 0

    def _fit(
        self, name: str, machine: Machine, need: tuple[float, float, float], most: int
    ) -> int:
        used = self._used.get(name, [0.0, 0.0, 0.0])
        fit = [
            int((room - taken + EPSILON) / amount)
            for room, taken, amount in zip(machine.room, used, need, strict=True)
            if amount > 0
        ]
        return max(0, min([most, *fit]))

    def finish(self, settled: bool) -> list[Breach]:
        """The end of a run; ``settled``: everything had the time to end."""
        accepted = {uid: job for uid, job in self.jobs.items() if job.accepted_at is not None}
        if accepted and not self.starts:
            self._break("nothing_ran", "no task was started")
        for uid, job in accepted.items():
            if len(job.finals) > 1:
                self._break("final_answer", f"{uid} was called {sorted(job.finals)}")
            elif settled and not job.finals and job.row["shape"] != "standing":
                self._break("final_answer", f"{uid} never got one")
            elif settled and job.final == "done":
                self._check_done(uid, job)
        return self.breaches

    def unserved(self) -> list[str]:
        """Why the day has failed though no rule is broken: whom it did not serve.

        Of each class, team and class's largest jobs at least half must be done, and the
        largest ones must begin within four minutes. Cancelled jobs and services don't count.
        """
        groups: dict[str, list[JobSeen]] = {}
        for job in self.jobs.values():
            if job.accepted_at is None or job.row["shape"] == "standing":
                continue
            if job.cancel_asked or any(b.cancel_asked for b in self._before(job)):
                continue
            for key in (f"class {job.row['jobclass']}", f"team {job.row['owner']}"):
                groups.setdefault(key, []).append(job)
        for key, jobs in list(groups.items()):
            if key.startswith("class "):
                jobs = sorted(jobs, key=_size, reverse=True)
                groups[f"largest of {key}"] = jobs[: max(1, round(len(jobs) * LARGEST_SHARE))]
        found = []
        for key, jobs in sorted(groups.items()):
            done = sum(job.final == "done" for job in jobs)
            if done < LEAST_SERVED * len(jobs):
                found.append(f"{key}: {done} of {len(jobs)} served")
            late = sum(self._began_late(job) for job in jobs)
            if key.startswith("largest") and late:
                found.append(f"{key}: {late} began after {LARGEST_BEGIN_S:g} s or never")
        return found

    def _before(self, job: JobSeen) -> list[JobSeen]:
        """All jobs that it needs, directly or through others."""
        found: dict[str, JobSeen] = {}
        names = list(job.row.get("awaits") or ())
        while names:
            name = names.pop()
            other = self.jobs.get(name)
            if other is not None and name not in found:
                found[name] = other
                names.extend(other.row.get("awaits") or ())
        return list(found.values())

    def _began_late(self, job: JobSeen) -> bool:
        assert job.accepted_at is not None
        began = self._now if job.began_at is None else job.began_at
        return began - job.accepted_at > LARGEST_BEGIN_S

    def _break(self, rule: str, detail: str) -> None:
        self.breaches.append(Breach(rule, self._now, detail))

    # -- what users saw ------------------------------------------------------------------

    def _job(self, data: dict[str, Any]) -> None:
        self.jobs.setdefault(data["uid"], JobSeen(data["job"]))

    def _accepted(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is None:
            self._break("invented", data["uid"])
        else:
            self._known(job)

    def _known(self, job: JobSeen) -> None:
        if job.accepted_at is None:
            job.accepted_at = self._now
            reason = self._impossible(job.row) if self.flavours else None
            if reason is not None:
                self._break("impossible", f"{job.row.get('uid')} is accepted: {reason}")

    def _impossible(self, row: dict[str, Any]) -> str | None:
        """Why the submission had to be refused, or None."""
        for name in REQUIRED:
            if row.get(name) is None:
                return f"{name} is missing"
        if row["owner"] not in self.limits:
            return "unknown team"
        need = _need(row)
        tasks = 1 if row["shape"] == "batch" else row["units"]
        for limit, amount in zip(self.limits[row["owner"]], need, strict=False):
            if limit and amount * tasks > limit + EPSILON:
                return "more than the team's limit"
        allowed = row.get("flavours") or self.flavours
        if not any(
            all(a <= b + EPSILON for a, b in zip(need, self.flavours[name], strict=True))
            for name in allowed
            if name in self.flavours
        ):
            return "a task fits no allowed machine type"
        return None

    def _refused(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None and job.accepted_at is not None:
            self._break("forgotten", f"{data['uid']}: status {data['status']} to a repetition")
        elif job is not None:
            job.refused = True

    def _gave_up(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None:
            job.given_up = True

    def _cancel(self, data: dict[str, Any]) -> None:
        job = self.jobs.get(data["uid"])
        if job is not None:
            job.cancel_asked = True

    def _told(self, data: dict[str, Any]) -> None:
        uid, phase = data["uid"], data["phase"]
        self._polled(uid, True)
        job = self.jobs.get(uid)
        if job is None:
            self._break("invented", uid)
            return
        self._known(job)
        if phase in FINAL:
            job.finals.add(phase)
        contradicts = phase in FINAL or data.get("asked", self._now) >= job.final_at
        if job.final is not None and phase != job.final and contradicts:
            self._break("went_back", f"{uid}: {job.final}, then {phase}")
        if phase == "done":
            self._check_done(uid, job)
        before = self._before(job)
        if phase not in FINAL:
            ends = [b.final_at for b in before if b.final == "cancelled"]
            if ends and data.get("asked", self._now) > min(ends) + self.cancel_s:
                self._break("orphaned", f"{uid} is {phase}, what it needs is cancelled")
        if phase == "cancelled":
            if not job.cancel_asked and not any(b.cancel_asked for b in before):
                self._break("went_back", f"{uid} was never cancelled by its user")
            if job.final is None:
                self._cancelled.append((uid, self._now))
        if phase in FINAL and job.final is None:
            job.final, job.final_at = phase, self._now

    def _check_done(self, uid: str, job: JobSeen) -> None:
        missing = job.row["units"] - len(job.completed)
        if missing > 0:
            self._break("not_done", f"{uid}: {missing} tasks were never completed")

    def _missing(self, data: dict[str, Any]) -> None:
        uid = data["uid"]
        self._polled(uid, True)
        job = self.jobs.get(uid)
        if job is None or job.accepted_at is None:
            return
        if data.get("asked", self._now) >= job.accepted_at:
            self._break("forgotten", f"{uid}: 404")

    def _silent(self, data: dict[str, Any]) -> None:
        uid = data["uid"]
        self._polled(uid, False)
        job = self.jobs.get(uid)
        if job is None or job.accepted_at is None or job.silent_since is None:
            return
        answered = sum(good for _, good in self._polls)
        calm = self.calm_since is not None and (
            self._now - max(job.silent_since, self.calm_since) >= CALM_UNHEARD_S
        )
        unheard = self._now - job.silent_since >= UNHEARD_S
        if calm or (unheard and answered > len(self._polls) / 2):
            self._break("forgotten", f"{uid}: unanswered since {job.silent_since:.0f}")
            job.silent_since = self._now

    def _polled(self, uid: str, good: bool) -> None:
        self._polls.append((self._now, good))
        while self._polls[0][0] < self._now - UNHEARD_S:
            self._polls.popleft()
        job = self.jobs.get(uid)
        if job is not None:
            if good:
                job.silent_since = None
            elif job.silent_since is None:
                job.silent_since = self._now

    # -- what workers saw ----------------------------------------------------------------

    def _on(self, data: dict[str, Any]) -> None:
        self.starts += 1
        item = data["item"]
        uid = item.rpartition("/")[0]
        place = Place(data["attempt"], data["host"], data["flavour"], data["hall"])
        others = self.on.setdefault(item, [])
        if others:
            where = [other.host for other in others]
            self._break("ran_twice", f"{item} on {place.host} and {where}")
        others.append(place)
        job = self.jobs.get(uid)
        if job is None:
            self._break("invented", f"{item} started")
            return
        if job.began_at is None:
            job.began_at = self._now
        for need in job.row.get("awaits") or ():
            needed = self.jobs.get(need)
            if needed is None or len(needed.completed) < needed.row["units"]:
                self._break("too_early", f"{item} starts before {need} is done")
        halls = self._halls.setdefault(uid, Counter())
        halls[place.hall] += 1
        self._take(job.row, 1, place.host)
        self._check_quota(job.row["owner"])
        self._check_place(item, job.row, place, data["loaner"], halls)
        if job.final == "cancelled":
            self.after_cancel += 1
            if self._now > job.final_at + self.cancel_s:
                self._break("ran_cancelled", f"{item} starts")

    def _take(self, row: dict[str, Any], sign: int, host: str) -> None:
        need = _need(row)
        for sums in (
            self._use.setdefault(row["owner"], [0.0, 0.0]),
            self._used.setdefault(host, [0.0, 0.0, 0.0]),
        ):
            for index, amount in enumerate(need[: len(sums)]):
                sums[index] += sign * amount

    def _machine(self, data: dict[str, Any]) -> None:
        if data["what"] == "up" and "room" in data:
            cpus, gpus, memory = data["room"]
            self.machines[data["host"]] = Machine(
                data["flavour"], data["hall"], data["loaner"], (cpus, gpus, memory)
            )
        elif data["what"] == "gone":
            self.machines.pop(data["host"], None)

    def _check_quota(self, team: str) -> None:
        for use, limit in zip(
            self._use[team], self.limits.get(team, (None, None)), strict=True
        ):
            if limit and use > limit + EPSILON:
                self._break("quota", f"{team} uses {use:g} of {limit:g}")

    def _check_place(
        self, item: str, row: dict[str, Any], place: Place, loaner: bool, halls: Counter[str]
    ) -> None:
        if row.get("flavours") and place.flavour not in row["flavours"]:
            self._break("wrong_place", f"{item} on type {place.flavour}")
        if row.get("hall") and place.hall != row["hall"]:
            self._break("wrong_place", f"{item} in zone {place.hall}")
        if loaner and not row.get("loaner"):
            self._break("wrong_place", f"{item} on a spot machine")
        if row.get("together") and sum(1 for n in halls.values() if n) > 1:
            self._break("wrong_place", f"{item}: its job is in two zones")
        if row.get("spread") and halls[place.hall] > (row["units"] + 1) // 2:
            self._break("wrong_place", f"{item}: too many in {place.hall}")

    def _off(self, data: dict[str, Any]) -> None:
        places = self.on.get(data["item"], [])
        for place in places:
            if (place.attempt, place.host) == (data["attempt"], data["host"]):
                places.remove(place)
                uid = data["item"].rpartition("/")[0]
                job = self.jobs.get(uid)
                if job is not None:
                    self._take(job.row, -1, place.host)
                    self._leave(uid, place.hall)
                break
        if not places:
            self.on.pop(data["item"], None)

    def _leave(self, uid: str, hall: str) -> None:
        halls = self._halls[uid]
        halls[hall] -= 1
        if not halls[hall]:
            del halls[hall]
        if not halls:
            del self._halls[uid]

    def _completed(self, data: dict[str, Any]) -> None:
        self.completions += 1
        uid, _, number = data["item"].rpartition("/")
        if uid in self.jobs:
            self.jobs[uid].completed.add(int(number))


def _need(row: dict[str, Any]) -> tuple[float, float, float]:
    return row["vcpus"], row.get("gpus") or 0.0, row.get("memory_gb") or 0.0


def _allowed(row: dict[str, Any], machine: Machine) -> bool:
    return (
        (not row.get("flavours") or machine.flavour in row["flavours"])
        and (not row.get("hall") or machine.hall == row["hall"])
        and (bool(row.get("loaner")) or not machine.loaner)
    )


def _size(job: JobSeen) -> float:
    return float(job.row["units"] * job.row["vcpus"])


_HANDLERS: dict[str, Callable[[Checker, dict[str, Any]], None]] = {
    "job": Checker._job,
    "accepted": Checker._accepted,
    "refused": Checker._refused,
    "told": Checker._told,
    "missing": Checker._missing,
    "silent": Checker._silent,
    "gave_up": Checker._gave_up,
    "cancel": Checker._cancel,
    "on": Checker._on,
    "off": Checker._off,
    "completed": Checker._completed,
    "machine": Checker._machine,
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
    lost: int  # tasks that were on a machine which went away, or whose lease ran out
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
        sum(job.final == "done" for job in jobs),
        sum(job.final == "cancelled" for job in jobs),
        sum(job.final is None for job in jobs),
        sum(len(job.completed) for job in jobs),
        checker.starts,
        lost,
        breaches,
    )
