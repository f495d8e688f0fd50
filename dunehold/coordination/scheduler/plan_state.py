"""The state of the hosts while a plan is made: free room, where a task fits, and when.

Free room only shrinks while a plan is made. A need that found no room is therefore remembered,
and no room is searched again for needs of the same size or larger.
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

NEVER = float("inf")  # the time of something that does not happen
STOP_DELAY_S = 0.5  # from the decision to stop a run until its room is free
SCARCITY_COST_S = 30.0  # cost of a start on a machine kind whose scarcity is 1
AVOIDED_COST_S = 60.0  # cost of a start on a host where a task of the job failed
PLANNED_ATTEMPT = Attempt(0)  # stands for attempts that this plan itself starts

GroupKey = tuple[TypeName, Zone, bool]
TypeScarcity = tuple[TypeName, float]  # a machine type and the scarcity of its hosts


@dataclass(slots=True)
class HostGroup:
    """Hosts of one machine type and zone, either all spot or all ordinary.

    Whether a job may use them is checked only once, for ``sample``.
    """

    key: GroupKey
    sample: HostState
    scarcity: float
    hosts: dict[HostId, HostState] = field(default_factory=dict)
    # Hosts that are ready and have enough free CPUs for the smallest need of the plan.
    open_hosts: dict[HostId, HostState] = field(default_factory=dict)


class PlanState:
    """What a plan has decided so far, and the hosts as these decisions leave them."""

    def __init__(self, snapshot: Snapshot, policy: Policy) -> None:
        self.policy = policy
        self.now = snapshot.now
        self.entries = sorted(snapshot.entries, key=list_order)
        self.team_room = dict(snapshot.team_room)
        self.previous_reservations = {
            reservation.job: reservation for reservation in snapshot.previous_reservations
        }
        self.reserved: dict[HostId, Reservation] = {}
        self.claimed: dict[HostId, Resources] = {}  # room that stops are clearing for an entry
        self.plan = Plan()
        self.stops_left = policy.max_stops
        self.preemptors_left = policy.max_preemptors if policy.preemption else 0
        self.snapshot = snapshot
        self.min_need_cpus = min((entry.need.cpus for entry in self.entries), default=0.0)
        self.groups: dict[GroupKey, HostGroup] = {}
        # CPUs that work of the lowest rank may still take. It leaves the reserve free, because
        # otherwise each new job of a higher rank would have to wait until some of it was
        # stopped.
        self.low_rank_cpus_left = -snapshot.reserve_cpus
        self.copied_hosts: set[HostId] = set()  # hosts that this plan has its own copy of
        # By groups of hosts, needs that found no room on any host without a reservation.
        self.unplaceable_needs: dict[tuple[GroupKey, ...], list[Resources]] = {}
        self.slot_times_cache: dict[tuple[tuple[GroupKey, ...], Resources], list[float]] = {}
        # Future room that is promised to entries which wait for it: in tasks and in CPUs.
        self.slots_taken: dict[TypeScarcity, int] = {}
        self.promised_cpus: dict[TypeScarcity, float] = {}
        # The part of promised_cpus that belongs to the entry that was placed last.
        self.last_promised_cpus: dict[TypeScarcity, float] = {}
        self._borrowed_runs: set[AttemptId] | None = None
        self._lowest_rank: Rank | None = None
        self.group_of: dict[HostId, HostGroup] = {}
        self._allowed_groups_cache: dict[JobId, list[HostGroup]] = {}
        self._types_cache: dict[JobId, list[tuple[TypeScarcity, list[HostGroup]]]] = {}
        for host in snapshot.hosts:
            key = (host.type, host.zone, host.spot)
            group = self.groups.get(key)
            if group is None:
                kind_scarcity = snapshot.scarcity.get((host.type, host.spot), 0.0)
                group = self.groups[key] = HostGroup(key, host, kind_scarcity)
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
        """Returns a copy of the host that this plan may modify."""
        group = self._group(host)
        if host.id in self.copied_hosts:
            return group.hosts[host.id]
        self.copied_hosts.add(host.id)
        copy = group.hosts[host.id] = host.copy()
        if host.id in group.open_hosts:
            group.open_hosts[host.id] = copy
        return copy

    def _allowed_groups(self, entry: Entry) -> list[HostGroup]:
        """Groups that the job may use and that are large enough.

        The result does not change while the plan is made.
        """
        allowed_groups = self._allowed_groups_cache.get(entry.job)
        if allowed_groups is None:
            allowed_groups = self._allowed_groups_cache[entry.job] = [
                group
                for group in self.groups.values()
                if group.sample.total.holds(entry.need) and entry.allowed(group.sample)
            ]
        return allowed_groups

    def _host(self, host_id: HostId) -> HostState:
        return self.group_of[host_id].hosts[host_id]

    def _cost(self, entry: Entry, host: HostState) -> tuple[float, float, HostId, HostState]:
        """Sort key of hosts for an entry, and the host.

        The first item is the cost of a start there in seconds. At equal cost, the host with
        the fewest CPUs left goes first.
        """
        scarcity = self._group(host).scarcity
        cost_s = fetch_s(entry, host) + SCARCITY_COST_S * scarcity + host.penalty_s
        cost_s += (host.slowness - 1.0) * entry.run_s
        if host.id in entry.avoided_hosts:
            # A second failure there would not tell whether the job or the host is at fault.
            cost_s += AVOIDED_COST_S
        return (cost_s, host.free.cpus - entry.need.cpus, host.id, host)

    def _suitable_groups_by_type(
        self, entry: Entry
    ) -> list[tuple[TypeScarcity, list[HostGroup]]]:
        """Suitable groups by machine type, the least scarce type first.

        Spot and ordinary hosts of a type are listed apart if their scarcity differs, that is
        if some work needs ordinary ones.
        """
        # With zone constraints the result depends on the tasks placed so far.
        zone_bound = entry.one_zone or entry.zone_limit is not None
        cached = None if zone_bound else self._types_cache.get(entry.job)
        if cached is not None:
            return cached
        types: dict[TypeScarcity, list[HostGroup]] = {}
        for group in self._suitable_groups(entry):
            types.setdefault((group.key[0], group.scarcity), []).append(group)
        ordered = sorted(types.items(), key=lambda kind: kind[0][1])
        if not zone_bound:
            self._types_cache[entry.job] = ordered
        return ordered

    def _slot_times(self, need: Resources, groups: list[HostGroup]) -> list[float]:
        """Times at which room for each further task with this need is free in the groups.

        They are sorted, and show the state at the first call with the same arguments. A time
        in the past means now.
        """
        key = (tuple(group.key for group in groups), need)
        times = self.slot_times_cache.get(key)
        if times is None:
            times = []
            for group in groups:
                for host in group.hosts.values():
                    times.extend(host.free_slot_times(need))
            times.sort()
            self.slot_times_cache[key] = times
        return times

    def _unclaimed(self, host: HostState) -> Resources:
        """Free room of the host, less the room that stops are clearing for other entries."""
        claimed = self.claimed.get(host.id)
        return host.free if claimed is None else host.free.minus(claimed)

    def _fits_now(self, entry: Entry, host: HostState) -> bool:
        return self._has_room(entry, host) and self._suits(entry, host)

    def _has_room(self, entry: Entry, host: HostState) -> bool:
        """Whether a task can start on this host now.

        This checks what differs between the hosts of a group. That the group suits the entry
        is checked by the caller.
        """
        if host.slowness > 1.0 and entry.slack_s < (host.slowness - 1.0) * entry.run_s:
            return False  # it would miss an objective that it can still meet elsewhere
        if host.out_of_service_at < NEVER and self._outlasts_host(entry, host):
            return False
        return self._unclaimed(host).holds(entry.need)

    def _outlasts_host(self, entry: Entry, host: HostState) -> bool:
        """Whether the host goes out of service before a task started now would end."""
        return self.now + entry.occupancy_s + fetch_s(entry, host) > host.out_of_service_at

    def _suitable_groups(self, entry: Entry) -> list[HostGroup]:
        """Groups that the job may use, given where its tasks are placed so far."""
        return [g for g in self._allowed_groups(entry) if self._suits(entry, g.sample)]

    @staticmethod
    def _suits(entry: Entry, host: HostState) -> bool:
        """Whether the job may use hosts of this group, given where its tasks are placed."""
        if not entry.allowed(host):
            return False
        if entry.one_zone and entry.tasks_by_zone and host.zone not in entry.tasks_by_zone:
            return False
        limit = entry.zone_limit
        return limit is None or entry.tasks_by_zone.get(host.zone, 0) < limit

    def _can_backfill(self, entry: Entry, host: HostState) -> bool:
        """Whether a task may start on a host with a reservation.

        It may if the reservation belongs to the same job, if the task ends by the shadow time,
        or if it fits the extra room.
        """
        reservation = self.reserved[host.id]
        if reservation.job == entry.job:
            return True
        if self.now + entry.occupancy_s + fetch_s(entry, host) <= reservation.shadow_at:
            return True
        return self._extra_room(host, reservation).holds(entry.need)

    @staticmethod
    def _extra_room(host: HostState, reservation: Reservation) -> Resources:
        """The room that is left at the shadow time once the head has taken its own."""
        room = host.total.minus(reservation.need)
        for run in host.runs:
            if run.tier is Tier.FOREGROUND and run.ends_at > reservation.shadow_at:
                room = room.minus(run.need)
        return room

    def _start(self, entry: Entry, host: HostState, tier: Tier) -> HostState:
        """Adds the start of the entry's next task to the plan, and returns the changed host."""
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
        """Adds the stop of a run to the plan."""
        self._writable_host(host).replace_run(
            run, replace(run, stopping=True, ends_at=self.now + STOP_DELAY_S)
        )
        self.stops_left -= 1
        self.plan.stops.append(Stop(run.id, host.id, run.resumable, reason))

    def _team_allows(self, entry: Entry, tasks: int = 1) -> bool:
        """Whether the limit of the team leaves room for this number of tasks."""
        room = self.team_room.get(entry.team)
        return room is None or room.count_fitting(entry.need) >= tasks

    def _fits_at(self, need: Resources, host: HostState, before: float = NEVER) -> float:
        """The earliest time at which the need fits the host; NEVER if it never does.

        Room of background runs counts as free, because they can be stopped. The search is cut
        short with NEVER if no foreground run ends earlier than ``before``.
        """
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
    """Seconds to fetch the entry's image, while fetches in progress share the rate."""
    if entry.image in host.images:
        return 0.0
    return entry.image_gb * (1 + len(host.fetching_images)) / host.fetch_gb_per_s


def list_order(entry: Entry) -> tuple[float, ...]:
    """Sort key of the list: rank, urgency, guarantee, then the entry's own order."""
    guaranteed = 0.0 if entry.guaranteed else 1.0
    return (-float(entry.rank), float(entry.urgency), guaranteed, *entry.order)
