"""Tests of the request handler, without sockets, with arbitrary bytes."""

from __future__ import annotations

import dns.flags
import dns.message
import dns.rcode
import dns.tsig
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from kelpcourse.memory.counters import Counters
from kelpcourse.zones.request_handler import DnsRequestHandler
from kelpcourse.zones.update_policy import EndpointClass
from tests.standins import RecordingLog
from tests.zonerig import (
    OTHER_SECRET_KEY,
    added_endpoint,
    update_message,
)
from tests.zonesamples import LIMITS, ORIGIN, sample_endpoints, zone_state_of, zone_with


class RejectingContext:
    """A handler context that accepts no updates."""

    classes: tuple[EndpointClass, ...] = ()

    def applied_updates(self) -> tuple[()]:
        return ()

    def now_us(self) -> int:
        return 0

    def unix_ms(self) -> int:
        return 0

    def stage(self, update: object) -> bool:
        raise AssertionError("an unsigned update was staged")

    def when_head_durable(self, zone: object, on_settled: object) -> bool:
        raise AssertionError("an unsigned update was evaluated")

    def notify_received(self, origin: str) -> None:
        pass


VALID_MESSAGES = [
    dns.message.make_query(ORIGIN, "SOA").to_wire(),
    update_message(*added_endpoint("x"), key=None).to_wire(),
    update_message(*added_endpoint("x")).to_wire(),
    dns.message.make_query(ORIGIN, "IXFR", use_edns=0).to_wire(),
]


@given(
    st.one_of(
        st.binary(max_size=200),
        st.builds(
            lambda wire, offset, junk: (
                wire[: offset % len(wire)] + junk + wire[(offset + len(junk)) % len(wire) :]
            ),
            st.sampled_from(VALID_MESSAGES),
            st.integers(0, 500),
            st.binary(min_size=1, max_size=8),
        ),
    ),
    st.booleans(),
)
@settings(
    max_examples=1500, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow]
)
def test_arbitrary_bytes_get_at_most_one_response_and_change_nothing(
    wire: bytes, tcp: bool
) -> None:
    state = zone_state_of(zone_with(1, sample_endpoints()))
    responses: list[bytes] = []
    handler = DnsRequestHandler(
        {ORIGIN: state},
        {},
        {"k": OTHER_SECRET_KEY},
        LIMITS,
        Counters(),
        RecordingLog(),
        RejectingContext(),
    )
    handler.handle(wire, ("127.0.0.1", 9), tcp, lambda wires: responses.extend(wires))
    assert len(responses) <= 1
    assert all(response[:2] == wire[:2] and response[2] & 0x80 for response in responses)
    assert (state.zone.serial, len(state.extractor.endpoints), state.staged_updates) == (1, 4, 0)
