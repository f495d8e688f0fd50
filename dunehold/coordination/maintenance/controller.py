"""Carries out operators' maintenance orders on the leader.

The controller takes machines out of service, stops work on them within the disruption budgets
and replaces machines in waves. The orders come from the view. The ledger calls
``out_of_service_order`` before every start, so that nothing is started on a machine once this
node's view has an order for it. Voluntary stops are recorded durably before they are commanded.
Every step follows from the durable progress and from the machines that exist, so that a next
leader continues an order.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Coroutine, Iterable
from dataclasses import dataclass, field, replace
from typing import Any

from dunehold.bookkeeping import records
from dunehold.bookkeeping.disruptions import Disruption, DisruptionTracker, TeamTotals
from dunehold.bookkeeping.hosts import Host, Run
from dunehold.bookkeeping.ledger import Ledger, host_allowed
from dunehold.bookkeeping.orders import HostKind, OrderProgress, Stage
from dunehold.bookkeeping.view import View
from dunehold.coordination.fleet.autoscaler import Rent
from dunehold.coordination.fleet.fleet import DEFAULT_BOOT_S, LATE_AFTER_BOOT_TIMES, Fleet
from dunehold.coordination.maintenance import draining, replacement, scope
from dunehold.coordination.maintenance.draining import DrainCandidate
from dunehold.coordination.persistence.recorder import Recorder
from dunehold.coordination.planning.estimates import RuntimeEstimates
from dunehold.coordination.planning.offers import Offer
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder
from dunehold.coordination.scheduler.model import HostState
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.protocol import codec
from dunehold.protocol.cloud import MachineType
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.operators import DesiredState, Order, OrderKind
from dunehold.protocol.users import JobSpec
from dunehold.settings import Settings
from dunehold.types import (
    EPSILON,
    AttemptId,
    Duration,
    HostId,
    JobId,
    JobKind,
    MonotonicTime,
    OrderId,
    Resources,
    TaskId,
    TaskPhase,
    Team,
    TypeName,
    WallTime,
    Zone,
    ZoneCondition,
)

log = logging.getLogger(__name__)

MAX_ENDED_ORDERS = 30  # ended orders that are kept for operators to look at
# A new machine is faulty if its tasks take more than this many times as long as on others.
MAX_SLOWNESS_FACTOR = 1.3
MAX_HOLD_REASONS = 5  # reasons that are shown for each order
LOWEST_HOST_ID = HostId("-")  # sorts before the id of any machine
DRAIN_REASON = "its machine is to run empty"  # why an attempt is stopped, for the log


@dataclass(frozen=True, slots=True)
class StopGroup:
    """Attempts that are stopped together.

    Attributes:
        attempts: the attempts; all of a gang, or a single one.
        hit: the disruption that the stop counts as.
        reason: reason for the log.
        grace: time between the stop command and the end of an attempt; None means the time to
            save a checkpoint for jobs that save, and 0 for others.
    """

    attempts: tuple[AttemptId, ...]
    hit: Disruption
    reason: str
    grace: Duration | None = None


@dataclass(slots=True)
class MaintenanceController:
    """Carries out the orders of the view for as long as this node leads.

    Attributes:
        may_start: tells whether this node may still act as the leader.
        wall: returns the wall-clock time, in seconds since the epoch.
        spawn: runs a coroutine in the background for the duration of the term.
        stop: commands the stop of a run, and queues its task again if it was never sent.
        requeue: queues a task whose start was withdrawn.
        in_time: returns for each team the jobs done in time, and all jobs done that have an
            objective.
        waiting_cpus: returns the CPUs of all waiting tasks.
        disruptions: recent disruptions, and what they leave of the budgets.
    """

    settings: Settings
    view: View
    ledger: Ledger
    recorder: Recorder
    types: dict[TypeName, MachineType]
    estimates: RuntimeEstimates
    snapshot_builder: SnapshotBuilder
    zones: ZoneMonitor
    fleet: Fleet
    may_start: Callable[[], bool]
    wall: Callable[[], float]
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    stop: Callable[[Run, Duration], None]
    requeue: Callable[[TaskId], None]
    in_time: Callable[[], dict[Team, tuple[int, int]]]
    waiting_cpus: Callable[[], float]
    disruptions: DisruptionTracker = field(init=False)
    # Progress that is decided but may not be durable yet.
    _pending_progress: dict[OrderId, OrderProgress] = field(default_factory=dict)
    # What each order waits for, shown to operators.
    _hold_reasons: dict[OrderId, list[str]] = field(default_factory=dict)
    # ``in_time`` when this leader first began a wave of the order.
    _on_time_before: dict[OrderId, dict[Team, tuple[int, int]]] = field(default_factory=dict)
    # Tasks that stay on machines beyond their time limit.
    _late_tasks: dict[OrderId, int] = field(default_factory=dict)
    # Faulty new machines, with the kind of machine that they were to replace.
    _faulty_hosts: dict[OrderId, dict[HostId, HostKind]] = field(default_factory=dict)
    _any_out_of_service: bool = False  # an order keeps some machine out of service
    _pending_records: int = 0  # disruption records that are being written

    def __post_init__(self) -> None:
        self.disruptions = DisruptionTracker(self.settings.operator.disruption)
        self.ledger.out_of_service_order = self.out_of_service_order

    # -- machines out of service -----------------------------------------------------------

    def progress(self, order: OrderId) -> OrderProgress:
        """Returns the latest progress of an order, even if it is not durable yet."""
        return self._pending_progress.get(order) or self.view.order_progress.get(
            order, scope.NOT_BEGUN
        )

    def out_of_service_order(self, host: Host) -> OrderId | None:
        """Returns an order that keeps the machine out of service now, or None."""
        if not self.view.orders:
            return None
        wall = WallTime(self.wall())
        for order in self.view.orders.values():
            if scope.takes_out_of_service(order, self.progress(order.id), host, wall):
                return order.id
        return None

    def out_of_service_at(self, host: Host, now: MonotonicTime) -> float:
        """Returns when the next maintenance window of the machine begins.

        The result is of the monotonic clock, and infinite if there is no window. Only drain
        orders that begin in the future are windows.
        """
        found = math.inf
        wall = self.wall()
        for order in self.view.orders.values():
            begins = order.begins_at
            if (
                begins is not None
                and begins > wall
                and order.desired_state is not DesiredState.ABORT
                and order.kind is OrderKind.DRAIN
                and scope.applies_to(order, self.progress(order.id), host)
            ):
                found = min(found, now + begins - wall)
        return found

    def excluded_offers(self) -> set[Offer]:
        """Returns the offers that are not rented because all their machines are drained."""
        wall = WallTime(self.wall())
        drains = [
            order
            for order in self.view.orders.values()
            if order.kind is OrderKind.DRAIN
            and scope.in_force(order, self.progress(order.id), wall)
        ]
        return {
            Offer(machine_type.name, zone, spot)
            for machine_type in self.types.values()
            for zone in machine_type.zones
            for spot in (True, False)
            if any(
                order.selection.matches_every_machine(machine_type.name, zone, spot)
                for order in drains
            )
        }

    def is_retained(self, host: HostId) -> bool:
        """Tells whether a machine is kept when it is idle because of a replacement order.

        That holds for the machines that were created after an open replacement order began.
        """
        for order in self.view.orders.values():
            progress = self.progress(order.id)
            if (
                order.kind is OrderKind.REPLACE
                and order.desired_state is not DesiredState.ABORT
                and not progress.stage.final
                and progress.last_host is not None
                and host > progress.last_host
            ):
                return True
        return False

    def apply_orders(self) -> None:
        """Marks the machines that the orders of the view take out of service or return to it.

        Starts that no worker can have carried out are withdrawn, and their tasks are queued
        again: they may have been planned just before the order took effect.
        """
        if not self.view.orders and not self._any_out_of_service:
            return
        self._any_out_of_service = False
        for host in self.ledger.hosts.values():
            order = self.out_of_service_order(host)
            self._any_out_of_service = self._any_out_of_service or order is not None
            if order == host.order:
                continue
            log.info(
                "host %s: %s",
                host.id,
                f"out of service by order {order}" if order else "back in service",
            )
            if order is None:
                if host.draining == f"order {host.order}":
                    host.draining = None
                host.retained_by_order = False
            else:
                if host.draining is None or host.draining == f"order {host.order}":
                    host.draining = f"order {order}"
                host.retained_by_order = self.view.orders[order].keep_rented
                for run in [run for run in host.runs.values() if run.unsent]:
                    if self.ledger.withdraw(run):
                        self.requeue(run.id.task)
            host.order = order
            host.version += 1

    # -- lifecycle -------------------------------------------------------------------------

    def restore(self, now: MonotonicTime) -> None:
        """Restores the disruptions that the previous leader recorded.

        They count for at least one window from now.
        """
        try:
            self.disruptions.restore(self.view.disruptions, now, WallTime(self.wall()))
        except (BadMessage, ValueError, TypeError) as error:
            # What is left of the budgets is unknown, so a team has no voluntary stops until the
            # window of its budget is over.
            log.error("can't read the record of disruptions, stopping nothing yet: %s", error)
            self.disruptions.block(self.settings.teams, now)
        self.apply_orders()

    def orders_changed(self) -> None:
        """Applies a change of the orders in this node's view."""
        for order in (
            *self._hold_reasons,
            *self._on_time_before,
            *self._late_tasks,
            *self._faulty_hosts,
        ):
            if order not in self.view.orders:
                self._drop_order(order)
        if any(order.begins_at is not None for order in self.view.orders.values()):
            for host in self.ledger.hosts.values():
                # A maintenance window may have changed: planning must rebuild the host's state.
                host.version += 1
        self.apply_orders()

    def _drop_order(self, order: OrderId) -> None:
        self.fleet.rentals_for_orders.pop(order, None)
        for by_order in (
            self._hold_reasons,
            self._on_time_before,
            self._late_tasks,
            self._faulty_hosts,
        ):
            by_order.pop(order, None)

    def update(self, now: MonotonicTime) -> None:
        """Advances all orders and stops work on draining machines; called at every tick."""
        self.disruptions.expire(now)
        if not self.may_start():
            return
        for name, progress in list(self._pending_progress.items()):
            if name not in self.view.orders or progress == self.view.order_progress.get(name):
                del self._pending_progress[name]
        wall = WallTime(self.wall())
        for order in list(self.view.orders.values()):
            self._advance(order, now, wall)
        self.apply_orders()
        self._stop_work_on_draining_hosts(now, wall)
        self._forget_ended_orders()

    # -- progress of orders ----------------------------------------------------------------

    def _advance(self, order: Order, now: MonotonicTime, wall: WallTime) -> None:
        progress = self.progress(order.id)
        if progress.stage.final:
            if (
                order.desired_state is DesiredState.ABORT
                and progress.stage is not Stage.ABORTED
            ):
                return  # it had ended before the abort
            return
        if order.desired_state is DesiredState.ABORT:
            self._decide(
                order,
                replace(progress, stage=Stage.ABORTED, draining_hosts=(), stage_since=wall),
            )
            return
        if order.begins_at is not None and wall < order.begins_at:
            self._hold_reasons[order.id] = [f"begins in {order.begins_at - wall:.0f} s"]
            return
        if progress.stage is Stage.NEW and progress.last_host is None:
            newest_host = self._newest_matching_host(order, now)
            if newest_host is None:
                self._hold_reasons[order.id] = ["the machines' ages are not listed yet"]
                return
            stage = Stage.NEW if order.kind is OrderKind.REPLACE else Stage.DRAINING
            progress = replace(progress, last_host=newest_host, stage=stage, stage_since=wall)
            self._decide(order, progress)
        if order.kind is OrderKind.DRAIN:
            self._advance_drain(order, progress, wall)
        elif self.view.order_progress.get(order.id) == progress:
            # Machines are rented and taken out of service only by durable progress: a next
            # leader would not know of any other.
            self._advance_replacement(order, progress, now, wall)

    def _newest_matching_host(self, order: Order, now: MonotonicTime) -> HostId | None:
        """Returns the newest machine that an order can apply to, or None if not known yet.

        Machine ages come from the cloud's list, so an order that selects by age waits for it.
        """
        older = order.selection.older_s
        if older is None:
            return max(self.ledger.hosts, default=LOWEST_HOST_ID)
        if not self.fleet.listed:
            return None
        old = [item.host for item in self.fleet.listed.values() if item.age_s > older]
        return max(old, default=LOWEST_HOST_ID)

    def _decide(self, order: Order, progress: OrderProgress) -> None:
        """Sets the progress of an order and has it written to the state service."""
        if progress != self.progress(order.id):
            log.info(
                "order %s: stage %s, wave %d of %d machines, %d machines done%s",
                order.id,
                progress.stage.value,
                progress.wave,
                progress.wave_size,
                progress.hosts_done,
                f": {progress.halt_reason}" if progress.halt_reason else "",
            )
        self._pending_progress[order.id] = progress
        self.recorder.record_order_progress(order.id, progress)

    def _matching_hosts(self, order: Order, progress: OrderProgress) -> list[Host]:
        return [h for h in self.ledger.hosts.values() if scope.applies_to(order, progress, h)]

    def _advance_drain(self, order: Order, progress: OrderProgress, wall: WallTime) -> None:
        """Ends a drain that is complete, or notes what it waits for.

        A drain that selects by type, zone or spot alone also applies to future machines, and
        one with ``keep`` keeps its machines rented. Both last until they are aborted.
        """
        left = self._matching_hosts(order, progress)
        busy = sum(host.busy or not host.session_known for host in left)
        lasting = not scope.limited_to_existing(order) and not order.selection.hosts
        if not left and not lasting and not order.keep_rented:
            self._decide(
                order, replace(progress, stage=Stage.DONE, stage_since=wall, halt_reason="")
            )
            return
        if busy:
            self._hold_reasons[order.id] = [f"{busy} machines are not empty yet"]
        else:
            self._hold_reasons[order.id] = ["empty; out of service until it is undrained"]

    def _advance_replacement(
        self, order: Order, progress: OrderProgress, now: MonotonicTime, wall: WallTime
    ) -> None:
        """Carries out the next step of a replacement, unless it is paused."""
        if order.desired_state is DesiredState.PAUSE:
            self._hold_reasons[order.id] = ["paused"]
            return
        seen = self._observe(order, progress, now, wall)
        step = replacement.next_step(progress, seen)
        self._hold_reasons[order.id] = [step.hold_up] if step.hold_up else []
        if step.progress != progress:
            if step.progress.wave != progress.wave:
                self._on_time_before.setdefault(order.id, self.in_time())
            self._decide(order, step.progress)
        for name in step.give_up:
            host = self.ledger.hosts.get(name)
            if host is not None and host.draining is None:
                host.draining = f"order {order.id} is halted"
        if step.rent and progress.host_kind is not None:
            self.fleet.rentals_for_orders[order.id] = [
                Rent(self._target(order, progress.host_kind), step.rent)
            ]
        else:
            self.fleet.rentals_for_orders.pop(order.id, None)

    @staticmethod
    def _target(order: Order, old_kind: HostKind) -> Offer:
        """Returns the offer of the machines that replace machines of a kind."""
        return Offer(order.replacement_type or old_kind[0], old_kind[1], old_kind[2])

    def _observe(
        self, order: Order, progress: OrderProgress, now: MonotonicTime, wall: WallTime
    ) -> replacement.Observation:
        """Collects what ``replacement.next_step`` needs to know."""
        old, fresh = [], []
        kinds = {(h.type, h.zone, h.spot) for h in self.ledger.hosts.values()}
        replaced = {self._target(order, kind): kind for kind in sorted(kinds)}
        faulty = self._faulty_hosts.setdefault(order.id, {})
        for host in self.ledger.hosts.values():
            kind = host.type, host.zone, host.spot
            if scope.applies_to(order, progress, host):
                old.append(replacement.OldHost(host.id, kind, host.used.cpus))
            elif progress.last_host is not None and host.id > progress.last_host:
                # Several kinds may be replaced by one type. A new machine that fits the kind of
                # the present wave counts for that kind.
                old_kind = progress.host_kind
                if old_kind is None or self._target(order, old_kind) != Offer(*kind):
                    old_kind = replaced.get(Offer(*kind))
                if old_kind is None:
                    continue
                if self._is_faulty(host, now):
                    # It keeps counting as faulty even after it has been returned.
                    faulty[host.id] = old_kind
                    continue
                faulty.pop(host.id, None)  # it came up after all
                if not host.deleting and host.draining is None:
                    fresh.append(
                        replacement.FreshHost(host.id, old_kind, host.session_known, False)
                    )
        fresh += [
            replacement.FreshHost(name, old_kind, False, True)
            for name, old_kind in faulty.items()
        ]
        states = [s for s in self.snapshot_builder.host_states(now) if s.ready_at <= now]
        staying = {one.id for one in old}
        boots = [machine_type.boot_s for machine_type in self.types.values()]
        return replacement.Observation(
            now=wall,
            old=tuple(old),
            fresh=tuple(fresh),
            trusted_zones={
                z
                for z in self.settings.zones
                if self.zones.condition(z) is ZoneCondition.HEALTHY
            },
            boot_s=max(boots, default=DEFAULT_BOOT_S),
            refused={
                kind
                for offer, kind in replaced.items()
                if self.fleet.recently_refused(offer, now)
            },
            waiting_cpus=self.waiting_cpus(),
            fleet_cpus=sum(state.total.cpus for state in states),
            free_cpus=sum(s.free.cpus for s in states if s.id not in staying),
            regression=self._on_time_regression(order.id),
        )

    def _is_faulty(self, host: Host, now: MonotonicTime) -> bool:
        """Tells whether a new machine is overdue, quarantined or too slow."""
        machine_type = self.types.get(host.type)
        boot_s = machine_type.boot_s if machine_type is not None else DEFAULT_BOOT_S
        if not host.up and host.lease_renewed_at is None:
            return now - host.created_at > LATE_AFTER_BOOT_TIMES * boot_s
        return host.quarantined_at is not None or host.slowness > MAX_SLOWNESS_FACTOR

    def _on_time_regression(self, order: OrderId) -> str:
        """Returns a reason to halt if some team's share of jobs in time dropped, or "".

        The share since this leader first began a wave of the order is compared with the share
        before that.
        """
        before = self._on_time_before.get(order)
        if before is None:
            return ""
        for team, (in_time, timed) in self.in_time().items():
            in_time_before, timed_before = before.get(team, (0, 0))
            timed_since = timed - timed_before
            if (
                timed_before < replacement.MIN_TIMED_JOBS
                or timed_since < replacement.MIN_TIMED_JOBS
            ):
                continue
            if (
                in_time - in_time_before
            ) / timed_since < in_time_before / timed_before - replacement.MAX_ON_TIME_DROP:
                return f"team {team}: far fewer jobs are in time than before"
        return ""

    def _forget_ended_orders(self) -> None:
        """Drops rentals for ended orders, and ended orders beyond ``MAX_ENDED_ORDERS``."""
        ended = [
            order
            for order in self.view.orders.values()
            if self.progress(order.id).stage.final and not order.keep_rented
        ]
        for order in ended:
            self.fleet.rentals_for_orders.pop(order.id, None)
        ended.sort(key=lambda order: self.progress(order.id).stage_since)
        for order in ended[:-MAX_ENDED_ORDERS]:
            if (
                order.id in self.view.order_progress
                and order.id not in self.recorder.order_progress
            ):
                self.recorder.record_order_progress(order.id, None)

    # -- stops -----------------------------------------------------------------------------

    def _stop_work_on_draining_hosts(self, now: MonotonicTime, wall: WallTime) -> None:
        """Stops what has to be stopped on the machines that are draining for an order.

        Does nothing while earlier stops are being recorded.
        """
        if self._pending_records:
            return
        hosts = [
            h for h in self.ledger.hosts.values() if h.order is not None and h.session_known
        ]
        hosts = [
            h
            for h in hosts
            if h.order in self.view.orders and self._is_active(self.view.orders[h.order])
        ]
        if not any(host.busy for host in hosts):
            return
        decision = draining.decide(
            self._drain_candidates(hosts, now, wall), self.disruptions, self._team_totals()
        )
        for order in {host.order for host in hosts if host.order is not None}:
            if decision.held_up:
                self._hold_reasons[order] = decision.held_up[:MAX_HOLD_REASONS]
            self._late_tasks[order] = decision.late
        if decision.stops:
            groups = [
                StopGroup(tuple(self._attempts_to_stop(candidate)), candidate.hit, DRAIN_REASON)
                for candidate in decision.stops
            ]
            self._record_and_stop(groups, now)

    @staticmethod
    def _is_active(order: Order) -> bool:
        return order.desired_state is DesiredState.PROCEED

    def _drain_candidates(
        self, hosts: list[Host], now: MonotonicTime, wall: WallTime
    ) -> list[DrainCandidate]:
        """Returns the attempts on draining machines, with what a decision needs to know."""
        free = {
            state.id: (state, state.free)
            for state in self.snapshot_builder.host_states(now)
            if state.ready_at <= now and state.out_of_service_at == math.inf
        }
        found = []
        for host in hosts:
            assert host.order is not None
            limit_s = self._limit_s(self.view.orders[host.order], wall)
            for run in host.runs.values():
                record = self.view.active.get(run.id.task.job)
                spec = record.spec if record is not None else None
                if not run.occupies or spec is None:
                    continue
                ran = run.ran_s(now)
                service = spec.kind is JobKind.SERVICE
                members = len(self.ledger.occupancy.task_zones_by_job.get(spec.id, ()))
                gang = members if spec.kind is JobKind.GANG else 0
                can_move = service or spec.checkpoint_s > 0
                found.append(
                    DrainCandidate(
                        run.id,
                        spec.team,
                        self.snapshot_builder.priority_inheritance.effective_rank(spec),
                        run.need.cpus,
                        ran,
                        math.inf if service else self.estimates.remaining_s(spec, ran),
                        spec.save_s if spec.checkpoint_s > 0 else 0.0,
                        limit_s,
                        service,
                        spec.tasks if service else 0,
                        self._replicas_up(spec.id) if service else 0,
                        gang,
                        gang * spec.need.cpus,
                        can_move and self._reserve_room(spec, host.zone, free),
                        run.stop_grace_s is not None,
                    )
                )
        return found

    def _reserve_room(
        self, spec: JobSpec, zone: Zone, free: dict[HostId, tuple[HostState, Resources]]
    ) -> bool:
        """Tells whether some machine is ready to run a task of the job that leaves ``zone``.

        If so, the task's resources are subtracted from that machine in ``free``.
        """
        zones = self.ledger.job_zones(spec.id)
        for name, (state, room) in free.items():
            if not room.holds(spec.need):
                continue
            if not host_allowed(spec, state.type, state.zone, state.spot):
                continue
            if state.zone != zone:
                if spec.one_zone and sum(zones.values()) > 1:
                    continue
                if spec.spread and zones.get(state.zone, 0) + 1 > (spec.tasks + 1) // 2:
                    continue
            free[name] = state, room.minus(spec.need)
            return True
        return False

    def _limit_s(self, order: Order, wall: WallTime) -> float:
        """Returns the seconds from now until the order's machines are to be empty."""
        ends = math.inf if order.ends_at is None else order.ends_at
        if order.drain_timeout_s is not None:
            progress = self.progress(order.id)
            began = progress.stage_since if progress.stage is not Stage.NEW else wall
            ends = min(ends, began + order.drain_timeout_s)
        return ends - wall

    def _replicas_up(self, job: JobId) -> int:
        """Counts the replicas of a service that run and have no stop commanded."""
        count = 0
        for task in self.ledger.occupancy.task_zones_by_job.get(job, ()):
            runs = self.ledger.occupancy.runs_by_task.get(task, ())
            count += any(
                run.phase is TaskPhase.RUNNING and run.stop_grace_s is None for run in runs
            )
        return count

    def _team_totals(self) -> dict[Team, TeamTotals]:
        """Returns what each team has on machines; tasks do not include replicas."""
        counts: dict[Team, int] = {}
        for runs in self.ledger.occupancy.runs_by_task.values():
            if not runs[0].service:
                counts[runs[0].team] = counts.get(runs[0].team, 0) + 1
        return {
            team: TeamTotals(counts.get(team, 0), use.cpus)
            for team, use in self.ledger.occupancy.usage_by_team.items()
        }

    def _attempts_to_stop(self, candidate: DrainCandidate) -> list[AttemptId]:
        """Returns the candidate's attempt, or those of its whole gang."""
        if not candidate.gang:
            return [candidate.attempt]
        tasks = self.ledger.occupancy.task_zones_by_job.get(candidate.attempt.task.job, {})
        return [
            run.id for task in tasks for run in self.ledger.occupancy.runs_by_task.get(task, ())
        ]

    # -- budgets ---------------------------------------------------------------------------

    @property
    def budgets_bind_scheduler(self) -> bool:
        """Whether moves and preemption by the scheduler keep to the budgets."""
        return self.settings.operator.disruption.bind_all

    def protected_teams(self) -> frozenset[Team]:
        """Returns the teams of which the scheduler may stop nothing now."""
        if not self.budgets_bind_scheduler:
            return frozenset()
        totals_by_team = self._team_totals()
        return frozenset(
            team
            for team, totals in totals_by_team.items()
            if self.disruptions.exhausted(team, totals)
        )

    def stop_within_budgets(
        self, wanted: Iterable[tuple[Run, Duration, str]], now: MonotonicTime
    ) -> None:
        """Stops what a plan wants to stop, as far as the budgets allow.

        ``wanted`` holds the run, the grace period and the reason of each stop.
        """
        totals_by_team = self._team_totals()
        for run, grace, reason in wanted:
            spec = self._spec(run)
            if spec is None:
                continue
            hit = Disruption(run.team, run.id.task.job, 1, run.need.cpus, run.service)
            up = self._replicas_up(hit.job) if run.service else 0
            refused = self.disruptions.refusal(
                hit, totals_by_team.get(run.team, TeamTotals()), spec.tasks, up
            )
            if refused is not None:
                log.debug("stop of %s refused by the disruption budget: %s", run.id, refused)
            else:
                # One record for each stop, so that it counts before the next one is checked.
                self._record_and_stop([StopGroup((run.id,), hit, reason, grace)], now)

    def _spec(self, run: Run) -> JobSpec | None:
        record = self.view.active.get(run.id.task.job)
        return record.spec if record is not None else None

    def _record_and_stop(self, groups: list[StopGroup], now: MonotonicTime) -> None:
        """Counts stops against the budgets, records that, and stops once it is durable.

        The stops count from now on, even if they are not carried out.
        """
        value = self.disruptions.encode(
            (group.hit for group in groups), now, WallTime(self.wall())
        )
        if len(codec.dump(value)) > records.usable_value_bytes(self.settings.value_bytes):
            # The disruptions of too many teams do not fit in one record. A stop that can't be
            # recorded is not carried out.
            log.info("%d stops wait: the record of disruptions is full", len(groups))
            return
        for group in groups:
            cpus = group.hit.cpus / max(1, len(group.attempts))
            share = replace(group.hit, tasks=1, cpus=cpus)
            for attempt in group.attempts:
                self.disruptions.add(share, attempt.task, now, choice=True)
        self._pending_records += 1
        self.spawn(self._stop_once_durable(value, groups))

    async def _stop_once_durable(self, value: Any, groups: list[StopGroup]) -> None:
        try:
            await self.recorder.record_disruptions(value)
        finally:
            self._pending_records -= 1
        if not self.may_start():
            return
        for group in groups:
            for attempt in group.attempts:
                for run in list(self.ledger.occupancy.runs_by_task.get(attempt.task, ())):
                    if run.id == attempt and run.stop_grace_s is None:
                        self._stop_run(run, group)

    def _stop_run(self, run: Run, group: StopGroup) -> None:
        """Commands the stop of a run, unless the reason for it is gone."""
        host = self.ledger.hosts.get(run.host)
        # A gang is stopped as a whole, including members on machines that are not draining.
        single_drained = group.reason == DRAIN_REASON and len(group.attempts) == 1
        if single_drained and (host is None or host.order is None):
            self.disruptions.task_restored(run.id.task)
            return  # the machine is no longer draining
        spec = self._spec(run)
        if run.service and spec is not None and not self._may_spare_replica(run, spec):
            self.disruptions.task_restored(run.id.task)
            return  # other replicas went down while the stop was being recorded
        grace = group.grace
        if grace is None:
            saves = spec is not None and spec.checkpoint_s > 0
            grace = spec.save_s if spec is not None and saves else Duration(0.0)
        log.info("stopping %s on %s: %s", run.id, run.host, group.reason)
        self.stop(run, grace)

    def _may_spare_replica(self, run: Run, spec: JobSpec) -> bool:
        """Tells whether enough replicas of a service stay up if this one is stopped."""
        least = self.settings.operator.disruption.of(run.team).least_up.of(spec.tasks)
        return self._replicas_up(spec.id) - 1 >= least - EPSILON

    # -- events ----------------------------------------------------------------------------

    def record_lost(self, runs: Iterable[Run], now: MonotonicTime) -> None:
        """Counts runs that were lost, rather than stopped voluntarily, against the budgets."""
        for run in runs:
            hit = Disruption(run.team, run.id.task.job, 1, run.need.cpus, run.service)
            if run.id.task.job in self.view.active:
                self.disruptions.add(hit, run.id.task, now, choice=False)

    # -- status for operators --------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """Returns what only the leader knows of each order, by the order's id."""
        wall = WallTime(self.wall())
        return {order.id: self._status(order, wall) for order in self.view.orders.values()}

    def _status(self, order: Order, wall: WallTime) -> dict[str, Any]:
        progress = self.progress(order.id)
        left = self._matching_hosts(order, progress) if progress.last_host is not None else []
        ended = progress.stage.final
        return {
            "stage": progress.stage.value,
            "wave": progress.wave,
            "in_hand": sum(host.order == order.id for host in self.ledger.hosts.values()),
            "left": 0 if ended else len(left),
            "busy": sum(host.busy for host in left),
            "done": progress.hosts_done,
            "held_up": [] if ended else self._hold_reasons.get(order.id, []),
            "late": self._late_tasks.get(order.id, 0),
            "why": progress.halt_reason,
            "over_in_s": None if ended else self._remaining_s(order, progress, left, wall),
        }

    def _remaining_s(
        self, order: Order, progress: OrderProgress, left: list[Host], wall: WallTime
    ) -> float | None:
        """Estimates the seconds until an order ends; None if there is no estimate.

        A replacement is assumed to go on at its average rate so far. A drain is over when the
        longest run on its machines has ended, or at its time limit.
        """
        if order.kind is OrderKind.REPLACE:
            if not progress.hosts_done:
                return None
            rate = progress.hosts_done / max(1.0, wall - order.created_at)
            return round(len(left) / rate, 0)
        longest = 0.0
        now = self.fleet.now()
        for host in left:
            for run in host.runs.values():
                spec = self._spec(run)
                if spec is None or not run.occupies:
                    continue
                if spec.kind is JobKind.SERVICE:
                    continue
                ran = run.ran_s(now)
                longest = max(longest, self.estimates.remaining_s(spec, ran))
        return round(min(longest, max(0.0, self._limit_s(order, wall))), 0)
