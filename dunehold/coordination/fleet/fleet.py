"""Rents machines from the cloud, tracks them by its list and returns them.

A rental is recorded durably before the cloud is called, so that the next leader repeats a call
whose answer was lost. Repeating a rental by its name returns the same machines.
"""

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

RETRY_S = 2.0  # delay before a failed cloud call is repeated
LIST_INTERVAL_S = 5.0  # minimum time between two machine lists
LIST_RATE_SHARE = 0.2  # share of the cloud's request rate that listing may use
NOTICE_MARGIN_S = 1.0  # after the reclaim time of a spot machine, before it is deleted
QUARANTINE_S = 15.0  # how long a machine on which tasks fail is kept before it is returned
# List lags after which a list is sure to show a machine: a list may be twice its lag old, and
# clock error and the duration of the calls add to that.
LIST_CERTAIN_AFTER_LAGS = 3.0
# Boot times of its type after which a machine is overdue. Most are up after 0.6 to 1.5 of them.
LATE_AFTER_BOOT_TIMES = 2.0
DEFAULT_BOOT_S = 30.0  # assumed for a machine of an unknown type
BOOT_HISTORY_S = 120.0  # how long the outcome of a boot counts
UNRELIABLE_SHARE = 0.4  # share of late boots above which an offer is unreliable
MIN_BOOT_SAMPLES = 3  # boots in the history before an offer is judged
MAX_BOOT_SAMPLES = 50  # boots that are kept for each offer
CLOUD_ERRORS = (CloudUnavailable, NoResponse, BadMessage)


