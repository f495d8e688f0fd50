"""Care of the machines: renting, listing, returning."""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from dunehold.bookkeeping.hosts import Host, Run
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.view import View
from dunehold.coordination.fleet import autoscaler
from dunehold.coordination.fleet.autoscaler import Rent
from dunehold.coordination.persistence.recorder import Recorder
from dunehold.coordination.planning.offers import Offer
from dunehold.coordination.planning.progress import JobProgress
from dunehold.coordination.planning.snapshot_builder import SnapshotBuilder
from dunehold.coordination.zones.monitor import ZoneMonitor
from dunehold.protocol.cloud import (
    MAX_MACHINES_PER_DELETE,
    MAX_MACHINES_PER_PAGE,
    CloudClient,
    CloudUnavailable,
    HostPhase,
    ListedMachine,
    MachineType,
    NoCapacity,
    Rental,
)
from dunehold.protocol.codec import BadMessage
from dunehold.settings import Settings
from dunehold.transport.http import NoResponse
from dunehold.types import (
    HostId,
    JobId,
    MonotonicTime,
    OrderId,
    RentalId,
    Token,
    TypeName,
    Zone,
)

log = logging.getLogger(__name__)

RETRY_S = 2.0
LIST_INTERVAL_S = 5.0
LIST_RATE_SHARE = 0.2  # of the cloud's calls
NOTICE_MARGIN_S = 1.0
QUARANTINE_S = 15.0  # before a machine on which tasks fail is returned
LIST_CERTAIN_AFTER_LAGS = (
    3.0  # a list may be twice its lag old; clocks and calls take some more
)
LATE_AFTER_BOOT_TIMES = 2.0  # boot times of its type: most machines are up after 0.6 to 1.5
BOOT_HISTORY_S = 120.0
UNRELIABLE_SHARE, MIN_BOOT_SAMPLES = 0.4, 3  # late ones among the latest boots of a kind
CLOUD_ERRORS = (CloudUnavailable, NoResponse, BadMessage)


