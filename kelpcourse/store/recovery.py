"""What stands after a crash: which snapshot is believed, which records follow it, what is cut off. Pure.

Generation g is a snapshot and the journal of all changes after it. Making generation g+1 leaves g in place,
so that a snapshot that was written whole and spoilt later can be done without.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from kelpcourse.store.frames import Contents, Damage, Kind, Record, Unusable, read

NAME = re.compile(r"(snapshot|journal)-(\d{12})\Z")


def file_name(kind: Kind, generation: int) -> str:
    return f"{kind.name.lower()}-{generation:012d}"


@dataclass(frozen=True)
class Remark:
    """Something that was found and is told to the operators."""

    file: str
    what: str
    lost_bytes: int = 0
    alarming: bool = False  # more than what a crash leaves behind


@dataclass
class Recovered:
    generation: int = 0  # of the journal that is written on; 0: there is none yet
    snapshot: bytes | None = None
    records: list[Record] = field(default_factory=list)
    next_number: int = 1
    cut_to: int | None = None  # bytes of that journal that stand, if not all do
    journal_bytes: int = 0  # of all journals that had to be read
    remarks: list[Remark] = field(default_factory=list)
    fresh: bool = False  # a new generation is to be made before anything is written


@dataclass(frozen=True)
class Files:
    snapshots: tuple[int, ...]  # generations, newest first
    journals: frozenset[int]


def sort_files(names: Sequence[str]) -> Files:
    found: dict[str, list[int]] = {"snapshot": [], "journal": []}
    for name in names:
        match = NAME.match(name)
        if match:
            found[match[1]].append(int(match[2]))
    return Files(tuple(sorted(found["snapshot"], reverse=True)), frozenset(found["journal"]))


def recover(names: Sequence[str], load: Callable[[str], bytes]) -> Recovered:
    """Reads what is needed and no more: the newest whole snapshot and the journals from its generation on."""
    files = sort_files(names)
    out = Recovered()
    for generation in files.snapshots:
        name = file_name(Kind.SNAPSHOT, generation)
        contents = _try(Kind.SNAPSHOT, name, load, out)
        if contents is None:
            continue
        if contents.damage is not Damage.NONE or len(contents.records) != 1:
            out.remarks.append(Remark(name, "the snapshot is not whole", alarming=True))
            continue
        out.generation, out.snapshot = generation, contents.records[0].payload
        out.next_number = contents.first + 1
        break
    else:
        out.fresh = True
        if (
            files.snapshots or files.journals
        ):  # a first generation that a crash cut short holds no change
            out.generation = max(*files.snapshots, *files.journals, 0)
            lost = any(len(load(file_name(Kind.JOURNAL, g))) > 0 for g in files.journals)
            out.remarks.append(
                Remark("state", "no snapshot can be used: nothing is restored", alarming=lost)
            )
        return out
    _follow(files, load, out)
    return out


def _follow(files: Files, load: Callable[[str], bytes], out: Recovered) -> None:
    """Journals from the believed snapshot's generation on, as long as their numbers follow each other."""
    at = out.generation
    while at in files.journals:
        name = file_name(Kind.JOURNAL, at)
        data_size = 0

        def sized(name: str) -> bytes:
            nonlocal data_size
            data = load(name)
            data_size = len(data)
            return data

        contents = _try(Kind.JOURNAL, name, sized, out)
        if contents is None or contents.first > out.next_number:
            if contents is not None:
                out.remarks.append(
                    Remark(
                        name,
                        f"starts at {contents.first}, {out.next_number} was next",
                        data_size,
                        alarming=True,
                    )
                )
            out.fresh = True
            break
        out.records += [r for r in contents.records if r.number >= out.next_number]
        out.next_number = max(out.next_number, contents.first + len(contents.records))
        out.journal_bytes += contents.good_bytes
        out.generation, out.cut_to = at, None
        if contents.damage is not Damage.NONE:
            lost = data_size - contents.good_bytes
            inside = contents.damage is Damage.INSIDE
            out.remarks.append(
                Remark(name, "damaged inside" if inside else "the last write is torn", lost, inside)
            )
            out.cut_to = contents.good_bytes
            out.fresh = inside or at + 1 in files.journals
            break
        # A journal of a generation that came to nothing may lag behind the one before it: its numbers end
        # too early for what would be written on.
        out.fresh = contents.first + len(contents.records) != out.next_number
        at += 1
    else:
        # A snapshot without its journal: the crash came between the two, and nothing was written since.
        out.fresh = out.fresh or out.generation not in files.journals
    out.generation = (
        max(out.generation, *files.snapshots, *files.journals) if out.fresh else out.generation
    )


def _try(kind: Kind, name: str, load: Callable[[str], bytes], out: Recovered) -> Contents | None:
    try:
        return read(kind, load(name))
    except Unusable as error:
        out.remarks.append(Remark(name, str(error), alarming=kind is Kind.SNAPSHOT))
        return None


def obsolete(names: Sequence[str], generation: int) -> list[str]:
    """Files that no recovery needs once `generation` stands: all before the last generation but it that has a
    snapshot, and what was never finished."""
    least = max((g for g in sort_files(names).snapshots if g < generation), default=generation)
    out = [name for name in names if name.endswith(".tmp")]
    for name in names:
        match = NAME.match(name)
        if match and int(match[2]) < least:
            out.append(name)
    return out


def from_bytes(files: Mapping[str, bytes]) -> Recovered:
    return recover(sorted(files), files.__getitem__)
