"""Codec of the relay's protocol: orders and answers of calls, lines of the event stream."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import orjson

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
from kelpcourse.memory.proxies import Applied, Joined, Left, News
from kelpcourse.wire.fields import BadMessage, flag, json_object, number, text, whole

ORDERS_PATH = "/v3/kv/orders"
EVENTS_PATH = "/v3/kv/events"
THROTTLED = "Throttling"
INVALID = "ValidationError"
ENVELOPE_BYTES = 16  # what stands around the orders of a call


class Throttled(Exception):
    """The relay turned the call away, as it does before the run begins."""


class InvalidCall(Exception):
    """The relay takes the request for no call at all: it will never carry it out."""


@dataclass(frozen=True)
class CallBody:
    """The body of one call and what it carries."""

    data: bytes
    order_count: int  # orders of the batch, counted from the first
    mark_added: bool  # whether the batch's mark was added behind them

    @property
    def sent_count(self) -> int:
        """Orders that the relay counts in its answer."""
        return self.order_count + self.mark_added


def encode_order(order: Order) -> bytes:
    """One order as the wire has it."""
    return orjson.dumps(_fields(order))


def _fields(order: Order) -> dict[str, object]:
    match order:
        case SetWeight(table, host, share):
            return {"verb": "SET", "cluster": table, "host": host, "share": share}
        case ClearTable(table):
            return {"verb": "DEL", "cluster": table}
        case BindProxy(proxy, table, classes):
            return {"verb": "USE", "sidecar": proxy, "cluster": table, **_for(classes)}
        case WithdrawEndpoint(host):
            return {"verb": "OUT", "host": host}
        case RestoreEndpoint(host):
            return {"verb": "IN", "host": host}
        case SetAdmission(None, classes, gate, again):
            return {"verb": "LIMIT", "cluster": "*", **_for(classes), "gate": gate, "again": again}
        case SetAdmission(table, classes, gate, again):
            return {
                "verb": "LIMIT",
                "cluster": table,
                **_for(classes),
                "gate": gate,
                "again": again,
            }
        case Checkpoint(stamp, everyone):
            return {"verb": "SYNC", "stamp": stamp, "yes": int(everyone)}


def _for(classes: tuple[str, ...]) -> dict[str, object]:
    return {"for": list(classes)} if classes else {}


def call_body(orders: Sequence[Order], byte_limit: int) -> CallBody:
    """As many orders as one call holds, one at least. A part of a batch ends in the batch's mark as well: each part
    is a message that proxies have to acknowledge."""
    encoded = [encode_order(order) for order in orders]
    mark = encoded[-1] if isinstance(orders[-1], Checkpoint) else b""
    size, count = ENVELOPE_BYTES, 0
    for item in encoded:
        if size + len(item) + 1 + len(mark) + 1 > byte_limit and count:
            break
        size += len(item) + 1
        count += 1
    mark_added = count < len(encoded) and bool(mark)
    part = encoded[:count] + ([mark] if mark_added else [])
    return CallBody(b'{"orders":[' + b",".join(part) + b"]}", count, mark_added)


def read_answer(body: memoryview, sent: int) -> int:
    """How many orders were taken. Raises Throttled, InvalidCall or BadMessage."""
    fields = json_object(body)
    if "ok_count" in fields:
        taken = whole(fields, "ok_count")
        if taken > sent:
            raise BadMessage(f"field 'ok_count' is above the orders sent: {taken}")
        return taken
    said = orjson.dumps(fields).decode()  # the page names the errors, not the field that holds them
    if THROTTLED in said:
        raise Throttled
    if INVALID in said:
        raise InvalidCall(said[:200])
    raise BadMessage(f"an answer without 'ok_count': {said:.100}")


def read_event(line: memoryview) -> News | None:
    """What a line of the event stream tells; None: a heartbeat. Raises BadMessage."""
    fields = json_object(line)
    if not fields:
        return None
    kind, body = fields.get("type"), fields.get("object")
    if not isinstance(body, dict):
        raise BadMessage("field 'object' is not an object")
    if kind == "joined":
        return Joined(
            whole(body, "sidecar"), text(body, "az"), number(body, "share"), flag(body, "standing")
        )
    if kind == "left":
        return Left(whole(body, "sidecar"))
    if kind == "applied":
        return Applied(whole(body, "sidecar"), whole(body, "version"), number(body, "lag_ms"))
    raise BadMessage(f"unknown type {kind!r:.60}")
