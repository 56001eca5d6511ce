"""Finds the lines on which the nodes of a KDL document begin, because ckdl does not report them."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import ckdl

KDL_VERSION = 2


class TokenKind(Enum):
    """Kinds of tokens, as far as they matter for finding where nodes begin."""

    WORD = "word"  # A name, a value or a string.
    NODE_END = "end"
    OPEN = "open"
    CLOSE = "close"
    SLASHDASH = "off"  # Comments out the next node, entry or block of children.


@dataclass(frozen=True)
class Token:
    """A token and the line on which it begins."""

    kind: TokenKind
    line: int


_PATTERN = re.compile(
    r'(?P<raw>(?P<hash>#+)(?P<quotes>"""|").*?(?P=quotes)(?P=hash))'
    r'|(?P<text>"""(?:\\.|[^\\])*?"""|"(?:\\.|[^"\\])*")'
    r"|(?P<note>//[^\n]*)|(?P<open_note>/\*)|(?P<off>/-)|(?P<continue>\\[^\n]*\n)"
    r"|(?P<end>[\n;])|(?P<open>\{)|(?P<close>\})|(?P<space>[^\S\n]+)|(?P<word>[^\s;{}\"\\/]+|.)",
    re.DOTALL,
)
_COMMENT_MARK = re.compile(r"/\*|\*/")
_KINDS = {
    "raw": TokenKind.WORD,
    "text": TokenKind.WORD,
    "word": TokenKind.WORD,
    "end": TokenKind.NODE_END,
    "open": TokenKind.OPEN,
    "close": TokenKind.CLOSE,
    "off": TokenKind.SLASHDASH,
}


def tokenize(text: str) -> Iterator[Token]:
    """Yields the tokens of a document, without comments, white space and line continuations."""
    position = 0
    line = 1
    while position < len(text):
        match = _PATTERN.match(text, position)
        if match is None:
            # Unreachable, because the pattern matches any character.
            raise ValueError(f"no token at {position}")
        group = next(name for name in (*_KINDS, "open_note", "") if not name or match[name])
        end = _comment_end(text, position) if group == "open_note" else match.end()
        if group in _KINDS:
            yield Token(_KINDS[group], line)
        line += text.count("\n", position, end)
        position = end


def _comment_end(text: str, position: int) -> int:
    """Returns the position after a multi-line comment, which may contain nested comments."""
    depth = 0
    for match in _COMMENT_MARK.finditer(text, position):
        depth += 1 if match[0] == "/*" else -1
        if not depth:
            return match.end()
    return len(text)


class _NodeScanner:
    """Finds the tokens of a valid document that begin a node, except for nodes that are commented out."""

    def __init__(self) -> None:
        self._at_node_start = True
        self._depth = 0
        # Depth of the outermost commented-out block that encloses the current token.
        self._disabled_depth: int | None = None
        self._node_disabled = False
        self._entry_disabled = False

    def begins_node(self, kind: TokenKind) -> bool:
        """Processes the next token; returns whether it begins a node that is not commented out."""
        match kind:
            case TokenKind.WORD:
                return self._read_word()
            case TokenKind.NODE_END:
                self._end_node()
            case TokenKind.SLASHDASH:
                self._disable_next()
            case TokenKind.OPEN:
                self._open_block()
            case TokenKind.CLOSE:
                self._close_block()
        return False

    def _read_word(self) -> bool:
        is_enabled = self._disabled_depth is None and not self._node_disabled
        begins = self._at_node_start and is_enabled
        self._at_node_start = False
        self._entry_disabled = False
        return begins

    def _end_node(self) -> None:
        self._at_node_start = True
        self._entry_disabled = False
        if self._disabled_depth is None:
            self._node_disabled = False

    def _disable_next(self) -> None:
        self._node_disabled = self._node_disabled or self._at_node_start
        self._entry_disabled = not self._at_node_start

    def _open_block(self) -> None:
        is_disabled = self._node_disabled or self._entry_disabled
        if self._disabled_depth is None and is_disabled:
            self._disabled_depth = self._depth
        self._depth += 1
        self._at_node_start = True
        self._entry_disabled = False

    def _close_block(self) -> None:
        self._depth -= 1
        if self._disabled_depth == self._depth:
            self._disabled_depth = None
            self._node_disabled = False
        self._at_node_start = True


def node_lines(text: str) -> Iterator[int]:
    """Yields the lines on which the nodes of a valid document begin, except for nodes that are commented out."""
    scanner = _NodeScanner()
    for token in tokenize(text):
        if scanner.begins_node(token.kind):
            yield token.line


def error_line(text: str) -> int:
    """Returns the first line after which no continuation can make the text valid KDL.

    Each leading part of the text is parsed with its open blocks closed. If the text merely ends too early, the
    result is its last line.
    """
    lines = text.rstrip().split("\n")
    for count in range(1, len(lines) + 1):
        part = "\n".join(lines[:count])
        if _is_valid(part):
            continue
        rest = "\n".join(lines[count:])
        may_continue = '"""' in part or "/*" in part
        if not rest.strip() or not may_continue:
            return count
    return len(lines)


def _is_valid(part: str) -> bool:
    kinds = [token.kind for token in tokenize(part)]
    open_blocks = kinds.count(TokenKind.OPEN) - kinds.count(TokenKind.CLOSE)
    try:
        ckdl.parse(part + "\n" + "}" * max(0, open_blocks), version=KDL_VERSION)
    except ckdl.ParseError:
        return False
    return True
