"""Monitors the health of the zones for the leader and limits renting by it.

The monitor collects evidence, records conditions durably and bounds rentals. It neither permits
starts nor declares tasks gone; the ledger does that. A wrong judgement therefore costs rented
machines or time, but violates no guarantee of the scheduler.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

from dunehold.bookkeeping.hosts import NEVER_HEARD, Host
from dunehold.bookkeeping.ledger import Ledger
from dunehold.bookkeeping.records import ZoneRecord
from dunehold.coordination.zones.health import Evidence, KindCounts, ZoneHealth
from dunehold.protocol.cloud import MachineType
from dunehold.settings import Settings
from dunehold.types import (
    UNBOUNDED,
    HostId,
    MonotonicTime,
    NodeId,
    TypeName,
    Zone,
    ZoneCondition,
)

log = logging.getLogger(__name__)

PEER_POLL_INTERVAL_S = 2.0  # between polls of the controllers of a zone that is not healthy
CONFIRM_REPORT_INTERVALS = 1.0  # ``ZoneHealth.confirm_s`` in report intervals
TRUST_REPORT_INTERVALS = 1.0  # ``ZoneHealth.trust_s`` in report intervals
SENTINELS_PER_ZONE = 2  # silent machines that are kept in a lost zone to detect its recovery
# The interval between probe rentals in a lost zone without machines; it doubles each time.
MIN_PROBE_INTERVAL_S = 30.0
MAX_PROBE_INTERVAL_S = 300.0
# Machines that may be booting at one time in a recovering zone: a share of its former size,
# and a lower bound.
RAMP_STEP_SHARE = 0.1
MIN_RAMP_STEP_HOSTS = 4
# Leadership moves to a zone beyond a partition, whose relays keep its machines working, if that
# zone had more than this many times the machines that this leader hears.
HANDOVER_SIZE_RATIO = 1.5
# Added to the cost of a start on a machine in a zone that is not healthy, for each flap, and
# the upper bound.
FLAP_PENALTY_S = 15.0
MAX_FLAP_PENALTY_S = 60.0


@dataclass(slots=True)
class _Probe:
    """When the next probe machine may be rented in a lost zone."""

    gap_s: float = MIN_PROBE_INTERVAL_S
    next_at: MonotonicTime = MonotonicTime(-1e9)


@dataclass(slots=True)
class ZoneMonitor:
    """Judges the health of all zones and derives limits from it.

    Attributes:
        reaches: polls a controller and returns whether it answers.
        report_timeout_s: a machine is silent after this many seconds without a report.
        persist_records: writes the zones' conditions to the state service.
        zones: the health of each zone.
        sentinels: silent machines that are kept in lost zones.
    """

    settings: Settings
    ledger: Ledger
    types: dict[TypeName, MachineType]
    reaches: Callable[[NodeId], Awaitable[bool]]
    report_timeout_s: float
    persist_records: Callable[[dict[Zone, ZoneRecord]], None]
    zones: dict[Zone, ZoneHealth] = field(default_factory=dict)
    sentinels: set[HostId] = field(default_factory=set)
    _reachable_peers: dict[Zone, int] = field(default_factory=dict)
    _probes: dict[Zone, _Probe] = field(default_factory=dict)

    def __post_init__(self) -> None:
        report_s = self.settings.report_s
        for zone in self.settings.zones:
            self.zones[zone] = ZoneHealth(
                CONFIRM_REPORT_INTERVALS * report_s, TRUST_REPORT_INTERVALS * report_s
            )

    def restore(self, found: dict[Zone, ZoneRecord], now: MonotonicTime) -> None:
        """Sets the conditions that the previous leader recorded.

        Without them, this leader would rent machines in a lost zone before it found the loss.
        """
        for zone, record in found.items():
            if zone in self.zones:
                self.zones[zone].restore(
                    record.condition, record.flaps, record.healthy_host_count, now
                )
                log.info("zone %s: recorded condition is %s", zone, record.condition.value)

    # -- evaluation ------------------------------------------------------------------------

    def evaluate(self, now: MonotonicTime, attentive_since: MonotonicTime) -> set[Zone]:
        """Updates the condition of every zone and returns the zones whose condition changed.

        ``attentive_since`` is the time since which this node has received reports without a
        break. Until that is longer ago than the report timeout, nothing is judged.
        """
        if now - attentive_since <= self.report_timeout_s:
            return set()  # the machines have not had time to report to this node
        seen = self._evidence(now)
        heard = {zone for zone, one in seen.items() if 0 < one.machines <= 2 * one.heard}
        changed = set()
        for zone, health in self.zones.items():
            judged = replace(seen[zone], others_heard=bool(heard - {zone}))
            before = health.condition
            if health.update(judged, now):
                changed.add(zone)
                log.info(
                    "zone %s is %s, was %s: %d of %d machines and %s of %d controllers heard",
                    zone,
                    health.condition.value,
                    before.value,
                    judged.heard,
                    judged.machines,
                    "?" if judged.reached is None else judged.reached,
                    judged.controllers,
                )
                if health.condition is not ZoneCondition.LOST:
                    self._probes.pop(zone, None)
        if changed:
            self.persist_records(self.records())
        self._choose_sentinels()
        return changed

    def _evidence(self, now: MonotonicTime) -> dict[Zone, Evidence]:
        counts: dict[Zone, dict[tuple[TypeName, bool], list[int]]] = {}
        for host in self.ledger.hosts.values():
            if host.deleting or host.reclaim_at is not None or host.zone not in self.zones:
                continue
            heard = now - host.last_heard_at <= self.report_timeout_s
            if not heard and not self._should_be_heard(host, now):
                continue
            count = counts.setdefault(host.zone, {}).setdefault((host.type, host.spot), [0, 0])
            count[0] += 1
            count[1] += heard
        peers: dict[Zone, int] = {}
        for peer in self.settings.peers:
            peers[peer.zone] = peers.get(peer.zone, 0) + 1
        return {
            zone: Evidence(
                tuple(KindCounts(*count) for count in counts.get(zone, {}).values()),
                False,
                peers.get(zone, 0),
                self._reachable_peers.get(zone),
            )
            for zone in self.zones
        }

    def _should_be_heard(self, host: Host, now: MonotonicTime) -> bool:
        """Tells whether the silence of a silent machine is evidence against its zone."""
        if host.last_heard_at > NEVER_HEARD:
            return True
        if host.created_at == self.ledger.took_over_at:
            # Known by its record alone. Within two report timeouts it may still report, unless
            # its zone is lost.
            return self.is_lost(host.zone) or now - host.created_at > 2 * self.report_timeout_s
        # In a zone that is not healthy, a machine that does not boot is evidence of the loss.
        if self.zones[host.zone].condition is ZoneCondition.HEALTHY:
            return False
        machine_type = self.types.get(host.type)
        return machine_type is not None and now - host.created_at > 2 * machine_type.boot_s

    async def poll_peers(self) -> None:
        """Polls the controllers of zones that are not healthy until it is cancelled.

        Controllers of healthy zones are not polled.
        """
        while True:
            await asyncio.sleep(PEER_POLL_INTERVAL_S)
            for zone, health in self.zones.items():
                if health.condition is ZoneCondition.HEALTHY:
                    self._reachable_peers.pop(zone, None)
                    continue
                names = [peer.name for peer in self.settings.peers if peer.zone == zone]
                answers = await asyncio.gather(*(self.reaches(name) for name in names))
                self._reachable_peers[zone] = sum(answers)

    def records(self) -> dict[Zone, ZoneRecord]:
        """Returns the records of zones that a next leader should start from.

        These are the zones that are lost, recovering or have flapped.
        """
        return {
            zone: ZoneRecord(health.condition, health.flaps, health.healthy_host_count)
            for zone, health in self.zones.items()
            if health.condition in (ZoneCondition.LOST, ZoneCondition.RECOVERING)
            or health.flaps
        }

    # -- consequences ----------------------------------------------------------------------

    def condition(self, zone: Zone) -> ZoneCondition:
        """Returns the condition of a zone; a zone that is not in the settings is healthy."""
        health = self.zones.get(zone)
        return health.condition if health is not None else ZoneCondition.HEALTHY

    def is_lost(self, zone: Zone) -> bool:
        """Tells whether the zone is lost."""
        return self.condition(zone) is ZoneCondition.LOST

    @property
    def any_lost(self) -> bool:
        """Whether any zone is lost."""
        return any(health.condition is ZoneCondition.LOST for health in self.zones.values())

    def is_relayed(self, zone: Zone, now: MonotonicTime) -> bool:
        """Tells whether a relay in the zone renews its workers' leases, so that they go on."""
        return now < self.ledger.relayed_until.get(zone, MonotonicTime(-1e9))

    def preferred_leader_zone(self, now: MonotonicTime) -> Zone | None:
        """Returns a zone beyond a partition that should lead, or None.

        It had more than ``HANDOVER_SIZE_RATIO`` times the machines that this leader hears now.
        A node in that zone relays for its workers, so it reaches the state service and can
        lead. Machines there that are idle or become idle get no work until a leader reaches
        them. Two conditions prevent leadership from moving back and forth:

        - The zone has no flaps, since leadership would move with each of them.
        - This leader saw the loss itself, and its own zone is not lost: a leader that takes
          over in the lost zone starts from a record by which that zone is lost.
        """
        if self.is_lost(self.settings.zone):
            return None
        saw_since = self.ledger.took_over_at + self.report_timeout_s
        heard = sum(
            now - host.last_heard_at <= self.report_timeout_s and not self.is_lost(host.zone)
            for host in self.ledger.hosts.values()
        )
        nodes = {peer.zone for peer in self.settings.peers}
        for zone, health in self.zones.items():
            if (
                health.condition is ZoneCondition.LOST
                and not health.flaps
                and health.since > saw_since
                and zone in nodes
                and self.is_relayed(zone, now)
                and health.healthy_host_count > HANDOVER_SIZE_RATIO * max(heard, 1)
            ):
                return zone
        return None

    def presumed_lost(self, host: Host) -> bool:
        """Tells whether a machine is in a lost zone and has not reported to this leader.

        Such a machine does not count as capacity when machines are rented.
        """
        return not host.session_known and self.is_lost(host.zone)

    def penalty_s(self, zone: Zone) -> float:
        """Returns the cost, in seconds, that is added to a start in the zone.

        It makes machines of a zone that flaps less preferred, because work there may be lost
        once more.
        """
        health = self.zones.get(zone)
        if health is None or health.condition is ZoneCondition.HEALTHY:
            return 0.0
        return min(MAX_FLAP_PENALTY_S, FLAP_PENALTY_S * health.flaps)

    def rent_limit(self, zone: Zone) -> int:
        """Returns how many machines may be rented in the zone now, apart from probes."""
        health = self.zones.get(zone)
        if health is None or health.condition is ZoneCondition.HEALTHY:
            return UNBOUNDED
        if health.condition is not ZoneCondition.RECOVERING:
            return 0
        step = max(MIN_RAMP_STEP_HOSTS, int(RAMP_STEP_SHARE * health.healthy_host_count))
        booting = sum(
            host.zone == zone
            and not host.up
            and host.lease_renewed_at is None
            and not host.deleting
            for host in self.ledger.hosts.values()
        )
        return max(0, step - booting)

    def rentable(self, zone: Zone) -> bool:
        """Tells whether machines may be rented in the zone at all, even if only in steps."""
        return self.condition(zone) in (ZoneCondition.HEALTHY, ZoneCondition.RECOVERING)

    def zones_to_probe(self, now: MonotonicTime) -> list[Zone]:
        """Returns the lost zones in which a probe machine is to be rented now.

        A lost zone without any machine is probed, since no other machine can report that the
        zone is reachable again. The interval between probes doubles each time.
        """
        due = []
        for zone, health in self.zones.items():
            if health.condition is not ZoneCondition.LOST:
                continue
            if any(h.zone == zone and not h.deleting for h in self.ledger.hosts.values()):
                continue
            probe = self._probes.setdefault(zone, _Probe())
            if now >= probe.next_at:
                probe.next_at = MonotonicTime(now + probe.gap_s)
                probe.gap_s = min(MAX_PROBE_INTERVAL_S, 2 * probe.gap_s)
                due.append(zone)
        return due

    def _choose_sentinels(self) -> None:
        """Chooses machines of each lost zone that are kept although they are silent."""
        hosts = self.ledger.hosts
        self.sentinels = {
            name
            for name in self.sentinels
            if name in hosts and not hosts[name].deleting and self.is_lost(hosts[name].zone)
        }
        for zone, health in self.zones.items():
            if health.condition is not ZoneCondition.LOST:
                continue
            wanted = SENTINELS_PER_ZONE - sum(
                hosts[name].zone == zone for name in self.sentinels
            )
            if wanted <= 0:
                continue
            silent = [
                host
                for host in hosts.values()
                if host.zone == zone
                and not host.deleting
                and host.reclaim_at is None
                and host.id not in self.sentinels
            ]
            silent.sort(key=self._sentinel_order)
            self.sentinels |= {host.id for host in silent[:wanted]}

    def _sentinel_order(self, host: Host) -> tuple[bool, bool, float, HostId]:
        """Sort key: machines that have been up first, then ordinary ones, then cheap ones.

        A machine that has been up can report as soon as the zone is reachable, and an ordinary
        machine is not reclaimed by the cloud.
        """
        return host.last_heard_at <= NEVER_HEARD, host.spot, self._price(host), host.id

    def _price(self, host: Host) -> float:
        machine_type = self.types.get(host.type)
        if machine_type is None:
            return float(UNBOUNDED)
        return machine_type.spot_price if host.spot else machine_type.price
