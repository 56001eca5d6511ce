"""Recovery after a crash: selects the snapshot, the records after it, and where a journal is truncated.

Generation g consists of a snapshot and the journal of all changes after it. Creating generation g+1 keeps the files
of g, so that recovery is possible without a snapshot that was damaged after it was written completely. This module
does no input or output itself.
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
STATE = "state"  # name in a warning that concerns all files

Load = Callable[[str], bytes]


def file_name(kind: Kind, generation: int) -> str:
    """Returns the file name of a generation's snapshot or journal."""
    return f"{kind.name.lower()}-{generation:012d}"


@dataclass(frozen=True)
class RecoveryWarning:
    """A problem that recovery found, to be reported to the operators.

    Attributes:
        file: Name of the file, or STATE.
        problem: Description of the problem.
        lost_bytes: Number of bytes that were not recovered.
        alarming: Whether a crash alone does not explain the problem.
    """

    file: str
    problem: str
    lost_bytes: int = 0
    alarming: bool = False


@dataclass
class Recovered:
    """The durable state, and how the journal is continued.

    Attributes:
        generation: Generation whose journal is continued; 0 if there is none yet.
        snapshot: Payload of the snapshot; None if there is none.
        records: Records after the snapshot, in order.
        next_number: Number of the next record.
        truncate_to_bytes: Size of the intact part of that journal, in bytes; None if it is undamaged.
        journal_bytes: Total size of the intact parts of all journals that were read, in bytes.
        warnings: Problems that were found.
        needs_generation: Whether a new generation must be created before anything is written.
    """

    generation: int = 0
    snapshot: bytes | None = None
    records: list[Record] = field(default_factory=list)
    next_number: int = 1
    truncate_to_bytes: int | None = None
    journal_bytes: int = 0
    warnings: list[RecoveryWarning] = field(default_factory=list)
    needs_generation: bool = False


@dataclass(frozen=True)
class Files:
    """The generations that have files in a folder.

    Attributes:
        snapshots: Generations that have a snapshot, newest first.
        journals: Generations that have a journal.
    """

    snapshots: tuple[int, ...]
    journals: frozenset[int]

    @property
    def newest(self) -> int:
        """The newest generation that has a file; 0 if there is none."""
        return max(*self.snapshots, *self.journals, 0, 0)


def sort_files(names: Sequence[str]) -> Files:
    """Returns the generations of the snapshots and journals among the file names of a folder."""
    generations: dict[str, list[int]] = {"snapshot": [], "journal": []}
    for name in names:
        match = NAME.match(name)
        if match is not None:
            generations[match[1]].append(int(match[2]))
    snapshots = tuple(sorted(generations["snapshot"], reverse=True))
    return Files(snapshots, frozenset(generations["journal"]))


def recover(names: Sequence[str], load: Load) -> Recovered:
    """Reads the newest intact snapshot and the journals from its generation onward, and no other file.

    Args:
        names: Names of all files in the folder.
        load: Function that reads a file. Its exceptions are not caught.
    """
    files = sort_files(names)
    recovered = Recovered()
    if _recover_snapshot(files, load, recovered):
        _recover_journals(files, load, recovered)
        return recovered
    recovered.needs_generation = True
    if files.snapshots or files.journals:
        recovered.generation = files.newest
        # A crash between the renames that create the first generation leaves a journal without records.
        lost = any(
            _may_have_records(load(file_name(Kind.JOURNAL, generation)))
            for generation in files.journals
        )
        problem = "no usable snapshot: nothing was restored"
        recovered.warnings.append(RecoveryWarning(STATE, problem, alarming=lost))
    return recovered


def from_bytes(files: Mapping[str, bytes]) -> Recovered:
    """Recovers the state from the contents of files, by name."""
    return recover(sorted(files), files.__getitem__)


def _recover_snapshot(files: Files, load: Load, recovered: Recovered) -> bool:
    """Restores the newest intact snapshot; returns False if there is none."""
    for generation in files.snapshots:
        name = file_name(Kind.SNAPSHOT, generation)
        contents = _read(Kind.SNAPSHOT, name, load(name), recovered)
        if contents is None:
            continue
        if contents.damage is not Damage.NONE or len(contents.records) != 1:
            recovered.warnings.append(
                RecoveryWarning(name, "the snapshot is incomplete or damaged", alarming=True)
            )
            continue
        recovered.generation = generation
        recovered.snapshot = contents.records[0].payload
        recovered.next_number = contents.first_number + 1
        return True
    return False


def _recover_journals(files: Files, load: Load, recovered: Recovered) -> None:
    """Reads the journals from the snapshot's generation onward, as long as their numbers are consecutive."""
    generation = recovered.generation
    while generation in files.journals:
        if not _recover_journal(generation, files, load, recovered):
            break
        generation += 1
    else:
        # A snapshot without its journal: the process crashed between creating the two, and nothing was written since.
        recovered.needs_generation = (
            recovered.needs_generation or recovered.generation not in files.journals
        )
    if recovered.needs_generation:
        recovered.generation = max(recovered.generation, files.newest)


def _recover_journal(generation: int, files: Files, load: Load, recovered: Recovered) -> bool:
    """Reads one journal; returns False if the next journal cannot continue it."""
    name = file_name(Kind.JOURNAL, generation)
    data = load(name)
    contents = _read(Kind.JOURNAL, name, data, recovered)
    if contents is None:
        recovered.needs_generation = True
        return False
    if contents.first_number > recovered.next_number:
        problem = (
            f"starts at record {contents.first_number}, expected record {recovered.next_number}"
        )
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
        problem = "damaged before intact records" if inside else "the last write is incomplete"
        lost_bytes = len(data) - contents.intact_bytes
        recovered.warnings.append(RecoveryWarning(name, problem, lost_bytes, inside))
        recovered.truncate_to_bytes = contents.intact_bytes
        recovered.needs_generation = inside or generation + 1 in files.journals
        return False
    # The journal of an abandoned generation may end at a lower number than the journal before it. The next record
    # would then not follow the last record of this journal.
    recovered.needs_generation = end_number != recovered.next_number
    return True


def _may_have_records(journal: bytes) -> bool:
    """Returns whether a journal has records, or is damaged so that it may have had some."""
    if not journal:
        return False
    try:
        contents = read(Kind.JOURNAL, journal)
    except UnusableFileError:
        return True
    return bool(contents.records) or contents.damage is not Damage.NONE


def _read(kind: Kind, name: str, data: bytes, recovered: Recovered) -> Contents | None:
    try:
        return read(kind, data)
    except UnusableFileError as error:
        alarming = kind is Kind.SNAPSHOT
        recovered.warnings.append(RecoveryWarning(name, error.reason, alarming=alarming))
        return None


def obsolete(names: Sequence[str], generation: int) -> list[str]:
    """Returns the names of the files that no recovery needs once `generation` exists.

    These are unfinished files, and the files of all generations before the newest earlier one that has a snapshot.
    """
    earlier = [snapshot for snapshot in sort_files(names).snapshots if snapshot < generation]
    min_generation = max(earlier, default=generation)
    unfinished = [name for name in names if name.endswith(TEMPORARY_SUFFIX)]
    return unfinished + [name for name in names if _is_before(name, min_generation)]


def _is_before(name: str, generation: int) -> bool:
    match = NAME.match(name)
    return match is not None and int(match[2]) < generation
