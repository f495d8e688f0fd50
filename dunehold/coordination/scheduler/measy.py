"""The walk of MEASY over machines of several shapes (see docs/design.md).

Step 1 starts entries in list order until one does not fit: the head. Step 2 holds room for
the head on the machine where it fits first (shadow time, extra room) and backfills later
entries. Step 3 runs what is left in the background tier, in room promised to the head,
shortest estimate first. Background runs are on the same list, and are lifted in place, or
moved, when it is their turn.

The tasks of an array are placed together: its machines are looked through once, the best
first, and each is filled. Room only shrinks while a plan is made, so what found none is
remembered, and whatever needs as much or more is not looked for again.
"""

from __future__ import annotations

from bisect import bisect_left
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
    NO_ROOM,
    Attempt,
    AttemptId,
    HostId,
    Rank,
    Room,
    TaskId,
    Tier,
    TypeName,
    Zone,
)

NEVER = float("inf")
SOON_S = 0.5
STICKINESS_S = 5.0
NO_AIM_S = 1e6
LONGEST_WAIT_S = 600.0  # stands for waits without an end in sight
SCARCITY_COST_S = 30.0
BACKGROUND_CHANCE = 0.5
AVOIDED_COST_S = 60.0
GIVE_BACK_S = 3.0  # work of the lowest rank makes way for what would wait longer
RESTART_S = 5.0  # to save, stop and begin again elsewhere
PLANNED = Attempt(0)  # stands for attempts that this very plan starts

GroupKey = tuple[TypeName, Zone, bool]


@dataclass(slots=True)
class _Group:
    """Machines of one type, zone and kind: whether a job may use them is asked once."""

    key: GroupKey
    sample: HostState
    scarcity: float
    hosts: dict[HostId, HostState] = field(default_factory=dict)
    open: dict[HostId, HostState] = field(default_factory=dict)  # have room for somebody


