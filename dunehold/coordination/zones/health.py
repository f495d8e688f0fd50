"""The health of a zone, judged by which of its machines and controllers are reachable.

``ZoneHealth`` is a pure state machine: it computes the next condition from the evidence and the
time.

    HEALTHY -> SUSPECT -> LOST -> RECOVERING -> HEALTHY
                  |                    |
                  +-> HEALTHY          +-> LOST, counted as a flap

- SUSPECT: most machines of every kind in the zone are silent, while machines of other zones
  report. The failure of one machine type, or a wave of reclaimed spot machines, does not make a
  zone suspect, because machines of other kinds still report.
- LOST: the zone has been suspect for ``confirm_s`` seconds, and a second source agrees:
  machines of another kind, or controllers in the zone that do not answer either. A leader that
  hears no zone at all does not judge, because it may itself be cut off.
- RECOVERING: a machine reports again or, if no machine is left, a controller answers. The zone
  is trusted again after ``trust_s`` seconds, which doubles with every flap.

A flap is a loss of the zone while it is recovering.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import MonotonicTime, ZoneCondition

SILENT_SHARE = 0.6  # a kind of machine is silent when this share of its machines is silent
TRUSTED_SHARE = 0.5  # share of a zone's machines that must report before it is healthy again
MAX_TRUST_DELAY_S = 120.0  # upper bound of the doubling ``trust_s``
FLAP_RESET_S = 600.0  # the flap count returns to 0 after this time without a flap
MAX_FLAPS = 8  # flaps beyond this number are not counted


@dataclass(frozen=True, slots=True)
class KindCounts:
    """Counts machines of one type, either spot or ordinary, in one zone.

    Attributes:
        machines: machines that should report.
        heard: machines of these that have reported lately.
    """

    machines: int
    heard: int

    @property
    def silent(self) -> bool:
        """Whether so many of these machines are silent that the kind counts as silent."""
        return self.machines - self.heard >= SILENT_SHARE * self.machines


@dataclass(frozen=True, slots=True)
class Evidence:
    """What is known of one zone at one time.

    Attributes:
        kinds: machine counts, one for each kind of machine in the zone.
        others_heard: at least half of the machines of some other zone report.
        controllers: number of controllers in the zone.
        reached: number of these controllers that answered; None if they were not polled.
    """

    kinds: tuple[KindCounts, ...]
    others_heard: bool
    controllers: int = 0
    reached: int | None = None

    @property
    def machines(self) -> int:
        """Machines in the zone that should report."""
        return sum(kind.machines for kind in self.kinds)

    @property
    def heard(self) -> int:
        """Machines in the zone that have reported lately."""
        return sum(kind.heard for kind in self.kinds)

    @property
    def silent(self) -> bool:
        """Whether the zone has machines and every kind of them is silent."""
        return bool(self.kinds) and all(kind.silent for kind in self.kinds)

    @property
    def corroborated(self) -> bool:
        """Tells whether a second source confirms that the zone is lost.

        The source is a second kind of machine, or controllers none of which answers. A zone
        without controllers has nothing that could contradict, so it counts as confirmed.
        """
        if len(self.kinds) > 1 or not self.controllers:
            return True
        return self.reached == 0


@dataclass(slots=True)
class ZoneHealth:
    """The condition of one zone. Times are of this process's monotonic clock.

    Attributes:
        confirm_s: seconds for which a zone must be suspect before it counts as lost.
        trust_s: seconds for which a recovering zone must report before it is trusted, if it has
            not flapped.
        condition: the present condition.
        since: when the condition began.
        flaps: losses while recovering, without those before a pause of ``FLAP_RESET_S``.
        healthy_host_count: machines that were expected to report when the zone was last
            healthy.
    """

    confirm_s: float
    trust_s: float
    condition: ZoneCondition = ZoneCondition.HEALTHY
    since: MonotonicTime = MonotonicTime(-1e9)
    flaps: int = 0
    healthy_host_count: int = 0
    _flapped_at: MonotonicTime = field(default=MonotonicTime(-1e9))

    @property
    def trust_delay_s(self) -> float:
        """Seconds for which a recovering zone must report before it is trusted."""
        return float(min(MAX_TRUST_DELAY_S, self.trust_s * 2**self.flaps))

    def restore(
        self, condition: ZoneCondition, flaps: int, healthy_host_count: int, now: MonotonicTime
    ) -> None:
        """Sets the condition that a previous leader recorded.

        Its times were of another clock, so the condition counts from ``now``.
        """
        self.condition, self.flaps, self.healthy_host_count = (
            condition,
            min(flaps, MAX_FLAPS),
            healthy_host_count,
        )
        self.since = self._flapped_at = now

    def update(self, seen: Evidence, now: MonotonicTime) -> bool:
        """Updates the condition by the evidence. Returns True if the condition changed."""
        if self.flaps and now - self._flapped_at > FLAP_RESET_S:
            self.flaps = 0
        after = self._next_condition(seen, now)
        if self.condition is ZoneCondition.HEALTHY and after is ZoneCondition.HEALTHY:
            self.healthy_host_count = seen.machines
        if after is self.condition:
            return False
        if after is ZoneCondition.LOST and self.condition is ZoneCondition.RECOVERING:
            self.flaps = min(self.flaps + 1, MAX_FLAPS)
            self._flapped_at = now
        self.condition, self.since = after, now
        return True

    def _next_condition(self, seen: Evidence, now: MonotonicTime) -> ZoneCondition:
        silent = seen.silent and seen.others_heard
        lasted = now - self.since
        if self.condition is ZoneCondition.HEALTHY:
            return ZoneCondition.SUSPECT if silent else ZoneCondition.HEALTHY
        if self.condition is ZoneCondition.SUSPECT:
            if not seen.silent:
                return ZoneCondition.HEALTHY
            if not seen.others_heard:
                # No other zone reports either, so this node may be cut off: start over.
                self.since = now
                return ZoneCondition.SUSPECT
            confirmed = lasted >= self.confirm_s and seen.corroborated
            return ZoneCondition.LOST if confirmed else ZoneCondition.SUSPECT
        if self.condition is ZoneCondition.LOST:
            answered = not seen.machines and bool(seen.reached)
            return ZoneCondition.RECOVERING if seen.heard or answered else ZoneCondition.LOST
        if silent or (not seen.machines and seen.reached == 0):
            return ZoneCondition.LOST
        trusted = seen.heard > 0 and seen.heard >= TRUSTED_SHARE * seen.machines
        if lasted >= self.trust_delay_s and trusted:
            return ZoneCondition.HEALTHY
        return ZoneCondition.RECOVERING
