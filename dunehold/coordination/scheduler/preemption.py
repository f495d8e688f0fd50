"""Room that is cleared for somebody: by rank, for guarantees, and from the background.

Work is stopped only where less of it is lost than the stop spares in waiting.
"""

from __future__ import annotations

from bisect import bisect_left

from dunehold.coordination.scheduler.model import Entry, HostState, RunState
from dunehold.coordination.scheduler.plan_state import PLANNED_ATTEMPT, PlanState
from dunehold.types import NO_RESOURCES, AttemptId, HostId, Rank, Tier

NO_OBJECTIVE_SLACK_S = 1e6
MAX_COUNTED_WAIT_S = 600.0  # stands for waits without an end in sight
LOW_RANK_YIELD_WAIT_S = 3.0  # work of the lowest rank makes way for what would wait longer
RESTART_COST_S = 5.0  # to save, stop and begin again elsewhere


class PreemptionPlanner(PlanState):
    def _could_preempt(self, entry: Entry) -> bool:
        """Is there any work that may be stopped for it?"""
        return entry.rank > self.lowest_rank or (entry.guaranteed and bool(self.borrowed_runs))

    @property
    def lowest_rank(self) -> Rank:
        if self._lowest_rank is None:
            ranks = (host.lowest_rank for host in self._all_hosts())
            self._lowest_rank = min(ranks, default=Rank.PRODUCTION)
        return self._lowest_rank

    @property
    def borrowed_runs(self) -> set[AttemptId]:
        if self._borrowed_runs is None:
            self._borrowed_runs = self.snapshot.find_borrowed_runs()
        return self._borrowed_runs

    def _may_preempt(self, entry: Entry, run: RunState, below: Rank) -> bool:
        """Lower priority, or borrowed room that a team needs for its guarantee."""
        if run.stopping or run.gang or run.id.attempt == PLANNED_ATTEMPT:
            return False
        if run.team in self.snapshot.protected_teams:
            return False
        if run.rank < below:
            return True
        return (
            below == entry.rank
            and entry.guaranteed
            and run.team != entry.team
            and run.id in self.borrowed_runs
        )

    def _count_placeable_within(self, entry: Entry, wanted: int, within_s: float) -> int:
        """How many of its tasks find room in time, with nothing stopped.

        What frees up is promised to tasks earlier on the list first: counted on by every
        job, the same room would let all of them wait, and stop nothing for any.
        """
        # By CPUs alone, which jobs of a class share: this is looked up for each kind of need.
        need = entry.need._replace(memory_gb=0.0)
        limit = self.now + within_s
        count = 0.0
        for kind, groups in self._suitable_groups_by_type(entry):
            slots = bisect_left(self._slot_times(need, groups), limit)
            before = self.promised_cpus.get(kind, 0.0) - self.last_promised_cpus.get(kind, 0.0)
            count += max(0.0, slots - before / max(need.cpus, 0.01))
        return min(wanted, int(count))

    def _room_to_clear(self, entry: Entry) -> tuple[int, Rank]:
        """For how many of its tasks room must be cleared, and below which rank.

        Work of the lowest rank takes what is left, and gives it back as soon as others
        would wait for it; other work makes way for what would miss an aim.
        """
        none = (0, entry.rank)
        if self.preemptors_left <= 0 or self.stops_left <= 0 or not self._could_preempt(entry):
            return none
        wanted = min(entry.team_slots, len(entry.waiting))
        if entry.slack_s < NO_OBJECTIVE_SLACK_S:
            late = wanted - self._count_placeable_within(entry, wanted, entry.slack_s)
            if late > 0:
                return late, entry.rank
        if entry.rank > self.lowest_rank == Rank.LOW:
            late = wanted - self._count_placeable_within(
                entry, wanted, min(entry.slack_s, LOW_RANK_YIELD_WAIT_S)
            )
            return max(0, late), Rank(Rank.LOW + 1)
        return none

    def _preempt(self, entry: Entry, shadow_s: float, late: int, below: Rank) -> None:
        """Clear room for so many tasks, where the least work is lost.

        Work is stopped only where less of it is lost than the stop spares in waiting.
        """
        wait = min(max(shadow_s, entry.run_s), MAX_COUNTED_WAIT_S)
        worth = wait * max(entry.need.cpus, 1.0)
        options: list[tuple[float, HostId, HostState, list[RunState]]] = []
        for group in self._suitable_groups(entry):
            for host in group.hosts.values():
                if host.ready_at > self.now:
                    continue
                if host.lowest_rank >= below and not (below == entry.rank and entry.guaranteed):
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
            self.claimed[host.id] = self.claimed.get(host.id, NO_RESOURCES).plus(entry.need)
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
        for run in sorted(candidates, key=lambda r: (not r.resumable, -r.began_at)):
            if free.holds(entry.need):
                break
            free = free.plus(run.need)
            victims.append(run)
            lost_s = (
                RESTART_COST_S if run.resumable else self.now - run.began_at + RESTART_COST_S
            )
            loss += lost_s * run.need.cpus
        return (loss, victims) if free.holds(entry.need) else None

    def _evict_background(self, entry: Entry, host: HostState) -> None:
        free = host.free
        victims = []
        for run in sorted(host.runs, key=lambda r: -r.began_at):
            if free.holds(entry.need):
                break
            if run.stopping:
                free = free.plus(run.need)
            elif run.tier is Tier.BACKGROUND and run.team not in self.snapshot.protected_teams:
                free = free.plus(run.need)
                victims.append(run)
        if free.holds(entry.need):
            for run in victims:
                self._stop(host, run, f"room reserved for {entry.job}")
