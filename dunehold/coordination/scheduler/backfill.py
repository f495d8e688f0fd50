"""The MEASY scheduler for hosts of several machine types (see docs/design.md).

Step 1 starts entries in list order until one does not fit: the head of the list. Step 2
reserves room for the head on the host where it fits first (shadow time, extra room) and
backfills later entries. Step 3 starts remaining entries in the background tier, in room that is
reserved for the head, the shortest estimate first. Before that, background runs whose room no
reservation needs any more are promoted to the foreground in place; others may be stopped with a
save in order to continue on another host.

The tasks of an array are placed together: its hosts are searched once, the cheapest first, and
each is filled. Free room only shrinks while a plan is made. A need that found no room is
therefore remembered, and no room is searched again for needs of the same size or larger.
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

# How much earlier another host must have room before a reservation moves to it.
RESERVATION_STICKINESS_S = 5.0
BACKGROUND_RUN_FACTOR = 0.5  # share of its estimate that a background run is taken to need


class BackfillScheduler(PreemptionPlanner):
    """Makes one plan. An instance is used for one call of ``run``."""

    def run(self) -> Plan:
        """Decides what to start, stop and promote."""
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
        """Starts all tasks of the gang, in one zone if possible, or reserves room for all."""
        zones = {group.key[1] for group in self.groups.values()}
        for allowed_zones in [{zone} for zone in sorted(zones)] + (
            [] if entry.one_zone else [zones]
        ):
            chosen = self._gang_hosts(entry, allowed_zones)
            if len(chosen) == len(entry.waiting):
                for host in chosen:
                    self._start(entry, host, Tier.FOREGROUND)
                return
        if not self.reserved:
            self._reserve_gang_room(entry)

    def _gang_hosts(self, entry: Entry, zones: set[Zone]) -> list[HostState]:
        """A host for each task; fewer than there are tasks if these zones have no more room."""
        chosen: list[HostState] = []
        per_zone: dict[Zone, int] = {}
        ready = [h for h in self._all_hosts() if h.zone in zones and h.ready_at <= self.now]
        for host in sorted(ready, key=lambda h: self._group(h).scarcity):
            if not self._fits_now(entry, host):
                continue
            if host.id in self.reserved and not self._can_backfill(entry, host):
                continue
            fits = self._unclaimed(host).count_fitting(entry.need)
            if host.id in self.reserved:
                fits = min(fits, 1)  # _can_backfill has checked one task only
            limit = entry.zone_limit
            if limit is not None:
                fits = min(fits, limit - per_zone.get(host.zone, 0))
            fits = max(0, min(fits, len(entry.waiting) - len(chosen)))
            per_zone[host.zone] = per_zone.get(host.zone, 0) + fits
            chosen.extend([host] * fits)
        return chosen

    def _reserve_gang_room(self, entry: Entry) -> None:
        """Reserves room for all tasks of the gang on the hosts where they fit first."""
        left = len(entry.waiting)
        times = [
            (self._fits_at(entry.need, host), host)
            for group in self._allowed_groups(entry)
            for host in group.hosts.values()
            if self._suits(entry, host)
        ]
        gang_reservations: list[Reservation] = []
        for at, host in sorted(times, key=lambda pair: pair[0]):
            if left <= 0 or at == NEVER:
                break
            copies = min(left, host.total.count_fitting(entry.need))
            left -= copies
            gang_reservations.append(
                Reservation(entry.job, host.id, entry.need.times(copies), at)
            )
        if left > 0:
            return  # the gang does not fit the present fleet
        # The gang starts only once all of its tasks have room.
        shadow = max((held.shadow_at for held in gang_reservations), default=0.0)
        for reservation in gang_reservations:
            reservation.shadow_at = shadow
            self.plan.reservations.append(reservation)
            self.reserved[reservation.host] = reservation

    def _start_entry(self, entry: Entry) -> None:
        """Starts the entry's tasks; reserves or clears room for those that do not fit."""
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
            # The job waits for runs of its own team to end; room on a host would not help it.
            return
        self._reserve_or_preempt(entry)

    def _reserve_or_preempt(self, entry: Entry) -> None:
        """Reserves room if the entry is a head, and clears room where preemption is allowed."""
        head = len(self.reserved) < self.policy.reservations
        late, below = self._room_to_clear(entry)
        if not head and not late:
            return
        shadow, host = self._shadow_time(entry)
        if head and host is not None:
            reservation = Reservation(entry.job, host.id, entry.need, shadow)
            self.plan.reservations.append(reservation)
            self.reserved[host.id] = reservation
            # Background runs on that host are stopped once that alone makes enough room.
            self._evict_background(entry, host)
        if late:
            self.preemptors_left -= 1
            self._preempt(entry, shadow - self.now, late, below)

    def _start_background(self, entry: Entry) -> None:
        """Starts tasks in the background tier on hosts where they are likely to finish."""
        if self.policy.backfill:
            # The foreground pass has already tried all hosts without a reservation.
            by_host = [self._host(held.host) for held in self.plan.reservations]
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
        """Whether a background run may end before the reservation needs its room.

        Estimates are often twice as long as the run. A task whose estimate is at most twice
        the time left may therefore still end in time; a longer one would only be stopped.
        """
        reservation = self.reserved.get(host.id)
        ends_s = (entry.run_s + fetch_s(entry, host)) * BACKGROUND_RUN_FACTOR
        return reservation is None or self.now + ends_s <= reservation.shadow_at

    def _promote_background(self) -> None:
        """Promotes background runs whose room no reservation needs to the foreground, in place.

        Other resumable ones are stopped with a save if another host has room for them.
        """
        if not self.policy.lifting:
            return
        moves = self.policy.max_moves
        for host in [host for host in self._all_hosts() if host.has_background]:
            reservation = self.reserved.get(host.id)
            for run in host.runs:
                if run.tier is not Tier.BACKGROUND or run.stopping:
                    continue
                writable = self._writable_host(host)
                if (
                    reservation is None
                    or run.ends_at <= reservation.shadow_at
                    or self._extra_room(writable, reservation).holds(run.need)
                ):
                    writable.replace_run(run, replace(run, tier=Tier.FOREGROUND))
                    self.plan.promotions.append(run.id)
                elif run.resumable and moves > 0 and self._free_elsewhere(host, run):
                    moves -= 1
                    writable.replace_run(run, replace(run, stopping=True))
                    self.plan.stops.append(Stop(run.id, host.id, True, "move to foreground"))

    def _place(self, entry: Entry) -> None:
        """Starts as many tasks of the entry as find room, filling the cheapest host first."""
        for _, _, _, host in self._candidates(entry):
            while self._can_take_task(entry, host):
                # All remaining tasks soon find room on hosts that less other work depends on,
                # so the room on this host is left to the work that depends on it.
                if len(entry.waiting) <= self._count_better_waiting(entry, host):
                    return self._promise_slots(entry)
                # The image is on its way to this host now, which makes it the cheapest host
                # for the next task as well.
                host = self._start(entry, host, Tier.FOREGROUND)
        self._promise_slots(entry)

    def _can_take_task(self, entry: Entry, host: HostState) -> bool:
        return (
            self._wants_start(entry)
            and self._fits_now(entry, host)
            and (host.id not in self.reserved or self._can_backfill(entry, host))
        )

    def _wants_start(self, entry: Entry) -> bool:
        """Whether a task is waiting that the CPU reserve and the team's limit let start."""
        if entry.rank == Rank.LOW and self.low_rank_cpus_left < entry.need.cpus:
            return False
        return bool(entry.waiting) and entry.team_slots > 0 and self._team_allows(entry)

    def _candidates(self, entry: Entry) -> list[tuple[float, float, HostId, HostState]]:
        """Hosts that could take a task of the entry now, with their costs, cheapest first."""
        groups = self._allowed_groups(entry)
        key = tuple(group.key for group in groups)
        failures = self.unplaceable_needs.setdefault(key, [])
        # A need that is not larger has found no room; only hosts with reservations are left.
        full = any(entry.need.holds(need) for need in failures)
        if full:
            reserved_hosts = [self._host(host) for host in self.reserved]
            hosts = [
                h for h in reserved_hosts if self._suits(entry, h) and h.ready_at <= self.now
            ]
        else:
            hosts = [
                h for group in self._suitable_groups(entry) for h in group.open_hosts.values()
            ]
        candidates = []
        found_unreserved = False
        # The need is remembered as one without room only if nothing but room decided that.
        constrained = bool(entry.zone_limit or entry.one_zone)
        for host in hosts:
            if not self._has_room(entry, host):
                constrained = (
                    constrained or host.slowness > 1.0 or host.out_of_service_at < NEVER
                )
                continue
            if host.id in self.reserved:
                if not self._can_backfill(entry, host):
                    continue
            else:
                found_unreserved = True
            candidates.append(self._cost(entry, host))
        if not full and not found_unreserved and not constrained:
            failures.append(entry.need)
        candidates.sort(key=lambda cost: cost[:3])
        return candidates

    def _count_better_waiting(self, entry: Entry, best: HostState) -> int:
        """Counts the entry's tasks that soon find room on hosts which less other work needs.

        Soon means at a lower cost than a start on ``best`` now, and within the entry's slack.
        Room that frees up is counted only once: what is promised to earlier entries is
        subtracted.
        """
        scarcity = self._group(best).scarcity
        if scarcity <= 0.0:
            return 0
        cost_s = self._cost(entry, best)[0]
        count = 0
        for kind, groups in self._suitable_groups_by_type(entry):
            other_scarcity = groups[0].scarcity
            if other_scarcity < scarcity:
                limit_s = min(entry.slack_s, cost_s - SCARCITY_COST_S * other_scarcity)
                slots = bisect_left(self._slot_times(entry.need, groups), self.now + limit_s)
                count += max(0, slots - self.slots_taken.get(kind, 0))
        return count

    def _promise_slots(self, entry: Entry) -> None:
        """Promises room that frees up to the tasks that stay waiting.

        Later entries must not count on the same room. The least scarce types are promised
        first.
        """
        left = max(0, min(len(entry.waiting), entry.team_slots))
        self.last_promised_cpus = {}
        for kind, groups in self._suitable_groups_by_type(entry):
            if left <= 0:
                break  # all tasks have room; nothing is promised on scarcer types
            copies = groups[0].sample.total.count_fitting(entry.need)
            taken = min(left, copies * sum(len(group.hosts) for group in groups))
            self.slots_taken[kind] = self.slots_taken.get(kind, 0) + taken
            self.last_promised_cpus[kind] = taken * entry.need.cpus
            self.promised_cpus[kind] = (
                self.promised_cpus.get(kind, 0.0) + taken * entry.need.cpus
            )
            left -= taken

    def _shadow_time(self, entry: Entry) -> tuple[float, HostState | None]:
        """The earliest time at which a task fits, and the host.

        Foreground runs are assumed to end as estimated. The host is None if it is reserved for
        another head already, or if the entry never fits.
        """
        best: HostState | None = None
        best_at = NEVER
        previous = self.previous_reservations.get(entry.job)
        for group in self._suitable_groups(entry):
            for host in group.hosts.values():
                if host.out_of_service_at < NEVER and self._outlasts_host(entry, host):
                    continue
                reservation = self.reserved.get(host.id)
                # On a host that is reserved already, the entry fits once both needs fit.
                need = entry.need if reservation is None else entry.need.plus(reservation.need)
                if previous is not None and previous.host == host.id:
                    # Without this preference, runs that overrun their estimates would move the
                    # reservation from host to host, and each move would start the wait again.
                    at = self._fits_at(need, host) - RESERVATION_STICKINESS_S
                else:
                    at = self._fits_at(need, host, best_at)
                if at < best_at:
                    best, best_at = (host if reservation is None else None), at
        return max(best_at, self.now), best

    def _free_elsewhere(self, host: HostState, run: RunState) -> bool:
        """Whether another host without a reservation has free room for the run."""
        return any(
            other.id != host.id
            and other.ready_at <= self.now
            and other.id not in self.reserved
            and other.free.holds(run.need)
            for other in self._all_hosts()
        )


def plan(snapshot: Snapshot, policy: Policy) -> Plan:
    """Decides what to start, stop and promote.

    The entries of the snapshot are modified: started tasks are removed from ``waiting``, for
    example. Its hosts are left unchanged.
    """
    return BackfillScheduler(snapshot, policy).run()
