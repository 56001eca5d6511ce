"""The pages explain every log event and counter that the code writes, and name only what exists."""

from __future__ import annotations

import ast
import dataclasses
import importlib.util
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

from kelpcourse.limits import Limits

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
SOURCES = {
    path: ast.parse(path.read_text(encoding="utf-8"))
    for path in sorted((ROOT / "kelpcourse").rglob("*.py"))
}
PAGES = [
    ROOT / "README.md",
    ROOT / "CONTRIBUTING.md",
    ROOT / "CHANGELOG.md",
    ROOT / "deploy" / "sites" / "README.md",
    *sorted(DOCS.rglob("*.md")),
]
# These pages keep the names that were in use when they were written. Only their links are checked.
HISTORICAL_PAGES = ("CHANGELOG.md", "docs/history/", "docs/incidents/")
CURRENT_PAGES = [
    page for page in PAGES if not page.relative_to(ROOT).as_posix().startswith(HISTORICAL_PAGES)
]
OPERATOR_PAGES = [
    DOCS / name for name in ("on-call.md", "operating-zones.md", "operating-shared.md")
]
RENAMED_NAMES_TITLE = "Renamed log events, fields and counters"

LOG_METHODS = {"event", "always"}
CODE_SPAN = re.compile(r"`([^`\n]+)`")
LINK = re.compile(r"\]\(([^)\s]+)\)")


def text_of(page: Path) -> str:
    return page.read_text(encoding="utf-8")


def name_of(page: Path) -> str:
    return page.relative_to(ROOT).as_posix()


# Names in the code


def calls_in(tree: ast.AST) -> Iterator[tuple[str, str, ast.Call]]:
    """Yields for each method call the last name of its receiver, the name of the method, and the call."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
            receiver = node.func.value
            if isinstance(receiver, ast.Attribute):
                yield receiver.attr, node.func.attr, node
            elif isinstance(receiver, ast.Name):
                yield receiver.id, node.func.attr, node


def calls() -> Iterator[tuple[str, str, ast.Call]]:
    for tree in SOURCES.values():
        yield from calls_in(tree)


def possible_names(call: ast.Call) -> Iterator[str]:
    """Yields the names that the first argument of a call may be, with `*` for parts that are known only at run time."""
    values = call.args[:1]
    while values:
        value = values.pop()
        if isinstance(value, ast.IfExp):
            values += [value.body, value.orelse]
        elif isinstance(value, ast.Constant) and isinstance(value.value, str):
            yield value.value
        elif isinstance(value, ast.JoinedStr):
            yield "".join(
                str(part.value) if isinstance(part, ast.Constant) else "*" for part in value.values
            )


def logged_fields() -> dict[str, set[str]]:
    """Returns the log events, each with the fields that any call logs with it."""
    fields: dict[str, set[str]] = {}
    for receiver, method, call in calls():
        if receiver.endswith("log") and method in LOG_METHODS:
            for event in possible_names(call):
                given = {keyword.arg for keyword in call.keywords if keyword.arg is not None}
                fields.setdefault(event, set()).update(given)
    return fields


def counting_functions() -> dict[str, str]:
    """Returns functions that increment a counter named after their first argument, with the pattern of its name."""
    functions: dict[str, str] = {}
    for tree in SOURCES.values():
        for node in ast.walk(tree):
            if isinstance(node, ast.FunctionDef):
                arguments = [argument.arg for argument in node.args.args if argument.arg != "self"]
                for pattern in counted_by(node, set(arguments[:1])):
                    functions[node.name] = pattern
    return functions


def counted_by(function: ast.FunctionDef, arguments: set[str]) -> Iterator[str]:
    for receiver, _, call in calls_in(function):
        for value in call.args[:1]:
            filled_in = {node.id for node in ast.walk(value) if isinstance(node, ast.Name)}
            is_counter = receiver.endswith("counters") and isinstance(value, ast.JoinedStr)
            if is_counter and filled_in == arguments:
                yield from possible_names(call)


def counter_names() -> set[str]:
    names: set[str] = set()
    functions = counting_functions()
    for receiver, method, call in calls():
        if receiver.endswith("counters"):
            names |= set(possible_names(call))
        elif method in functions:
            names |= {functions[method].replace("*", source) for source in possible_names(call)}
    return names


EVENTS = logged_fields()
COUNTERS = counter_names()


def is_written(name: str, names: set[str]) -> bool:
    """Returns whether the code has this name, or a pattern that can result in it at run time."""
    return name in names or any(
        re.fullmatch(pattern.replace("*", "[a-z_]+"), name)
        for pattern in names
        if "*" in pattern and not pattern.startswith("*")
    )


def names_matching(pattern: str) -> set[str]:
    return {name for path in SOURCES for name in re.findall(pattern, text_of(path))}


def test_names_found_in_the_source_text_are_found_by_parsing() -> None:
    assert names_matching(r'log\.(?:event|always)\(\s*"([a-z_]+)"') <= set(EVENTS)
    assert names_matching(r'counters\.(?:add|record_max)\(\s*"([a-z_]+)"') <= COUNTERS
    sources = names_matching(r'reject_message\(\s*"([a-z_]+)"')
    assert len(sources) == 4
    assert "relay" in sources
    assert {f"{source}_messages_rejected" for source in sources} <= COUNTERS


# Names on the pages


def section(page: Path, title: str) -> str:
    """Returns the text under a second-level heading, or an empty string if the page has no such heading."""
    _, _, rest = text_of(page).partition(f"\n## {title}\n")
    return rest.split("\n## ")[0]


def table_rows(text: str) -> list[list[str]]:
    """Returns the rows of the tables in a text, without the header and delimiter rows."""
    table = [line for line in text.splitlines() if line.startswith("|")]
    cells = [[cell.strip() for cell in line.strip("|").split("|")] for line in table]
    delimiter_rows = {
        at for at, row in enumerate(cells) if all(set(cell) <= set("-: ") for cell in row)
    }
    return [
        row
        for at, row in enumerate(cells)
        if at not in delimiter_rows and at + 1 not in delimiter_rows
    ]


def explained_names(title: str) -> dict[str, list[str]]:
    """Returns the names in the first column of the operator pages' tables under a heading, each with its row."""
    return {
        name: row
        for page in OPERATOR_PAGES
        for row in table_rows(section(page, title))
        for name in CODE_SPAN.findall(row[0])
    }


