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

from dunehold.bookkeeping.orders import Progress, Sort, Stage
from dunehold.types import HostId, WallTime, Zone

CANARY = 2
LARGEST_SHARE = 0.1  # of the machines meant, in one wave
LARGEST = 50  # as many as one call rents; their names must fit the record
BAD_SHARE = 1 / 3  # of the fresh machines: with more that fail, it halts
LEAST_BAD = 3
CANARY_BAKE_S, BAKE_S = 30.0, 10.0
BOOTS = 3.0  # boot times until fresh machines are given up on
CROWDED_SHARE = 0.1  # of the fleet's CPUs: with more work waiting, no wave begins
FELL_BY, ENOUGH_TIMED = 0.2, 10  # of a team's jobs in time, for a halt


@dataclass(frozen=True, slots=True)
class Old:
    """A machine that is to be replaced."""

    id: HostId
    kind: Sort
    busy_cpus: float


@dataclass(frozen=True, slots=True)
class Fresh:
    """A machine that may replace one, created since the order was taken up."""

    id: HostId
    of: Sort  # the kind that it replaces
    up: bool
    bad: bool  # does not come up, fails its tasks, or is slow


@dataclass(frozen=True, slots=True)
class Seen:
    now: WallTime
    old: tuple[Old, ...]
    fresh: tuple[Fresh, ...]
    well: Set[Zone]  # zones that are trusted
    boot_s: float
    refused: Set[Sort] = frozenset()  # kinds of which the cloud has no more to replace
    waiting_cpus: float = 0.0
    fleet_cpus: float = 0.0
    free_cpus: float = 0.0  # on machines that stay
    fell: str = ""  # a team whose aims fell meanwhile


@dataclass(slots=True)
class Step:
    progress: Progress
    rent: int = 0  # fresh machines to ask for, for those of the wave's kind
    hold_up: str = ""
    give_up: list[HostId] = field(default_factory=list)  # bad ones, after a halt


def next_step(progress: Progress, seen: Seen) -> Step:
    """One step further; the progress comes back unchanged where nothing is to be written."""
    if progress.stage is Stage.NEW:
        return _begin_wave(progress, seen, CANARY)
    reason = _halt_reason(progress, seen)
    if reason:
        return Step(
            replace(progress, stage=Stage.HALTED, hands=(), since=seen.now, why=reason),
            give_up=[fresh.id for fresh in seen.fresh if fresh.bad],
        )
    if progress.stage is Stage.ROOM:
        return _room(progress, seen)
    if progress.stage is Stage.EMPTY:
        return _empty(progress, seen)
    if progress.stage is Stage.BAKE:
        return _bake(progress, seen)
    return Step(progress)


def _halt_reason(progress: Progress, seen: Seen) -> str:
    bad = sum(fresh.bad for fresh in seen.fresh)
    if bad >= min(LEAST_BAD, progress.size) and bad > BAD_SHARE * len(seen.fresh):
        return f"{bad} of {len(seen.fresh)} fresh machines fail, are slow or don't come up"
    return seen.fell


def _begin_wave(progress: Progress, seen: Seen, size: int) -> Step:
    if not seen.old:
        return Step(replace(progress, stage=Stage.DONE, hands=(), since=seen.now, why=""))
    kind = _kind(seen.old, seen.well)
    if kind is None:
        # What is in hand there is put back into service: it takes part as the zone returns.
        waiting = replace(progress, stage=Stage.ROOM, of=None, hands=(), since=seen.now)
        same = progress.stage is Stage.ROOM and progress.of is None
        return Step(progress if same else waiting, hold_up="its zones are lost or not trusted")
    if progress.wave and seen.waiting_cpus > CROWDED_SHARE * seen.fleet_cpus:
        return Step(progress, hold_up="work waits for room")
    there = sum(one.kind == kind for one in seen.old)
    largest = min(LARGEST, max(CANARY, int(LARGEST_SHARE * (len(seen.old) + progress.done))))
    return Step(
        replace(
            progress,
            stage=Stage.ROOM,
            of=kind,
            wave=progress.wave + 1,
            size=max(1, min(size, largest, there)),
            base=_up(seen.fresh, kind),
            hands=(),
            since=seen.now,
            why="",
        )
    )


def _room(progress: Progress, seen: Seen) -> Step:
    """Wait until the fresh machines are up; without them only where there is room to spare."""
    kind = progress.of
    chosen = _choose(seen.old, kind, progress.size) if kind is not None else []
    if kind is None or kind[1] not in seen.well or not chosen:
        return _begin_wave(progress, seen, progress.size)
    have = _up(seen.fresh, kind) - progress.base
    coming = sum(not one.up and not one.bad for one in seen.fresh if one.of == kind)
    need = sum(old.busy_cpus for old in chosen)
    # Idle machines need none in their place; but the canary shows how fresh ones do.
    if have >= len(chosen) or (need <= 0.0 and progress.wave > 1):
        return Step(_take(progress, chosen, seen))
    if kind in seen.refused or seen.now - progress.since > BOOTS * seen.boot_s:
        # The cloud has no more: what is in hand must fit on the machines that stay.
        fitting = chosen[:have] if have > 0 else _fitting(chosen, seen.free_cpus)
        if fitting:
            return Step(_take(progress, fitting, seen))
        return Step(progress, hold_up="no room for the work of the next machines")
    missing = len(chosen) - have - coming
    if missing > 0:
        return Step(progress, rent=missing, hold_up="fresh machines are asked for")
    return Step(progress, hold_up="fresh machines are booting")


def _take(progress: Progress, chosen: Iterable[Old], seen: Seen) -> Progress:
    hands = tuple(sorted(old.id for old in chosen))
    return replace(
        progress, stage=Stage.EMPTY, hands=hands, size=len(hands), since=seen.now, why=""
    )


def _empty(progress: Progress, seen: Seen) -> Step:
    left = {old.id for old in seen.old}
    if progress.of is not None and progress.of[1] not in seen.well:
        return _begin_wave(progress, seen, progress.size)
    if any(host in left for host in progress.hands):
        number = sum(host in left for host in progress.hands)
        return Step(progress, hold_up=f"{number} machines in hand are not empty yet")
    return Step(
        replace(
            progress,
            stage=Stage.BAKE,
            done=progress.done + len(progress.hands),
            hands=(),
            since=seen.now,
            why="",
        )
    )


def _bake(progress: Progress, seen: Seen) -> Step:
    bake_s = CANARY_BAKE_S if progress.wave == 1 else BAKE_S
    if seen.old and seen.now - progress.since < bake_s:
        return Step(progress, hold_up="the fresh machines show how they do")
    return _begin_wave(progress, seen, max(CANARY, 2 * progress.size))


def _up(fresh: Iterable[Fresh], kind: Sort) -> int:
    return sum(one.up and not one.bad for one in fresh if one.of == kind)


def _kind(old: Iterable[Old], well: Set[Zone]) -> Sort | None:
    """That with most left to replace, in a zone that is trusted: one at a time."""
    counts = Counter(one.kind for one in old if one.kind[1] in well)
    return max(counts, key=lambda kind: (counts[kind], kind), default=None)


def _choose(old: Iterable[Old], kind: Sort, size: int) -> list[Old]:
    """Idle ones first, then those with least on them."""
    there = sorted((one for one in old if one.kind == kind), key=lambda o: (o.busy_cpus, o.id))
    return there[:size]


def _fitting(chosen: Iterable[Old], free_cpus: float) -> list[Old]:
    found = []
    for one in chosen:
        free_cpus -= one.busy_cpus
        if free_cpus < 0:
            break
        found.append(one)
    return found
