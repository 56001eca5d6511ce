"""Subsets of the endpoints: the table of a proxy group consists of a ring segment of each zone.

A proxy gets only a part of the endpoints if connections are limited, or if too few table entries can be sent within
the grace period of a drain.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Mapping, Sequence

from kelpcourse.policy.arithmetic import GOLDEN_RATIO, MIN_DIVISOR, clamp, spread
from kelpcourse.policy.bindings import ProxyOrigin
from kelpcourse.policy.endpoints import EndpointRegistry
from kelpcourse.policy.settings import EndpointId, ProxyId

FIT_ROUNDS = 8
MIN_FIT_FACTOR = 0.1
MAX_FIT_FACTOR = 4.0

Weights = dict[EndpointId, float]
Segment = list[EndpointId]


def subset_of(proxy: ProxyId, subset_count: int) -> int:
    """Returns the subset of a proxy.

    Subsets have about equal sizes, even within a zone whose proxy ids are regularly spaced.
    """
    return int(proxy * GOLDEN_RATIO % 1 * subset_count)


class ProxyTraffic:
    """The usual request rate of all proxies that ever joined, by zone and subset."""

    def __init__(self, origins: Mapping[ProxyId, ProxyOrigin], subset_count: int) -> None:
        """Sums up the usual rates of the proxies."""
        self._subset_count = subset_count
        self._rates: dict[str, list[float]] = {}
        for proxy, origin in origins.items():
            self.of_zone(origin.zone)[subset_of(proxy, subset_count)] += origin.usual_rate
        self.total_per_s = max(MIN_DIVISOR, sum(origin.usual_rate for origin in origins.values()))

    def of_zone(self, zone: str) -> list[float]:
        """Returns the rate of each subset in a zone, in requests per second."""
        rates = self._rates.get(zone)
        if rates is None:
            rates = [MIN_DIVISOR] * self._subset_count
            self._rates[zone] = rates
        return rates


def subset_weights(
    weights: Weights, registry: EndpointRegistry, rates: Sequence[float], subset_size: float
) -> list[Weights]:
    """Returns the weights of the table of each subset, fitted so that every endpoint keeps its share.

    Args:
        weights: Weights of all endpoints of the table.
        registry: Registry that has the zones of the endpoints.
        rates: Usual request rate of the proxies of each subset.
        subset_size: Approximate number of endpoints of a subset.
    """
    segments = _ring_segments(weights, registry, len(rates), subset_size)
    factors = _fit(weights, segments, rates)
    return [
        {number: weights[number] * factors[number] for number in segment} for segment in segments
    ]


def _ring_segments(
    weights: Weights, registry: EndpointRegistry, subset_count: int, subset_size: float
) -> list[Segment]:
    total = sum(weights.values())
    zone_of = {number: registry.endpoints[number].endpoint.zone for number in weights}
    segments: list[Segment] = [[] for _ in range(subset_count)]
    for zone in sorted(set(zone_of.values())):
        ring = sorted((spread(number), number) for number in weights if zone_of[number] == zone)
        weight = sum(weights[number] for _, number in ring)
        length = min(len(ring), round(subset_size * weight / total))
        for subset, segment in enumerate(segments):
            first = bisect_left(ring, (subset / subset_count, 0))
            for offset in range(length):
                _, number = ring[(first + offset) % len(ring)]
                segment.append(number)
    return segments


def _fit(
    weights: Weights, segments: Sequence[Segment], rates: Sequence[float]
) -> dict[EndpointId, float]:
    """Returns factors of the weights with which each endpoint gets its share of the requests of all subsets."""
    total_weight = sum(weights.values())
    total_rate = sum(rates)
    factors = dict.fromkeys(weights, 1.0)
    for _ in range(FIT_ROUNDS):
        received = _received(weights, factors, segments, rates)
        for number, rate in received.items():
            odds = weights[number] * total_rate / max(MIN_DIVISOR, total_weight * rate)
            factors[number] = clamp(factors[number] * odds, MIN_FIT_FACTOR, MAX_FIT_FACTOR)
    return factors


def _received(
    weights: Weights,
    factors: Mapping[EndpointId, float],
    segments: Sequence[Segment],
    rates: Sequence[float],
) -> dict[EndpointId, float]:
    """Returns the request rate that each endpoint receives from all subsets."""
    received = dict.fromkeys(weights, 0.0)
    fitted = {number: weights[number] * factors[number] for number in weights}
    for segment, rate in zip(segments, rates, strict=True):
        per_weight = rate / max(MIN_DIVISOR, sum(fitted[number] for number in segment))
        for number in segment:
            received[number] += fitted[number] * per_weight
    return received
