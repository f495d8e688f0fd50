"""Replacing machines in steps: a pure function from what is seen to the next step.

A step is a wave of machines of one kind and so of one zone: two zones are never thin at once.
Room is rented first where there is any, the machines in hand run empty, then the fresh ones
show how they do. The first wave is a canary; each that goes well is followed by one of twice
the size.
Everything is judged from what is there (how many fresh machines, which of those in hand are
left), never from what was asked for, so that a next leader goes on from the same place.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Set
from dataclasses import dataclass, field, replace

from dunehold.bookkeeping.orders import HostKind, OrderProgress, Stage
from dunehold.types import HostId, WallTime, Zone

CANARY_HOSTS = 2
MAX_WAVE_SHARE = 0.1  # of the machines meant, in one wave
MAX_WAVE_HOSTS = 50  # as many as one call rents; their names must fit the record
MAX_FAULTY_SHARE = 1 / 3  # of the fresh machines: with more that fail, it halts
MIN_FAULTY_HOSTS = 3
CANARY_BAKE_S, BAKE_S = 30.0, 10.0
GIVE_UP_AFTER_BOOT_TIMES = 3.0  # boot times until fresh machines are given up on
MAX_WAITING_SHARE = 0.1  # of the fleet's CPUs: with more work waiting, no wave begins
MAX_ON_TIME_DROP, MIN_TIMED_JOBS = 0.2, 10  # of a team's jobs in time, for a halt


@dataclass(frozen=True, slots=True)
class OldHost:
    """A machine that is to be replaced."""

    id: HostId
    kind: HostKind
    busy_cpus: float


@dataclass(frozen=True, slots=True)
class FreshHost:
    """A machine that may replace one, created since the order was taken up."""

    id: HostId
    replaces: HostKind  # the kind that it replaces
    up: bool
    faulty: bool  # does not come up, fails its tasks, or is slow


@dataclass(frozen=True, slots=True)
class Observation:
    now: WallTime
    old: tuple[OldHost, ...]
    fresh: tuple[FreshHost, ...]
    trusted_zones: Set[Zone]  # zones that are trusted
    boot_s: float
    refused: Set[HostKind] = frozenset()  # kinds of which the cloud has no more to replace
    waiting_cpus: float = 0.0
    fleet_cpus: float = 0.0
    free_cpus: float = 0.0  # on machines that stay
    regression: str = ""  # a team whose aims fell meanwhile


@dataclass(slots=True)
class Step:
    progress: OrderProgress
    rent: int = 0  # fresh machines to ask for, for those of the wave's kind
    hold_up: str = ""
    give_up: list[HostId] = field(default_factory=list)  # bad ones, after a halt


def next_step(progress: OrderProgress, seen: Observation) -> Step:
    """One step further; the progress comes back unchanged where nothing is to be written."""
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
        return _room(progress, seen)
    if progress.stage is Stage.EMPTYING:
        return _empty(progress, seen)
    if progress.stage is Stage.BAKE:
        return _bake(progress, seen)
    return Step(progress)


def _halt_reason(progress: OrderProgress, seen: Observation) -> str:
    bad = sum(fresh.faulty for fresh in seen.fresh)
    if bad >= min(MIN_FAULTY_HOSTS, progress.wave_size) and bad > MAX_FAULTY_SHARE * len(
        seen.fresh
    ):
        return f"{bad} of {len(seen.fresh)} fresh machines fail, are slow or don't come up"
    return seen.regression


def _begin_wave(progress: OrderProgress, seen: Observation, size: int) -> Step:
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
        # What is in hand there is put back into service: it takes part as the zone returns.
        waiting = replace(
            progress,
            stage=Stage.RENTING,
            host_kind=None,
            draining_hosts=(),
            stage_since=seen.now,
        )
        same = progress.stage is Stage.RENTING and progress.host_kind is None
        return Step(progress if same else waiting, hold_up="its zones are lost or not trusted")
    if progress.wave and seen.waiting_cpus > MAX_WAITING_SHARE * seen.fleet_cpus:
        return Step(progress, hold_up="work waits for room")
    there = sum(one.kind == kind for one in seen.old)
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
            wave_size=max(1, min(size, largest, there)),
            baseline_hosts=_up(seen.fresh, kind),
            draining_hosts=(),
            stage_since=seen.now,
            halt_reason="",
        )
    )


def _room(progress: OrderProgress, seen: Observation) -> Step:
    """Wait until the fresh machines are up; without them only where there is room to spare."""
    kind = progress.host_kind
    chosen = _choose(seen.old, kind, progress.wave_size) if kind is not None else []
    if kind is None or kind[1] not in seen.trusted_zones or not chosen:
        return _begin_wave(progress, seen, progress.wave_size)
    have = _up(seen.fresh, kind) - progress.baseline_hosts
    coming = sum(not one.up and not one.faulty for one in seen.fresh if one.replaces == kind)
    need = sum(old.busy_cpus for old in chosen)
    # Idle machines need none in their place; but the canary shows how fresh ones do.
    if have >= len(chosen) or (need <= 0.0 and progress.wave > 1):
        return Step(_take_out_of_service(progress, chosen, seen))
    if (
        kind in seen.refused
        or seen.now - progress.stage_since > GIVE_UP_AFTER_BOOT_TIMES * seen.boot_s
    ):
        # The cloud has no more: what is in hand must fit on the machines that stay.
        fitting = chosen[:have] if have > 0 else _fitting(chosen, seen.free_cpus)
        if fitting:
            return Step(_take_out_of_service(progress, fitting, seen))
        return Step(progress, hold_up="no room for the work of the next machines")
    missing = len(chosen) - have - coming
    if missing > 0:
        return Step(progress, rent=missing, hold_up="fresh machines are asked for")
    return Step(progress, hold_up="fresh machines are booting")


def _take_out_of_service(
    progress: OrderProgress, chosen: Iterable[OldHost], seen: Observation
) -> OrderProgress:
    hands = tuple(sorted(old.id for old in chosen))
    return replace(
        progress,
        stage=Stage.EMPTYING,
        draining_hosts=hands,
        wave_size=len(hands),
        stage_since=seen.now,
        halt_reason="",
    )


def _empty(progress: OrderProgress, seen: Observation) -> Step:
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
    bake_s = CANARY_BAKE_S if progress.wave == 1 else BAKE_S
    if seen.old and seen.now - progress.stage_since < bake_s:
        return Step(progress, hold_up="the fresh machines show how they do")
    return _begin_wave(progress, seen, max(CANARY_HOSTS, 2 * progress.wave_size))


def _up(fresh: Iterable[FreshHost], kind: HostKind) -> int:
    return sum(one.up and not one.faulty for one in fresh if one.replaces == kind)


def _next_kind(old: Iterable[OldHost], well: Set[Zone]) -> HostKind | None:
    """That with most left to replace, in a zone that is trusted: one at a time."""
    counts = Counter(one.kind for one in old if one.kind[1] in well)
    return max(counts, key=lambda kind: (counts[kind], kind), default=None)


def _choose(old: Iterable[OldHost], kind: HostKind, size: int) -> list[OldHost]:
    """Idle ones first, then those with least on them."""
    there = sorted((one for one in old if one.kind == kind), key=lambda o: (o.busy_cpus, o.id))
    return there[:size]


def _fitting(chosen: Iterable[OldHost], free_cpus: float) -> list[OldHost]:
    found = []
    for one in chosen:
        free_cpus -= one.busy_cpus
        if free_cpus < 0:
            break
        found.append(one)
    return found
