"""Tests of EndpointRegistry: endpoints keep their numbers after they are gone, up to a limit."""

from __future__ import annotations

from kelpcourse.memory.endpoints import EndpointRegistry
from kelpcourse.policy.events import EndpointStatus
from tests.standins import member


def test_gone_endpoints_keep_their_number_until_the_limit_is_exceeded() -> None:
    endpoints = EndpointRegistry(3)
    endpoints.update([member("a"), member("b"), member("c")], True)
    number = endpoints.number_of("a")
    endpoints.update([member("a", EndpointStatus.GONE)], False)
    assert endpoints.address_of("a") is None
    assert endpoints.number_of("a") == number
    endpoints.update([member("a")], False)
    assert endpoints.number_of("a") == number
    endpoints.update([member("b", EndpointStatus.GONE)], False)
    endpoints.update([member("c", EndpointStatus.GONE), member("d")], False)
    assert endpoints.number_of("b") is None
    assert len(endpoints) == 3


def test_the_number_of_names_is_bounded_while_endpoints_are_replaced() -> None:
    endpoints = EndpointRegistry(50)
    for version in range(1000):
        endpoints.update(
            [member(f"h{version}"), member(f"h{version - 20}", EndpointStatus.GONE)], False
        )
    assert len(endpoints) <= 50
    assert endpoints.number_of("h999") is not None


def test_endpoints_missing_from_a_full_list_are_gone() -> None:
    endpoints = EndpointRegistry(10)
    endpoints.update([member("a"), member("b")], True)
    endpoints.update([member("b")], True)
    assert endpoints.address_of("a") is None
    assert endpoints.address_of("b") is not None
