"""Codec of the relay's protocol: orders and answers of calls, lines of the event stream.

Names on the wire and in the program:

| message | on the wire | in the program |
| --- | --- | --- |
| order | `verb` `SET` | `SetWeight` |
| order | `verb` `DEL` | `ClearTable` |
| order | `verb` `USE` | `BindProxy` |
| order | `verb` `OUT` | `WithdrawEndpoint` |
| order | `verb` `IN` | `RestoreEndpoint` |
| order | `verb` `LIMIT` | `SetAdmission` |
| order | `verb` `SYNC` | `Checkpoint` |
| order | `cluster` | `table`; `*` is None, which means all tables |
| order | `host` | `endpoint` |
| order | `share` | `weight` |
| order, event | `sidecar` | `proxy` |
| order | `for` | `classes`; left out if empty, which means all classes |
| order | `gate` | `limit`, the admission ratio or rate |
| order | `again` | `retry_policy` |
| order | `stamp` | `checkpoint_id` |
| order | `yes` | `all_proxies`, as 1 or 0 |
| answer | `ok_count` | number of accepted orders |
| answer | `Throttling` | `ThrottledError` |
| answer | `ValidationError` | `InvalidCallError` |
| event | `type` `joined` | `Joined` |
| event | `type` `left` | `Left` |
| event | `type` `applied` | `Applied` |
| event | `{}` | None, a heartbeat |
| event | `az` | zone |
| event | `share` | request rate per second |
| event | `standing` | has no table |
| event | `version` | checkpoint id |
| event | `lag_ms` | lag in milliseconds |
"""

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
from kelpcourse.memory.proxies import Applied, Joined, Left, ProxyEvent
from kelpcourse.wire.errors import InvalidCallError, InvalidMessageError, ThrottledError
from kelpcourse.wire.fields import (
    parse_json_object,
    require_count,
    require_flag,
    require_number,
    require_text,
)

ORDERS_PATH = "/v3/kv/orders"
EVENTS_PATH = "/v3/kv/events"
THROTTLED_CODE = "Throttling"
INVALID_CALL_CODE = "ValidationError"
ALL_TABLES = "*"
BODY_START = b'{"orders":['
BODY_END = b"]}"
ENVELOPE_BYTES = 16  # reserved for start and end of a body
SEPARATOR_BYTES = 1
MAX_LOGGED_RESPONSE_CHARS = 200


@dataclass(frozen=True)
class CallBody:
    """The body of one call and what it carries.

    Attributes:
        data: The bytes of the body.
        order_count: Orders of the batch that it holds, counted from the first.
        checkpoint_added: Whether the batch's checkpoint was added behind a part of the batch.
    """

    data: bytes
    order_count: int
    checkpoint_added: bool

    @property
    def sent_count(self) -> int:
        """The number of orders that the relay counts in its answer."""
        return self.order_count + 1 if self.checkpoint_added else self.order_count


def encode_order(order: Order) -> bytes:
    """Encode one order."""
    return orjson.dumps(_order_fields(order))


def _order_fields(order: Order) -> dict[str, object]:
    match order:
        case SetWeight(table, endpoint, weight):
            return {"verb": "SET", "cluster": table, "host": endpoint, "share": weight}
        case ClearTable(table):
            return {"verb": "DEL", "cluster": table}
        case BindProxy(proxy, table, classes):
            return {"verb": "USE", "sidecar": proxy, "cluster": table, **_classes_field(classes)}
        case WithdrawEndpoint(endpoint):
            return {"verb": "OUT", "host": endpoint}
        case RestoreEndpoint(endpoint):
            return {"verb": "IN", "host": endpoint}
        case SetAdmission(table, classes, limit, retry_policy):
            return {
                "verb": "LIMIT",
                "cluster": ALL_TABLES if table is None else table,
                **_classes_field(classes),
                "gate": limit,
                "again": retry_policy,
            }
        case Checkpoint(checkpoint_id, all_proxies):
            return {"verb": "SYNC", "stamp": checkpoint_id, "yes": int(all_proxies)}


def _classes_field(classes: tuple[str, ...]) -> dict[str, object]:
    return {"for": list(classes)} if classes else {}


def encode_call(orders: Sequence[Order], max_bytes: int) -> CallBody:
    """Encode as many orders of a batch as one call holds, at least one.

    A part of a batch ends in the batch's checkpoint as well, because each part is a message that
    proxies have to acknowledge.
    """
    encoded = [encode_order(order) for order in orders]
    checkpoint = encoded[-1] if isinstance(orders[-1], Checkpoint) else b""
    reserved_bytes = len(checkpoint) + SEPARATOR_BYTES
    size = ENVELOPE_BYTES
    count = 0
    for item in encoded:
        item_bytes = len(item) + SEPARATOR_BYTES
        if count and size + item_bytes + reserved_bytes > max_bytes:
            break
        size += item_bytes
        count += 1
    part = encoded[:count]
    checkpoint_added = count < len(encoded) and bool(checkpoint)
    if checkpoint_added:
        part.append(checkpoint)
    return CallBody(BODY_START + b",".join(part) + BODY_END, count, checkpoint_added)


def decode_response(body: memoryview, sent_count: int) -> int:
    """Decode the answer to a call: the number of orders accepted, counted from the first.

    Raises:
        ThrottledError: The run has not begun.
        InvalidCallError: The relay does not take the request for a call.
        InvalidMessageError: The answer can't be used.
    """
    fields = parse_json_object(body)
    if "ok_count" in fields:
        accepted = require_count(fields, "ok_count")
        if accepted > sent_count:
            raise InvalidMessageError(f"field 'ok_count' is above the orders sent: {accepted}")
        return accepted
    # The protocol names the error codes but not the field that holds them.
    answer = orjson.dumps(fields).decode()
    if THROTTLED_CODE in answer:
        raise ThrottledError(answer[:MAX_LOGGED_RESPONSE_CHARS])
    if INVALID_CALL_CODE in answer:
        raise InvalidCallError(answer[:MAX_LOGGED_RESPONSE_CHARS])
    raise InvalidMessageError(f"an answer without 'ok_count': {answer:.100}")


def decode_event(line: memoryview) -> ProxyEvent | None:
    """Decode a line of the event stream; None is a heartbeat.

    Raises:
        NotJsonError: The line is not a JSON object.
        InvalidMessageError: The event can't be used.
    """
    fields = parse_json_object(line)
    if not fields:
        return None
    event_type = fields.get("type")
    body = fields.get("object")
    if not isinstance(body, dict):
        raise InvalidMessageError("field 'object' is not an object")
    match event_type:
        case "joined":
            return Joined(
                require_count(body, "sidecar"),
                require_text(body, "az"),
                require_number(body, "share"),
                require_flag(body, "standing"),
            )
        case "left":
            return Left(require_count(body, "sidecar"))
        case "applied":
            return Applied(
                require_count(body, "sidecar"),
                require_count(body, "version"),
                require_number(body, "lag_ms"),
            )
    raise InvalidMessageError(f"unknown type {event_type!r:.60}")
