"""The relay's codec: orders, responses and events as the protocol specifies them."""

from __future__ import annotations

import orjson
import pytest

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
from kelpcourse.memory.proxies import Applied, Joined, Left
from kelpcourse.wire.errors import (
    InvalidCallError,
    InvalidMessageError,
    NotJsonError,
    ThrottledError,
)
from kelpcourse.wire.relay_codec import decode_event, decode_response, encode_call, encode_order
from tests.relays import CHECKPOINT, SET_WEIGHT


def view(text: bytes) -> memoryview:
    return memoryview(text)


@pytest.mark.parametrize(
    ("order", "text"),
    [
        (SetWeight(4, "s-1", 1.5), '{"verb":"SET","cluster":4,"host":"s-1","share":1.5}'),
        (ClearTable(4), '{"verb":"DEL","cluster":4}'),
        (BindProxy(17, 4, ("lookup",)), '{"verb":"USE","sidecar":17,"cluster":4,"for":["lookup"]}'),
        (BindProxy(17, 4, ()), '{"verb":"USE","sidecar":17,"cluster":4}'),
        (WithdrawEndpoint("s-1"), '{"verb":"OUT","host":"s-1"}'),
        (RestoreEndpoint("s-1"), '{"verb":"IN","host":"s-1"}'),
        (
            SetAdmission(4, ("lookup",), 0.9, 1),
            '{"verb":"LIMIT","cluster":4,"for":["lookup"],"gate":0.9,"again":1}',
        ),
        (SetAdmission(None, (), 0.0, 1), '{"verb":"LIMIT","cluster":"*","gate":0.0,"again":1}'),
        (Checkpoint(905, True), '{"verb":"SYNC","stamp":905,"yes":1}'),
    ],
)
def test_orders_are_encoded_as_the_protocol_specifies(order: Order, text: str) -> None:
    assert encode_order(order).decode() == text


def test_a_call_is_limited_in_size_and_ends_with_the_checkpoint() -> None:
    orders: list[Order] = [*(SetWeight(0, f"h{k}", 1.0) for k in range(50)), CHECKPOINT]
    body = encode_call(orders, 1000)
    assert len(body.data) <= 1000
    assert 1 < body.order_count < 50
    assert body.checkpoint_added
    assert body.sent_count == body.order_count + 1
    assert orjson.loads(body.data)["orders"][-1]["verb"] == "SYNC"
    complete = encode_call(orders, 60_000)
    assert (complete.order_count, complete.checkpoint_added) == (51, False)


def test_an_order_larger_than_a_call_is_sent_alone() -> None:
    assert encode_call([SetWeight(0, "h" * 300, 1.0), SET_WEIGHT], 100).order_count == 1


def test_responses_are_decoded() -> None:
    assert decode_response(view(b'{"ok_count":2}'), 2) == 2
    with pytest.raises(ThrottledError):
        decode_response(view(b'{"error":"Throttling"}'), 2)
    with pytest.raises(InvalidCallError):
        decode_response(view(b'{"error":{"type":"ValidationError"}}'), 2)
    for text in (
        b'{"ok_count":3}',
        b'{"ok_count":-1}',
        b'{"ok_count":true}',
        b"{}",
        b"[2]",
        b"\xff",
        b"",
    ):
        with pytest.raises(InvalidMessageError):
            decode_response(view(text), 2)


def test_events_are_decoded() -> None:
    line = view(b'{"type":"joined","object":{"sidecar":17,"az":"a","share":21.5,"standing":true}}')
    assert decode_event(line) == Joined(17, "a", 21.5, True)
    assert decode_event(view(b'{"type":"left","object":{"sidecar":17}}')) == Left(17)
    assert decode_event(
        view(b'{"type":"applied","object":{"sidecar":1,"version":9,"lag_ms":310.4}}')
    ) == (Applied(1, 9, 310.4))
    assert decode_event(view(b"{}")) is None
    for text in (
        b'{"type":"sung","object":{}}',
        b'{"type":"left"}',
        b'{"type":"left","object":{"sidecar":-1}}',
        b'{"type":"joined","object":{"sidecar":1,"az":"a","share":1e999,"standing":true}}',
    ):
        with pytest.raises(InvalidMessageError):
            decode_event(view(text))
    with pytest.raises(NotJsonError):
        decode_event(view(b'{"type":"le'))
