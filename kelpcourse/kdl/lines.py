"""The lines on which the nodes of a KDL document begin, which ckdl does not tell."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

import ckdl

KDL_VERSION = 2


class TokenKind(Enum):
    """Tokens by what they mean for the place of nodes."""

    WORD = "word"  # a name, a value or a string
    NODE_END = "end"
    OPEN = "open"
    CLOSE = "close"
    SLASHDASH = "off"  # comments out the next node, entry or block


@dataclass(frozen=True)
class Token:
    """A token and the line that it begins on."""

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


def tokens(text: str) -> Iterator[Token]:
    """The tokens of a document; comments, white space and continued lines are left out."""
    position = 0
    line = 1
    while position < len(text):
        match = _PATTERN.match(text, position)
        if match is None:
            raise ValueError(f"no token at {position}")  # the pattern matches any character
        group = next(name for name in (*_KINDS, "open_note", "") if not name or match[name])
        end = _comment_end(text, position) if group == "open_note" else match.end()
        if group in _KINDS:
            yield Token(_KINDS[group], line)
        line += text.count("\n", position, end)
        position = end


def _comment_end(text: str, position: int) -> int:
    """Where a multi-line comment ends; it may hold others."""
    depth = 0
    for match in _COMMENT_MARK.finditer(text, position):
        depth += 1 if match[0] == "/*" else -1
        if not depth:
            return match.end()
    return len(text)


class _NodeScanner:
    """Follows the tokens of a sound document and tells which of them begin a node that counts."""

    def __init__(self) -> None:
        self._at_node_start = True
        self._depth = 0
        self._disabled_depth: int | None = None  # of the commented-out block that tokens are in
        self._node_disabled = False
        self._entry_disabled = False

    def begins_node(self, kind: TokenKind) -> bool:
        """Whether this token is the first of a node that is not commented out."""
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
        in_force = self._disabled_depth is None and not self._node_disabled
        begins = self._at_node_start and in_force
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
    """The lines on which the nodes of a sound document begin, in order, without those commented out."""
    scanner = _NodeScanner()
    for token in tokens(text):
        if scanner.begins_node(token.kind):
            yield token.line


def error_line(text: str) -> int:
    """The first line after which no continuation would make the text sound.

    Open blocks are closed to try it. A text that only ends too early is wrong in its last line.
    """
    lines = text.rstrip().split("\n")
    for count in range(1, len(lines) + 1):
        part = "\n".join(lines[:count])
        if _is_sound(part):
            continue
        rest = "\n".join(lines[count:])
        may_continue = '"""' in part or "/*" in part
        if not rest.strip() or not may_continue:
            return count
    return len(lines)


def _is_sound(part: str) -> bool:
    kinds = [token.kind for token in tokens(part)]
    open_blocks = kinds.count(TokenKind.OPEN) - kinds.count(TokenKind.CLOSE)
    try:
        ckdl.parse(part + "\n" + "}" * max(0, open_blocks), version=KDL_VERSION)
    except ckdl.ParseError:
        return False
    return True
