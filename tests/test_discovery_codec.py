"""Decoding and validation of the entries of discovery's list."""

from __future__ import annotations

import pytest

from kelpcourse.policy.events import EndpointStatus
from kelpcourse.wire.discovery_codec import decode_endpoint_list
from kelpcourse.wire.errors import InvalidMessageError
from tests.standins import entry


def test_entries_are_decoded_and_validated() -> None:
    errors: list[InvalidMessageError] = []
    message = decode_endpoint_list(
        {"revision": 1, "complete": True, "members": [entry("a", up_since_ms=1500.5)]},
        errors.append,
    )
    assert message.endpoints[0].status is EndpointStatus.READY
    assert message.endpoints[0].started_ms == 1500.5
    assert errors == []
    for name, value in [
        ("id", ""),
        ("host_port", "nowhere"),
        ("host_port", "h:99999"),
        ("phase", "asleep"),
        ("cell", -1),
        ("size", "big"),
        ("up_since_ms", float("nan")),
        ("locality", 7),
    ]:
        decode_endpoint_list(
            {"revision": 1, "complete": True, "members": [{**entry("a"), name: value}]},
            errors.append,
        )
        assert f"'{name}'" in str(errors.pop())
    for invalid in (
        {"revision": 1, "complete": True},
        {"revision": "1", "complete": True, "members": []},
        {"revision": 1, "complete": "so", "members": []},
    ):
        with pytest.raises(InvalidMessageError):
            decode_endpoint_list(invalid, errors.append)
