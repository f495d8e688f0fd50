"""Replaces machines in waves: a pure function from observations to the next step.

A wave consists of machines of one kind, and therefore of one zone, so that two zones are never
short of capacity at the same time. A wave has these stages:

1. RENTING: new machines are rented, as far as the cloud has capacity.
2. EMPTYING: the old machines of the wave get no new work and drain.
3. BAKE: the new machines are observed for a while.

The first wave is a canary. Each wave that goes well is followed by one of twice the size.

Every decision is based on what exists (how many new machines there are, which machines of the
wave are left), never on what was requested, so that a next leader continues from the same
state.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass, field, replace

from dunehold.bookkeeping.orders import HostKind, OrderProgress, Stage
from dunehold.types import HostId, WallTime, Zone

CANARY_HOSTS = 2  # machines of the first wave, and lower bound of the later ones
MAX_WAVE_SHARE = 0.1  # share of the machines of the order that one wave may replace
MAX_WAVE_HOSTS = 50  # as many as one call rents; their names must also fit the order's record
# An order halts if more than this share of the new machines is faulty, and at least
# MIN_FAULTY_HOSTS of them, or as many as the wave has if that is less.
MAX_FAULTY_SHARE = 1 / 3
MIN_FAULTY_HOSTS = 3
CANARY_BAKE_S = 30.0  # how long new machines are observed after the first wave
BAKE_S = 10.0  # and after each later wave
GIVE_UP_AFTER_BOOT_TIMES = 3.0  # boot times after which a wave no longer waits for new machines
MAX_WAITING_SHARE = 0.1  # no wave begins if waiting work exceeds this share of the fleet's CPUs
# An order halts if the share of a team's jobs that finish in time drops by more than this. Both
# shares must be of at least MIN_TIMED_JOBS jobs.
MAX_ON_TIME_DROP = 0.2
MIN_TIMED_JOBS = 10


@dataclass(frozen=True, slots=True)
class OldHost:
    """A machine that is to be replaced."""

    id: HostId
    kind: HostKind
    busy_cpus: float  # CPUs of the work on it


@dataclass(frozen=True, slots=True)
class FreshHost:
    """A new machine that may replace an old one: created after the leader began the order."""

    id: HostId
    replaces: HostKind  # kind of the old machine
    up: bool
    faulty: bool  # does not boot, fails its tasks, or is slow


@dataclass(frozen=True, slots=True)
class Observation:
    """What the leader sees of the machines that an order concerns.

    Attributes:
        now: the wall-clock time.
        old: machines of the order that are left.
        fresh: new machines.
        trusted_zones: zones that are healthy.
        boot_s: the longest boot time of any machine type, seconds.
        refused: kinds whose replacements the cloud had no capacity for lately.
        waiting_cpus: CPUs of the work that waits.
        fleet_cpus: CPUs of all machines.
        free_cpus: free CPUs on machines that the order does not replace.
        regression: a team whose jobs finish in time far less often than before this leader's
            first wave of the order, as a reason for operators; empty if there is none.
    """

    now: WallTime
    old: tuple[OldHost, ...]
    fresh: tuple[FreshHost, ...]
    trusted_zones: Set[Zone]
    boot_s: float
    refused: Set[HostKind] = frozenset()
    waiting_cpus: float = 0.0
    fleet_cpus: float = 0.0
    free_cpus: float = 0.0
    regression: str = ""


@dataclass(slots=True)
class Step:
    """The next step of an order.

    Attributes:
        progress: the new progress; unchanged if nothing has to be written.
        rent: number of replacements to rent for the kind of the wave.
        hold_up: what the order waits for, shown to operators.
        give_up: faulty new machines to drain after a halt.
    """

    progress: OrderProgress
    rent: int = 0
    hold_up: str = ""
    give_up: list[HostId] = field(default_factory=list)


def next_step(progress: OrderProgress, seen: Observation) -> Step:
    """Returns the next step of an order that is in ``progress``."""
    if progress.stage is Stage.NEW:
        return _begin_wave(progress, seen, CANARY_HOSTS)
    reason = _halt_reason(progress, seen)
    if reason:
        return Step(
            replace(
                progress,
                stage=Stage.HALTED,
                draining_hosts=(),
                stage_since=seen.now,
                halt_reason=reason,
            ),
            give_up=[fresh.id for fresh in seen.fresh if fresh.faulty],
        )
    if progress.stage is Stage.RENTING:
        return _await_replacements(progress, seen)
    if progress.stage is Stage.EMPTYING:
        return _await_empty(progress, seen)
    if progress.stage is Stage.BAKE:
        return _bake(progress, seen)
    return Step(progress)


def _halt_reason(progress: OrderProgress, seen: Observation) -> str:
    """Returns why the order has to halt, or an empty string."""
    failed = sum(fresh.faulty for fresh in seen.fresh)
    if failed >= min(MIN_FAULTY_HOSTS, progress.wave_size) and failed > MAX_FAULTY_SHARE * len(
        seen.fresh
    ):
        return f"{failed} of {len(seen.fresh)} fresh machines fail, are slow or don't come up"
    return seen.regression


def _begin_wave(progress: OrderProgress, seen: Observation, size: int) -> Step:
    """Begins a wave of up to ``size`` machines, or ends the order if no old machine is left."""
    if not seen.old:
        return Step(
            replace(
                progress,
                stage=Stage.DONE,
                draining_hosts=(),
                stage_since=seen.now,
                halt_reason="",
            )
        )
    kind = _next_kind(seen.old, seen.trusted_zones)
    if kind is None:
        # Machines of the wave return to service, so that they get work when their zone
        # recovers.
        waiting = replace(
            progress,
            stage=Stage.RENTING,
            host_kind=None,
            draining_hosts=(),
            stage_since=seen.now,
        )
        unchanged = progress.stage is Stage.RENTING and progress.host_kind is None
        return Step(
            progress if unchanged else waiting, hold_up="its zones are lost or not trusted"
        )
    if progress.wave and seen.waiting_cpus > MAX_WAITING_SHARE * seen.fleet_cpus:
        return Step(progress, hold_up="work waits for room")
    of_kind = sum(one.kind == kind for one in seen.old)
    largest = min(
        MAX_WAVE_HOSTS,
        max(CANARY_HOSTS, int(MAX_WAVE_SHARE * (len(seen.old) + progress.hosts_done))),
    )
    return Step(
        replace(
            progress,
            stage=Stage.RENTING,
            host_kind=kind,
            wave=progress.wave + 1,
            wave_size=max(1, min(size, largest, of_kind)),
            baseline_hosts=_count_up(seen.fresh, kind),
            draining_hosts=(),
            stage_since=seen.now,
            halt_reason="",
        )
    )


def _await_replacements(progress: OrderProgress, seen: Observation) -> Step:
    """Waits until the new machines of the wave are up, then takes the old ones out of service.

    If the cloud has no capacity or the machines do not boot in time, only as many old machines
    are taken as new ones are up or, if none is up, as fit on the machines that stay.
    """
    kind = progress.host_kind
    chosen = _choose(seen.old, kind, progress.wave_size) if kind is not None else []
    if kind is None or kind[1] not in seen.trusted_zones or not chosen:
        return _begin_wave(progress, seen, progress.wave_size)
    have = _count_up(seen.fresh, kind) - progress.baseline_hosts
    booting = sum(not one.up and not one.faulty for one in seen.fresh if one.replaces == kind)
    need = sum(old.busy_cpus for old in chosen)
    # Idle machines need no replacement first, but the canary wave has to test new machines.
    if have >= len(chosen) or (need <= 0.0 and progress.wave > 1):
        return Step(_take_out_of_service(progress, chosen, seen))
    if (
        kind in seen.refused
        or seen.now - progress.stage_since > GIVE_UP_AFTER_BOOT_TIMES * seen.boot_s
    ):
        # No more new machines are coming: the work must fit on those that are up or stay.
        fitting = chosen[:have] if have > 0 else _fitting(chosen, seen.free_cpus)
        if fitting:
            return Step(_take_out_of_service(progress, fitting, seen))
        return Step(progress, hold_up="no room for the work of the next machines")
    missing = len(chosen) - have - booting
    if missing > 0:
        return Step(progress, rent=missing, hold_up="fresh machines are asked for")
    return Step(progress, hold_up="fresh machines are booting")


def _take_out_of_service(
    progress: OrderProgress, chosen: Iterable[OldHost], seen: Observation
) -> OrderProgress:
    """Returns the progress by which the chosen machines get no new work and drain."""
    names = tuple(sorted(old.id for old in chosen))
    return replace(
        progress,
        stage=Stage.EMPTYING,
        draining_hosts=names,
        wave_size=len(names),
        stage_since=seen.now,
        halt_reason="",
    )


def _await_empty(progress: OrderProgress, seen: Observation) -> Step:
    """Waits until the old machines of the wave are gone."""
    left = {old.id for old in seen.old}
    if progress.host_kind is not None and progress.host_kind[1] not in seen.trusted_zones:
        return _begin_wave(progress, seen, progress.wave_size)
    if any(host in left for host in progress.draining_hosts):
        number = sum(host in left for host in progress.draining_hosts)
        return Step(progress, hold_up=f"{number} machines in hand are not empty yet")
    return Step(
        replace(
            progress,
            stage=Stage.BAKE,
            hosts_done=progress.hosts_done + len(progress.draining_hosts),
            draining_hosts=(),
            stage_since=seen.now,
            halt_reason="",
        )
    )


def _bake(progress: OrderProgress, seen: Observation) -> Step:
    """Observes the new machines for a while, then begins the next wave."""
    bake_s = CANARY_BAKE_S if progress.wave == 1 else BAKE_S
    if seen.old and seen.now - progress.stage_since < bake_s:
        return Step(progress, hold_up="the fresh machines show how they do")
    return _begin_wave(progress, seen, max(CANARY_HOSTS, 2 * progress.wave_size))


def _count_up(fresh: Iterable[FreshHost], kind: HostKind) -> int:
    """Counts the new machines for a kind that are up and not faulty."""
    return sum(one.up and not one.faulty for one in fresh if one.replaces == kind)


def _next_kind(old: Iterable[OldHost], trusted_zones: Set[Zone]) -> HostKind | None:
    """Returns the kind with most machines left to replace in a trusted zone, or None."""
    counts = Counter(one.kind for one in old if one.kind[1] in trusted_zones)
    return max(counts, key=lambda kind: (counts[kind], kind), default=None)


def _choose(old: Iterable[OldHost], kind: HostKind, size: int) -> list[OldHost]:
    """Returns up to ``size`` machines of a kind, those with the least work first."""
    of_kind = sorted(
        (one for one in old if one.kind == kind), key=lambda o: (o.busy_cpus, o.id)
    )
    return of_kind[:size]


def _fitting(chosen: Iterable[OldHost], free_cpus: float) -> list[OldHost]:
    """Returns the first of the machines, as long as their work fits into ``free_cpus``."""
    found = []
    for one in chosen:
        free_cpus -= one.busy_cpus
        if free_cpus < 0:
            break
        found.append(one)
    return found
