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
    Resources,
    TaskId,
    Tier,
    TypeName,
    Zone,
)

NEVER = float("inf")
STOP_DELAY_S = 0.5
SCARCITY_COST_S = 30.0
AVOIDED_COST_S = 60.0
PLANNED_ATTEMPT = Attempt(0)  # stands for attempts that this very plan starts

GroupKey = tuple[TypeName, Zone, bool]
TypeScarcity = tuple[TypeName, float]  # a type, and how much other work needs its machines


@dataclass(slots=True)
class HostGroup:
    """Machines of one type, zone and kind: whether a job may use them is asked once."""

    key: GroupKey
    sample: HostState
    scarcity: float
    hosts: dict[HostId, HostState] = field(default_factory=dict)
    open_hosts: dict[HostId, HostState] = field(default_factory=dict)  # have room for somebody


class PlanState:
    def __init__(self, snapshot: Snapshot, policy: Policy) -> None:
        self.policy = policy
        self.now = snapshot.now
        self.entries = sorted(snapshot.entries, key=list_order)
        self.team_room = dict(snapshot.team_room)
        self.previous_reservations = {hold.job: hold for hold in snapshot.previous_reservations}
        self.reserved: dict[HostId, Reservation] = {}
        self.claimed: dict[HostId, Resources] = {}  # room being cleared for somebody by stops
        self.plan = Plan()
        self.stops_left = policy.max_stops
        self.preemptors_left = policy.max_preemptors if policy.preemption else 0
        self.snapshot = snapshot
        self.min_need_cpus = min((entry.need.cpus for entry in self.entries), default=0.0)
        self.groups: dict[GroupKey, HostGroup] = {}
        # What work of the lowest rank may still take: others would have to wait until some
        # of it was stopped, each time that a job of theirs comes.
        self.low_rank_cpus_left = -snapshot.reserve_cpus
        self.copied_hosts: set[HostId] = (
            set()
        )  # machines of which this plan has a copy of its own
        self.unplaceable_needs: dict[tuple[GroupKey, ...], list[Resources]] = {}
        self.slot_times_cache: dict[tuple[tuple[GroupKey, ...], Resources], list[float]] = {}
        self.slots_taken: dict[TypeScarcity, int] = {}  # by tasks that wait for such room
        self.promised_cpus: dict[TypeScarcity, float] = {}  # the same in CPUs
        self.last_promised_cpus: dict[
            TypeScarcity, float
        ] = {}  # to the entry that was placed last
        self._borrowed_runs: set[AttemptId] | None = None
        self._lowest_rank: Rank | None = None
        self.group_of: dict[HostId, HostGroup] = {}
        self._allowed_groups_cache: dict[JobId, list[HostGroup]] = {}
        self._types_cache: dict[JobId, list[tuple[TypeScarcity, list[HostGroup]]]] = {}
        for host in snapshot.hosts:
            key = (host.type, host.zone, host.spot)
            group = self.groups.get(key)
            if group is None:
                weight = snapshot.scarcity.get((host.type, host.spot), 0.0)
                group = self.groups[key] = HostGroup(key, host, weight)
            group.hosts[host.id] = host
            self.group_of[host.id] = group
            if host.ready_at <= self.now:
                self.low_rank_cpus_left += max(0.0, host.free.cpus)
                if host.free.cpus >= self.min_need_cpus - 1e-6:
                    group.open_hosts[host.id] = host

    def _all_hosts(self) -> Iterator[HostState]:
        for group in self.groups.values():
            yield from group.hosts.values()

    def _group(self, host: HostState) -> HostGroup:
        return self.group_of[host.id]

    def _writable_host(self, host: HostState) -> HostState:
        """A copy that this plan may write to."""
        group = self._group(host)
        if host.id in self.copied_hosts:
            return group.hosts[host.id]
        self.copied_hosts.add(host.id)
        copy = group.hosts[host.id] = host.copy()
        if host.id in group.open_hosts:
            group.open_hosts[host.id] = copy
        return copy

    def _allowed_groups(self, entry: Entry) -> list[HostGroup]:
        """What its job may use at all; the same for the whole plan."""
        found = self._allowed_groups_cache.get(entry.job)
        if found is None:
            found = self._allowed_groups_cache[entry.job] = [
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
        if host.id in entry.avoided_hosts:
            wait += AVOIDED_COST_S  # a further try there would say nothing new
        return (wait, host.free.cpus - entry.need.cpus, host.id, host)

    def _suitable_groups_by_type(
        self, entry: Entry
    ) -> list[tuple[TypeScarcity, list[HostGroup]]]:
        """By type, the least scarce first; spot machines apart from ordinary ones where some
        work needs those."""
        bound = entry.one_zone or entry.zone_limit is not None  # by where its tasks are by then
        known = None if bound else self._types_cache.get(entry.job)
        if known is not None:
            return known
        types: dict[TypeScarcity, list[HostGroup]] = {}
        for group in self._suitable_groups(entry):
            types.setdefault((group.key[0], group.scarcity), []).append(group)
        found = sorted(types.items(), key=lambda kind: kind[0][1])
        if not bound:
            self._types_cache[entry.job] = found
        return found

    def _slot_times(self, need: Resources, groups: list[HostGroup]) -> list[float]:
        """When room for such a task frees up in the groups, one moment a task, as things
        stood when this was first asked; moments that are past stand for now."""
        key = (tuple(group.key for group in groups), need)
        found = self.slot_times_cache.get(key)
        if found is None:
            found = []
            for group in groups:
                for host in group.hosts.values():
                    found.extend(host.free_slot_times(need))
            found.sort()
            self.slot_times_cache[key] = found
        return found

    def _unclaimed(self, host: HostState) -> Resources:
        """Free room that is not being cleared for somebody."""
        claimed = self.claimed.get(host.id)
        return host.free if claimed is None else host.free.minus(claimed)

    def _fits_now(self, entry: Entry, host: HostState) -> bool:
        return self._has_room(entry, host) and self._suits(entry, host)

    def _has_room(self, entry: Entry, host: HostState) -> bool:
        """On a machine of a group that suits the entry; asked for machine by machine."""
        if host.slowness > 1.0 and entry.slack_s < (host.slowness - 1.0) * entry.run_s:
            return False  # it would miss an aim there that it can still meet
        if host.out_of_service_at < NEVER and self._outlasts_host(entry, host):
            return False
        return self._unclaimed(host).holds(entry.need)

    def _outlasts_host(self, entry: Entry, host: HostState) -> bool:
        """The machine goes out of service before a task begun now could end there."""
        return self.now + entry.occupancy_s + fetch_s(entry, host) > host.out_of_service_at

    def _suitable_groups(self, entry: Entry) -> list[HostGroup]:
        """Groups whose machines it may use as its job's tasks are placed just now."""
        return [g for g in self._allowed_groups(entry) if self._suits(entry, g.sample)]

    @staticmethod
    def _suits(entry: Entry, host: HostState) -> bool:
        if not entry.allowed(host):
            return False
        if entry.one_zone and entry.tasks_by_zone and host.zone not in entry.tasks_by_zone:
            return False
        limit = entry.zone_limit
        return limit is None or entry.tasks_by_zone.get(host.zone, 0) < limit

    def _can_backfill(self, entry: Entry, host: HostState) -> bool:
        """It ends by the shadow time, or fits the extra room."""
        hold = self.reserved[host.id]
        if hold.job == entry.job:
            return True
        if self.now + entry.occupancy_s + fetch_s(entry, host) <= hold.shadow_at:
            return True
        return self._extra_room(host, hold).holds(entry.need)

    @staticmethod
    def _extra_room(host: HostState, hold: Reservation) -> Resources:
        """What is left at the shadow time once the head has its room."""
        room = host.total.minus(hold.need)
        for run in host.runs:
            if run.tier is Tier.FOREGROUND and run.ends_at > hold.shadow_at:
                room = room.minus(run.need)
        return room

    def _start(self, entry: Entry, host: HostState, tier: Tier) -> HostState:
        task = TaskId(entry.job, entry.waiting.pop(0))
        self.plan.starts.append(Start(task, host.id, tier))
        host = self._writable_host(host)
        ends_at = self.now + entry.occupancy_s + fetch_s(entry, host)
        attempt = AttemptId(task, PLANNED_ATTEMPT)
        host.add_run(
            RunState(attempt, entry.need, ends_at, self.now, tier, entry.rank, entry.team),
            entry.image,
        )
        if host.free.cpus < self.min_need_cpus - 1e-6:
            self._group(host).open_hosts.pop(host.id, None)
        entry.tasks_by_zone[host.zone] = entry.tasks_by_zone.get(host.zone, 0) + 1
        entry.team_slots -= 1
        self.low_rank_cpus_left -= entry.need.cpus
        room = self.team_room.get(entry.team)
        if room is not None:
            self.team_room[entry.team] = room.minus(entry.need)
        return host

    def _stop(self, host: HostState, run: RunState, reason: str) -> None:
        self._writable_host(host).replace_run(
            run, replace(run, stopping=True, ends_at=self.now + STOP_DELAY_S)
        )
        self.stops_left -= 1
        self.plan.stops.append(Stop(run.id, host.id, run.resumable, reason))

    def _team_allows(self, entry: Entry, tasks: int = 1) -> bool:
        room = self.team_room.get(entry.team)
        return room is None or room.count_fitting(entry.need) >= tasks

    def _fits_at(self, need: Resources, host: HostState, before: float = NEVER) -> float:
        """When it fits there; NEVER also stands for a time not before ``before``."""
        if not host.total.holds(need):
            return NEVER
        free = host.free
        if host.has_background:
            for run in host.runs:
                if run.tier is Tier.BACKGROUND and not run.stopping:
                    free = free.plus(run.need)
        if free.holds(need):
            return max(host.ready_at, self.now + STOP_DELAY_S)
        if host.first_foreground_end_at >= before:
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
    return entry.image_gb * (1 + len(host.fetching_images)) / host.fetch_gb_per_s


def list_order(entry: Entry) -> tuple[float, ...]:
    guaranteed = 0.0 if entry.guaranteed else 1.0
    return (-float(entry.rank), float(entry.urgency), guaranteed, *entry.order)
