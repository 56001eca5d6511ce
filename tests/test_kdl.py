"""Tests of the KDL reader: values, and the line number of each problem and node."""

from __future__ import annotations

from typing import Annotated, ClassVar

import ckdl
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from kelpcourse.kdl import Block, SettingsError, parse
from kelpcourse.kdl.lines import node_lines


class Inner(Block, kw_only=True, frozen=True):
    args: ClassVar = ("name",)
    name: str
    share: Annotated[float, msgspec.Meta(ge=0, le=1)] = 1.0


class Outer(Block, kw_only=True, frozen=True):
    size: int = 3
    words: tuple[str, ...] = ()
    inner: tuple[Inner, ...] = ()
    only: Inner | None = None


def test_a_valid_document_is_read_into_blocks() -> None:
    block = parse(
        'size 5\nwords "a" "b"\nwords "c"\ninner "x" share=0.5\ninner "y" { share 0 }\nonly z',
        "f",
        Outer,
    )
    assert (block.size, block.words) == (5, ("a", "b", "c"))
    assert [(i.name, i.share, i.line) for i in block.inner] == [("x", 0.5, 4), ("y", 0.0, 5)]
    assert block.only is not None
    assert block.only.name == "z"


def test_all_problems_are_reported_together_with_file_line_and_field() -> None:
    text = (
        'size "x"\nsize 1 2\nfoo 1\ninner "a" share=2 bar=1\ninner {\n  share 0.1\n  share 0.2\n}\n'
        'only "a" "b"\nonly "c"\nwords 1\nsize 1 { x; }\n'
    )
    with pytest.raises(SettingsError) as error:
        parse(text, "f.kdl", Outer)
    assert sorted(str(error.value).splitlines()) == sorted(
        [
            "f.kdl:1: size: expected int, not 'x'",
            "f.kdl:2: size: expected one value, not 2",
            "f.kdl:3: foo: is not a setting",
            "f.kdl:4: inner.share: expected float <= 1.0, not 2",
            "f.kdl:4: inner.bar: is not a setting",
            "f.kdl:7: inner.share: appears twice",
            "f.kdl:5: inner.name: is missing",
            "f.kdl:9: only: unexpected argument: 'b'",
            "f.kdl:10: only: appears twice",
            "f.kdl:11: words: expected str, not [1]",
            "f.kdl:12: size: accepts values only",
        ]
    )


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ('a 1\nb "x\n', 2),
        ("a {\n  b 1\n", 2),
        ("a 1\n}\nb 2\n", 2),
        ("a {\n b =\n}\n", 2),
        ('a 1\n\nb "\\q"\nc 1', 3),
    ],
)
def test_a_syntax_error_is_reported_with_its_line(text: str, line: int) -> None:
    with pytest.raises(SettingsError) as error:
        parse(text, "f", Outer)
    assert [m.line for m in error.value.problems] == [line]


def all_nodes(nodes: list[ckdl.Node]) -> list[str]:
    return [name for node in nodes for name in (node.name, *all_nodes(node.children))]


value = st.sampled_from(
    [
        "1",
        '"a;b{c}"',
        '#"raw " \\ "#',
        "#true",
        "k=1",
        'k="{"',
        '"""\n  two\n  lines\n  """',
        "/- 3",
        "(t)4",
        "word",
        "\\\n 5",
    ]
)


@st.composite
def documents(draw: st.DrawFn, depth: int = 2) -> str:
    text = ""
    for position in range(draw(st.integers(0, 3))):
        text += draw(
            st.sampled_from(
                ["", "// note\n", "/* a /* b */ \n c */", "/- off 1 { inside 2; }\n", "\n"]
            )
        )
        text += f"n{depth}{position} " + " ".join(draw(st.lists(value, max_size=3)))
        if depth and draw(st.booleans()):
            text += " {\n" + draw(documents(depth - 1)) + "}"
        text += draw(st.sampled_from(["\n", ";", " // end\n"]))
    return text


@given(documents())
@settings(max_examples=300, deadline=None, derandomize=True)
def test_the_line_of_every_node_that_is_not_commented_out_is_found(text: str) -> None:
    names = all_nodes(list(ckdl.parse(text, version=2).nodes))
    lines = list(node_lines(text))
    assert len(lines) == len(names)
    assert all(name in text.split("\n")[line - 1] for name, line in zip(names, lines, strict=True))
