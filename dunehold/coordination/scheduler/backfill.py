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
from dataclasses import replace

from dunehold.coordination.scheduler.model import (
    Entry,
    HostState,
    Plan,
    Policy,
    Reservation,
    RunState,
    Snapshot,
    Stop,
)
from dunehold.coordination.scheduler.plan_state import (
    NEVER,
    SCARCITY_COST_S,
    fetch_s,
)
from dunehold.coordination.scheduler.preemption import PreemptionPlanner
from dunehold.types import HostId, Rank, Tier, Zone

RESERVATION_STICKINESS_S = 5.0
BACKGROUND_RUN_FACTOR = 0.5


class BackfillScheduler(PreemptionPlanner):
    def run(self) -> Plan:
        leftovers: list[Entry] = []
        for entry in self.entries:
            self._start_entry(entry)
            if entry.waiting and not entry.broken:
                leftovers.append(entry)
        self._promote_background()
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
            self._reserve_gang_room(entry)

    def _gang_hosts(self, entry: Entry, zones: set[Zone]) -> list[HostState]:
        """A machine for each task, as far as there are any in these zones."""
        chosen: list[HostState] = []
        per_zone: dict[Zone, int] = {}
        fitting = [h for h in self._all_hosts() if h.zone in zones and h.ready_at <= self.now]
        for host in sorted(fitting, key=lambda h: self._group(h).scarcity):
            if not self._fits_now(entry, host):
                continue
            if host.id in self.reserved and not self._can_backfill(entry, host):
                continue
            fits = self._unclaimed(host).count_fitting(entry.need)
            if host.id in self.reserved:
                fits = min(fits, 1)
            limit = entry.zone_limit
            if limit is not None:
                fits = min(fits, limit - per_zone.get(host.zone, 0))
            fits = max(0, min(fits, len(entry.waiting) - len(chosen)))
            per_zone[host.zone] = per_zone.get(host.zone, 0) + fits
            chosen.extend([host] * fits)
        return chosen

    def _reserve_gang_room(self, entry: Entry) -> None:
        """Reserve on the machines that free up first, until all its tasks have room."""
        left = len(entry.waiting)
        times = [
            (self._fits_at(entry.need, host), host)
            for group in self._allowed_groups(entry)
            for host in group.hosts.values()
            if self._suits(entry, host)
        ]
        holds: list[Reservation] = []
        for at, host in sorted(times, key=lambda pair: pair[0]):
            if left <= 0 or at == NEVER:
                break
            copies = min(left, host.total.count_fitting(entry.need))
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
        self._reserve_or_preempt(entry)

    def _reserve_or_preempt(self, entry: Entry) -> None:
        """Reserve for the head, and clear room for it where the rules of preemption allow."""
        head = len(self.reserved) < self.policy.reservations
        late, below = self._room_to_clear(entry)
        if not head and not late:
            return
        shadow, host = self._shadow_time(entry)
        if head and host is not None:
            hold = Reservation(entry.job, host.id, entry.need, shadow)
            self.plan.reservations.append(hold)
            self.reserved[host.id] = hold
            # The background on that machine makes way as soon as that is all it takes.
            self._evict_background(entry, host)
        if late:
            self.preemptors_left -= 1
            self._preempt(entry, shadow - self.now, late, below)

    def _start_background(self, entry: Entry) -> None:
        if self.policy.backfill:
            # Everything else was found to be full on the way here.
            by_host = [self._host(hold.host) for hold in self.plan.reservations]
            hosts = [h for h in by_host if h.ready_at <= self.now and entry.allowed(h)]
        else:
            hosts = [
                h for group in self._allowed_groups(entry) for h in group.open_hosts.values()
            ]
        costs = [
            self._cost(entry, host)
            for host in hosts
            if self._fits_now(entry, host) and self._likely_to_finish(entry, host)
        ]
        for *_, host in sorted(costs, key=lambda cost: cost[:3]):
            while self._wants_start(entry) and self._fits_now(entry, host):
                host = self._start(entry, host, Tier.BACKGROUND)

    def _likely_to_finish(self, entry: Entry, host: HostState) -> bool:
        """Estimates are often wrong by half: what needs no more than twice the time until the
        reservation needs its room may still end before. What needs more is only cut off."""
        hold = self.reserved.get(host.id)
        ends_s = (entry.run_s + fetch_s(entry, host)) * BACKGROUND_RUN_FACTOR
        return hold is None or self.now + ends_s <= hold.shadow_at

    def _promote_background(self) -> None:
        """Background runs that no reservation needs become foreground where they are."""
        if not self.policy.lifting:
            return
        moves = self.policy.max_moves
        for host in [host for host in self._all_hosts() if host.has_background]:
            hold = self.reserved.get(host.id)
            for run in host.runs:
                if run.tier is not Tier.BACKGROUND or run.stopping:
                    continue
                mine = self._writable_host(host)
                if (
                    hold is None
                    or run.ends_at <= hold.shadow_at
                    or self._extra_room(mine, hold).holds(run.need)
                ):
                    mine.replace_run(run, replace(run, tier=Tier.FOREGROUND))
                    self.plan.promotions.append(run.id)
                elif run.resumable and moves > 0 and self._free_elsewhere(host, run):
                    moves -= 1
                    mine.replace_run(run, replace(run, stopping=True))
                    self.plan.stops.append(Stop(run.id, host.id, True, "move to foreground"))

    def _place(self, entry: Entry) -> None:
        """Start as many of its tasks as find room, machine by machine, the best first."""
        for _, _, _, host in self._candidates(entry):
            while self._can_take_task(entry, host):
                # So many do better to leave this room to work that depends on it.
                if len(entry.waiting) <= self._count_better_waiting(entry, host):
                    return self._promise_slots(entry)
                # Once it has the image, the best place for the next is the same machine.
                host = self._start(entry, host, Tier.FOREGROUND)
        self._promise_slots(entry)

    def _can_take_task(self, entry: Entry, host: HostState) -> bool:
        return (
            self._wants_start(entry)
            and self._fits_now(entry, host)
            and (host.id not in self.reserved or self._can_backfill(entry, host))
        )

    def _wants_start(self, entry: Entry) -> bool:
        if entry.rank == Rank.LOW and self.low_rank_cpus_left < entry.need.cpus:
            return False
        return bool(entry.waiting) and entry.team_slots > 0 and self._team_allows(entry)

    def _candidates(self, entry: Entry) -> list[tuple[float, float, HostId, HostState]]:
        """Machines that could take one of its tasks now, in the order of their cost."""
        groups = self._allowed_groups(entry)
        key = tuple(group.key for group in groups)
        failures = self.unplaceable_needs.setdefault(key, [])
        full = any(entry.need.holds(need) for need in failures)
        if full:
            places = [self._host(host) for host in self.reserved]
            hosts = [h for h in places if self._suits(entry, h) and h.ready_at <= self.now]
        else:
            hosts = [
                h for group in self._suitable_groups(entry) for h in group.open_hosts.values()
            ]
        found = []
        free_of_holds = False
        # Whether a need finds no room is told to others only if nothing else decided it.
        picky = bool(entry.zone_limit or entry.one_zone)
        for host in hosts:
            if not self._has_room(entry, host):
                picky = picky or host.slowness > 1.0 or host.out_of_service_at < NEVER
                continue
            if host.id in self.reserved:
                if not self._can_backfill(entry, host):
                    continue
            else:
                free_of_holds = True
            found.append(self._cost(entry, host))
        if not full and not free_of_holds and not picky:
            failures.append(entry.need)
        found.sort(key=lambda cost: cost[:3])
        return found

    def _count_better_waiting(self, entry: Entry, best: HostState) -> int:
        """How many of its tasks soon find room that less other work depends on.

        Room that frees up is counted once: tasks earlier on the list have taken theirs.
        """
        scarcity = self._group(best).scarcity
        if scarcity <= 0.0:
            return 0
        cost = self._cost(entry, best)[0]
        number = 0
        for kind, groups in self._suitable_groups_by_type(entry):
            weight = groups[0].scarcity
            if weight < scarcity:
                limit = min(entry.slack_s, cost - SCARCITY_COST_S * weight)
                slots = bisect_left(self._slot_times(entry.need, groups), self.now + limit)
                number += max(0, slots - self.slots_taken.get(kind, 0))
        return number

    def _promise_slots(self, entry: Entry) -> None:
        """What waits will take the room that frees up first, the least scarce before."""
        left = max(0, min(len(entry.waiting), entry.team_slots))
        self.last_promised_cpus = {}
        for kind, groups in self._suitable_groups_by_type(entry):
            if left <= 0:
                break  # nothing is promised of the others
            copies = groups[0].sample.total.count_fitting(entry.need)
            taken = min(left, copies * sum(len(group.hosts) for group in groups))
            self.slots_taken[kind] = self.slots_taken.get(kind, 0) + taken
            self.last_promised_cpus[kind] = taken * entry.need.cpus
            self.promised_cpus[kind] = (
                self.promised_cpus.get(kind, 0.0) + taken * entry.need.cpus
            )
            left -= taken

    def _shadow_time(self, entry: Entry) -> tuple[float, HostState | None]:
        """When the entry fits first, if the foreground ends as estimated, and where.

        The place is None when that is on a machine promised to another head.
        """
        best: HostState | None = None
        best_at = NEVER
        held = self.previous_reservations.get(entry.job)
        for group in self._suitable_groups(entry):
            for host in group.hosts.values():
                if host.out_of_service_at < NEVER and self._outlasts_host(entry, host):
                    continue
                hold = self.reserved.get(host.id)
                # On a machine that is promised already it fits once both fit.
                need = entry.need if hold is None else entry.need.plus(hold.need)
                if held is not None and held.host == host.id:
                    # An overrunning estimate alone must not send the reservation round the
                    # fleet: each new place would start the wait again.
                    at = self._fits_at(need, host) - RESERVATION_STICKINESS_S
                else:
                    at = self._fits_at(need, host, best_at)
                if at < best_at:
                    best, best_at = (host if hold is None else None), at
        return max(best_at, self.now), best

    def _free_elsewhere(self, host: HostState, run: RunState) -> bool:
        return any(
            other.id != host.id
            and other.ready_at <= self.now
            and other.id not in self.reserved
            and other.free.holds(run.need)
            for other in self._all_hosts()
        )


def plan(snapshot: Snapshot, policy: Policy) -> Plan:
    """Decide what to start, stop and lift. The entries are used up, the machines are not."""
    return BackfillScheduler(snapshot, policy).run()
