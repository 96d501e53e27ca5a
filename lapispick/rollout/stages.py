"""Which boxes change in which stage, so that no stage takes all of a zone or failure domain. No I/O and no clock.

Boxes are put in an order that mixes zones, domains and kinds of machines, drawn by the rollout: the same list and
name give the same stages to every controller, and another rollout begins with other boxes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Sequence
from math import ceil
from typing import NamedTuple

from lapispick.digests import blake2b
from lapispick.file_errors import suggest_nearest
from lapispick.fleet.hosts import Worker

STAGES_MOST = 50


class Want(NamedTuple):
    """What one stage is to hold: boxes by name, else a number of boxes, else a share of all up to its end."""

    names: tuple[str, ...] = ()
    count: int = 0
    share: float = 0.0


def want(word: str) -> Want:
    """Read one stage: ``3``, ``25%`` or ``box:NAME,NAME``; raises ``ValueError``."""
    if word.startswith("box:"):
        names = tuple(filter(None, word[4:].split(",")))
        if not names:
            raise ValueError(f"{word!r} names no box")
        return Want(names)
    if word.endswith("%"):
        try:
            share = float(word[:-1]) / 100
        except ValueError:
            share = -1.0
        if not 0 < share <= 1:
            raise ValueError(f"{word!r} is no share from 0% to 100%")
        return Want(share=share)
    if not word.isdecimal() or not 0 < int(word) <= 100_000:
        raise ValueError(f"{word!r} is neither a count, nor a share, nor box:NAME,NAME")
    return Want(count=int(word))


def _drawn(rollout: str, name: str) -> bytes:
    return blake2b(name.encode(), digest_size=8, key=rollout.encode()[:64]).digest()


def order(boxes: Iterable[Worker], rollout: str) -> list[Worker]:
    """Return the boxes so that any beginning of the list has a like share of each zone, domain and kind of machine."""
    groups: dict[tuple[str, ...], list[Worker]] = {}
    for box in boxes:
        groups.setdefault((box.zone, box.domain, box.machine), []).append(box)
    placed: list[tuple[float, bytes, Worker]] = []
    for group, members in groups.items():
        shift = int.from_bytes(_drawn(rollout, "/".join(group))) / 2.0**64  # groups of one size take turns being first
        members.sort(key=lambda b: _drawn(rollout, b.name))
        placed += [((at + shift) / len(members), _drawn(rollout, b.name), b) for at, b in enumerate(members)]
    return [box for _, _, box in sorted(placed, key=lambda p: p[:2])]


class Bounds(NamedTuple):
    """How much of what fails together one stage may take."""

    zone_most: float = 0.6


def _room(boxes: Sequence[Worker], most: float) -> dict[tuple[str, ...], int]:
    """Return how many boxes of each zone and domain one stage may take: never all, where there are two or more."""
    sizes: Counter[tuple[str, ...]] = Counter()
    for box in boxes:
        sizes.update({("zone", box.zone): 1, ("domain", box.zone, box.domain): 1})
    return {group: max(1, min(ceil(size * most - 1e-9), size - 1)) for group, size in sizes.items()}


def _groups(box: Worker) -> tuple[tuple[str, ...], tuple[str, ...]]:
    return ("zone", box.zone), ("domain", box.zone, box.domain)


def assign(boxes: Sequence[Worker], wants: Sequence[Want], rollout: str, bounds: Bounds) -> list[list[str]]:
    """Return the names of each stage's boxes; what finds no room in a stage comes in a later one, or one more.

    Raises ``ValueError`` where a stage names a box that is not there, or none is left for it.
    """
    by_name = {box.name: box for box in boxes}
    named = [name for each in wants for name in each.names]
    for name in named:
        if name not in by_name:
            raise ValueError(f"there is no box {name}{suggest_nearest(name, by_name)}")
    if len(set(named)) != len(named):
        raise ValueError("a box stands in two stages")
    left = [box for box in order(boxes, rollout) if box.name not in named]
    room, stages, done = _room(boxes, bounds.zone_most), list[list[str]](), 0
    for each in wants:
        size = len(each.names) or each.count or max(0, ceil(each.share * len(boxes) - 1e-9) - done)
        stage = _fill([by_name[n] for n in each.names], left, size, room)
        stages.append([box.name for box in stage])
        done += len(stage)
    while left and any(w.share >= 1 for w in wants):  # all are wanted: what had no room
        stages.append([box.name for box in _fill([], left, len(left), room)])
    return [stage for stage in stages if stage]


def _fill(stage: list[Worker], left: list[Worker], size: int, room: dict[tuple[str, ...], int]) -> list[Worker]:
    taken: Counter[tuple[str, ...]] = Counter()
    for box in stage:
        taken.update(_groups(box))
    for box in list(left):
        if len(stage) >= size:
            break
        if all(taken[group] < room[group] for group in _groups(box)):
            taken.update(_groups(box))
            stage.append(box)
            left.remove(box)
    return stage


def remarks(boxes: Sequence[Worker], stages: Sequence[Sequence[str]], bounds: Bounds) -> list[str]:
    """Return what a person should know of a plan before it begins."""
    by_name = {box.name: box for box in boxes}
    room, found = _room(boxes, bounds.zone_most), []
    for number, stage in enumerate(stages, 1):
        taken: Counter[tuple[str, ...]] = Counter()
        for name in stage:
            taken.update(_groups(by_name[name]))
        for group, count in sorted(taken.items()):
            if count > room[group]:
                found.append(
                    f"stage {number} takes {count} boxes of {' '.join(filter(None, group))}; "
                    f"{room[group]} may go at once"
                )
        kinds = {by_name[name].kind for name in stage}
        rest = [box for box in boxes if box.name not in {n for s in stages[:number] for n in s}]
        for kind in sorted(kinds - {box.kind for box in rest}):
            if number < len(stages):
                found.append(
                    f"stage {number} leaves no box of {'/'.join(filter(None, kind)) or 'its kind'} to compare with"
                )
    missing = by_name.keys() - {name for stage in stages for name in stage}
    if missing:
        found.append(f"{len(missing)} boxes stay as they are, such as {min(missing)}")
    for box in boxes:
        if not box.agent:
            found.append(f"{box.name} has no agent (lapispick_agent)")
    return found
