"""The leader's care for operators' orders: what is out of service, stopped, and done next.

The view says what is ordered; the ledger asks ``out_of_service_order`` before every start, so
that nothing is begun on a machine from the moment at which this node's view has the order.
Stops by choice are written down before they are commanded.
Steps follow from what is durable and what is there.
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
from dunehold.coordination.fleet.fleet import LATE_AFTER_BOOT_TIMES, Fleet
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

MAX_ENDED_ORDERS = 30  # that have ended, for operators to look at
MAX_SLOWNESS_FACTOR = 1.3  # times what others take: a fresh machine that is slower is bad
MAX_HOLD_REASONS = 5
LOWEST_HOST_ID = HostId("-")  # before that of any machine
DRAIN_REASON = "its machine is to run empty"


@dataclass(frozen=True, slots=True)
class StopGroup:
    """Attempts that are stopped together; without ``grace``, those that save get time to."""

    attempts: tuple[AttemptId, ...]
    hit: Disruption
    reason: str
    grace: Duration | None = None


@dataclass(slots=True)
class MaintenanceController:
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
    stop: Callable[[Run, Duration], None]  # and place its task anew where it was never sent
    requeue: Callable[[TaskId], None]
    in_time: Callable[[], dict[Team, tuple[int, int]]]  # done in time, of those with an aim
    waiting_cpus: Callable[[], float]
    disruptions: DisruptionTracker = field(init=False)
    _pending_progress: dict[OrderId, OrderProgress] = field(
        default_factory=dict
    )  # decided, maybe not durable
    _hold_reasons: dict[OrderId, list[str]] = field(default_factory=dict)
    _before: dict[OrderId, dict[Team, tuple[int, int]]] = field(default_factory=dict)
    _late: dict[OrderId, int] = field(default_factory=dict)
    _failed: dict[OrderId, dict[HostId, HostKind]] = field(default_factory=dict)  # fresh ones
    _marked: bool = False  # some machine is out of service by an order
    _pending_stops: int = 0  # stops that are being written down

    def __post_init__(self) -> None:
        self.disruptions = DisruptionTracker(self.settings.operator.disruption)
        self.ledger.out_of_service_order = self.out_of_service_order

    # -- what is out of service ------------------------------------------------------------

    def progress(self, order: OrderId) -> OrderProgress:
        return self._pending_progress.get(order) or self.view.order_progress.get(
            order, scope.NOT_BEGUN
        )

    def out_of_service_order(self, host: Host) -> OrderId | None:
        """The order that keeps this machine out of service now, if any does."""
        if not self.view.orders:
            return None
        wall = WallTime(self.wall())
        for order in self.view.orders.values():
            if scope.takes_out_of_service(order, self.progress(order.id), host, wall):
                return order.id
        return None

    def out_of_service_at(self, host: Host, now: MonotonicTime) -> float:
        """When a maintenance window that is known takes the machine; infinite if none does."""
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
        """Kinds of which nothing is rented: all that there is of them is out of service."""
        wall = WallTime(self.wall())
        drains = [
            order
            for order in self.view.orders.values()
            if order.kind is OrderKind.DRAIN
            and scope.in_force(order, self.progress(order.id), wall)
        ]
        return {
            Offer(kind.name, zone, spot)
            for kind in self.types.values()
            for zone in kind.zones
            for spot in (True, False)
            if any(
                order.selection.matches_every_machine(kind.name, zone, spot) for order in drains
            )
        }

    def is_retained(self, host: HostId) -> bool:
        """Rented for a replacement, and so not returned for being idle."""
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
        """Bring the machines in line with the orders as the view has them now.

        Starts that nobody can have carried out are taken back: guards against one that was
        planned just before its machine was ordered out.
        """
        if not self.view.orders and not self._marked:
            return
        self._marked = False
        for host in self.ledger.hosts.values():
            order = self.out_of_service_order(host)
            self._marked = self._marked or order is not None
            if order == host.order:
                continue
            log.info("host %s: %s", host.id, f"order {order}" if order else "in service again")
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

    # -- a leader's life -------------------------------------------------------------------

    def restore(self, now: MonotonicTime) -> None:
        """What the leader before spent is spent, for a window from now at least."""
        try:
            self.disruptions.restore(self.view.disruptions, now, WallTime(self.wall()))
        except (BadMessage, ValueError, TypeError) as error:
            # Unknown means spent: nothing by choice until the longest window is over.
            log.error("disruptions are not readable: %s", error)
            self.disruptions.block(self.settings.teams, now)
        self.apply_orders()

    def orders_changed(self) -> None:
        """An operator said something that this node's view has now."""
        for order in (*self._hold_reasons, *self._before, *self._late, *self._failed):
            if order not in self.view.orders:
                self._drop_order(order)
        if any(order.begins_at is not None for order in self.view.orders.values()):
            for host in self.ledger.hosts.values():
                host.version += 1  # a window may have come or gone: it is pictured anew
        self.apply_orders()

    def _drop_order(self, order: OrderId) -> None:
        self.fleet.rentals_for_orders.pop(order, None)
        for kept in (self._hold_reasons, self._before, self._late, self._failed):
            kept.pop(order, None)

    def update(self, now: MonotonicTime) -> None:
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
        self._empty(now, wall)
        self._forget_ended_orders()

    # -- steps -----------------------------------------------------------------------------

    def _advance(self, order: Order, now: MonotonicTime, wall: WallTime) -> None:
        progress = self.progress(order.id)
        if progress.stage.final:
            if (
                order.desired_state is DesiredState.ABORT
                and progress.stage is not Stage.ABORTED
            ):
                return  # it had ended before
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
            mark = self._newest_matching_host(order, now)
            if mark is None:
                self._hold_reasons[order.id] = ["the machines' ages are not listed yet"]
                return
            stage = Stage.NEW if order.kind is OrderKind.REPLACE else Stage.DRAINING
            progress = replace(progress, last_host=mark, stage=stage, stage_since=wall)
            self._decide(order, progress)
        if order.kind is OrderKind.DRAIN:
            self._advance_drain(order, progress, wall)
        elif self.view.order_progress.get(order.id) == progress:
            # Nothing is rented or taken by what a next leader would not know of.
            self._advance_replacement(order, progress, now, wall)

    def _newest_matching_host(self, order: Order, now: MonotonicTime) -> HostId | None:
        """The last machine that is meant. Ages are by the cloud's list."""
        older = order.selection.older_s
        if older is None:
            return max(self.ledger.hosts, default=LOWEST_HOST_ID)
        if not self.fleet.listed:
            return None
        old = [item.host for item in self.fleet.listed.values() if item.age_s > older]
        return max(old, default=LOWEST_HOST_ID)

    def _decide(self, order: Order, progress: OrderProgress) -> None:
        if progress != self.progress(order.id):
            log.info(
                "order %s: %s, wave %d of %d machines, %d done%s",
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
        if order.desired_state is DesiredState.PAUSE:
            self._hold_reasons[order.id] = ["paused"]
            return
        seen = self._observe(order, progress, now, wall)
        step = replacement.next_step(progress, seen)
        self._hold_reasons[order.id] = [step.hold_up] if step.hold_up else []
        if step.progress != progress:
            if step.progress.wave != progress.wave:
                self._before.setdefault(order.id, self.in_time())
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
    def _target(order: Order, of: HostKind) -> Offer:
        return Offer(order.replacement_type or of[0], of[1], of[2])

    def _observe(
        self, order: Order, progress: OrderProgress, now: MonotonicTime, wall: WallTime
    ) -> replacement.Observation:
        old, fresh = [], []
        kinds = {(h.type, h.zone, h.spot) for h in self.ledger.hosts.values()}
        replaced = {self._target(order, kind): kind for kind in sorted(kinds)}
        failed = self._failed.setdefault(order.id, {})
        for host in self.ledger.hosts.values():
            kind = host.type, host.zone, host.spot
            if scope.applies_to(order, progress, host):
                old.append(replacement.OldHost(host.id, kind, host.used.cpus))
            elif progress.last_host is not None and host.id > progress.last_host:
                # Those of this wave first: several kinds may be replaced by one type.
                of = progress.host_kind
                if of is None or self._target(order, of) != Offer(*kind):
                    of = replaced.get(Offer(*kind))
                if of is None:
                    continue
                if self._is_faulty(host, now):
                    failed[host.id] = of  # for good, though it is returned before long
                    continue
                failed.pop(host.id, None)  # it came up after all
                if not host.deleting and host.draining is None:
                    fresh.append(replacement.FreshHost(host.id, of, host.session_known, False))
        fresh += [replacement.FreshHost(name, of, False, True) for name, of in failed.items()]
        states = [s for s in self.snapshot_builder.host_states(now) if s.ready_at <= now]
        staying = {one.id for one in old}
        boots = [kind.boot_s for kind in self.types.values()]
        return replacement.Observation(
            now=wall,
            old=tuple(old),
            fresh=tuple(fresh),
            trusted_zones={
                z
                for z in self.settings.zones
                if self.zones.condition(z) is ZoneCondition.HEALTHY
            },
            boot_s=max(boots, default=30.0),
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
        kind = self.types.get(host.type)
        boot_s = kind.boot_s if kind is not None else 30.0
        if not host.up and host.lease_renewed_at is None:
            return now - host.created_at > LATE_AFTER_BOOT_TIMES * boot_s
        return host.quarantined_at is not None or host.slowness > MAX_SLOWNESS_FACTOR

    def _on_time_regression(self, order: OrderId) -> str:
        """A team of whose jobs far fewer are in time than before the order began."""
        before = self._before.get(order)
        if before is None:
            return ""
        for team, (in_time, timed) in self.in_time().items():
            was_in_time, was_timed = before.get(team, (0, 0))
            number = timed - was_timed
            if was_timed < replacement.MIN_TIMED_JOBS or number < replacement.MIN_TIMED_JOBS:
                continue
            if (
                in_time - was_in_time
            ) / number < was_in_time / was_timed - replacement.MAX_ON_TIME_DROP:
                return f"team {team}: far fewer jobs are in time than before"
        return ""

    def _forget_ended_orders(self) -> None:
        """Orders that ended long ago are forgotten, and so is what was asked for them."""
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

    def _empty(self, now: MonotonicTime, wall: WallTime) -> None:
        """What has to be stopped on the machines that are to run empty."""
        if self._pending_stops:
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
            self._drain_candidates(hosts, now, wall), self.disruptions, self._wholes()
        )
        for order in {host.order for host in hosts if host.order is not None}:
            if decision.held_up:
                self._hold_reasons[order] = decision.held_up[:MAX_HOLD_REASONS]
            self._late[order] = decision.late
        if decision.stops:
            cuts = [
                StopGroup(tuple(self._runs_of(one)), one.hit, DRAIN_REASON)
                for one in decision.stops
            ]
            self._record_and_stop(cuts, now)

    @staticmethod
    def _is_active(order: Order) -> bool:
        return order.desired_state is DesiredState.PROCEED

    def _drain_candidates(
        self, hosts: list[Host], now: MonotonicTime, wall: WallTime
    ) -> list[DrainCandidate]:
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
                members = len(self.ledger.task_zones_by_job.get(spec.id, ()))
                gang = members if spec.kind is JobKind.GANG else 0
                moves = service or spec.checkpoint_s > 0
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
                        moves and self._reserve_room(spec, host.zone, free),
                        run.stop_grace_s is not None,
                    )
                )
        return found

    def _reserve_room(
        self, spec: JobSpec, zone: Zone, free: dict[HostId, tuple[HostState, Resources]]
    ) -> bool:
        """Does a machine stand ready for one of its tasks from that zone? Its room is taken."""
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
        """From now until its machines are to be empty."""
        ends = math.inf if order.ends_at is None else order.ends_at
        if order.drain_timeout_s is not None:
            progress = self.progress(order.id)
            began = progress.stage_since if progress.stage is not Stage.NEW else wall
            ends = min(ends, began + order.drain_timeout_s)
        return ends - wall

    def _replicas_up(self, job: JobId) -> int:
        """Replicas that run and are not about to be stopped."""
        count = 0
        for task in self.ledger.task_zones_by_job.get(job, ()):
            runs = self.ledger.runs_by_task.get(task, ())
            count += any(
                run.phase is TaskPhase.RUNNING and run.stop_grace_s is None for run in runs
            )
        return count

    def _wholes(self) -> dict[Team, TeamTotals]:
        counts: dict[Team, int] = {}
        for runs in self.ledger.runs_by_task.values():
            if not runs[0].service:
                counts[runs[0].team] = counts.get(runs[0].team, 0) + 1
        return {
            team: TeamTotals(counts.get(team, 0), use.cpus)
            for team, use in self.ledger.usage_by_team.items()
        }

    def _runs_of(self, one: DrainCandidate) -> list[AttemptId]:
        """All of a gang goes with one of it."""
        if not one.gang:
            return [one.attempt]
        tasks = self.ledger.task_zones_by_job.get(one.attempt.task.job, {})
        return [run.id for task in tasks for run in self.ledger.runs_by_task.get(task, ())]

    # -- budgets ---------------------------------------------------------------------------

    @property
    def budgets_bind_scheduler(self) -> bool:
        """Do the scheduler's own doings keep to the budgets?"""
        return self.settings.operator.disruption.bind_all

    def protected_teams(self) -> frozenset[Team]:
        """Teams of whose work nothing may be stopped by choice now."""
        if not self.budgets_bind_scheduler:
            return frozenset()
        wholes = self._wholes()
        return frozenset(
            t for t, whole in wholes.items() if self.disruptions.exhausted(t, whole)
        )

    def stop_within_budgets(
        self, wanted: Iterable[tuple[Run, Duration, str]], now: MonotonicTime
    ) -> None:
        """Stops that a plan wants, as far as the budgets allow them."""
        wholes = self._wholes()
        for run, grace, reason in wanted:
            spec = self._spec(run)
            if spec is None:
                continue
            hit = Disruption(run.team, run.id.task.job, 1, run.need.cpus, run.service)
            up = self._replicas_up(hit.job) if run.service else 0
            refused = self.disruptions.refusal(
                hit, wholes.get(run.team, TeamTotals()), spec.tasks, up
            )
            if refused is not None:
                log.debug("stop of %s held up: %s", run.id, refused)
            else:
                # One by one: what the last was granted counts for the next.
                self._record_and_stop([StopGroup((run.id,), hit, reason, grace)], now)

    def _spec(self, run: Run) -> JobSpec | None:
        record = self.view.active.get(run.id.task.job)
        return record.spec if record is not None else None

    def _record_and_stop(self, cuts: list[StopGroup], now: MonotonicTime) -> None:
        """Spent from here on, whatever becomes of it; stopped once that is durable."""
        value = self.disruptions.encode((cut.hit for cut in cuts), now, WallTime(self.wall()))
        if len(codec.dump(value)) > records.usable_value_bytes(self.settings.value_bytes):
            # Too many teams at once for one record: what can't be written down is not done.
            log.info("%d stops wait: the record of disruptions is full", len(cuts))
            return
        for cut in cuts:
            cpus = cut.hit.cpus / max(1, len(cut.attempts))
            share = replace(cut.hit, tasks=1, cpus=cpus)
            for attempt in cut.attempts:
                self.disruptions.add(share, attempt.task, now, choice=True)
        self._pending_stops += 1
        self.spawn(self._stop_once_durable(value, cuts))

    async def _stop_once_durable(self, value: Any, cuts: list[StopGroup]) -> None:
        try:
            await self.recorder.record_disruptions(value)
        finally:
            self._pending_stops -= 1
        if not self.may_start():
            return
        for cut in cuts:
            for attempt in cut.attempts:
                for run in list(self.ledger.runs_by_task.get(attempt.task, ())):
                    if run.id == attempt and run.stop_grace_s is None:
                        self._stop_run(run, cut)

    def _stop_run(self, run: Run, cut: StopGroup) -> None:
        host = self.ledger.hosts.get(run.host)
        alone = cut.reason == DRAIN_REASON and len(cut.attempts) == 1
        if alone and (host is None or host.order is None):
            self.disruptions.task_restored(run.id.task)
            return  # undrained meanwhile
        spec = self._spec(run)
        if run.service and spec is not None and not self._may_spare_replica(run, spec):
            self.disruptions.task_restored(run.id.task)
            return  # others of it went away while this was written down
        grace = cut.grace
        if grace is None:
            saves = spec is not None and spec.checkpoint_s > 0
            grace = spec.save_s if spec is not None and saves else Duration(0.0)
        log.info("stop %s on %s: %s", run.id, run.host, cut.reason)
        self.stop(run, grace)

    def _may_spare_replica(self, run: Run, spec: JobSpec) -> bool:
        least = self.settings.operator.disruption.of(run.team).least_up.of(spec.tasks)
        return self._replicas_up(spec.id) - 1 >= least - EPSILON

    # -- what happens ------------------------------------------------------------------------

    def record_lost(self, runs: Iterable[Run], now: MonotonicTime) -> None:
        """Nobody chose it, but it counts."""
        for run in runs:
            hit = Disruption(run.team, run.id.task.job, 1, run.need.cpus, run.service)
            if run.id.task.job in self.view.active:
                self.disruptions.add(hit, run.id.task, now, choice=False)

    # -- for operators -----------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What only the leader knows of each order."""
        wall = WallTime(self.wall())
        return {order.id: self._status(order, wall) for order in self.view.orders.values()}

    def _status(self, order: Order, wall: WallTime) -> dict[str, Any]:
        progress = self.progress(order.id)
        left = self._matching_hosts(order, progress) if progress.last_host is not None else []
        over = progress.stage.final
        return {
            "stage": progress.stage.value,
            "wave": progress.wave,
            "in_hand": sum(host.order == order.id for host in self.ledger.hosts.values()),
            "left": 0 if over else len(left),
            "busy": sum(host.busy for host in left),
            "done": progress.hosts_done,
            "held_up": [] if over else self._hold_reasons.get(order.id, []),
            "late": self._late.get(order.id, 0),
            "why": progress.halt_reason,
            "over_in_s": None if over else self._remaining_s(order, progress, left, wall),
        }

    def _remaining_s(
        self, order: Order, progress: OrderProgress, left: list[Host], wall: WallTime
    ) -> float | None:
        """When it should be over; None where nothing says so."""
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
