"""Domain names as keys: absolute, lower case, in the form of zone files. Pure."""

from __future__ import annotations

from functools import lru_cache

import dns.exception
import dns.name

from kelpcourse.zones.errors import InvalidNameError

MAX_CACHED_NAMES = 16_384
ORIGIN_SIGN = "@"  # the origin in a zone file (RFC 1035, section 5.1)
ROOT = "."


def canonical(name: dns.name.Name) -> str:
    """Returns the key of an absolute name; names are equal whatever their case (RFC 4343)."""
    return name.to_text().lower()


@lru_cache(maxsize=MAX_CACHED_NAMES)
def to_name(key: str) -> dns.name.Name:
    """Returns the name of a key."""
    return dns.name.from_text(key)


def read_name(text: str, field: str) -> str:
    """Returns the key of a name that a person wrote, with or without the last dot.

    Raises:
        InvalidNameError: it is not a name; `field` says where it was written.
    """
    try:
        return canonical(dns.name.from_text(text))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise InvalidNameError(field, text, str(error)) from error


def labels(key: str) -> tuple[str, ...]:
    """Returns the labels of a name from the left, without the root."""
    if "\\" in key:  # dots may be escaped
        return tuple(dns.name.Name((label,)).to_text() for label in to_name(key).labels[:-1])
    if key == ROOT:
        return ()
    return tuple(key[:-1].split("."))


def is_under(key: str, origin: str) -> bool:
    """Whether a name is the origin or below it."""
    name_labels = labels(key)
    origin_labels = labels(origin)
    start = len(name_labels) - len(origin_labels)
    return start >= 0 and name_labels[start:] == origin_labels


def relative(key: str, origin: str) -> str:
    """Returns a name without the origin.

    It is `@` for the origin itself, and the whole name for one that is not below the origin.
    """
    if key == origin:
        return ORIGIN_SIGN
    if not is_under(key, origin):
        return key
    name_labels = labels(key)
    return ".".join(name_labels[: len(name_labels) - len(labels(origin))])
