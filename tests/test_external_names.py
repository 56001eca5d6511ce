"""The names that leave the process are listed in `data/external_names.txt`, and the code contains each of them.

Clients, peers, stored data, settings files, alerts and the simulator depend on these names, so renaming an identifier
must not change any of them. Each heading of the list names the files in which its names are written or read.
"""

from __future__ import annotations

import ast
import dataclasses
import re
import types
from collections.abc import Iterable, Iterator
from pathlib import Path

import click
import msgspec
import pytest

from kelpcourse.cli.main import cli
from kelpcourse.kdl import Block
from kelpcourse.shared import commands, peer_schema
from kelpcourse.shared import settings as shared_settings
from kelpcourse.shared.raft import persistent
from kelpcourse.shared.raft.messages import Configuration, EntryKind, LogEntry, Snapshot
from kelpcourse.zones import persistence, restore
from kelpcourse.zones import settings_blocks as zone_settings
from tests.test_docs import COUNTERS, EVENTS, ROOT, SOURCES, counting_functions

LIST = Path(__file__).parent / "data" / "external_names.txt"
HEADING = re.compile(r"# (?P<title>[^:]+): (?P<files>.+)")
WORD = re.compile(r"[A-Za-z_]\w*(?:[.-]\w+)*")
# Fields that the log adds to a line, which are not keywords of a log call.
LOG_RECORD_FIELDS = {"t", "event", "node", "suppressed", "cut"}
BLOCK_FIELDS = {"line"}  # the line number of a block in its file, not a setting
IMPLICIT_OPTIONS = {"--help", "--version", "-h"}

# Names of functions and methods whose first or second argument is the name of the field that they read.
FIELD_READERS = re.compile(
    r"_?(require|optional)_\w+|_?(text|count|number|integer|boolean|words|choice|load|has|under)"
    r"|_flags|_object|_limit|get"
)


class Section:
    """The names under one heading of the list, and the files that contain them."""

    def __init__(self, heading: str) -> None:
        """Parses a heading of the form `# title: file, file`."""
        match = HEADING.fullmatch(heading)
        assert match, heading
        self.title = match["title"]
        self.paths = [ROOT / name for name in match["files"].split(", ")]
        self.names: list[str] = []


def read_sections() -> dict[str, Section]:
    sections: list[Section] = []
    for line in LIST.read_text(encoding="utf-8").splitlines():
        if line.startswith("# "):
            sections.append(Section(line))
        elif line:
            sections[-1].names.append(line)
    return {section.title: section for section in sections}


SECTIONS = read_sections()
ALL_NAMES = {name for section in SECTIONS.values() for name in section.names}


def listed(*titles: str) -> set[str]:
    return {name for title in titles for name in SECTIONS[title].names}


# Names in the code


def python_files(path: Path) -> Iterable[Path]:
    return sorted(path.rglob("*.py")) if path.is_dir() else [path]


def texts(tree: ast.AST) -> Iterator[str]:
    """Yields the string and bytes constants of a syntax tree, except doc comments."""
    doc_comments = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and id(node) not in doc_comments:
            if isinstance(node.value, bytes):
                yield node.value.decode("latin-1")
            elif isinstance(node.value, str):
                yield node.value


def words_of(text: str) -> set[str]:
    found = set(WORD.findall(text))
    return {text, *found} | {part for word in found for part in re.split(r"[.-]", word)}


def names_in(path: Path) -> set[str]:
    """Returns the names in a file's strings, class fields, keywords and decorated functions."""
    if path.suffix != ".py":
        return words_of(path.read_text(encoding="utf-8"))
    tree = SOURCES[path]
    names: set[str] = set()
    for text in texts(tree):
        names |= words_of(text)
    for node in ast.walk(tree):
        if isinstance(node, ast.keyword) and node.arg:
            names.add(node.arg)
        elif isinstance(node, ast.FunctionDef) and node.decorator_list:
            names.add(node.name)  # a command is named after its function by default
        elif isinstance(node, ast.ClassDef):
            names |= {
                ast.unparse(statement.target)
                for statement in node.body
                if isinstance(statement, ast.AnnAssign)
            }
    return names


def read_fields(path: Path) -> set[str]:
    """Returns the names under which a codec reads or writes fields, and the values with which it compares."""
    names: set[str] = set()
    for node in ast.walk(SOURCES[path]):
        if isinstance(node, ast.Dict):
            names |= set(constants(key for key in node.keys if key is not None))
        elif isinstance(node, ast.MatchValue):
            names |= set(constants([node.value]))
        elif isinstance(node, ast.Compare):
            names |= set(constants([node.left, *node.comparators]))
        elif isinstance(node, ast.Call) and FIELD_READERS.fullmatch(called_name(node)):
            names |= set(constants(node.args[:2]))
    return {part for name in names for part in name.split(".") if WORD.fullmatch(part)}


def constants(nodes: Iterable[ast.expr]) -> Iterator[str]:
    for node in nodes:
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            yield node.value


def called_name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ""


