"""Errors of the package: one base, so that a caller can handle any fault of a zone alike."""

from __future__ import annotations


class ZoneError(ValueError):
    """A zone, name or record cannot be used; the text names the place."""
