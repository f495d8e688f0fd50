"""Preemption: clears room by rank, for guarantees, and from background runs.

Work is stopped only where the work that is lost is less than the waiting that the stop saves.
"""

from __future__ import annotations

from bisect import bisect_left

from dunehold.coordination.scheduler.model import Entry, HostState, RunState
from dunehold.coordination.scheduler.plan_state import PLANNED_ATTEMPT, PlanState
from dunehold.types import NO_RESOURCES, AttemptId, HostId, Rank, Tier

NO_OBJECTIVE_SLACK_S = 1e6  # a slack from this on means that there is no objective to miss
MAX_COUNTED_WAIT_S = 600.0  # a longer wait, also one without a known end, counts as this
LOW_RANK_YIELD_WAIT_S = 3.0  # LOW runs are stopped for tasks that would wait longer than this
RESTART_COST_S = 5.0  # to save, stop and start again elsewhere


class PreemptionPlanner(PlanState):
    """Chooses the runs to stop so that waiting entries find room."""

    def _could_preempt(self, entry: Entry) -> bool:
        """Whether there may be any run that can be stopped for the entry."""
        return entry.rank > self.lowest_rank or (entry.guaranteed and bool(self.borrowed_runs))

    @property
    def lowest_rank(self) -> Rank:
        """The lowest rank of any run, as of the first call."""
        if self._lowest_rank is None:
            ranks = (host.lowest_rank for host in self._all_hosts())
            self._lowest_rank = min(ranks, default=Rank.PRODUCTION)
        return self._lowest_rank

    @property
    def borrowed_runs(self) -> set[AttemptId]:
        """Runs beyond the guarantees of their teams, computed at the first call."""
        if self._borrowed_runs is None:
            self._borrowed_runs = self.snapshot.find_borrowed_runs()
        return self._borrowed_runs

    def _may_preempt(self, entry: Entry, run: RunState, below: Rank) -> bool:
        """Whether the run may be stopped for the entry.

        It may if its rank is lower than ``below``. An entry within the guarantee of its team
        may also take room that another team uses beyond its own guarantee.
        """
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
        """Counts the entry's tasks that find room within this time if nothing is stopped.

        Room that frees up is promised to earlier entries first. If every job counted on the
        same room, all of them would wait for it and nothing would be stopped for any of them.
        """
        # Memory is left out so that the jobs of a class, which need equally many CPUs, share
        # the slot times, which are computed for each distinct need.
        need = entry.need._replace(memory_gb=0.0)
        limit = self.now + within_s
        count = 0.0
        for kind, groups in self._suitable_groups_by_type(entry):
            slots = bisect_left(self._slot_times(need, groups), limit)
            promised_before = self.promised_cpus.get(kind, 0.0) - self.last_promised_cpus.get(
                kind, 0.0
            )
            count += max(0.0, slots - promised_before / max(need.cpus, 0.01))
        return min(wanted, int(count))

    def _room_to_clear(self, entry: Entry) -> tuple[int, Rank]:
        """The number of tasks to clear room for, and the rank below which runs may be stopped.

        Any lower rank is stopped for tasks that would miss an objective. Work of the lowest
        rank, which takes whatever room is left over, is stopped as soon as other tasks would
        wait for its room longer than ``LOW_RANK_YIELD_WAIT_S``.
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
        """Clears room for ``late`` tasks on the hosts where the least work is lost.

        ``shadow_s`` is the time in which the entry fits without any stop. A host is used only
        if the work lost there is at most the wait that is saved, both in CPU seconds.
        """
        wait_s = min(max(shadow_s, entry.run_s), MAX_COUNTED_WAIT_S)
        worth_cpu_s = wait_s * max(entry.need.cpus, 1.0)
        options: list[tuple[float, HostId, HostState, list[RunState]]] = []
        for group in self._suitable_groups(entry):
            for host in group.hosts.values():
                if host.ready_at > self.now:
                    continue
                if host.lowest_rank >= below and not (below == entry.rank and entry.guaranteed):
                    continue  # no run on this host may be stopped for the entry
                if host.free.holds(entry.need):
                    continue  # the free room is reserved for the head, which goes first
                choice = self._victims(entry, host, below)
                if choice is not None and choice[0] <= worth_cpu_s:
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
        """The work lost in CPU seconds and the runs to stop so that a task fits this host.

        Returns None if no choice of runs makes enough room. Resumable runs are chosen before
        others, and within both groups the latest started runs go first.
        """
        candidates = [run for run in host.runs if self._may_preempt(entry, run, below)]
        free = self._unclaimed(host)
        for run in host.runs:
            if run.stopping:
                free = free.plus(run.need)
        victims: list[RunState] = []
        loss_cpu_s = 0.0
        for run in sorted(candidates, key=lambda r: (not r.resumable, -r.began_at)):
            if free.holds(entry.need):
                break
            free = free.plus(run.need)
            victims.append(run)
            lost_s = (
                RESTART_COST_S if run.resumable else self.now - run.began_at + RESTART_COST_S
            )
            loss_cpu_s += lost_s * run.need.cpus
        return (loss_cpu_s, victims) if free.holds(entry.need) else None

    def _evict_background(self, entry: Entry, host: HostState) -> None:
        """Stops background runs, the latest started first, if that makes room for the entry.

        Nothing is stopped if the entry would still not fit.
        """
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