def test_every_log_event_is_explained() -> None:
    assert "event_stream_lost" in EVENTS
    assert [event for event in sorted(EVENTS) if event not in explained_names("Log lines")] == []


def test_every_log_event_that_is_explained_is_written() -> None:
    events = explained_names("Log lines")
    assert len(events) > 15
    assert [event for event in events if event not in EVENTS] == []


@pytest.mark.parametrize("event", sorted(EVENTS))
def test_every_field_of_a_log_event_is_explained(event: str) -> None:
    row = explained_names("Log lines").get(event, [])
    assert [field for field in sorted(EVENTS[event]) if field not in re.split(r"\W+", row[1])] == []


def test_every_counter_is_explained() -> None:
    literal = {name for name in COUNTERS if "*" not in name}
    assert "relay_messages_rejected" in literal
    assert [name for name in sorted(literal) if name not in explained_names("Counters")] == []


@pytest.mark.parametrize("pattern", sorted(name for name in COUNTERS if "*" in name))
def test_every_counter_pattern_matches_an_explained_counter(pattern: str) -> None:
    assert (
        any(is_written(name, {pattern}) for name in explained_names("Counters"))
        or pattern[0] == "*"
    )


def test_every_counter_that_is_explained_is_written() -> None:
    counters = explained_names("Counters")
    assert len(counters) > 50
    assert [name for name in counters if not is_written(name, COUNTERS)] == []


def test_every_name_that_is_explained_is_in_the_source() -> None:
    pages = "".join(text_of(page) for page in OPERATOR_PAGES)
    renamed_section = section(DOCS / "on-call.md", RENAMED_NAMES_TITLE)
    names = re.findall(r"^\| `([a-z_]+)` \|", pages.replace(renamed_section, ""), re.MULTILINE)
    assert len(names) > 15
    source = "".join(text_of(path) for path in SOURCES)
    assert [name for name in names if f'"{name}"' not in source] == []


def renamed_names() -> list[list[list[str]]]:
    """Returns the tables of old and new names: log events, fields with the new name of their event, and counters."""
    blocks = section(DOCS / "on-call.md", RENAMED_NAMES_TITLE).split("\n\n")
    tables = [table_rows(block) for block in blocks if block.lstrip().startswith("|")]
    return [[CODE_SPAN.findall(" ".join(row)) for row in table] for table in tables]


