"""Names of the DNS as plain keys: absolute, lower case, as in a zone file. Pure."""

from __future__ import annotations

from functools import lru_cache

import dns.exception
import dns.name

from kelpcourse.zones.errors import InvalidNameError


def canonical(name: dns.name.Name) -> str:
    """The key of an absolute name; case does not tell names apart (RFC 4343)."""
    return name.to_text().lower()


@lru_cache(maxsize=16_384)
def to_name(key: str) -> dns.name.Name:
    return dns.name.from_text(key)


def read_name(text: str, field: str) -> str:
    """The key of a name that a person wrote; a missing last dot is meant."""
    try:
        return canonical(dns.name.from_text(text))
    except (dns.exception.DNSException, UnicodeError) as error:
        raise InvalidNameError(field, text, str(error)) from error


def labels(key: str) -> tuple[str, ...]:
    """Its labels from the left, without the root."""
    if "\\" not in key:
        return tuple(key[:-1].split(".")) if key != "." else ()
    return tuple(dns.name.Name((label,)).to_text() for label in to_name(key).labels[:-1])


def is_under(key: str, origin: str) -> bool:
    """Whether a name is the origin or below it."""
    parts, end = labels(key), labels(origin)
    return len(parts) >= len(end) and parts[len(parts) - len(end) :] == end


def relative(key: str, origin: str) -> str:
    """Without the origin and its dot; `@` for the origin itself, the whole name if it lies elsewhere."""
    if key == origin:
        return "@"
    if not is_under(key, origin):
        return key
    return ".".join(labels(key)[: len(labels(key)) - len(labels(origin))])
