"""Codec of the relay's protocol: orders in calls, responses to calls, and lines of the event stream.

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
| order | `cluster` | `table`; `*` on the wire is None in the program and means all tables |
| order | `host` | `endpoint` |
| order | `share` | `weight` |
| order, event | `sidecar` | `proxy` |
| order | `for` | `classes`; omitted if empty, which means all request classes |
| order | `gate` | `limit`, the admission ratio or rate |
| order | `again` | `retry_policy` |
| order | `stamp` | `checkpoint_id` |
| order | `yes` | `all_proxies`, as 1 or 0 |
| response | `ok_count` | number of accepted orders |
| response | `Throttling` | `ThrottledError` |
| response | `ValidationError` | `InvalidCallError` |
| event | `type` `joined` | `Joined` |
| event | `type` `left` | `Left` |
| event | `type` `applied` | `Applied` |
| event | `{}` | None, a heartbeat |
| event | `az` | zone of the proxy |
| event | `share` | request rate of the proxy per second |
| event | `standing` | whether the proxy has no table |
| event | `version` | checkpoint id |
| event | `lag_ms` | lag of the proxy in milliseconds |
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
ENVELOPE_BYTES = 16  # reserved for `BODY_START` and `BODY_END`
SEPARATOR_BYTES = 1  # the comma between two orders
MAX_LOGGED_RESPONSE_CHARS = 200


@dataclass(frozen=True)
class CallBody:
    """The body of one call and the number of orders in it.

    Attributes:
        data: Encoded body.
        order_count: Number of orders of the batch that the body contains, from the first on.
        checkpoint_added: Whether the body contains only part of the batch and the batch's checkpoint was appended.
    """

    data: bytes
    order_count: int
    checkpoint_added: bool

    @property
    def sent_count(self) -> int:
        """The number of orders in the body, as the relay counts them in its response."""
        return self.order_count + 1 if self.checkpoint_added else self.order_count


def encode_order(order: Order) -> bytes:
    """Encodes one order as JSON."""
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
    """Encodes as many orders of a batch as fit into one call, but at least one.

    A part of a batch ends with the batch's checkpoint as well, because each part is a message that proxies have to
    acknowledge.
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
    """Decodes the response to a call and returns the number of accepted orders, from the first on.

    Raises:
        ThrottledError: The relay rejected the call because its run has not begun.
        InvalidCallError: The relay rejected the request as not being a valid call.
        InvalidMessageError: The response is invalid.
    """
    fields = parse_json_object(body)
    if "ok_count" in fields:
        accepted = require_count(fields, "ok_count")
        if accepted > sent_count:
            raise InvalidMessageError(
                f"field 'ok_count' exceeds the number of orders sent: {accepted}"
            )
        return accepted
    # The protocol names the error codes but not the field that holds them.
    response = orjson.dumps(fields).decode()
    if THROTTLED_CODE in response:
        raise ThrottledError(response[:MAX_LOGGED_RESPONSE_CHARS])
    if INVALID_CALL_CODE in response:
        raise InvalidCallError(response[:MAX_LOGGED_RESPONSE_CHARS])
    raise InvalidMessageError(f"response has no field 'ok_count': {response:.100}")


def decode_event(line: memoryview) -> ProxyEvent | None:
    """Decodes a line of the event stream and returns the event; None for a heartbeat.

    Raises:
        NotJsonError: The line is not a JSON object.
        InvalidMessageError: The event is of an unknown type or has an invalid field.
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
    raise InvalidMessageError(f"unknown event type {event_type!r:.60}")