class _Walk:
    def __init__(self, snapshot: Snapshot, policy: Policy) -> None:
        self.policy = policy
        self.now = snapshot.now
        self.entries = sorted(snapshot.entries, key=_list_order)
        self.team_room = dict(snapshot.team_room)
        self.held = {hold.job: hold for hold in snapshot.held}
        self.reserved: dict[HostId, Reservation] = {}
        self.claimed: dict[HostId, Room] = {}  # room being cleared for somebody by stops
        self.plan = Plan()
        self.stops_left = policy.stops
        self.preempting_left = policy.preempting if policy.preemption else 0
        self.snapshot = snapshot
        self.least_cpus = min((entry.need.cpus for entry in self.entries), default=0.0)
        self.groups: dict[GroupKey, _Group] = {}
        # What work of the lowest rank may still take: others would have to wait until some
        # of it was stopped, each time that a job of theirs comes.
        self.idle_room = -snapshot.reserve_cpus
        self.own: set[HostId] = set()  # machines of which this plan has a copy of its own
        self.failed: dict[tuple[GroupKey, ...], list[Room]] = {}
        self.slots: dict[tuple[tuple[GroupKey, ...], Room], list[float]] = {}
        self.slots_taken: dict[TypeName, int] = {}  # by tasks that wait for such room
        self.promised: dict[TypeName, float] = {}  # the same in CPUs
        self.own_promise: dict[TypeName, float] = {}  # to the entry that was placed last
        self._borrowed: set[AttemptId] | None = None
        self._lowest: Rank | None = None
        for host in snapshot.hosts:
            key = (host.type, host.zone, host.spot)
            group = self.groups.get(key)
            if group is None:
                weight = snapshot.scarcity.get(host.type, 0.0)
                group = self.groups[key] = _Group(key, host, weight)
            group.hosts[host.id] = host
            if host.ready_at <= self.now:
                self.idle_room += max(0.0, host.free.cpus)
                if host.free.cpus >= self.least_cpus - 1e-6:
                    group.open[host.id] = host

    def _all_hosts(self) -> Iterator[HostState]:
        for group in self.groups.values():
            yield from group.hosts.values()

    def _group(self, host: HostState) -> _Group:
        return self.groups[host.type, host.zone, host.spot]

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

    def _groups_for(self, entry: Entry) -> list[_Group]:
        return [
            group
            for group in self.groups.values()
            if group.sample.total.holds(entry.need) and entry.allowed(group.sample)
        ]

    # -- steps -----------------------------------------------------------------------

    def run(self) -> Plan:
        leftovers: list[Entry] = []
        for entry in self.entries:
            self._start_entry(entry)
            if entry.waiting and not entry.broken:
                leftovers.append(entry)
        self._lift_background()
        if self.policy.background:
            for entry in sorted(leftovers, key=lambda e: e.run_s):
                if not entry.service and not entry.gang:
                    self._start_background(entry)
        return self.plan

    def _start_gang(self, entry: Entry) -> None:
        """Start all its tasks, or hold room for all of them."""
        zones = {group.key[1] for group in self.groups.values()}
        for group in [{zone} for zone in sorted(zones)] + ([] if entry.one_zone else [zones]):
            chosen = self._gang_hosts(entry, group)
            if len(chosen) == len(entry.waiting):
                for host in chosen:
                    self._start(entry, host, Tier.FOREGROUND)
                return
        if not self.reserved:
            self._hold_gang_room(entry)

    def _gang_hosts(self, entry: Entry, zones: set[Zone]) -> list[HostState]:
        """A machine for each task, as far as there are any in these zones."""
        chosen: list[HostState] = []
        per_zone: dict[Zone, int] = {}
        fitting = [h for h in self._all_hosts() if h.zone in zones and h.ready_at <= self.now]
        for host in sorted(fitting, key=lambda h: self._group(h).scarcity):
            if not self._fits_now(entry, host):
                continue
            if host.id in self.reserved and not self._backfills(entry, host):
                continue
            fits = self._unclaimed(host).copies(entry.need)
            if host.id in self.reserved:
                fits = min(fits, 1)
            limit = entry.zone_limit
            if limit is not None:
                fits = min(fits, limit - per_zone.get(host.zone, 0))
            fits = max(0, min(fits, len(entry.waiting) - len(chosen)))
            per_zone[host.zone] = per_zone.get(host.zone, 0) + fits
            chosen.extend([host] * fits)
        return chosen

    def _hold_gang_room(self, entry: Entry) -> None:
        """Reserve on the machines that free up first, until all its tasks have room."""
        left = len(entry.waiting)
        times = [
            (self._fits_at(entry.need, host), host)
            for group in self._groups_for(entry)
            for host in group.hosts.values()
            if self._suits(entry, host)
        ]
        holds: list[Reservation] = []
        for at, host in sorted(times, key=lambda pair: pair[0]):
            if left <= 0 or at == NEVER:
                break
            copies = min(left, host.total.copies(entry.need))
            left -= copies
            holds.append(Reservation(entry.job, host.id, entry.need.times(copies), at))
        if left > 0:
            return  # wider than the fleet as it is
        shadow = max((hold.shadow_at for hold in holds), default=0.0)
        for hold in holds:
            hold.shadow_at = shadow
            self.plan.reservations.append(hold)
            self.reserved[hold.host] = hold

    def _start_entry(self, entry: Entry) -> None:
        if entry.gang:
            if entry.team_slots >= len(entry.waiting) and self._team_allows(
                entry, len(entry.waiting)
            ):
                self._start_gang(entry)
            return
        if not self.reserved or self.policy.backfill:
            self._place(entry)
        if entry.broken or not entry.waiting:
            return
        if entry.team_slots <= 0 or not self._team_allows(entry):
            return  # a team at its limit waits for itself, not for room
        self._hold_room(entry)

    def _hold_room(self, entry: Entry) -> None:
        """Reserve for the head, and clear room for it where the rules of preemption allow."""
        head = len(self.reserved) < self.policy.reservations and not entry.service
        late, below = self._late(entry)
        if not head and not late:
            return
        shadow, host = self._shadow(entry)
        if head and host is not None:
            hold = Reservation(entry.job, host.id, entry.need, shadow)
            self.plan.reservations.append(hold)
            self.reserved[host.id] = hold
            # The background on that machine makes way as soon as that is all it takes.
            self._evict_background(entry, host)
        if late:
            self.preempting_left -= 1
            self._preempt(entry, shadow - self.now, late, below)

    def _late(self, entry: Entry) -> tuple[int, Rank]:
        """For how many of its tasks room must be cleared, and below which rank.

        Work of the lowest rank takes what is left, and gives it back as soon as others
        would wait for it; other work makes way for what would miss an aim.
        """
        none = (0, entry.rank)
        if self.preempting_left <= 0 or self.stops_left <= 0 or not self._could_preempt(entry):
            return none
        wanted = min(entry.team_slots, len(entry.waiting))
        if entry.patience_s < NO_AIM_S:
            late = wanted - self._in_time(entry, wanted, entry.patience_s)
            if late > 0:
                return late, entry.rank
        if entry.rank > self.lowest_rank == Rank.LOW:
            late = wanted - self._in_time(entry, wanted, min(entry.patience_s, GIVE_BACK_S))
            return max(0, late), Rank(Rank.LOW + 1)
        return none

    def _start_background(self, entry: Entry) -> None:
        if self.policy.backfill:
            # Everything else was found to be full on the way here.
            by_host = [self._host(hold.host) for hold in self.plan.reservations]
            hosts = [h for h in by_host if h.ready_at <= self.now and entry.allowed(h)]
        else:
            hosts = [h for group in self._groups_for(entry) for h in group.open.values()]
        costs = [
            self._cost(entry, host)
            for host in hosts
            if self._fits_now(entry, host) and self._worth_a_try(entry, host)
        ]
        for *_, host in sorted(costs, key=lambda cost: cost[:3]):
            while self._wanted(entry) and self._fits_now(entry, host):
                host = self._start(entry, host, Tier.BACKGROUND)

    def _worth_a_try(self, entry: Entry, host: HostState) -> bool:
        """Estimates are often wrong by half: what needs no more than twice the time until the
        reservation needs its room may still end before. What needs more is only cut off."""
        hold = self.reserved.get(host.id)
        ends_s = (entry.run_s + _fetch_s(entry, host)) * BACKGROUND_CHANCE
        return hold is None or self.now + ends_s <= hold.shadow_at

    def _host(self, host_id: HostId) -> HostState:
        return next(g.hosts[host_id] for g in self.groups.values() if host_id in g.hosts)

    def _lift_background(self) -> None:
        """Background runs that no reservation needs become foreground where they are."""
        if not self.policy.lifting:
            return
        moves = self.policy.moves
        for host in [host for host in self._all_hosts() if host.background]:
            hold = self.reserved.get(host.id)
            for run in host.runs:
                if run.tier is not Tier.BACKGROUND or run.stopping:
                    continue
                mine = self._mine(host)
                if (
                    hold is None
                    or run.ends_at <= hold.shadow_at
                    or self._extra(mine, hold).holds(run.need)
                ):
                    mine.change(run, replace(run, tier=Tier.FOREGROUND))
                    self.plan.lifts.append(run.id)
                elif run.saves and moves > 0 and self._free_elsewhere(host, run):
                    moves -= 1
                    mine.change(run, replace(run, stopping=True))
                    self.plan.stops.append(Stop(run.id, host.id, True, "move to foreground"))

    # -- placing ---------------------------------------------------------------------

    def _place(self, entry: Entry) -> None:
        """Start as many of its tasks as find room, machine by machine, the best first."""
        for _, _, _, host in self._candidates(entry):
            while self._takes(entry, host):
                # So many do better to leave this room to work that depends on it.
                if len(entry.waiting) <= self._better_waiting(entry, host):
                    return self._take_slots(entry)
                # Once it has the image, the best place for the next is the same machine.
                host = self._start(entry, host, Tier.FOREGROUND)
        self._take_slots(entry)

    def _takes(self, entry: Entry, host: HostState) -> bool:
        return (
            self._wanted(entry)
            and self._fits_now(entry, host)
            and (host.id not in self.reserved or self._backfills(entry, host))
        )

    def _wanted(self, entry: Entry) -> bool:
        if entry.rank == Rank.LOW and self.idle_room < entry.need.cpus:
            return False
        return bool(entry.waiting) and entry.team_slots > 0 and self._team_allows(entry)

    def _cost(self, entry: Entry, host: HostState) -> tuple[float, float, HostId, HostState]:
        scarcity = self._group(host).scarcity
        wait = _fetch_s(entry, host) + SCARCITY_COST_S * scarcity + host.penalty_s
        wait += (host.slowness - 1.0) * entry.run_s
        if host.id in entry.avoided:
            wait += AVOIDED_COST_S  # a further try there would say nothing new
        return (wait, host.free.cpus - entry.need.cpus, host.id, host)

    def _candidates(self, entry: Entry) -> list[tuple[float, float, HostId, HostState]]:
        """Machines that could take one of its tasks now, in the order of their cost."""
        groups = self._groups_for(entry)
        key = tuple(group.key for group in groups)
        failures = self.failed.setdefault(key, [])
        full = any(entry.need.holds(need) for need in failures)
        if full:
            places = [self._host(host) for host in self.reserved]
            hosts = [h for h in places if entry.allowed(h) and h.ready_at <= self.now]
        else:
            hosts = [h for group in groups for h in group.open.values()]
        found = []
        free_of_holds = False
        # Whether a need finds no room is told to others only if nothing else decided it.
        picky = bool(entry.zone_limit or entry.one_zone)
        for host in hosts:
            if not self._fits_now(entry, host):
                picky = picky or host.slowness > 1.0
                continue
            if host.id in self.reserved:
                if not self._backfills(entry, host):
                    continue
            else:
                free_of_holds = True
            found.append(self._cost(entry, host))
        if not full and not free_of_holds and not picky:
            failures.append(entry.need)
        found.sort(key=lambda cost: cost[:3])
        return found

    def _better_waiting(self, entry: Entry, best: HostState) -> int:
        """How many of its tasks soon find room that less other work depends on.

        Room that frees up is counted once: tasks earlier on the list have taken theirs.
        """
        scarcity = self._group(best).scarcity
        if scarcity <= 0.0:
            return 0
        cost = self._cost(entry, best)[0]
        number = 0
        for kind, groups in self._types_for(entry):
            weight = groups[0].scarcity
            if weight < scarcity:
                limit = min(entry.patience_s, cost - SCARCITY_COST_S * weight)
                slots = bisect_left(self._slots(entry.need, groups), self.now + limit)
                number += max(0, slots - self.slots_taken.get(kind, 0))
        return number

    def _take_slots(self, entry: Entry) -> None:
        """What waits will take the room that frees up first, the least scarce before."""
        left = max(0, min(len(entry.waiting), entry.team_slots))
        self.own_promise = {}
        for kind, groups in sorted(self._types_for(entry), key=lambda t: t[1][0].scarcity):
            copies = groups[0].sample.total.copies(entry.need)
            taken = min(left, copies * sum(len(group.hosts) for group in groups))
            self.slots_taken[kind] = self.slots_taken.get(kind, 0) + taken
            self.own_promise[kind] = taken * entry.need.cpus
            self.promised[kind] = self.promised.get(kind, 0.0) + taken * entry.need.cpus
            left -= taken

    def _types_for(self, entry: Entry) -> list[tuple[TypeName, list[_Group]]]:
        types: dict[TypeName, list[_Group]] = {}
        for group in self._groups_for(entry):
            if self._suits(entry, group.sample):
                types.setdefault(group.key[0], []).append(group)
        return list(types.items())

    def _slots(self, need: Room, groups: list[_Group]) -> list[float]:
        """When room for such a task frees up in the groups, one moment a task, as things
        stood when this was first asked."""
        key = (tuple(group.key for group in groups), need)
        found = self.slots.get(key)
        if found is None:
            found = []
            for host in [host for group in groups for host in group.hosts.values()]:
                free = host.free
                fits = free.copies(need)
                found.extend([max(host.ready_at, self.now)] * fits)
                for run in sorted(host.runs, key=lambda r: r.ends_at):
                    free = free.plus(run.need)
                    more = free.copies(need) - fits
                    found.extend([max(host.ready_at, run.ends_at)] * more)
                    fits += more
            found.sort()
            self.slots[key] = found
        return found

    def _unclaimed(self, host: HostState) -> Room:
        """Free room that is not being cleared for somebody."""
        claimed = self.claimed.get(host.id)
        return host.free if claimed is None else host.free.minus(claimed)

    def _fits_now(self, entry: Entry, host: HostState) -> bool:
        if host.slowness > 1.0 and entry.patience_s < (host.slowness - 1.0) * entry.run_s:
            return False  # it would miss an aim there that it can still meet
        return self._unclaimed(host).holds(entry.need) and self._suits(entry, host)

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
        if self.now + entry.run_s + _fetch_s(entry, host) <= hold.shadow_at:
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
        ends_at = self.now + entry.run_s + _fetch_s(entry, host)
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

    def _team_allows(self, entry: Entry, tasks: int = 1) -> bool:
        room = self.team_room.get(entry.team)
        return room is None or room.copies(entry.need) >= tasks

    # -- reserving ---------------------------------------------------------------------

    def _shadow(self, entry: Entry) -> tuple[float, HostState | None]:
        """When the entry fits first, if the foreground ends as estimated, and where.

        The place is None when that is on a machine promised to another head.
        """
        best: HostState | None = None
        best_at = NEVER
        held = self.held.get(entry.job)
        for group in self._groups_for(entry):
            for host in group.hosts.values():
                if not self._suits(entry, host):
                    continue
                hold = self.reserved.get(host.id)
                # On a machine that is promised already it fits once both fit.
                need = entry.need if hold is None else entry.need.plus(hold.need)
                if held is not None and held.host == host.id:
                    # An overrunning estimate alone must not send the reservation round the
                    # fleet: each new place would start the wait again.
                    at = self._fits_at(need, host) - STICKINESS_S
                else:
                    at = self._fits_at(need, host, best_at)
                if at < best_at:
                    best, best_at = (host if hold is None else None), at
        return max(best_at, self.now), best

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

    def _evict_background(self, entry: Entry, host: HostState) -> None:
        free = host.free
        victims = []
        for run in sorted(host.runs, key=lambda r: -r.began_at):
            if free.holds(entry.need):
                break
            if run.stopping:
                free = free.plus(run.need)
            elif run.tier is Tier.BACKGROUND:
                free = free.plus(run.need)
                victims.append(run)
        if free.holds(entry.need):
            for run in victims:
                self._stop(host, run, f"room reserved for {entry.job}")

    # -- preempting --------------------------------------------------------------------

    def _could_preempt(self, entry: Entry) -> bool:
        """Is there any work that may be stopped for it?"""
        return entry.rank > self.lowest_rank or (entry.guaranteed and bool(self.borrowed))

    @property
    def lowest_rank(self) -> Rank:
        if self._lowest is None:
            ranks = (host.lowest for host in self._all_hosts())
            self._lowest = min(ranks, default=Rank.PRODUCTION)
        return self._lowest

    @property
    def borrowed(self) -> set[AttemptId]:
        if self._borrowed is None:
            self._borrowed = self.snapshot.borrowed()
        return self._borrowed

    def _may_preempt(self, entry: Entry, run: RunState, below: Rank) -> bool:
        """Lower priority, or borrowed room that a team needs for its guarantee."""
        if run.stopping or run.gang or run.id.attempt == PLANNED:
            return False
        if run.rank < below:
            return True
        return (
            below == entry.rank
            and entry.guaranteed
            and run.team != entry.team
            and run.id in self.borrowed
        )

    def _in_time(self, entry: Entry, wanted: int, within_s: float) -> int:
        """How many of its tasks find room in time, with nothing stopped.

        What frees up is promised to tasks earlier on the list first: counted on by every
        job, the same room would let all of them wait, and stop nothing for any.
        """
        # By CPUs alone, which jobs of a class share: this is looked up for each kind of need.
        need = entry.need._replace(memory_gb=0.0)
        limit = self.now + within_s
        count = 0.0
        for kind, groups in self._types_for(entry):
            slots = bisect_left(self._slots(need, groups), limit)
            before = self.promised.get(kind, 0.0) - self.own_promise.get(kind, 0.0)
            count += max(0.0, slots - before / max(need.cpus, 0.01))
        return min(wanted, int(count))

    def _preempt(self, entry: Entry, shadow_s: float, late: int, below: Rank) -> None:
        """Clear room for so many tasks, where the least work is lost.

        Work is stopped only where less of it is lost than the stop spares in waiting.
        """
        wait = min(max(shadow_s, entry.run_s), LONGEST_WAIT_S)
        worth = wait * max(entry.need.cpus, 1.0)
        options: list[tuple[float, HostId, HostState, list[RunState]]] = []
        for group in self._groups_for(entry):
            for host in group.hosts.values():
                if host.ready_at > self.now or not self._suits(entry, host):
                    continue
                if host.lowest >= below and not (below == entry.rank and entry.guaranteed):
                    continue  # nothing there may be stopped for it
                if host.free.holds(entry.need):
                    continue  # it is held for the head, which goes first
                choice = self._victims(entry, host, below)
                if choice is not None and choice[0] <= worth:
                    options.append((choice[0], host.id, host, choice[1]))
        options.sort(key=lambda option: option[:2])
        for _, _, host, victims in options[:late]:
            if len(victims) > self.stops_left:
                return
            self.claimed[host.id] = self.claimed.get(host.id, NO_ROOM).plus(entry.need)
            for run in victims:
                self._stop(host, run, f"room for {entry.job}")

    def _victims(
        self, entry: Entry, host: HostState, below: Rank
    ) -> tuple[float, list[RunState]] | None:
        """The work lost, and whose, if this machine made room; None if it can't."""
        candidates = [run for run in host.runs if self._may_preempt(entry, run, below)]
        free = self._unclaimed(host)
        for run in host.runs:
            if run.stopping:
                free = free.plus(run.need)
        victims: list[RunState] = []
        loss = 0.0
        for run in sorted(candidates, key=lambda r: (not r.saves, -r.began_at)):
            if free.holds(entry.need):
                break
            free = free.plus(run.need)
            victims.append(run)
            lost_s = RESTART_S if run.saves else self.now - run.began_at + RESTART_S
            loss += lost_s * run.need.cpus
        return (loss, victims) if free.holds(entry.need) else None

    def _stop(self, host: HostState, run: RunState, reason: str) -> None:
        self._mine(host).change(run, replace(run, stopping=True, ends_at=self.now + SOON_S))
        self.stops_left -= 1
        self.plan.stops.append(Stop(run.id, host.id, run.saves, reason))

    def _free_elsewhere(self, host: HostState, run: RunState) -> bool:
        return any(
            other.id != host.id
            and other.ready_at <= self.now
            and other.id not in self.reserved
            and other.free.holds(run.need)
            for other in self._all_hosts()
        )


def _fetch_s(entry: Entry, host: HostState) -> float:
    if entry.image in host.images:
        return 0.0
    return entry.image_gb * (1 + len(host.fetching)) / host.fetch_gb_per_s


def _list_order(entry: Entry) -> tuple[float, ...]:
    return (-float(entry.rank), 0.0 if entry.guaranteed else 1.0, *entry.order)


def plan(snapshot: Snapshot, policy: Policy) -> Plan:
    """Decide what to start, stop and lift. The entries are used up, the machines are not."""
    return _Walk(snapshot, policy).run()