@dataclass(slots=True)
class Fleet:
    settings: Settings
    view: View
    ledger: Ledger
    recorder: Recorder
    cloud: CloudClient
    snapshot_builder: SnapshotBuilder
    token: Token
    types: dict[TypeName, MachineType]
    may_start: Callable[[], bool]
    spawn: Callable[[Coroutine[Any, Any, None]], None]
    on_lost: Callable[[list[Run]], None]
    on_removed: Callable[[HostId], None]
    on_change: Callable[[], None]
    zones: ZoneMonitor
    capacity_refused_at: dict[Offer, MonotonicTime] = field(default_factory=dict)
    boot_history: dict[Offer, deque[tuple[MonotonicTime, bool]]] = field(default_factory=dict)
    overdue_hosts: set[HostId] = field(default_factory=set)  # that should be up by now
    rentals_for_orders: dict[OrderId, list[Rent]] = field(
        default_factory=dict
    )  # wanted for orders
    is_retained: Callable[[HostId], bool] = lambda host: False  # not returned for being idle
    excluded_offers: Callable[[], set[Offer]] = set  # nothing of these is rented
    listed: dict[HostId, ListedMachine] = field(default_factory=dict)
    all_silent_at: MonotonicTime = MonotonicTime(-math.inf)  # nobody heard any machine then
    _list_covers_until: MonotonicTime = MonotonicTime(
        -math.inf
    )  # a list shows what was rented before
    _renting: bool = False
    _rentals: int = 0
    _open: set[RentalId] = field(default_factory=set)  # intents that are still needed

    def start(self) -> None:
        self.spawn(self._list_machines())
        for rental in list(self.view.rentals.values()):
            # Its answer may have been lost with the leader before.
            self._open.add(rental.id)
            self.spawn(self._rent(rental))

    @staticmethod
    def now() -> MonotonicTime:
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- returning -----------------------------------------------------------------------

    def return_hosts(self, now: MonotonicTime, attentive_since: MonotonicTime) -> None:
        """Return what failed, is silent, or is not wanted any more."""
        doomed: list[Host] = []
        if not self.may_start():
            return
        self._end_stale_rentals()
        for host in self.ledger.hosts.values():
            if host.deleting:
                continue
            if host.fenced and host.recorded:
                self.recorder.record_host(host.id)  # nothing is on it: nobody need wait for it
            reason = self._return_reason(host, now, attentive_since)
            if reason is not None:
                log.info("host %s is returned: %s", host.id, reason)
                doomed.append(host)
        self._start_delete(doomed)

    def _start_delete(self, hosts: list[Host]) -> None:
        for host in hosts:
            host.deleting = True
        for first in range(0, len(hosts), MAX_MACHINES_PER_DELETE):
            self.spawn(
                self._delete(
                    [host.id for host in hosts[first : first + MAX_MACHINES_PER_DELETE]]
                )
            )

    def _return_reason(
        self, host: Host, now: MonotonicTime, attentive_since: MonotonicTime
    ) -> str | None:
        operator = self.settings.operator
        listed = self.listed.get(host.id)
        if listed is not None and listed.phase is HostPhase.FAILED:
            return "it failed"
        if host.reclaim_at is not None:
            # The answer to a delete proves at once that nothing is left on it.
            if now > host.reclaim_at + NOTICE_MARGIN_S:
                return "its notice is over"
            return None if host.busy or not host.session_known else "it is taken back"
        heard = host.lease_renewed_at
        if not host.up and heard is None and host.created_at != self.ledger.took_over_at:
            kind = self.types.get(host.type)
            boots = operator.boot_patience
            if self.zones.is_lost(host.zone):
                boots = min(boots, LATE_AFTER_BOOT_TIMES)  # nobody there will hear of it
            patience = (kind.boot_s if kind else 30.0) * boots
            since = max(
                host.created_at + patience,
                attentive_since + self.snapshot_builder.report_timeout_s,
            )
            if self._is_sentinel(host):
                return None
            return "it does not come up" if now > since else None
        silent_since = max(heard if heard is not None else host.created_at, attentive_since)
        if (host.up or host.fenced) and now - silent_since > operator.silent_return_s:
            return self._silent(host, now)
        if host.draining is None or not host.session_known:
            return None
        if host.quarantined_at is not None and now - host.quarantined_at < QUARANTINE_S:
            return None  # what failed there may yet turn out to fail everywhere
        return None if host.busy or host.retained_by_order else host.draining

    def _silent(self, host: Host, now: MonotonicTime) -> str | None:
        """Machines beyond a cut that work on are kept, and a few to tell of its end."""
        if host.busy and self.zones.is_relayed(host.zone, now):
            return None
        return None if self._is_sentinel(host) else "it is silent"

    def _is_sentinel(self, host: Host) -> bool:
        """In a lost zone, as long as the cloud still has it."""
        listed = host.id in self.listed or host.created_at >= self._list_covers_until
        return listed and host.id in self.zones.sentinels

    async def _delete(self, hosts: list[HostId]) -> None:
        while True:
            try:
                await self.cloud.delete(hosts)
                break
            except (*CLOUD_ERRORS, NoCapacity) as error:
                log.info("delete of %s: %s", ", ".join(hosts), error)
                await asyncio.sleep(RETRY_S)
        for host in hosts:
            self._finish_delete(host)
        self.on_change()

    def _finish_delete(self, host: HostId) -> None:
        self.on_lost(self.ledger.on_host_deleted(host))
        self.on_removed(host)
        self.overdue_hosts.discard(host)
        self.listed.pop(host, None)
        self.recorder.record_host(host)

    # -- booting -------------------------------------------------------------------------

    def record_boots(self, now: MonotonicTime) -> None:
        """Machines that are late are not counted on any more, and how boots of a kind went
        lately decides where the next are asked for. One that comes up after all is used."""
        for host in self.ledger.hosts.values():
            kind = self.types.get(host.type)
            if host.up or host.lease_renewed_at is not None:
                if host.id in self.overdue_hosts:
                    self.overdue_hosts.discard(host.id)
                    log.info("host %s is up after all", host.id)
                elif host.up and not host.boot_noted:
                    self._record_boot(host, now, late=False)
                host.boot_noted = True
            elif (
                kind is not None
                and not host.deleting
                and host.id not in self.overdue_hosts
                and host.created_at != self.ledger.took_over_at
                and now - host.created_at > LATE_AFTER_BOOT_TIMES * kind.boot_s
            ):
                self.overdue_hosts.add(host.id)
                self._record_boot(host, now, late=True)
                host.boot_noted = True
                log.info("host %s is late: not counted on", host.id)

    def _record_boot(self, host: Host, now: MonotonicTime, late: bool) -> None:
        offer = Offer(host.type, host.zone, host.spot)
        self.boot_history.setdefault(offer, deque(maxlen=50)).append((now, late))

    def unreliable_offers(self, now: MonotonicTime) -> set[Offer]:
        """Kinds of which many came up late, or never, lately."""
        found = set()
        for offer, noted in self.boot_history.items():
            lately = [late for at, late in noted if now - at < BOOT_HISTORY_S]
            if len(lately) >= MIN_BOOT_SAMPLES and sum(lately) > UNRELIABLE_SHARE * len(lately):
                found.add(offer)
        return found

    # -- renting -------------------------------------------------------------------------

    def presumed_lost(self, host: Host) -> bool:
        """Silent when no controller heard any machine, or in a lost zone: not counted on until
        it speaks."""
        if self.zones.presumed_lost(host):
            return True
        return not host.session_known and host.created_at <= self.all_silent_at

    def scale(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> None:
        if self._renting:
            return
        demands = self.snapshot_builder.demands(jobs, now)
        hold = self.settings.operator.capacity_retry_s
        refused = {offer for offer, at in self.capacity_refused_at.items() if now - at < hold}
        spot_allowed = bool(self.settings.operator.spot_allowed)
        closed = {zone for zone in self.settings.zones if not self.zones.rent_limit(zone)}
        refused |= {
            Offer(kind.name, zone, spot)
            for kind in self.types.values()
            for zone in kind.zones
            for spot in (True, False)
            if zone in closed or (spot and not spot_allowed)
        }
        refused |= self.excluded_offers()
        decision = autoscaler.decide(
            self.types,
            [
                host
                for host in self.snapshot_builder.fleet_hosts(now)
                if host.id not in self.overdue_hosts
                and not self.presumed_lost(self.ledger.hosts[host.id])
            ],
            demands,
            refused,
            self.unreliable_offers(now),
            self.snapshot_builder.peak_demand_cpus(demands, now),
            self.settings.operator.idle_return_s,
        )
        extra = [rent for rents in self.rentals_for_orders.values() for rent in rents]
        self.rentals_for_orders.clear()
        wanted = self._probe_rentals(now) + self._apply_zone_limits(decision.rent + extra)
        if wanted:
            self._renting = True
            self.spawn(self._rent_all(wanted))
        for host_id in decision.release:
            host = self.ledger.hosts[host_id]
            if host.draining is None and not self.is_retained(host_id):
                host.draining = "not needed"

    def recently_refused(self, offer: Offer, now: MonotonicTime) -> bool:
        """The cloud had no more of it when it was last asked."""
        at = self.capacity_refused_at.get(offer)
        return at is not None and now - at < self.settings.operator.capacity_retry_s

    def _apply_zone_limits(self, wanted: list[Rent]) -> list[Rent]:
        """A zone that is back is filled in steps until it is trusted."""
        left: dict[Zone, int] = {}
        found = []
        for rent in wanted:
            zone = rent.offer.zone
            allowed = left.setdefault(zone, self.zones.rent_limit(zone))
            number = min(rent.number, allowed)
            left[zone] = allowed - number
            if number > 0:
                found.append(Rent(rent.offer, number))
        return found

    def _probe_rentals(self, now: MonotonicTime) -> list[Rent]:
        """One machine, the cheapest, in each lost zone where none is left to be heard."""
        found = []
        for zone in self.zones.zones_to_probe(now):
            kinds = [kind for kind in self.types.values() if zone in kind.zones]
            if kinds:
                cheapest = min(kinds, key=lambda kind: kind.price)
                log.info("zone %s: a machine is rented to hear of its return", zone)
                found.append(Rent(Offer(cheapest.name, zone, False), 1))
        return found

    async def _rent_all(self, wanted: list[Rent]) -> None:
        try:
            rentals = []
            for rent in wanted:
                self._rentals += 1
                # Token and count: no name is reused, by any leader.
                name = RentalId(f"r-{self.token}-{self._rentals}")
                offer = rent.offer
                self._open.add(name)
                rentals.append(Rental(name, offer.type, offer.zone, offer.spot, rent.number))
            await self.recorder.record_rentals(rentals)
            offers: dict[Offer, list[Rental]] = {}
            for rental in rentals:
                offers.setdefault(_offer(rental), []).append(rental)
            async with asyncio.TaskGroup() as group:
                for same in sorted(offers.values(), key=self._cpus, reverse=True):
                    group.create_task(self._rent_offer(same))
        finally:
            self._renting = False

    def _cpus(self, rentals: list[Rental]) -> float:
        """What a call brings: calls are few, and those that bring most go first."""
        return max(self.types[r.type].capacity.cpus * r.count for r in rentals)

    async def _rent_offer(self, rentals: list[Rental]) -> None:
        """One after the other: once the cloud has no more, further calls are wasted."""
        began = self.now()
        for rental in rentals:
            at = self.capacity_refused_at.get(_offer(rental))
            if at is None or at < began:
                await self._rent(rental)
            else:
                self._end(rental.id)  # never asked for

    async def _rent(self, rental: Rental) -> None:
        offer = _offer(rental)
        while True:
            try:
                hosts = await self.cloud.rent(rental)
                break
            except NoCapacity:
                log.info("rental %s: no capacity for %s", rental.id, offer)
                hosts = []
                break
            except CLOUD_ERRORS as error:
                log.info("rental %s: %s", rental.id, error)
                await asyncio.sleep(RETRY_S)
        log.info("rental %s: %s gives %d of %d", rental.id, offer, len(hosts), rental.count)
        if len(hosts) < rental.count:
            self.capacity_refused_at[offer] = self.now()
        for host in hosts:
            if host not in self.ledger.hosts and host not in self.ledger.deleted_hosts:
                self.ledger.add_host(
                    host, rental.type, rental.zone, rental.spot, "", self.now()
                )
        self.on_change()
        self.spawn(self._end_once_listed(rental, listed=bool(hosts)))

    async def _end_once_listed(self, rental: Rental, listed: bool) -> None:
        """Machines go on record once they are up. Until the list shows them, the rental is
        what a next leader has to go by: repeated, it names them and rents nothing."""
        if listed:
            await asyncio.sleep(LIST_CERTAIN_AFTER_LAGS * self.settings.list_lag_s)
        self._end(rental.id)

    def _end(self, rental: RentalId) -> None:
        self._open.discard(rental)
        self.recorder.end_rental(rental)

    def _end_stale_rentals(self) -> None:
        """Guards against an intent that was given up on, and comes late after its end: no
        version stands against a key that is absent once more, and the next leader would rent
        for a need of minutes ago."""
        for rental in self.view.rentals:
            if rental not in self._open:
                self.recorder.end_rental(rental)

    # -- listing -------------------------------------------------------------------------

    async def _list_machines(self) -> None:
        while True:
            asked = self.now()
            pages = 1
            try:
                found = await self.cloud.list_machines()
            except (*CLOUD_ERRORS, NoCapacity, ValueError) as error:
                log.info("machine list: %s", error)
            else:
                pages += len(found) // MAX_MACHINES_PER_PAGE
                self._take_list(found, asked)
            await asyncio.sleep(
                max(LIST_INTERVAL_S, pages / (LIST_RATE_SHARE * self.settings.cloud_rps))
            )

    def _take_list(self, found: list[ListedMachine], asked: MonotonicTime) -> None:
        self.listed = {item.host: item for item in found}
        self._list_covers_until = MonotonicTime(
            asked - LIST_CERTAIN_AFTER_LAGS * self.settings.list_lag_s
        )
        for item in found:
            host = self.ledger.hosts.get(item.host)
            if host is not None:
                host.address = host.address or item.address
                continue
            running = item.phase is HostPhase.RUNNING
            if item.host in self.ledger.deleted_hosts or (
                running and not self.zones.is_lost(item.zone)
            ):
                continue  # its worker reports by itself, or it is gone already
            # A rental whose answer was lost, or that was carried out late: it costs money.
            log.info("host %s is listed as %s unexpectedly", item.host, item.phase.value)
            self.ledger.add_host(
                item.host, item.type, item.zone, item.spot, item.address, self.now()
            )
        if not self.may_start():
            return
        lost: list[Host] = []
        for host in self.ledger.hosts.values():
            if (
                host.id not in self.listed
                and not host.session_known
                and not host.deleting
                and host.lease_renewed_at is None
                and host.created_at < self._list_covers_until
            ):
                # Once listed, a machine stays listed until it is gone, and a list should
                # not be older than twice its lag. But some are: only the answer to a delete
                # proves that nothing is left of a machine, and a name that is unknown to the
                # cloud is as good.
                log.info("host %s is not listed any more", host.id)
                lost.append(host)
        self._start_delete(lost)


def _offer(rental: Rental) -> Offer:
    return Offer(rental.type, rental.zone, rental.spot)
