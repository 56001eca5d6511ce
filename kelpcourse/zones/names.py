"""Domain names as keys: absolute names in lower case, in the text form of zone files. No input or output."""

from __future__ import annotations

from functools import lru_cache

import dns.exception
import dns.name

from kelpcourse.zones.errors import InvalidNameError

MAX_CACHED_NAMES = 16_384
ORIGIN_SYMBOL = "@"  # denotes the origin in a zone file (RFC 1035, section 5.1)
ROOT = "."


def canonical(name: dns.name.Name) -> str:
    """Returns the key of an absolute name; names are compared case-insensitively (RFC 4343)."""
    return name.to_text().lower()


@lru_cache(maxsize=MAX_CACHED_NAMES)
def to_name(key: str) -> dns.name.Name:
    """Returns the dnspython name for a key."""
    return dns.name.from_text(key)


def read_name(text: str, field: str) -> str:
    """Returns the key of a name from settings or the command line, with or without the trailing dot.

    Args:
        text: Name as it was written.
        field: Setting or argument that contains the name, for the error message.

    Raises:
        InvalidNameError: The text is not a domain name.
    """
    try:
        return canonical(dns.name.from_text(text))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise InvalidNameError(field, text, str(error)) from error


def labels(key: str) -> tuple[str, ...]:
    """Returns the labels of a name from left to right, without the root label."""
    if "\\" in key:  # a label may contain an escaped dot
        return tuple(dns.name.Name((label,)).to_text() for label in to_name(key).labels[:-1])
    if key == ROOT:
        return ()
    return tuple(key[:-1].split("."))


def is_under(key: str, origin: str) -> bool:
    """Reports whether a name is the origin or below it."""
    name_labels = labels(key)
    origin_labels = labels(origin)
    start = len(name_labels) - len(origin_labels)
    return start >= 0 and name_labels[start:] == origin_labels


def relative(key: str, origin: str) -> str:
    """Returns a name relative to the origin.

    The result is `@` for the origin itself, and the whole name if the name is not below the origin.
    """
    if key == origin:
        return ORIGIN_SYMBOL
    if not is_under(key, origin):
        return key
    name_labels = labels(key)
    return ".".join(name_labels[: len(name_labels) - len(labels(origin))])
