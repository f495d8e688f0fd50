"""Machines as a plan leaves them: what room there is, where a task fits, and when.

Room only shrinks while a plan is made, so what found none is remembered, and whatever needs as
much or more is not looked for again.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

from dunehold.coordination.scheduler.model import (
    Entry,
    HostState,
    Plan,
    Policy,
    Reservation,
    RunState,
    Snapshot,
    Start,
    Stop,
)
from dunehold.types import (
    Attempt,
    AttemptId,
    HostId,
    JobId,
    Rank,
    Room,
    TaskId,
    Tier,
    TypeName,
    Zone,
)

NEVER = float("inf")
SOON_S = 0.5
SCARCITY_COST_S = 30.0
AVOIDED_COST_S = 60.0
PLANNED = Attempt(0)  # stands for attempts that this very plan starts

GroupKey = tuple[TypeName, Zone, bool]
Like = tuple[TypeName, float]  # a type, and how much other work needs its machines


@dataclass(slots=True)
class Group:
    """Machines of one type, zone and kind: whether a job may use them is asked once."""

    key: GroupKey
    sample: HostState
    scarcity: float
    hosts: dict[HostId, HostState] = field(default_factory=dict)
    open: dict[HostId, HostState] = field(default_factory=dict)  # have room for somebody


class Floor:
    def __init__(self, snapshot: Snapshot, policy: Policy) -> None:
        self.policy = policy
        self.now = snapshot.now
        self.entries = sorted(snapshot.entries, key=list_order)
        self.team_room = dict(snapshot.team_room)
        self.held = {hold.job: hold for hold in snapshot.held}
        self.reserved: dict[HostId, Reservation] = {}
        self.claimed: dict[HostId, Room] = {}  # room being cleared for somebody by stops
        self.plan = Plan()
        self.stops_left = policy.stops
        self.preempting_left = policy.preempting if policy.preemption else 0
        self.snapshot = snapshot
        self.least_cpus = min((entry.need.cpus for entry in self.entries), default=0.0)
        self.groups: dict[GroupKey, Group] = {}
        # What work of the lowest rank may still take: others would have to wait until some
        # of it was stopped, each time that a job of theirs comes.
        self.idle_room = -snapshot.reserve_cpus
        self.own: set[HostId] = set()  # machines of which this plan has a copy of its own
        self.failed: dict[tuple[GroupKey, ...], list[Room]] = {}
        self.slots: dict[tuple[tuple[GroupKey, ...], Room], list[float]] = {}
        self.slots_taken: dict[Like, int] = {}  # by tasks that wait for such room
        self.promised: dict[Like, float] = {}  # the same in CPUs
        self.own_promise: dict[Like, float] = {}  # to the entry that was placed last
        self._borrowed: set[AttemptId] | None = None
        self._lowest: Rank | None = None
        self.group_of: dict[HostId, Group] = {}
        self._allowed: dict[JobId, list[Group]] = {}
        self._types: dict[JobId, list[tuple[Like, list[Group]]]] = {}
        for host in snapshot.hosts:
            key = (host.type, host.zone, host.spot)
            group = self.groups.get(key)
            if group is None:
                weight = snapshot.scarcity.get((host.type, host.spot), 0.0)
                group = self.groups[key] = Group(key, host, weight)
            group.hosts[host.id] = host
            self.group_of[host.id] = group
            if host.ready_at <= self.now:
                self.idle_room += max(0.0, host.free.cpus)
                if host.free.cpus >= self.least_cpus - 1e-6:
                    group.open[host.id] = host

    def _all_hosts(self) -> Iterator[HostState]:
        for group in self.groups.values():
            yield from group.hosts.values()

    def _group(self, host: HostState) -> Group:
        return self.group_of[host.id]

    def _mine(self, host: HostState) -> HostState:
        """A copy that this plan may write to."""
        group = self._group(host)
        if host.id in self.own:
            return group.hosts[host.id]
        self.own.add(host.id)
        copy = group.hosts[host.id] = host.copy()
        if host.id in group.open:
            group.open[host.id] = copy
        return copy

    def _groups_for(self, entry: Entry) -> list[Group]:
        """What its job may use at all; the same for the whole plan."""
        found = self._allowed.get(entry.job)
        if found is None:
            found = self._allowed[entry.job] = [
                group
                for group in self.groups.values()
                if group.sample.total.holds(entry.need) and entry.allowed(group.sample)
            ]
        return found

    def _host(self, host_id: HostId) -> HostState:
        return self.group_of[host_id].hosts[host_id]

    def _cost(self, entry: Entry, host: HostState) -> tuple[float, float, HostId, HostState]:
        scarcity = self._group(host).scarcity
        wait = fetch_s(entry, host) + SCARCITY_COST_S * scarcity + host.penalty_s
        wait += (host.slowness - 1.0) * entry.run_s
        if host.id in entry.avoided:
            wait += AVOIDED_COST_S  # a further try there would say nothing new
        return (wait, host.free.cpus - entry.need.cpus, host.id, host)

    def _types_for(self, entry: Entry) -> list[tuple[Like, list[Group]]]:
        """By type, the least scarce first; spot machines apart from ordinary ones where some
        work needs those."""
        bound = entry.one_zone or entry.zone_limit is not None  # by where its tasks are by then
        known = None if bound else self._types.get(entry.job)
        if known is not None:
            return known
        types: dict[Like, list[Group]] = {}
        for group in self._suiting(entry):
            types.setdefault((group.key[0], group.scarcity), []).append(group)
        found = sorted(types.items(), key=lambda kind: kind[0][1])
        if not bound:
            self._types[entry.job] = found
        return found

    def _slots(self, need: Room, groups: list[Group]) -> list[float]:
        """When room for such a task frees up in the groups, one moment a task, as things
        stood when this was first asked; moments that are past stand for now."""
        key = (tuple(group.key for group in groups), need)
        found = self.slots.get(key)
        if found is None:
            found = []
            for group in groups:
                for host in group.hosts.values():
                    found.extend(host.moments(need))
            found.sort()
            self.slots[key] = found
        return found

    def _unclaimed(self, host: HostState) -> Room:
        """Free room that is not being cleared for somebody."""
        claimed = self.claimed.get(host.id)
        return host.free if claimed is None else host.free.minus(claimed)

    def _fits_now(self, entry: Entry, host: HostState) -> bool:
        return self._has_room(entry, host) and self._suits(entry, host)

    def _has_room(self, entry: Entry, host: HostState) -> bool:
        """On a machine of a group that suits the entry; asked for machine by machine."""
        if host.slowness > 1.0 and entry.patience_s < (host.slowness - 1.0) * entry.run_s:
            return False  # it would miss an aim there that it can still meet
        if host.closes_at < NEVER and self._closes(entry, host):
            return False
        return self._unclaimed(host).holds(entry.need)

    def _closes(self, entry: Entry, host: HostState) -> bool:
        """The machine goes out of service before a task begun now could end there."""
        return self.now + entry.lasts_s + fetch_s(entry, host) > host.closes_at

    def _suiting(self, entry: Entry) -> list[Group]:
        """Groups whose machines it may use as its job's tasks are placed just now."""
        return [g for g in self._groups_for(entry) if self._suits(entry, g.sample)]

    @staticmethod
    def _suits(entry: Entry, host: HostState) -> bool:
        if not entry.allowed(host):
            return False
        if entry.one_zone and entry.zones and host.zone not in entry.zones:
            return False
        limit = entry.zone_limit
        return limit is None or entry.zones.get(host.zone, 0) < limit

    def _backfills(self, entry: Entry, host: HostState) -> bool:
        """It ends by the shadow time, or fits the extra room."""
        hold = self.reserved[host.id]
        if hold.job == entry.job:
            return True
        if self.now + entry.lasts_s + fetch_s(entry, host) <= hold.shadow_at:
            return True
        return self._extra(host, hold).holds(entry.need)

    @staticmethod
    def _extra(host: HostState, hold: Reservation) -> Room:
        """What is left at the shadow time once the head has its room."""
        room = host.total.minus(hold.need)
        for run in host.runs:
            if run.tier is Tier.FOREGROUND and run.ends_at > hold.shadow_at:
                room = room.minus(run.need)
        return room

    def _start(self, entry: Entry, host: HostState, tier: Tier) -> HostState:
        task = TaskId(entry.job, entry.waiting.pop(0))
        self.plan.starts.append(Start(task, host.id, tier))
        host = self._mine(host)
        ends_at = self.now + entry.lasts_s + fetch_s(entry, host)
        attempt = AttemptId(task, PLANNED)
        host.add(
            RunState(attempt, entry.need, ends_at, self.now, tier, entry.rank, entry.team),
            entry.image,
        )
        if host.free.cpus < self.least_cpus - 1e-6:
            self._group(host).open.pop(host.id, None)
        entry.zones[host.zone] = entry.zones.get(host.zone, 0) + 1
        entry.team_slots -= 1
        self.idle_room -= entry.need.cpus
        room = self.team_room.get(entry.team)
        if room is not None:
            self.team_room[entry.team] = room.minus(entry.need)
        return host

    def _stop(self, host: HostState, run: RunState, reason: str) -> None:
        self._mine(host).change(run, replace(run, stopping=True, ends_at=self.now + SOON_S))
        self.stops_left -= 1
        self.plan.stops.append(Stop(run.id, host.id, run.saves, reason))

    def _team_allows(self, entry: Entry, tasks: int = 1) -> bool:
        room = self.team_room.get(entry.team)
        return room is None or room.copies(entry.need) >= tasks

    def _fits_at(self, need: Room, host: HostState, before: float = NEVER) -> float:
        """When it fits there; NEVER also stands for a time not before ``before``."""
        if not host.total.holds(need):
            return NEVER
        free = host.free
        if host.background:
            for run in host.runs:
                if run.tier is Tier.BACKGROUND and not run.stopping:
                    free = free.plus(run.need)
        if free.holds(need):
            return max(host.ready_at, self.now + SOON_S)
        if host.first_end >= before:
            return NEVER
        foreground = [r for r in host.runs if r.tier is Tier.FOREGROUND or r.stopping]
        for run in sorted(foreground, key=lambda r: r.ends_at):
            free = free.plus(run.need)
            if free.holds(need):
                return max(host.ready_at, run.ends_at, self.now)
        return NEVER


def fetch_s(entry: Entry, host: HostState) -> float:
    if entry.image in host.images:
        return 0.0
    return entry.image_gb * (1 + len(host.fetching)) / host.fetch_gb_per_s


def list_order(entry: Entry) -> tuple[float, ...]:
    guaranteed = 0.0 if entry.guaranteed else 1.0
    return (-float(entry.rank), float(entry.urgency), guaranteed, *entry.order)
