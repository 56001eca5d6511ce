"""Recovery after a crash: which snapshot is used, which records follow it, what is cut off.

Generation g is a snapshot and the journal of all changes after it. Making generation g+1 leaves g in place,
so that a snapshot that was written completely and damaged later can be done without. No input or output of its own.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from kelpcourse.store.errors import UnusableFileError
from kelpcourse.store.frames import Contents, Damage, Kind, Record, read

NAME = re.compile(r"(snapshot|journal)-(\d{12})\Z")
TEMPORARY_SUFFIX = ".tmp"
DAMAGED_SUFFIX = ".damaged"
STATE = "state"  # named in a warning on all files together

Load = Callable[[str], bytes]


def file_name(kind: Kind, generation: int) -> str:
    """The name of a generation's snapshot or journal."""
    return f"{kind.name.lower()}-{generation:012d}"


@dataclass(frozen=True)
class RecoveryWarning:
    """Something that was found and is reported to the operators."""

    file: str
    problem: str
    lost_bytes: int = 0
    alarming: bool = False  # more than what a crash leaves behind


@dataclass
class Recovered:
    """What is durable, and how to go on."""

    generation: int = 0  # of the journal that is written on; 0: there is none yet
    snapshot: bytes | None = None
    records: list[Record] = field(default_factory=list)
    next_number: int = 1
    truncate_to_bytes: int | None = None  # bytes of that journal that are intact, if not all are
    journal_bytes: int = 0  # of all journals that were read
    warnings: list[RecoveryWarning] = field(default_factory=list)
    needs_generation: bool = False  # a new generation is to be made before anything is written


@dataclass(frozen=True)
class Files:
    """The generations of which there are files."""

    snapshots: tuple[int, ...]  # newest first
    journals: frozenset[int]

    @property
    def newest(self) -> int:
        """The newest generation of all; 0 if there is none."""
        return max(*self.snapshots, *self.journals, 0, 0)


def sort_files(names: Sequence[str]) -> Files:
    """Snapshots and journals among a folder's names."""
    generations: dict[str, list[int]] = {"snapshot": [], "journal": []}
    for name in names:
        match = NAME.match(name)
        if match is not None:
            generations[match[1]].append(int(match[2]))
    snapshots = tuple(sorted(generations["snapshot"], reverse=True))
    return Files(snapshots, frozenset(generations["journal"]))


def recover(names: Sequence[str], load: Load) -> Recovered:
    """Reads the newest intact snapshot and the journals from its generation on, and nothing else.

    Args:
        names: of all files in the folder.
        load: reads a file; what it raises goes through.
    """
    files = sort_files(names)
    recovered = Recovered()
    if _take_snapshot(files, load, recovered):
        _follow_journals(files, load, recovered)
        return recovered
    recovered.needs_generation = True
    if files.snapshots or files.journals:
        recovered.generation = files.newest
        # A first generation that a crash cut short holds no change.
        lost = any(load(file_name(Kind.JOURNAL, generation)) for generation in files.journals)
        problem = "no snapshot can be used: nothing is restored"
        recovered.warnings.append(RecoveryWarning(STATE, problem, alarming=lost))
    return recovered


def from_bytes(files: Mapping[str, bytes]) -> Recovered:
    """Recovers from files in memory, by name."""
    return recover(sorted(files), files.__getitem__)


def _take_snapshot(files: Files, load: Load, recovered: Recovered) -> bool:
    """Takes the newest intact snapshot; false if there is none."""
    for generation in files.snapshots:
        name = file_name(Kind.SNAPSHOT, generation)
        contents = _read(Kind.SNAPSHOT, name, load(name), recovered)
        if contents is None:
            continue
        if contents.damage is not Damage.NONE or len(contents.records) != 1:
            recovered.warnings.append(
                RecoveryWarning(name, "the snapshot is not whole", alarming=True)
            )
            continue
        recovered.generation = generation
        recovered.snapshot = contents.records[0].payload
        recovered.next_number = contents.first_number + 1
        return True
    return False


def _follow_journals(files: Files, load: Load, recovered: Recovered) -> None:
    """Takes journals from the snapshot's generation on, as long as their numbers follow each other."""
    generation = recovered.generation
    while generation in files.journals:
        if not _take_journal(generation, files, load, recovered):
            break
        generation += 1
    else:
        # A snapshot without its journal: the crash came between the two, and nothing was written since.
        recovered.needs_generation = (
            recovered.needs_generation or recovered.generation not in files.journals
        )
    if recovered.needs_generation:
        recovered.generation = max(recovered.generation, files.newest)


def _take_journal(generation: int, files: Files, load: Load, recovered: Recovered) -> bool:
    """Takes one journal; false where the next one can't follow it."""
    name = file_name(Kind.JOURNAL, generation)
    data = load(name)
    contents = _read(Kind.JOURNAL, name, data, recovered)
    if contents is None:
        recovered.needs_generation = True
        return False
    if contents.first_number > recovered.next_number:
        problem = f"starts at {contents.first_number}, {recovered.next_number} was next"
        recovered.warnings.append(RecoveryWarning(name, problem, len(data), alarming=True))
        recovered.needs_generation = True
        return False
    end_number = contents.first_number + len(contents.records)
    recovered.records += [
        record for record in contents.records if record.number >= recovered.next_number
    ]
    recovered.next_number = max(recovered.next_number, end_number)
    recovered.journal_bytes += contents.intact_bytes
    recovered.generation = generation
    recovered.truncate_to_bytes = None
    if contents.damage is not Damage.NONE:
        inside = contents.damage is Damage.INSIDE
        problem = "damaged inside" if inside else "the last write is torn"
        lost_bytes = len(data) - contents.intact_bytes
        recovered.warnings.append(RecoveryWarning(name, problem, lost_bytes, inside))
        recovered.truncate_to_bytes = contents.intact_bytes
        recovered.needs_generation = inside or generation + 1 in files.journals
        return False
    # A journal of an abandoned generation may lag behind the one before it: its numbers then end
    # too early for what would be written on.
    recovered.needs_generation = end_number != recovered.next_number
    return True


def _read(kind: Kind, name: str, data: bytes, recovered: Recovered) -> Contents | None:
    try:
        return read(kind, data)
    except UnusableFileError as error:
        alarming = kind is Kind.SNAPSHOT
        recovered.warnings.append(RecoveryWarning(name, error.reason, alarming=alarming))
        return None


def obsolete(names: Sequence[str], generation: int) -> list[str]:
    """Files that no recovery needs once `generation` is in place.

    These are all before the last earlier generation that has a snapshot, and what was never finished.
    """
    earlier = [snapshot for snapshot in sort_files(names).snapshots if snapshot < generation]
    min_generation = max(earlier, default=generation)
    unfinished = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
    return unfinished + [name for name in names if _is_before(name, min_generation)]


def _is_before(name: str, generation: int) -> bool:
    match = NAME.match(name)
    return match is not None and int(match[2]) < generation
