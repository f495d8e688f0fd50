"""One term of leadership: reports, commands, placement, machines."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping.ledger import Exit, Host, Ledger, Outcome
from dunehold.bookkeeping.view import View
from dunehold.coordination import autoscaler
from dunehold.coordination.autoscaler import Offer, Rent
from dunehold.coordination.estimates import Estimates
from dunehold.coordination.picture import JobProgress, Picture, unfinished
from dunehold.coordination.recorder import Deposed, Recorder
from dunehold.coordination.scheduler.measy import plan
from dunehold.coordination.scheduler.model import Plan, Policy, Reservation
from dunehold.protocol import workers
from dunehold.protocol.cloud import (
    CloudClient,
    CloudTrouble,
    HostPhase,
    Listed,
    MachineType,
    NoCapacity,
    Rental,
)
from dunehold.protocol.codec import BadMessage
from dunehold.protocol.workers import Command, Report
from dunehold.settings import Settings
from dunehold.transport.http import Client, Connect, NoResponse
from dunehold.types import (
    AttemptId,
    Duration,
    HostId,
    JobId,
    JobPhase,
    MonotonicTime,
    RentalId,
    TaskId,
    Tier,
    Token,
    TypeName,
    WallTime,
    Why,
)

log = logging.getLogger(__name__)

TICK_S = 0.5
SCALE_S = 1.0
LOG_S = 10.0
DIRECT_TIMEOUT_S = 2.0
DIRECT_GAP_S = 0.02
PROBE_GAP_S = 1.5
WORKER_LINKS = 2
ERROR_HOLD_S = 2.0
MAX_ERROR_HOLD_S = 60.0
BROKEN_JOB_HOSTS = 3
REFUSED_HOLD_S = 1.0


@dataclass(slots=True)
class Leader:
    settings: Settings
    view: View
    ledger: Ledger
    recorder: Recorder
    cloud: CloudClient
    token: Token
    types: dict[TypeName, MachineType]
    may_start: Callable[[], bool]
    may_feed: Callable[[], bool]
    deposed: Callable[[], None]
    estimates: Estimates
    connect: Connect
    wall: Callable[[], float]
    progress: dict[JobId, JobProgress] = field(default_factory=dict)
    held: list[Reservation] = field(default_factory=list)
    refused: dict[Offer, MonotonicTime] = field(default_factory=dict)
    renting: int = 0
    rental_count: int = 0
    clients: dict[HostId, Client] = field(default_factory=dict)
    talking: set[HostId] = field(default_factory=set)
    listed: dict[HostId, Listed] = field(default_factory=dict)
    picture: Picture = field(init=False)
    _dirty: bool = True
    _planned_at: MonotonicTime = MonotonicTime(-1e9)
    _plan_timer: asyncio.TimerHandle | None = None
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _reported_known: bool = False

    def __post_init__(self) -> None:
        self.picture = Picture(self.settings, self.ledger, self.estimates, self.types)

    # -- life --------------------------------------------------------------------------

    def start(self) -> None:
        for job in list(self.view.active):
            self._take_up(job)
        self.spawn(self.recorder.run())
        self.spawn(self._tick())
        self.spawn(self._list_machines())
        for rental in list(self.view.rentals.values()):
            # Its answer may have been lost with the leader before.
            self.spawn(self._rent(rental))
        for host in self.ledger.unknown_hosts():
            if host.address:
                self.spawn(self._probe(host))

    def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._plan_timer is not None:
            self._plan_timer.cancel()
        for client in self.clients.values():
            client.close()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(self._guarded(work))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _guarded(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            await work
        except asyncio.CancelledError:
            raise
        except Deposed:
            log.info("token %d: leader key lost", self.token)
            self.deposed()
        except Exception:
            log.exception("token %d: a leader's task failed", self.token)
            self.deposed()

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- jobs --------------------------------------------------------------------------

    def jobs_changed(self, touched: list[JobId]) -> None:
        for job in touched:
            record = self.view.jobs.get(job)
            if record is None:
                continue
            if record.phase is JobPhase.ACTIVE:
                if job not in self.progress:
                    self._take_up(job)
            elif self.progress.pop(job, None) is not None:
                log.info("job %s is %s", job, record.phase.value)
                self.ledger.done.pop(job, None)
        self.make_dirty()

    def _take_up(self, job: JobId) -> None:
        record = self.view.active[job]
        if record.spec is not None:
            waiting = unfinished(record, self.ledger)
            self.progress[job] = JobProgress(record.spec, waiting)

    def running(self) -> dict[JobId, int]:
        return {job: len(tasks) for job, tasks in self.ledger.by_job.items()}

    # -- reports -----------------------------------------------------------------------

    def report(self, report: Report) -> bytes | None:
        """The response's body, or None when this node must not answer for the leader."""
        now = self.now()
        if report.token > self.token:
            log.info(
                "host %s has seen token %d, above %d", report.host, report.token, self.token
            )
            self.deposed()
            return None
        if not self.may_feed() or report.host in self.ledger.gone:
            return None
        host = self.ledger.hosts.get(report.host)
        if host is None:
            host = self._unexpected(report)
        if host.address != report.address:
            host.address = report.address
            self._drop_client(host.id)
            self.recorder.host(host.id)
        if report.session <= host.dead_session or report.session < host.session:
            return None  # held up on its way: its worker no longer waits for an answer
        outcome = self.ledger.ingest(report, now)
        host.fed_at = now
        commands: list[Command] = []
        if outcome.accepted:
            self._digest(host, outcome)
            if outcome.changed:
                self.schedule()
            commands = self.ledger.commands(host, direct=False, starts=self.may_start())
            self._log_commands(host, commands)
        return workers.encode_reply(self.token, commands)

    def _unexpected(self, report: Report) -> Host:
        log.info("host %s reports: %s in %s", report.host, report.type, report.zone)
        host = self.ledger.add_host(
            report.host, report.type, report.zone, report.spot, report.address, self.now()
        )
        self.recorder.host(host.id)
        return host

    def _digest(self, host: Host, outcome: Outcome) -> None:
        for run in outcome.adopted:
            # Taken for waiting until its machine reported it: planned again and again, it
            # would be refused each time and keep its room from everybody else.
            progress = self.progress.get(run.id.task.job)
            if progress is not None:
                progress.waiting.discard(run.id.task.number)
        for exit_ in outcome.exits:
            self._exited(host, exit_)
        for run in outcome.lost:
            log.info("attempt %s on %s is gone", run.id, host.id)
            self._requeue(run.id.task)
        if outcome.changed:
            self._dirty = True

    def _check_known(self) -> None:
        if not self._reported_known and self.ledger.all_known():
            self._reported_known = True
            log.info("token %d: every machine has answered or is fenced", self.token)
            self.make_dirty()

    def _exited(self, host: Host, exit_: Exit) -> None:
        run = exit_.run
        job = run.id.task.job
        progress = self.progress.get(job)
        log.info("attempt %s on %s exited: %s", run.id, host.id, exit_.why.value)
        if exit_.why is Why.DONE:
            host.errors = 0
            host.error_at = None
            if progress is not None:
                progress.finished += 1
                progress.errors = 0
                if run.duration_s is not None and run.running_at is not None:
                    self.estimates.learn(progress.spec, run.duration_s)
            if not run.service:
                self.recorder.job(job)
                return
        elif exit_.why is Why.ERROR and progress is not None:
            self._failed(host, job, progress)
        elif exit_.why in (Why.NO_ROOM, Why.BUSY, Why.UNKNOWN) and progress is not None:
            progress.held_until = MonotonicTime(self.now() + REFUSED_HOLD_S)
        self._requeue(run.id.task)

    def _failed(self, host: Host, job: JobId, progress: JobProgress) -> None:
        """Mostly the machine is faulty; a job that fails on many machines is so itself."""
        now = self.now()
        progress.errors += 1
        progress.error_hosts.add(host.id)
        broken = len(progress.error_hosts) >= BROKEN_JOB_HOSTS and progress.finished == 0
        if broken:
            hold = min(MAX_ERROR_HOLD_S, ERROR_HOLD_S * 2 ** min(progress.errors, 6))
            progress.held_until = MonotonicTime(now + hold)
            log.info("job %s fails on every machine: held for %.0f s", job, hold)
            return
        host.errors += 1
        host.error_at = now
        if host.errors >= self.settings.operator.sick_after_errors and host.draining is None:
            host.draining = "tasks fail on it"
            log.info("host %s is quarantined after %d errors", host.id, host.errors)

    def _requeue(self, task: TaskId) -> None:
        record = self.view.active.get(task.job)
        progress = self.progress.get(task.job)
        if record is None or progress is None or task in self.ledger.present:
            return
        if task.number < progress.spec.tasks and not self.ledger.is_done(record, task.number):
            progress.waiting.add(task.number)
            self._dirty = True

    # -- placement ---------------------------------------------------------------------

    def make_dirty(self) -> None:
        self._dirty = True
        if self._plan_timer is None:
            wait = self._planned_at + self.settings.operator.schedule_interval_s - self.now()
            loop = asyncio.get_running_loop()
            self._plan_timer = loop.call_later(max(wait, 0.0), self._plan_due)

    def _plan_due(self) -> None:
        self._plan_timer = None
        self.schedule(due=True)

    def schedule(self, due: bool = False) -> None:
        """Place what waits, and hand the commands out."""
        try:
            self._schedule(due)
        except Exception:
            # A job that placement can't cope with must not take leadership along: the
            # next leader would meet the same job, and no worker would be heard any more.
            log.exception("placement failed")

    def _schedule(self, due: bool) -> None:
        now = self.now()
        if not self._dirty or not self.may_start():
            return
        if not due and now - self._planned_at < self.settings.operator.schedule_interval_s:
            self.make_dirty()
            return
        self._dirty = False
        self._planned_at = now
        snapshot = self.picture.snapshot(self.progress, now, WallTime(self.wall()))
        snapshot.held = self.held
        decided = plan(snapshot, self._policy())
        self.held = decided.reservations
        self._carry_out(decided, now)

    def _policy(self) -> Policy:
        operator = self.settings.operator
        return Policy(
            reservations=operator.reservation,
            backfill=bool(operator.backfill),
            background=bool(operator.background),
            lifting=bool(operator.lifting),
            preemption=bool(operator.preemption),
            moves=operator.move_budget,
        )

    def _carry_out(self, decided: Plan, now: MonotonicTime) -> None:
        touched: set[HostId] = set()
        for stop in decided.stops:
            host = self.ledger.hosts.get(stop.host)
            run = host.runs.get(stop.attempt) if host is not None else None
            if host is None or run is None:
                continue
            record = self.view.jobs.get(run.id.task.job)
            save = stop.save and record is not None and record.spec is not None
            grace = record.spec.save_s if save and record and record.spec else 0.0
            log.info("stop %s on %s: %s", run.id, host.id, stop.reason)
            self.ledger.stop(run, Duration(grace))
            if run.id not in host.runs:
                self._requeue(run.id.task)
            touched.add(host.id)
        for attempt in decided.lifts:
            for run in self.ledger.present.get(attempt.task, ()):
                if run.id == attempt:
                    run.tier = Tier.FOREGROUND
        for start in decided.starts:
            record = self.view.active.get(start.task.job)
            host = self.ledger.hosts.get(start.host)
            progress = self.progress.get(start.task.job)
            if record is None or host is None or progress is None:
                continue
            made = self.ledger.plan_start(record, start.task, host, start.tier, now)
            if isinstance(made, str):
                log.debug("start of %s on %s refused: %s", start.task, host.id, made)
                if start.task in self.ledger.present or self.ledger.is_done(
                    record, start.task.number
                ):
                    progress.waiting.discard(start.task.number)
                continue
            progress.waiting.discard(start.task.number)
            log.info(
                "start %s on %s, token %d, %s",
                made.id,
                host.id,
                self.token,
                start.tier.name.lower(),
            )
            touched.add(host.id)
        for host_id in touched:
            self.talk(host_id)

    def _log_commands(self, host: Host, commands: list[Command]) -> None:
        if commands:
            log.debug("host %s is told %d commands", host.id, len(commands))

    # -- direct commands -----------------------------------------------------------------

    def talk(self, host_id: HostId) -> None:
        """Send what can't wait for the next report, one call at a time a machine."""
        if self.settings.operator.direct_commands and host_id not in self.talking:
            self.talking.add(host_id)
            self.spawn(self._talk(host_id))

    async def _talk(self, host_id: HostId) -> None:
        try:
            # Commands that the report being answered takes along need no call of their own.
            await asyncio.sleep(DIRECT_GAP_S)
            for _ in range(3):
                host = self.ledger.hosts.get(host_id)
                if host is None or not host.known or not self.may_start():
                    return
                if not self.ledger.has_direct(host) or not host.address:
                    return
                if not await self._call(host):
                    return
        finally:
            self.talking.discard(host_id)

    async def _call(self, host: Host) -> bool:
        commands = self.ledger.commands(host, direct=True, starts=True)
        if not commands:
            return False
        starts = [c.id for c in commands if isinstance(c, workers.Start)]
        session = host.session
        try:
            done, report = await workers.send_commands(
                self._client(host), self.token, session, commands, DIRECT_TIMEOUT_S
            )
        except (NoResponse, BadMessage) as error:
            # They may be carried out minutes late, so they stay on the books.
            log.info("host %s: no answer to %d commands: %s", host.id, len(commands), error)
            self._drop_client(host.id)
            return False
        self._direct_answer(host, report, starts)
        return done

    def _direct_answer(self, host: Host, report: Report, starts: list[AttemptId]) -> None:
        if self.ledger.hosts.get(host.id) is not host or report.host != host.id:
            return
        self.ledger.answered(host, starts)
        if report.token > self.token:
            self.deposed()
            return
        outcome = self.ledger.ingest(report, self.now(), direct=True)
        if outcome.accepted:
            self._digest(host, outcome)
            self._check_known()
            if outcome.changed:
                self.make_dirty()

    async def _probe(self, host: Host) -> None:
        """Tell a machine of the new token and hear what it has, without waiting for it."""
        while self.ledger.hosts.get(host.id) is host and not host.known and not host.fenced:
            try:
                client = self._client(host)
                status = await workers.get_status(client, DIRECT_TIMEOUT_S)
                if status.host != host.id:
                    return
                _, report = await workers.send_commands(
                    client, self.token, status.session, [], DIRECT_TIMEOUT_S
                )
                self._direct_answer(host, report, [])
            except (NoResponse, BadMessage) as error:
                log.debug("probe of %s: %s", host.id, error)
                self._drop_client(host.id)
            await asyncio.sleep(PROBE_GAP_S)

    def _client(self, host: Host) -> Client:
        client = self.clients.get(host.id)
        if client is None:
            name, _, port = host.address.rpartition(":")
            if not port.isdigit():
                raise BadMessage(f"address {host.address!r}")
            client = self.connect(name, int(port), WORKER_LINKS)
            self.clients[host.id] = client
        return client

    def _drop_client(self, host: HostId) -> None:
        client = self.clients.pop(host, None)
        if client is not None:
            client.close()

    # -- time ----------------------------------------------------------------------------

    def _log_fleet(self) -> None:
        hosts = [h for h in self.ledger.hosts.values() if not h.fenced]
        up = [h for h in hosts if h.known]
        waiting = sum(len(p.waiting) * p.spec.need.cpus for p in self.progress.values())
        log.info(
            "fleet: %d of %d machines up, %g cpus, %g used, %g waited for, %d jobs",
            len(up),
            len(hosts),
            sum(h.room.cpus for h in up),
            sum(h.used.cpus for h in up),
            waiting,
            len(self.progress),
        )

    async def _tick(self) -> None:
        scaled_at = logged_at = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = self.now()
            for run in self.ledger.expire(now):
                self._requeue(run.id.task)
            self._check_known()
            self._look_after_hosts(now)
            self._dirty = True
            self.schedule()
            if now - scaled_at >= SCALE_S and self.may_start():
                scaled_at = now
                self._scale(now)
            if now - logged_at >= LOG_S:
                logged_at = now
                self._log_fleet()

    def _look_after_hosts(self, now: MonotonicTime) -> None:
        doomed: list[HostId] = []
        for host in list(self.ledger.hosts.values()):
            reason = self._doomed(host, now)
            if reason is not None and not host.deleting and self.may_start():
                log.info("host %s is returned: %s", host.id, reason)
                host.deleting = True
                doomed.append(host.id)
            elif host.known and self.ledger.has_direct(host):
                self.talk(host.id)
        if doomed:
            self.spawn(self._delete(doomed))

    def _doomed(self, host: Host, now: MonotonicTime) -> str | None:
        listed = self.listed.get(host.id)
        if listed is not None and listed.phase is HostPhase.FAILED:
            return "it failed"
        kind = self.types.get(host.type)
        heard = host.fed_at
        if not host.up and heard is None and host.created_at != self.ledger.took_over_at:
            patience = (kind.boot_s if kind else 30.0) * self.settings.operator.boot_patience
            if now - host.created_at > patience:
                return "it does not come up"
        silent_since = heard if heard is not None else host.created_at
        if (
            host.up or host.fenced
        ) and now - silent_since > self.settings.operator.silent_return_s:
            return "it is silent"
        busy = any(run.occupies for run in host.runs.values())
        if host.draining is not None and host.known and host.notice_at is None and not busy:
            return host.draining
        return None

    # -- machines ------------------------------------------------------------------------

    def _scale(self, now: MonotonicTime) -> None:
        if self.renting or not self._reported_known:
            return
        demands = self.picture.demands(self.progress, now)
        hold = self.settings.operator.capacity_retry_s
        refused = {offer for offer, at in self.refused.items() if now - at < hold}
        if not self.settings.operator.spot_allowed:
            refused |= {
                Offer(kind.name, zone, True)
                for kind in self.types.values()
                for zone in kind.zones
            }
        decision = autoscaler.decide(
            self.types,
            self.picture.fleet(now),
            demands,
            refused,
            self.picture.kept_cpus(demands, now),
            self.settings.operator.idle_return_s,
        )
        if decision.rent:
            self.renting += 1
            self.spawn(self._rent_all(decision.rent))
        for host_id in decision.give_back:
            host = self.ledger.hosts[host_id]
            if host.draining is None:
                host.draining = "not needed"

    async def _rent_all(self, wanted: list[Rent]) -> None:
        try:
            rentals = []
            for rent in wanted:
                self.rental_count += 1
                # Token and count: no name is reused, by any leader.
                name = RentalId(f"r-{self.token}-{self.rental_count}")
                offer = rent.offer
                rentals.append(Rental(name, offer.type, offer.zone, offer.spot, rent.number))
            await self.recorder.record_rentals(rentals)
            for rental in rentals:
                await self._rent(rental)
        finally:
            self.renting -= 1

    async def _rent(self, rental: Rental) -> None:
        offer = Offer(rental.type, rental.zone, rental.spot)
        while True:
            try:
                hosts = await self.cloud.rent(rental)
            except NoCapacity:
                self.refused[offer] = self.now()
                log.info("rental %s: no capacity for %s", rental.id, offer)
                hosts = []
            except (CloudTrouble, NoResponse, BadMessage) as error:
                log.info("rental %s: %s", rental.id, error)
                await asyncio.sleep(2.0)
                continue
            break
        if hosts:
            log.info(
                "rental %s: %s gives %d of %d", rental.id, offer, len(hosts), rental.number
            )
            if len(hosts) < rental.number:
                self.refused[offer] = self.now()
        for host in hosts:
            if host not in self.ledger.hosts and host not in self.ledger.gone:
                self.ledger.add_host(
                    host, rental.type, rental.zone, rental.spot, "", self.now()
                )
                self.recorder.host(host)
        self.recorder.end_rental(rental.id)
        self.make_dirty()

    async def _delete(self, hosts: list[HostId]) -> None:
        while True:
            try:
                await self.cloud.delete(hosts)
                break
            except (CloudTrouble, NoCapacity, NoResponse, BadMessage) as error:
                log.info("delete of %s: %s", ", ".join(hosts), error)
                await asyncio.sleep(2.0)
        for host in hosts:
            for run in self.ledger.delete_completed(host):
                self._requeue(run.id.task)
            self._drop_client(host)
            self.listed.pop(host, None)
            self.recorder.host(host)
        self.make_dirty()

    async def _list_machines(self) -> None:
        gap = max(4.0, 2.0 / self.settings.cloud_rps)
        while True:
            try:
                found = await self.cloud.machines()
            except (CloudTrouble, NoCapacity, NoResponse, BadMessage, ValueError) as error:
                log.info("machine list: %s", error)
            else:
                self._listed(found)
            await asyncio.sleep(gap)

    def _listed(self, found: list[Listed]) -> None:
        self.listed = {item.host: item for item in found}
        for item in found:
            if item.host in self.ledger.hosts or item.host in self.ledger.gone:
                continue
            if item.phase is HostPhase.RUNNING:
                continue  # its worker reports by itself, or it is gone already
            # A rental whose answer was lost, or that was carried out late: it costs money.
            log.info(
                "host %s is listed as %s and was not expected", item.host, item.phase.value
            )
            self.ledger.add_host(
                item.host, item.type, item.zone, item.spot, item.address, self.now()
            )
            self.recorder.host(item.host)
