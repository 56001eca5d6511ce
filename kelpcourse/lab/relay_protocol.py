"""The relay's side of its protocol: decodes the orders of calls and encodes lines of the event stream.

The names on the wire are listed in `kelpcourse.wire.relay_codec`.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from kelpcourse.lab.proxy import Proxy
from kelpcourse.memory.orders import (
    BindProxy,
    Checkpoint,
    ClearTable,
    Order,
    RestoreEndpoint,
    SetAdmission,
    SetWeight,
    WithdrawEndpoint,
)
from kelpcourse.wire.relay_codec import ALL_TABLES

HEARTBEAT = b"{}"
FENCED = b'{"error":"Fenced"}'


class UnknownOrderError(ValueError):
    """Raised for an order with an unknown verb."""

    def __init__(self, verb: object) -> None:
        """Initializes the error with the verb."""
        super().__init__(f"unknown verb: {verb!r}")
        self.verb = verb


def decode_orders(body: bytes) -> list[Order]:
    """Decodes the orders of a call."""
    return [decode_order(fields) for fields in orjson.loads(body)["orders"]]


def decode_order(fields: Mapping[str, Any]) -> Order:
    """Decodes one order.

    Raises:
        UnknownOrderError: The verb is unknown.
    """
    match fields["verb"]:
        case "SET":
            return SetWeight(fields["cluster"], fields["host"], fields["share"])
        case "DEL":
            return ClearTable(fields["cluster"])
        case "USE":
            return BindProxy(fields["sidecar"], fields["cluster"], _classes(fields))
        case "OUT":
            return WithdrawEndpoint(fields["host"])
        case "IN":
            return RestoreEndpoint(fields["host"])
        case "LIMIT":
            table = None if fields["cluster"] == ALL_TABLES else fields["cluster"]
            return SetAdmission(table, _classes(fields), fields["gate"], fields["again"])
        case "SYNC":
            return Checkpoint(fields["stamp"], bool(fields["yes"]))
        case verb:
            raise UnknownOrderError(verb)


def _classes(fields: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(fields.get("for") or ())


def encode_accepted(order_count: int) -> bytes:
    """Encodes the response to a call whose orders were all accepted."""
    return b'{"ok_count":%d}' % order_count


def encode_joined(proxy: Proxy, requests_per_s: float) -> bytes:
    """Encodes the event that a proxy has joined."""
    fields = {
        "sidecar": proxy.number,
        "az": proxy.zone,
        "share": requests_per_s,
        "standing": not proxy.bound,
    }
    return orjson.dumps({"type": "joined", "object": fields})


def encode_applied(proxy: int, checkpoint_id: int, lag_ms: float) -> bytes:
    """Encodes the event that a proxy has acknowledged a checkpoint."""
    fields = {"sidecar": proxy, "version": checkpoint_id, "lag_ms": lag_ms}
    return orjson.dumps({"type": "applied", "object": fields})
