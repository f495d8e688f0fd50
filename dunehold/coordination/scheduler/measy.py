"""The walk of MEASY over machines of several shapes (see docs/design.md).

Step 1 starts entries in list order until one does not fit: the head. Step 2 holds room for
the head on the machine where it fits first (shadow time, extra room) and backfills later
entries. Step 3 runs what is left in the background tier, in room promised to the head,
shortest estimate first. Background runs are on the same list, and are lifted in place, or
moved, when it is their turn.
"""

from __future__ import annotations

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
    Room,
    TaskId,
    Tier,
    Zone,
)

NEVER = float("inf")
STICKINESS_S = 5.0
NO_AIM_S = 1e6
LONGEST_WAIT_S = 600.0  # stands for waits without an end in sight
SCARCITY_COST_S = 30.0
PLANNED = Attempt(0)  # stands for attempts that this very plan starts


class _Walk:
    def __init__(self, snapshot: Snapshot, policy: Policy) -> None:
        self.policy = policy
        self.hosts = snapshot.hosts
        self.entries = sorted(snapshot.entries, key=_list_order)
        self.team_room = dict(snapshot.team_room)
        self.held = {hold.job: hold for hold in snapshot.held}
        self.reserved: dict[HostId, Reservation] = {}
        self.claimed: dict[HostId, Room] = {}  # room being cleared for somebody by stops
        self.plan = Plan()
        self.stops_left = policy.stops

    # -- steps -----------------------------------------------------------------------

    def run(self) -> Plan:
        leftovers: list[Entry] = []
        for entry in self.entries:
            self._start_entry(entry)
            if entry.waiting:
                leftovers.append(entry)
        self._lift_background()
        if self.policy.background:
            for entry in sorted(leftovers, key=lambda e: e.run_s):
                if not entry.service and not entry.gang:
                    self._start_background(entry)
        return self.plan

    def _start_gang(self, entry: Entry) -> None:
        """Start all its tasks, or hold room for all of them."""
        zones = {host.zone for host in self.hosts}
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
        fitting = [h for h in self.hosts if h.zone in zones and h.ready_s <= 0]
        for host in sorted(fitting, key=lambda h: h.scarcity):
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
            for host in self.hosts
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
        shadow = max((hold.shadow_s for hold in holds), default=0.0)
        for hold in holds:
            hold.shadow_s = shadow
            self.plan.reservations.append(hold)
            self.reserved[hold.host] = hold

    def _start_entry(self, entry: Entry) -> None:
        if entry.gang:
            if entry.team_slots >= len(entry.waiting) and self._team_allows(
                entry, len(entry.waiting)
            ):
                self._start_gang(entry)
            return
        blocked_by_head = bool(self.reserved) and not self.policy.backfill
        while entry.waiting and entry.team_slots > 0 and self._team_allows(entry):
            host = None if blocked_by_head else self._best_host(entry)
            if host is None:
                break
            self._start(entry, host, Tier.FOREGROUND)
        if not entry.waiting or entry.team_slots <= 0 or not self._team_allows(entry):
            return  # a team at its limit waits for itself, not for room
        self._hold_room(entry)

    def _hold_room(self, entry: Entry) -> None:
        """Reserve for the head, and clear room for it where the rules of preemption allow."""
        shadow, host = self._shadow(entry)
        if (
            len(self.reserved) < self.policy.reservations
            and not entry.service
            and host is not None
        ):
            hold = Reservation(entry.job, host.id, entry.need, shadow)
            self.plan.reservations.append(hold)
            self.reserved[host.id] = hold
            # The background on that machine makes way as soon as that is all it takes.
            self._evict_background(entry, host)
        if self.policy.preemption and entry.patience_s < NO_AIM_S:
            late = min(entry.team_slots, len(entry.waiting)) - self._in_time(entry)
            for _ in range(late):
                if self.stops_left <= 0 or not self._preempt(entry, shadow):
                    break

    def _start_background(self, entry: Entry) -> None:
        while entry.waiting and entry.team_slots > 0 and self._team_allows(entry):
            host = self._best_host(entry, background=True)
            if host is None:
                return
            self._start(entry, host, Tier.BACKGROUND)

    def _lift_background(self) -> None:
        """Background runs that no reservation needs become foreground where they are."""
        moves = self.policy.moves
        for host in self.hosts:
            hold = self.reserved.get(host.id)
            for run in host.runs:
                if run.tier is not Tier.BACKGROUND or run.stopping:
                    continue
                if not self.policy.lifting:
                    continue
                if (
                    hold is None
                    or run.ends_s <= hold.shadow_s
                    or self._extra(host, hold).holds(run.need)
                ):
                    run.tier = Tier.FOREGROUND
                    self.plan.lifts.append(run.id)
                elif run.saves and moves > 0 and self._free_elsewhere(host, run):
                    moves -= 1
                    run.stopping = True
                    self.plan.stops.append(Stop(run.id, host.id, True, "move to foreground"))

    # -- placing ---------------------------------------------------------------------

    def _best_host(self, entry: Entry, background: bool = False) -> HostState | None:
        best: HostState | None = None
        best_cost: tuple[float, float] = (NEVER, NEVER)
        for host in self.hosts:
            if host.ready_s > 0 or not self._fits_now(entry, host):
                continue
            if (
                (host.id in self.reserved)
                and not background
                and not self._backfills(entry, host)
            ):
                continue
            left = host.free.cpus - entry.need.cpus
            wait = _fetch_s(entry, host) + SCARCITY_COST_S * host.scarcity + host.penalty_s
            cost = (wait, left)
            if cost < best_cost:
                best, best_cost = host, cost
        if (
            best is not None
            and not background
            and self._better_waits(entry, best, best_cost[0])
        ):
            return None
        return best

    def _better_waits(self, entry: Entry, best: HostState, cost: float) -> bool:
        """Leave room that other work depends on, if other room comes soon enough."""
        if best.scarcity <= 0.0 or cost <= 0.0:
            return False
        for host in self.hosts:
            if host.scarcity < best.scarcity and self._suits(entry, host):
                at = self._fits_at(entry.need, host)
                if at < entry.patience_s and at + SCARCITY_COST_S * host.scarcity < cost:
                    return True
        return False

    def _unclaimed(self, host: HostState) -> Room:
        """Free room that is not being cleared for somebody."""
        claimed = self.claimed.get(host.id)
        return host.free if claimed is None else host.free.minus(claimed)

    def _fits_now(self, entry: Entry, host: HostState) -> bool:
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
        if entry.run_s + _fetch_s(entry, host) <= hold.shadow_s:
            return True
        return self._extra(host, hold).holds(entry.need)

    @staticmethod
    def _extra(host: HostState, hold: Reservation) -> Room:
        """What is left at the shadow time once the head has its room."""
        room = host.total.minus(hold.need)
        for run in host.runs:
            if run.tier is Tier.FOREGROUND and run.ends_s > hold.shadow_s:
                room = room.minus(run.need)
        return room

    def _start(self, entry: Entry, host: HostState, tier: Tier) -> None:
        task = TaskId(entry.job, entry.waiting.pop(0))
        self.plan.starts.append(Start(task, host.id, tier))
        fetch = _fetch_s(entry, host)
        host.free = host.free.minus(entry.need)
        host.images |= {entry.image}
        host.runs.append(
            RunState(
                AttemptId(task, PLANNED),
                entry.need,
                entry.run_s + fetch,
                0.0,
                tier,
                entry.rank,
                entry.team,
            )
        )
        entry.zones[host.zone] = entry.zones.get(host.zone, 0) + 1
        entry.team_slots -= 1
        room = self.team_room.get(entry.team)
        if room is not None:
            self.team_room[entry.team] = room.minus(entry.need)

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
        for host in self.hosts:
            if not self._suits(entry, host):
                continue
            hold = self.reserved.get(host.id)
            # On a machine that is promised already it fits once both fit.
            need = entry.need if hold is None else entry.need.plus(hold.need)
            at = self._fits_at(need, host)
            if held is not None and held.host == host.id:
                # An overrunning estimate alone must not send the reservation round the
                # fleet: each new place would start the wait again.
                at -= STICKINESS_S
            if at < best_at:
                best, best_at = (host if hold is None else None), at
        return max(best_at, 0.0), best

    @staticmethod
    def _fits_at(need: Room, host: HostState) -> float:
        if not host.total.holds(need):
            return NEVER
        free = host.total
        foreground = []
        for run in host.runs:
            if run.tier is Tier.FOREGROUND or run.stopping:
                free = free.minus(run.need)
                foreground.append(run)
        if free.holds(need):
            return max(host.ready_s, 0.5)
        for run in sorted(foreground, key=lambda r: r.ends_s):
            free = free.plus(run.need)
            if free.holds(need):
                return max(host.ready_s, run.ends_s)
        return NEVER

    def _evict_background(self, entry: Entry, host: HostState) -> None:
        free = host.free
        victims = []
        for run in sorted(host.runs, key=lambda r: r.ran_s):
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

    def _in_time(self, entry: Entry) -> int:
        """How many of its tasks find room before they miss their aim, with nothing stopped."""
        count = 0
        for host in self.hosts:
            if host.ready_s > entry.patience_s or not self._suits(entry, host):
                continue
            room = self._unclaimed(host)
            for run in host.runs:
                if run.ends_s <= entry.patience_s:
                    room = room.plus(run.need)
            hold = self.reserved.get(host.id)
            if hold is not None and hold.job != entry.job:
                room = room.minus(hold.need)
            count += room.copies(entry.need)
        return count

    def _preempt(self, entry: Entry, shadow: float) -> bool:
        """Clear room for one task with the least work lost; true if room is on its way.

        Work is stopped only where less of it is lost than the stop spares in waiting.
        """
        wait = min(max(shadow, entry.run_s), LONGEST_WAIT_S)
        worth = wait * max(entry.need.cpus, 1.0)
        best: tuple[float, HostState, list[RunState]] | None = None
        for host in self.hosts:
            if host.ready_s > 0 or not host.total.holds(entry.need):
                continue
            if not self._suits(entry, host):
                continue
            free = self._unclaimed(host)
            for run in host.runs:
                if run.stopping:
                    free = free.plus(run.need)
            if host.free.holds(entry.need):
                continue  # it is held for the head, which goes first
            victims: list[RunState] = []
            loss = 0.0
            candidates = [run for run in host.runs if _may_preempt(entry, run)]
            for run in sorted(candidates, key=lambda r: 0.0 if r.saves else r.ran_s):
                if free.holds(entry.need):
                    break
                free = free.plus(run.need)
                victims.append(run)
                loss += 1.0 if run.saves else run.ran_s * run.need.cpus
            if not free.holds(entry.need) or loss > worth:
                continue
            if best is None or loss < best[0]:
                best = (loss, host, victims)
        if best is None:
            return False
        _, host, victims = best
        if len(victims) > self.stops_left:
            return False
        self.claimed[host.id] = self.claimed.get(host.id, NO_ROOM).plus(entry.need)
        for run in victims:
            self._stop(host, run, f"room for {entry.job}")
        return True

    def _stop(self, host: HostState, run: RunState, reason: str) -> None:
        run.stopping = True
        run.ends_s = 0.5
        self.stops_left -= 1
        self.plan.stops.append(Stop(run.id, host.id, run.saves, reason))

    def _free_elsewhere(self, host: HostState, run: RunState) -> bool:
        return any(
            other.id != host.id
            and other.ready_s <= 0
            and other.id not in self.reserved
            and other.free.holds(run.need)
            for other in self.hosts
        )


def _fetch_s(entry: Entry, host: HostState) -> float:
    return 0.0 if entry.image in host.images else entry.image_gb / host.fetch_gb_per_s


def _may_preempt(entry: Entry, run: RunState) -> bool:
    """Lower priority, or borrowed room that a team needs for its guarantee."""
    if run.stopping or run.gang or run.id.attempt == PLANNED:
        return False
    if run.rank < entry.rank:
        return True
    return entry.guaranteed and run.borrowed and run.team != entry.team


def _list_order(entry: Entry) -> tuple[float, ...]:
    return (-float(entry.rank), 0.0 if entry.guaranteed else 1.0, *entry.order)


def plan(snapshot: Snapshot, policy: Policy) -> Plan:
    """Decide what to start, stop and lift. The snapshot is used up."""
    return _Walk(snapshot, policy).run()