@dataclass(slots=True)
class Fleet:
    """The leader's machines in the cloud.

    Attributes:
        may_start: tells whether this node may still act as the leader.
        spawn: runs a coroutine in the background for the duration of the term.
        on_lost: called with the runs that were on a deleted machine.
        on_removed: called with a machine that is deleted.
        on_change: called when machines were added or removed, so that scheduling runs again.
        capacity_refused_at: when the cloud last had fewer machines of an offer than requested.
        boot_history: time and lateness of the latest boots of each offer.
        overdue_hosts: machines that should be up by now; they do not count as capacity when
            renting.
        rentals_for_orders: machines to rent for maintenance orders.
        is_retained: tells whether an order keeps a machine from being returned when it is idle.
        excluded_offers: returns the offers of which nothing may be rented.
        listed: the cloud's latest list.
        all_silent_at: the latest time at which no controller received reports from any machine,
            or at which this leader stopped waiting for reports from the rest of the fleet.
    """

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
    overdue_hosts: set[HostId] = field(default_factory=set)
    rentals_for_orders: dict[OrderId, list[Rent]] = field(default_factory=dict)
    is_retained: Callable[[HostId], bool] = lambda host: False
    excluded_offers: Callable[[], set[Offer]] = set
    listed: dict[HostId, ListedMachine] = field(default_factory=dict)
    all_silent_at: MonotonicTime = MonotonicTime(-math.inf)
    # Machines that were rented before this time are sure to be in the latest list.
    _list_covers_until: MonotonicTime = MonotonicTime(-math.inf)
    _renting: bool = False  # rentals of the previous decision are still in progress
    _rental_count: int = 0  # rentals of this term, for their names
    _open_rentals: set[RentalId] = field(default_factory=set)  # whose records are still needed

    def start(self) -> None:
        """Starts listing machines and repeats the rentals that are on record."""
        self.spawn(self._list_machines())
        for rental in list(self.view.rentals.values()):
            # The previous leader may not have received or recorded the answer.
            self._open_rentals.add(rental.id)
            self.spawn(self._rent(rental))

    @staticmethod
    def now() -> MonotonicTime:
        """Returns the present time of the event loop's clock."""
        return MonotonicTime(asyncio.get_running_loop().time())

    # -- returning machines ----------------------------------------------------------------

    def return_hosts(self, now: MonotonicTime, attentive_since: MonotonicTime) -> None:
        """Deletes machines that failed, are silent or are not needed any more.

        ``attentive_since`` is the time since which this node has received reports without a
        break; silence before that is not held against a machine.
        """
        to_delete: list[Host] = []
        if not self.may_start():
            return
        self._end_stale_rentals()
        for host in self.ledger.hosts.values():
            if host.deleting:
                continue
            if host.fenced and host.recorded:
                # Everything on it is proved gone, so a next leader need not wait for it: its
                # record is removed.
                self.recorder.record_host(host.id)
            reason = self._return_reason(host, now, attentive_since)
            if reason is not None:
                log.info("returning host %s: %s", host.id, reason)
                to_delete.append(host)
        self._start_delete(to_delete)

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
        """Returns why a machine should be returned to the cloud now, or None."""
        operator = self.settings.operator
        listed = self.listed.get(host.id)
        if listed is not None and listed.phase is HostPhase.FAILED:
            return "it failed"
        if host.reclaim_at is not None:
            # The cloud takes the machine back by itself, but the answer to a delete proves at
            # once that nothing runs on it any more.
            if now > host.reclaim_at + NOTICE_MARGIN_S:
                return "its notice is over"
            return None if host.busy or not host.session_known else "it is taken back"
        heard = host.lease_renewed_at
        if not host.up and heard is None and host.created_at != self.ledger.took_over_at:
            machine_type = self.types.get(host.type)
            boot_times = operator.boot_patience
            if self.zones.is_lost(host.zone):
                # Its first report can't arrive from a lost zone, so waiting longer is no use.
                boot_times = min(boot_times, LATE_AFTER_BOOT_TIMES)
            timeout_s = (machine_type.boot_s if machine_type else DEFAULT_BOOT_S) * boot_times
            give_up_at = max(
                host.created_at + timeout_s,
                attentive_since + self.snapshot_builder.report_timeout_s,
            )
            if self._is_sentinel(host):
                return None
            return "it does not come up" if now > give_up_at else None
        silent_since = max(heard if heard is not None else host.created_at, attentive_since)
        if (host.up or host.fenced) and now - silent_since > operator.silent_return_s:
            return self._silence_reason(host, now)
        if host.draining is None or not host.session_known:
            return None
        if host.quarantined_at is not None and now - host.quarantined_at < QUARANTINE_S:
            # The tasks that failed on it may turn out to fail on all machines.
            return None
        return None if host.busy or host.retained_by_order else host.draining

    def _silence_reason(self, host: Host, now: MonotonicTime) -> str | None:
        """Returns why a silent machine should be returned, or None if it is kept.

        Two kinds of silent machines are kept: those that run work beyond a network partition,
        where a relay renews their leases, and the sentinels of a lost zone, whose reports show
        that the zone is reachable again.
        """
        if host.busy and self.zones.is_relayed(host.zone, now):
            return None
        return None if self._is_sentinel(host) else "it is silent"

    def _is_sentinel(self, host: Host) -> bool:
        """Tells whether a machine is a sentinel of a lost zone and the cloud still has it."""
        listed = host.id in self.listed or host.created_at >= self._list_covers_until
        return listed and host.id in self.zones.sentinels

    async def _delete(self, hosts: list[HostId]) -> None:
        while True:
            try:
                await self.cloud.delete(hosts)
                break
            except (*CLOUD_ERRORS, NoCapacity) as error:
                log.info("delete of %s failed, trying again: %s", ", ".join(hosts), error)
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

    # -- booting ---------------------------------------------------------------------------

    def record_boots(self, now: MonotonicTime) -> None:
        """Notes which machines booted in time and which are overdue.

        An overdue machine does not count as capacity when machines are rented, until it comes
        up after all. The share of late boots of an offer decides whether it is unreliable.
        """
        for host in self.ledger.hosts.values():
            machine_type = self.types.get(host.type)
            if host.up or host.lease_renewed_at is not None:
                if host.id in self.overdue_hosts:
                    self.overdue_hosts.discard(host.id)
                    log.info("overdue host %s is up", host.id)
                elif host.up and not host.boot_noted:
                    self._record_boot(host, now, late=False)
                host.boot_noted = True
            elif (
                machine_type is not None
                and not host.deleting
                and host.id not in self.overdue_hosts
                and host.created_at != self.ledger.took_over_at
                and now - host.created_at > LATE_AFTER_BOOT_TIMES * machine_type.boot_s
            ):
                self.overdue_hosts.add(host.id)
                self._record_boot(host, now, late=True)
                host.boot_noted = True
                log.info("host %s is overdue: it no longer counts as capacity", host.id)

    def _record_boot(self, host: Host, now: MonotonicTime, late: bool) -> None:
        offer = Offer(host.type, host.zone, host.spot)
        self.boot_history.setdefault(offer, deque(maxlen=MAX_BOOT_SAMPLES)).append((now, late))

    def unreliable_offers(self, now: MonotonicTime) -> set[Offer]:
        """Returns the offers of which many machines booted late or not at all lately."""
        found = set()
        for offer, boots in self.boot_history.items():
            recent = [late for at, late in boots if now - at < BOOT_HISTORY_S]
            if len(recent) >= MIN_BOOT_SAMPLES and sum(recent) > UNRELIABLE_SHARE * len(recent):
                found.add(offer)
        return found

    # -- renting ---------------------------------------------------------------------------

    def presumed_lost(self, host: Host) -> bool:
        """Tells whether a machine is left out of the capacity when machines are rented.

        That holds for a machine that has not reported under this leader's token and either is
        in a lost zone or was created before ``all_silent_at``. It counts once it reports.
        """
        if self.zones.presumed_lost(host):
            return True
        return not host.session_known and host.created_at <= self.all_silent_at

    def scale(self, jobs: dict[JobId, JobProgress], now: MonotonicTime) -> None:
        """Decides what to rent, starts the rentals and marks unneeded hosts for draining.

        Does nothing while the rentals of the previous decision are in progress.
        """
        if self._renting:
            return
        demands = self.snapshot_builder.demands(jobs, now)
        retry_s = self.settings.operator.capacity_retry_s
        refused = {
            offer for offer, at in self.capacity_refused_at.items() if now - at < retry_s
        }
        spot_allowed = bool(self.settings.operator.spot_allowed)
        closed = {zone for zone in self.settings.zones if not self.zones.rent_limit(zone)}
        refused |= {
            Offer(machine_type.name, zone, spot)
            for machine_type in self.types.values()
            for zone in machine_type.zones
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
        for_orders = [rent for rents in self.rentals_for_orders.values() for rent in rents]
        self.rentals_for_orders.clear()
        wanted = self._probe_rentals(now) + self._apply_zone_limits(decision.rent + for_orders)
        if wanted:
            self._renting = True
            self.spawn(self._rent_all(wanted))
        for host_id in decision.release:
            host = self.ledger.hosts[host_id]
            if host.draining is None and not self.is_retained(host_id):
                host.draining = "not needed"

    def recently_refused(self, offer: Offer, now: MonotonicTime) -> bool:
        """Tells whether the cloud lacked capacity for an offer within ``capacity_retry_s``."""
        at = self.capacity_refused_at.get(offer)
        return at is not None and now - at < self.settings.operator.capacity_retry_s

    def _apply_zone_limits(self, wanted: list[Rent]) -> list[Rent]:
        """Cuts rentals down to what each zone allows: a recovering zone is filled in steps."""
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
        """Returns a rental of one machine of the cheapest type for each zone to probe.

        Its first report shows that a lost zone without machines is reachable again.
        """
        found = []
        for zone in self.zones.zones_to_probe(now):
            machine_types = [
                machine_type
                for machine_type in self.types.values()
                if zone in machine_type.zones
            ]
            if machine_types:
                cheapest = min(machine_types, key=lambda machine_type: machine_type.price)
                log.info("zone %s is lost and has no machines: renting one as a probe", zone)
                found.append(Rent(Offer(cheapest.name, zone, False), 1))
        return found

    async def _rent_all(self, wanted: list[Rent]) -> None:
        try:
            rentals = []
            for rent in wanted:
                self._rental_count += 1
                # The token is unique to this term, so no leader ever reuses a name.
                name = RentalId(f"r-{self.token}-{self._rental_count}")
                offer = rent.offer
                self._open_rentals.add(name)
                rentals.append(Rental(name, offer.type, offer.zone, offer.spot, rent.number))
            await self.recorder.record_rentals(rentals)
            by_offer: dict[Offer, list[Rental]] = {}
            for rental in rentals:
                by_offer.setdefault(_offer(rental), []).append(rental)
            async with asyncio.TaskGroup() as group:
                for same in sorted(
                    by_offer.values(), key=self._max_cpus_per_call, reverse=True
                ):
                    group.create_task(self._rent_offer(same))
        finally:
            self._renting = False

    def _max_cpus_per_call(self, rentals: list[Rental]) -> float:
        """Returns the most CPUs that one of these rentals brings.

        The rate of cloud calls is limited, so the offers whose calls bring most go first.
        """
        return max(self.types[r.type].capacity.cpus * r.count for r in rentals)

    async def _rent_offer(self, rentals: list[Rental]) -> None:
        """Carries out rentals of one offer one after the other.

        Once the cloud has no capacity left, the remaining rentals are dropped: further calls
        would be wasted.
        """
        began = self.now()
        for rental in rentals:
            at = self.capacity_refused_at.get(_offer(rental))
            if at is None or at < began:
                await self._rent(rental)
            else:
                self._end_rental(rental.id)

    async def _rent(self, rental: Rental) -> None:
        """Calls the cloud until it answers, and adds the machines to the ledger."""
        offer = _offer(rental)
        while True:
            try:
                hosts = await self.cloud.rent(rental)
                break
            except NoCapacity:
                log.info("rental %s: cloud has no capacity for %s", rental.id, offer)
                hosts = []
                break
            except CLOUD_ERRORS as error:
                log.info("rental %s failed, trying again: %s", rental.id, error)
                await asyncio.sleep(RETRY_S)
        log.info(
            "rental %s: %s, got %d of %d machines", rental.id, offer, len(hosts), rental.count
        )
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
        """Removes the rental's record once the cloud's list shows its machines.

        Machines are recorded once they are up. Until the list shows them, a next leader learns
        of them only by the rental: repeating it returns their names and rents nothing more.
        """
        if listed:
            await asyncio.sleep(LIST_CERTAIN_AFTER_LAGS * self.settings.list_lag_s)
        self._end_rental(rental.id)

    def _end_rental(self, rental: RentalId) -> None:
        self._open_rentals.discard(rental)
        self.recorder.end_rental(rental)

    def _end_stale_rentals(self) -> None:
        """Removes records of rentals that this leader has ended already.

        A write of a rental's record that timed out may be applied after the record was removed:
        the key is absent again, so the guard on its version does not refuse the write. Without
        this check, the next leader would repeat the rental for demand of minutes ago.
        """
        for rental in self.view.rentals:
            if rental not in self._open_rentals:
                self.recorder.end_rental(rental)

    # -- listing ---------------------------------------------------------------------------

    async def _list_machines(self) -> None:
        while True:
            requested_at = self.now()
            pages = 1
            try:
                found = await self.cloud.list_machines()
            except (*CLOUD_ERRORS, NoCapacity, ValueError) as error:
                log.info("listing machines failed: %s", error)
            else:
                pages += len(found) // MAX_MACHINES_PER_PAGE
                self._take_list(found, requested_at)
            await asyncio.sleep(
                max(LIST_INTERVAL_S, pages / (LIST_RATE_SHARE * self.settings.cloud_rps))
            )

    def _take_list(self, found: list[ListedMachine], requested_at: MonotonicTime) -> None:
        """Adds listed machines that the ledger lacks and deletes those that are not listed."""
        self.listed = {item.host: item for item in found}
        self._list_covers_until = MonotonicTime(
            requested_at - LIST_CERTAIN_AFTER_LAGS * self.settings.list_lag_s
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
                # Either the machine is deleted already, or its worker's first report adds it.
                continue
            # It belongs to a rental whose answer was lost, or that was carried out late. It
            # costs money, so the ledger takes it up.
            log.info("adding unknown host %s, listed as %s", item.host, item.phase.value)
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
                # A listed machine stays listed until it is gone, and a list should not be older
                # than twice its lag. Some lists are older, however, so absence from a list
                # proves nothing. The answer to a delete proves that the machine is gone, even
                # if the cloud no longer knows its name.
                log.info("host %s is not listed any more: deleting it", host.id)
                lost.append(host)
        self._start_delete(lost)


def _offer(rental: Rental) -> Offer:
    return Offer(rental.type, rental.zone, rental.spot)