def test_renamed_log_events_are_written_only_under_their_new_names() -> None:
    events, _, _ = renamed_names()
    assert len(events) > 40
    assert [new for _, new in events if new not in EVENTS] == []
    assert [old for old, _ in events if old in EVENTS] == []


def test_renamed_fields_are_written_only_under_their_new_names() -> None:
    _, fields, _ = renamed_names()
    assert len(fields) > 15
    assert [(event, new) for event, _, new in fields if new not in EVENTS.get(event, ())] == []
    assert [(event, old) for event, old, _ in fields if old in EVENTS.get(event, ())] == []


def test_renamed_counters_are_written_only_under_their_new_names() -> None:
    _, _, counters = renamed_names()
    assert len(counters) > 40
    assert [new for _, new in counters if not is_written(new, COUNTERS)] == []
    assert [old for old, _ in counters if old in COUNTERS] == []


def test_no_name_is_renamed_twice() -> None:
    for table in renamed_names():
        for old_or_new in (slice(0, -1), slice(-1, None)):
            names = [tuple(row[:-2] + row[-2:][old_or_new]) for row in table]
            assert len(names) == len(set(names))


# Links and names


def anchors(page: Path) -> set[str]:
    """Returns the anchors that GitHub generates for the headings of a page."""
    found: set[str] = set()
    for heading in re.findall(r"^#+ (.+)$", text_of(page), re.MULTILINE):
        without_punctuation = re.sub(r"[^\w\- ]", "", heading.lower())
        found.add(without_punctuation.replace(" ", "-"))
    return found


@pytest.mark.parametrize("page", PAGES, ids=name_of)
def test_every_relative_link_has_a_target(page: Path) -> None:
    links = [link for link in LINK.findall(text_of(page)) if "://" not in link]
    broken = []
    for link in links:
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        if not target.exists() or (anchor and anchor not in anchors(target)):
            broken.append(link)
    assert broken == []


def names_in_backticks(page: Path) -> list[str]:
    """Returns the texts in backticks on a page, except in indented and fenced blocks."""
    text = re.sub(r"^```.*?^```$", "", text_of(page), flags=re.MULTILINE | re.DOTALL)
    lines = [line for line in text.splitlines() if not line.startswith("    ")]
    return CODE_SPAN.findall("\n".join(lines))


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=name_of)
def test_every_file_that_is_named_exists(page: Path) -> None:
    paths = re.compile(r"(?:kelpcourse|tests|docs|deploy|benchmarks|journal)/[\w./-]*")
    named_paths = [name for name in names_in_backticks(page) if paths.fullmatch(name)]
    assert [name for name in named_paths if not (ROOT / name).exists()] == []


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=name_of)
def test_every_module_that_is_named_can_be_found(page: Path) -> None:
    modules = [
        name for name in names_in_backticks(page) if re.fullmatch(r"kelpcourse(\.\w+)+", name)
    ]
    assert [name for name in modules if importlib.util.find_spec(name) is None] == []


def test_every_test_that_is_named_exists() -> None:
    tests = "".join(text_of(path) for path in sorted((ROOT / "tests").glob("*.py")))
    defined = set(re.findall(r"^\s*def (test_\w+)\(", tests, re.MULTILINE))
    names = [(name_of(page), name) for page in CURRENT_PAGES for name in names_in_backticks(page)]
    named_tests = [(page, name) for page, name in names if re.fullmatch(r"test_\w+", name)]
    assert len(named_tests) > 30
    assert [(page, name) for page, name in named_tests if name not in defined] == []


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=name_of)
def test_every_class_and_member_that_is_named_is_in_the_code(page: Path) -> None:
    words = {word for path in SOURCES for word in re.findall(r"\w+", text_of(path))}
    names = [
        name for name in names_in_backticks(page) if re.fullmatch(r"[A-Z]\w*[a-z]\w*(\.\w+)?", name)
    ]
    parts = [(name, part) for name in names for part in name.split(".")]
    assert [name for name, part in parts if part not in words] == []


def test_every_limit_that_is_explained_is_a_field() -> None:
    names = [
        name
        for row in table_rows(text_of(DOCS / "limits.md"))
        for name in CODE_SPAN.findall(row[0])
    ]
    fields = {field.name for field in dataclasses.fields(Limits)}
    assert len(names) > 15
    assert [name for name in names if name not in fields] == []
