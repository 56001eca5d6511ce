"""Attributes of an endpoint in the TXT records of its name.

    s-1.games.example.org.  TXT  "kind=m2" "cell=3" "phase=ready" "started=1767225600000"

Strings are of the form name=value, as in RFC 6763, section 6. The names in the records and the fields that they set:

    kind     EndpointAttributes.kind
    cell     EndpointAttributes.cell
    phase    EndpointAttributes.status
    started  EndpointAttributes.started_ms
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from kelpcourse.policy.events import EndpointStatus

ATTRIBUTE_NAMES = ("kind", "cell", "phase", "started")
STATUS_OF_PHASE = {"ready": EndpointStatus.READY, "draining": EndpointStatus.DRAINING}
DEFAULT_KIND = "default"
MAX_KIND_LENGTH = 256
MAX_COUNT_DIGITS = 20
COUNT_LIMIT = 1 << 53  # integers below this limit are exact as floating-point numbers
REPLACEMENT_CHARACTER = "\ufffd"  # result of decoding bytes that are not UTF-8


@dataclass(frozen=True, order=True)
class RecordProblem:
    """A problem of a record that cannot be used.

    Attributes:
        owner: Owner of the record.
        field: Part of the record, or attribute, that is invalid.
        text: Description of the problem.
    """

    owner: str
    field: str
    text: str

    def __str__(self) -> str:
        """Returns the owner, the field and the text, separated by colons."""
        return f"{self.owner}: {self.field}: {self.text}"


@dataclass
class EndpointAttributes:
    """The attributes of an endpoint that the TXT records of its name set.

    Attributes:
        kind: Kind of the endpoint, which request classes can require.
        cell: Number of the endpoint's cell.
        status: Status of the endpoint.
        started_ms: Unix time of the endpoint's start, in milliseconds; 0 if it started long ago.
    """

    kind: str = DEFAULT_KIND
    cell: int = 0
    status: EndpointStatus = EndpointStatus.READY
    started_ms: int = 0


def read_attributes(
    owner: str, txt_data: Iterable[bytes], problems: list[RecordProblem]
) -> EndpointAttributes:
    """Returns the attributes in the TXT records of a name, which are read in the order of their data.

    A string that cannot be used is ignored and reported in `problems`; the other strings are used.
    """
    attributes = EndpointAttributes()
    values: dict[str, str] = {}
    for data in sorted(txt_data):
        for string in _character_strings(data):
            _read_string(string, owner, attributes, values, problems)
    return attributes


def _read_string(
    string: bytes,
    owner: str,
    attributes: EndpointAttributes,
    values: dict[str, str],
    problems: list[RecordProblem],
) -> None:
    text = string.decode("utf-8", "replace")
    name, equals, value = text.partition("=")
    name = name.lower()
    if not equals or name not in ATTRIBUTE_NAMES:
        return  # TXT records also have other uses
    first = values.setdefault(name, value)
    if first != value:
        text = f"appears twice: {first!r:.40} is used, not {value!r:.40}"
        problems.append(RecordProblem(owner, name, text))
    elif not _set_attribute(attributes, name, value):
        problems.append(RecordProblem(owner, name, f"has an invalid value: {value!r:.60}"))


def _set_attribute(attributes: EndpointAttributes, name: str, value: str) -> bool:
    """Sets an attribute if the value is valid; returns whether it was set."""
    match name:
        case "kind" if _is_kind(value):
            attributes.kind = value
        case "phase" if value in STATUS_OF_PHASE:
            attributes.status = STATUS_OF_PHASE[value]
        case "cell" if _is_count(value):
            attributes.cell = int(value)
        case "started" if _is_count(value):
            attributes.started_ms = int(value)
        case _:
            return False
    return True


def _is_kind(value: str) -> bool:
    return (
        0 < len(value) <= MAX_KIND_LENGTH
        and value.isprintable()
        and REPLACEMENT_CHARACTER not in value
    )


def _is_count(value: str) -> bool:
    if not value.isascii() or not value.isdigit():
        return False
    digits = value.lstrip("0") or "0"
    return len(digits) <= MAX_COUNT_DIGITS and int(digits) < COUNT_LIMIT


def _character_strings(data: bytes) -> Iterator[bytes]:
    """Yields the character strings of TXT data (RFC 1035, section 3.3.14)."""
    offset = 0
    while offset < len(data):
        size = data[offset]
        yield data[offset + 1 : offset + 1 + size]
        offset += 1 + size