def structs(module: str, base: type[msgspec.Struct] = msgspec.Struct) -> Iterator[type]:
    """Yields the structs that a module defines. The module must have been imported."""
    for struct in base.__subclasses__():
        if struct.__module__ == module:
            yield struct
        yield from structs(module, struct)


def block_names(module: str) -> set[str]:
    """Returns the settings in the blocks of a module, with underscores where a file has hyphens."""
    fields = {
        field.name for block in structs(module, Block) for field in msgspec.structs.fields(block)
    }
    return fields - BLOCK_FIELDS


def stored_names(*modules: types.ModuleType) -> set[str]:
    """Returns the tags of stored structs and the names of fields that are not stored by position."""
    names: set[str] = set()
    for struct in (struct for module in modules for struct in structs(module.__name__)):
        config = struct.__struct_config__  # type: ignore[attr-defined]
        if isinstance(config.tag, str):
            names.add(config.tag)
        if not config.array_like:
            names |= set(struct.__struct_encode_fields__)  # type: ignore[attr-defined]
    return names


def field_names(*dataclass_types: type) -> set[str]:
    """Returns the fields of dataclasses, which are stored under their own names."""
    return {field.name for each in dataclass_types for field in dataclasses.fields(each)}


def command_names(command: click.Command) -> set[str]:
    """Returns the names and options of a command and of all its subcommands."""
    names = {str(command.name)}
    for parameter in command.params:
        if isinstance(parameter, click.Option):
            names |= set(parameter.opts)
    if isinstance(command, click.Group):
        for subcommand in command.commands.values():
            names |= command_names(subcommand)
    return names - IMPLICIT_OPTIONS


def environment_variables() -> set[str]:
    found = {text for tree in SOURCES.values() for text in texts(tree)}
    return {text for text in found if re.fullmatch(r"NODE_[A-Z]+", text)}


def peer_names() -> set[str]:
    fields = [*peer_schema.MESSAGES.values(), peer_schema.ENVELOPE_FIELDS]
    return {*peer_schema.MESSAGES, *(field.name for group in fields for field in group)}


# The list and the code


@pytest.mark.parametrize("section", SECTIONS.values(), ids=list(SECTIONS))
def test_every_listed_name_is_in_the_files_of_its_section(section: Section) -> None:
    files = [file for path in section.paths for file in python_files(path)]
    present = set[str]().union(*(names_in(file) for file in files))
    assert section.names
    assert [name for name in section.names if name not in present] == []


def test_no_section_lists_a_name_twice() -> None:
    assert len(SECTIONS) > 15
    assert len(ALL_NAMES) > 450
    for section in SECTIONS.values():
        assert section.names == sorted(set(section.names)), section.title


def test_every_log_event_and_field_is_listed_and_written() -> None:
    assert listed("Log events") == set(EVENTS)
    fields = set[str]().union(*EVENTS.values())
    assert listed("Log fields") == fields | LOG_RECORD_FIELDS


def test_every_counter_is_listed_and_counted() -> None:
    texts_of_code = {text for tree in SOURCES.values() for text in texts(tree)}
    assert listed("Counters") == COUNTERS & texts_of_code


def test_every_part_of_a_counter_that_is_named_at_run_time_is_listed() -> None:
    patterns = {*counting_functions().values(), *(name for name in COUNTERS if "*" in name)}
    parts = {part for pattern in patterns for part in pattern.split("*") if part}
    assert len(parts) > 3
    assert sorted(parts - listed("Parts of counters that are named at run time")) == []


CODECS = [
    "wire/relay_codec.py",
    "wire/report_codec.py",
    "wire/discovery_codec.py",
    "service/config.py",
    "settings.py",
    "simhost/events.py",
    "simhost/server.py",
    "zones/endpoint_attributes.py",
    "zones/offline.py",
    "shared/status.py",
    "shared/standalone.py",
]


@pytest.mark.parametrize("module", CODECS)
def test_every_field_that_a_codec_reads_or_writes_is_listed(module: str) -> None:
    fields = read_fields(ROOT / "kelpcourse" / module)
    assert len(fields) >= 2
    assert sorted(fields - ALL_NAMES) == []


def test_every_setting_of_zones_is_listed_and_read() -> None:
    assert listed("Settings of zones") == block_names(zone_settings.__name__)


def test_every_setting_of_shared_controllers_is_listed_and_read() -> None:
    assert listed("Settings of shared controllers") == block_names(shared_settings.__name__)


def test_every_message_between_controllers_is_listed_and_sent() -> None:
    assert listed("Messages between controllers") == peer_names()


def test_every_name_in_stored_zones_is_listed_and_stored() -> None:
    assert listed("Stored zones") == stored_names(persistence)
    assert listed("Restore commands") == stored_names(restore)


def test_every_name_in_the_state_of_a_controller_is_listed_and_stored() -> None:
    stored = stored_names(commands, persistent) | field_names(Configuration, LogEntry, Snapshot)
    assert listed("State of a controller") == stored | {kind.value for kind in EntryKind}


def test_every_command_and_option_is_listed_and_accepted() -> None:
    assert listed("Command line") == command_names(cli) - {"cli"}


def test_every_environment_variable_is_listed_and_read() -> None:
    assert listed("Environment variables") == environment_variables()
