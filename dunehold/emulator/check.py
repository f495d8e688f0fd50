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


@dataclass(slots=True)
class Checker:
    """``limits``: team -> most CPUs and GPUs, None for no limit."""

    limits: dict[str, tuple[float | None, float | None]]
    cancel_s: float
    breaches: list[Breach] = field(default_factory=list)
    jobs: dict[str, JobSeen] = field(default_factory=dict)
    on: dict[str, list[Place]] = field(default_factory=dict)  # item -> where it is
    starts: int = 0
    completions: int = 0
    calm_since: float | None = None  # all troubles are over
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
        elif job.accepted_at is None:
            job.accepted_at = self._now

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
        if job.accepted_at is None:
            job.accepted_at = self._now
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
        self._take(job.row, 1)
        self._check_quota(job.row["owner"])
        self._check_place(item, job.row, place, data["loaner"], halls)
        if job.final == "cancelled" and self._now > job.final_at + self.cancel_s:
            self._break("ran_cancelled", f"{item} starts")

    def _take(self, row: dict[str, Any], sign: int) -> None:
        use = self._use.setdefault(row["owner"], [0.0, 0.0])
        use[0] += sign * row["vcpus"]
        use[1] += sign * (row.get("gpus") or 0.0)

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
                    self._take(job.row, -1)
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
