"""Whether a zone is well, judged from which of its machines and controllers are heard.

A pure state machine: evidence and the time go in, the condition comes out.

    well -> doubtful -> lost -> returning -> well
              |                    |
              +-> well             +-> lost, one flap more

- *Doubtful*: most machines of every kind there are silent, while other zones are heard. One
  dead machine type or a wave of spot machines taken back leaves other kinds that are heard.
- *Lost*: that has lasted ``confirm_s``, and a second witness agrees: another kind of machine,
  or controllers there that don't answer either. Who hears nobody at all judges nothing, for
  it may be the side that is cut off.
- *Returning*: a machine is heard again, or, where no machine is left, a controller. It is
  trusted after ``trust_s``, which doubles with every flap.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from dunehold.types import MonotonicTime, ZoneCondition

SILENT_SHARE = 0.6  # of a kind's machines: so many silent at once, and the kind is
TRUSTED_SHARE = 0.5  # of the machines there are heard: it is back
MAX_TRUST_DELAY_S = 120.0
FLAP_RESET_S = 600.0  # without a flap, and the ones before count no more
MAX_FLAPS = 8


@dataclass(frozen=True, slots=True)
class KindCounts:
    """Machines of one type, spot or not, that were up in a zone: all, and those heard."""

    machines: int
    heard: int

    @property
    def silent(self) -> bool:
        return self.machines - self.heard >= SILENT_SHARE * self.machines


@dataclass(frozen=True, slots=True)
class Evidence:
    """What was heard of one zone lately. ``reached`` is None if nobody was asked."""

    kinds: tuple[KindCounts, ...]
    others_heard: bool  # machines of other zones are heard as usual
    controllers: int = 0
    reached: int | None = None

    @property
    def machines(self) -> int:
        return sum(kind.machines for kind in self.kinds)

    @property
    def heard(self) -> int:
        return sum(kind.heard for kind in self.kinds)

    @property
    def silent(self) -> bool:
        return bool(self.kinds) and all(kind.silent for kind in self.kinds)

    @property
    def corroborated(self) -> bool:
        """Does anything but one kind of machine say so? Without controllers there, or with
        all of them silent, nothing speaks against it."""
        if len(self.kinds) > 1 or not self.controllers:
            return True
        return self.reached == 0


@dataclass(slots=True)
class ZoneHealth:
    """The condition of one zone. Times are of the steady clock of whoever judges."""

    confirm_s: float
    trust_s: float
    condition: ZoneCondition = ZoneCondition.HEALTHY
    since: MonotonicTime = MonotonicTime(-1e9)
    flaps: int = 0
    size: int = 0  # machines that were up when it was last well
    _flapped_at: MonotonicTime = field(default=MonotonicTime(-1e9))

    @property
    def trust_delay_s(self) -> float:
        """How long it must be heard before it is trusted."""
        return float(min(MAX_TRUST_DELAY_S, self.trust_s * 2**self.flaps))

    def restore(
        self, condition: ZoneCondition, flaps: int, size: int, now: MonotonicTime
    ) -> None:
        """As a leader before left it; its moments are of another clock."""
        self.condition, self.flaps, self.size = condition, min(flaps, MAX_FLAPS), size
        self.since = self._flapped_at = now

    def update(self, seen: Evidence, now: MonotonicTime) -> bool:
        """Take the evidence in; true if the condition changed."""
        if self.flaps and now - self._flapped_at > FLAP_RESET_S:
            self.flaps = 0
        after = self._next_condition(seen, now)
        if self.condition is ZoneCondition.HEALTHY and after is ZoneCondition.HEALTHY:
            self.size = seen.machines
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
                self.since = now  # nobody is heard: this says nothing of the zone
                return ZoneCondition.SUSPECT
            sure = lasted >= self.confirm_s and seen.corroborated
            return ZoneCondition.LOST if sure else ZoneCondition.SUSPECT
        if self.condition is ZoneCondition.LOST:
            answered = not seen.machines and bool(seen.reached)
            return ZoneCondition.RECOVERING if seen.heard or answered else ZoneCondition.LOST
        if silent or (not seen.machines and seen.reached == 0):
            return ZoneCondition.LOST
        trusted = seen.heard > 0 and seen.heard >= TRUSTED_SHARE * seen.machines
        if lasted >= self.trust_delay_s and trusted:
            return ZoneCondition.HEALTHY
        return ZoneCondition.RECOVERING
