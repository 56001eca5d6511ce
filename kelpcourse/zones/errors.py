"""What can be wrong with a zone."""

from __future__ import annotations


class BadZone(ValueError):
    """A zone, name or record that can't be used; the text names the place."""
