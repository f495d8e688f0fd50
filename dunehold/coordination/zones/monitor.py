"""The leader's watch over its zones: evidence, durable conditions, bounds on rentals.

Nothing here allows a start or takes a task for gone: that is the ledger's. A wrong judgement
costs rented machines or time, and no rule.
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

PEER_POLL_INTERVAL_S = 2.0  # between questions to the controllers of a zone that is not well
CONFIRM_REPORT_INTERVALS = 1.0  # how many report intervals doubt must last
TRUST_REPORT_INTERVALS = 1.0
SENTINELS_PER_ZONE = 2  # silent machines that are kept, to hear of the return
MIN_PROBE_INTERVAL_S, MAX_PROBE_INTERVAL_S = (
    30.0,
    300.0,
)  # between probes, where no machine is left to hear
RAMP_STEP_SHARE, MIN_RAMP_STEP_HOSTS = (
    0.1,
    4,
)  # of its former size, rented before a zone is trusted
HANDOVER_SIZE_RATIO = (
    1.5  # times the machines heard: a zone that works on without us takes the lead
)
FLAP_PENALTY_S, MAX_FLAP_PENALTY_S = 15.0, 60.0  # of machines in a zone that flaps


@dataclass(slots=True)
class _Probe:
    gap_s: float = MIN_PROBE_INTERVAL_S
    next_at: MonotonicTime = MonotonicTime(-1e9)


@dataclass(slots=True)
class ZoneMonitor:
    settings: Settings
    ledger: Ledger
    types: dict[TypeName, MachineType]
    reaches: Callable[[NodeId], Awaitable[bool]]
    report_timeout_s: float  # so long without a report, and a machine is silent
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
        """Begin with what the leader before knew: it is not learnt by a wave of rentals."""
        for zone, record in found.items():
            if zone in self.zones:
                self.zones[zone].restore(
                    record.condition, record.flaps, record.healthy_host_count, now
                )
                log.info("zone %s is %s by record", zone, record.condition.value)

    # -- judging -------------------------------------------------------------------------

    def evaluate(self, now: MonotonicTime, attentive_since: MonotonicTime) -> set[Zone]:
        """Judge every zone anew; those whose condition changed."""
        if now - attentive_since <= self.report_timeout_s:
            return set()  # this node itself heard nobody: it can't tell yet
        seen = self._evidence(now)
        heard = {zone for zone, one in seen.items() if 0 < one.machines <= 2 * one.heard}
        changed = set()
        for zone, health in self.zones.items():
            judged = replace(seen[zone], others_heard=bool(heard - {zone}))
            before = health.condition
            if health.update(judged, now):
                changed.add(zone)
                log.info(
                    "zone %s is %s, was %s: %d of %d machines heard, %s of %d controllers",
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
        """Silent, and long enough to say something of its zone."""
        if host.last_heard_at > NEVER_HEARD:
            return True
        if host.created_at == self.ledger.took_over_at:
            # On record, but never heard: not yet, or it is not to be heard.
            return self.is_lost(host.zone) or now - host.created_at > 2 * self.report_timeout_s
        # Rented into a zone that is not well: what does not come up speaks against it.
        if self.zones[host.zone].condition is ZoneCondition.HEALTHY:
            return False
        kind = self.types.get(host.type)
        return kind is not None and now - host.created_at > 2 * kind.boot_s

    async def poll_peers(self) -> None:
        """Do the controllers of zones that are not well answer? Nobody is asked otherwise."""
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
        """What a next leader should begin with: nothing of zones that are and were well."""
        return {
            zone: ZoneRecord(health.condition, health.flaps, health.size)
            for zone, health in self.zones.items()
            if health.condition in (ZoneCondition.LOST, ZoneCondition.RECOVERING)
            or health.flaps
        }

    # -- what follows from it --------------------------------------------------------------

    def condition(self, zone: Zone) -> ZoneCondition:
        health = self.zones.get(zone)
        return health.condition if health is not None else ZoneCondition.HEALTHY

    def is_lost(self, zone: Zone) -> bool:
        return self.condition(zone) is ZoneCondition.LOST

    @property
    def any_lost(self) -> bool:
        return any(health.condition is ZoneCondition.LOST for health in self.zones.values())

    def is_relayed(self, zone: Zone, now: MonotonicTime) -> bool:
        """A node there feeds its workers, which go on with what they have."""
        return now < self.ledger.relayed_until.get(zone, MonotonicTime(-1e9))

    def preferred_leader_zone(self, now: MonotonicTime) -> Zone | None:
        """A zone beyond a partition with so many more machines that the lead belongs there.

        A node there feeds its workers, so it reaches the state service and can lead; all that
        is idle or ends there waits for a leader that it can hear. Never for a zone that flaps:
        the lead would go with it; and only by a loss that this leader saw itself, from a zone
        that is there: one that takes over there finds the zone lost by record.
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
                and health.size > HANDOVER_SIZE_RATIO * max(heard, 1)
            ):
                return zone
        return None

    def presumed_lost(self, host: Host) -> bool:
        """Not counted on when machines are rented: it is silent in a lost zone."""
        return not host.session_known and self.is_lost(host.zone)

    def penalty_s(self, zone: Zone) -> float:
        """What a start there costs in the order of machines: work may be lost once more."""
        health = self.zones.get(zone)
        if health is None or health.condition is ZoneCondition.HEALTHY:
            return 0.0
        return min(MAX_FLAP_PENALTY_S, FLAP_PENALTY_S * health.flaps)

    def rent_limit(self, zone: Zone) -> int:
        """How many machines may be rented there now, probes aside."""
        health = self.zones.get(zone)
        if health is None or health.condition is ZoneCondition.HEALTHY:
            return UNBOUNDED
        if health.condition is not ZoneCondition.RECOVERING:
            return 0
        step = max(MIN_RAMP_STEP_HOSTS, int(RAMP_STEP_SHARE * health.size))
        coming = sum(
            host.zone == zone
            and not host.up
            and host.lease_renewed_at is None
            and not host.deleting
            for host in self.ledger.hosts.values()
        )
        return max(0, step - coming)

    def rentable(self, zone: Zone) -> bool:
        """May machines be rented there at all, if only in steps?"""
        return self.condition(zone) in (ZoneCondition.HEALTHY, ZoneCondition.RECOVERING)

    def zones_to_probe(self, now: MonotonicTime) -> list[Zone]:
        """Lost zones in which a machine is to be rented, ever more seldom, to hear of the
        return: those where none is left that could tell of it."""
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
        """In every lost zone a few machines stay, though they are silent."""
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
        """Ordinary machines that were up are not taken back, and can speak at once."""
        return host.last_heard_at <= NEVER_HEARD, host.spot, self._price(host), host.id

    def _price(self, host: Host) -> float:
        kind = self.types.get(host.type)
        if kind is None:
            return float(UNBOUNDED)
        return kind.spot_price if host.spot else kind.price
