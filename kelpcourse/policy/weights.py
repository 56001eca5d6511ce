"""Endpoint weights of a table: capacity, slow start, residual weights and zone affinity."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from kelpcourse.policy.arithmetic import MIN_DIVISOR
from kelpcourse.policy.endpoints import EndpointRegistry, EndpointSelector, EndpointState
from kelpcourse.policy.settings import EndpointId, Settings
from kelpcourse.policy.subsetting import ProxyTraffic
from kelpcourse.policy.tables import TableKey

MIN_WEIGHT = 0.001
MIN_WEIGHT_CHANGE = 0.08  # part of the weight; smaller changes are not ordered
# Least part of an endpoint's weight that remains, whatever its load from classes with tables of their own.
MIN_RESIDUAL_SHARE = 0.1
WARM_UP_ROUNDS = 4  # iterations, because the share of each endpoint depends on all others

Weights = dict[EndpointId, float]


@dataclass(frozen=True)
class WeightInputs:
    """The values, besides the endpoints, that weights depend on."""

    now_us: int
    traffic: ProxyTraffic
    admitted_per_s: Sequence[float]  # admitted rate of each class


class EndpointWeights:
    """Computes the weights of a table's endpoints."""

    def __init__(self, settings: Settings, registry: EndpointRegistry) -> None:
        """Initializes the computation for the endpoints of a registry."""
        self._registry = registry
        self._zones = settings.zones
        self._own_selectors = [
            EndpointSelector.of_class(request_class) for request_class in settings.classes
        ]

    def of_table(self, key: TableKey, inputs: WeightInputs) -> Weights:
        """Returns the weights of all endpoints of a table, before subsetting."""
        states = self._registry.select(key.selector)
        weights = self._warm_up_weights(states, inputs.now_us)
        if key.selector.is_unrestricted:
            weights = self._residual_weights(weights, inputs.admitted_per_s)
        if not key.proxy_zone:
            return {number: max(weight, MIN_WEIGHT) for number, weight in weights.items()}
        affinity = self._zone_affinity(key.proxy_zone, weights, inputs.traffic)
        return {
            number: max(weight * affinity.get(self._zone_of(number), 1.0), MIN_WEIGHT)
            for number, weight in weights.items()
        }

    def _zone_of(self, number: EndpointId) -> str:
        return self._registry.endpoints[number].endpoint.zone

    def _warm_up_weights(self, states: Sequence[EndpointState], now_us: int) -> Weights:
        """Returns weights that limit the share of warming-up endpoints to the load that they can serve."""
        nominal = {state.endpoint.id: self._registry.nominal_capacity(state) for state in states}
        weights = {
            state.endpoint.id: nominal[state.endpoint.id] * state.health_factor for state in states
        }
        total_nominal = sum(nominal.values())
        warming_up = [state for state in states if self._registry.is_warming_up(state, now_us)]
        for _ in range(WARM_UP_ROUNDS):
            total = sum(weights.values())
            for state in warming_up:
                number = state.endpoint.id
                warm_up_factor = self._registry.warm_up_factor(state, now_us)
                share = warm_up_factor * nominal[number] / total_nominal
                reduced = nominal[number] * state.health_factor * warm_up_factor
                weights[number] = min(reduced, share * total)
        return weights

    def _residual_weights(self, weights: Weights, admitted_per_s: Sequence[float]) -> Weights:
        """Returns the weights less the load that endpoints receive from classes with tables of their own."""
        weight_per_request = sum(weights.values()) / max(MIN_DIVISOR, sum(admitted_per_s))
        residual = dict(weights)
        for selector, admitted in zip(self._own_selectors, admitted_per_s, strict=True):
            if selector.is_unrestricted:
                continue
            numbers = [state.endpoint.id for state in self._registry.select(selector)]
            own_weight = sum(weights[number] for number in numbers)
            for number in numbers:
                residual[number] -= admitted * weight_per_request * weights[number] / own_weight
        return {
            number: max(weight, MIN_RESIDUAL_SHARE * weights[number])
            for number, weight in residual.items()
        }

    def _zone_affinity(
        self, proxy_zone: str, weights: Weights, traffic: ProxyTraffic
    ) -> dict[str, float]:
        """Returns the factor of each zone's endpoints for the proxies of a zone.

        If connections are limited, proxies prefer their own zone; the total load of each endpoint stays the same.
        """
        offered = {zone: sum(traffic.of_zone(zone)) / traffic.total_per_s for zone in self._zones}
        capacity = self._zone_shares(weights)
        kept = {zone: min(offered[zone], capacity[zone]) for zone in capacity}
        excess_share = (offered[proxy_zone] - kept[proxy_zone]) / max(
            MIN_DIVISOR, 1 - sum(kept.values())
        )
        factors = {}
        for zone in capacity:
            even_share = offered[proxy_zone] * capacity[zone]
            if even_share > 0:
                own = kept[zone] if zone == proxy_zone else 0.0
                excess = excess_share * (capacity[zone] - kept[zone])
                factors[zone] = (own + excess) / even_share
        return factors

    def _zone_shares(self, weights: Weights) -> dict[str, float]:
        """Returns the share of each zone in the total weight."""
        total = max(MIN_DIVISOR, sum(weights.values()))
        zone_of = {number: self._zone_of(number) for number in weights}
        return {
            zone: sum(weight for number, weight in weights.items() if zone_of[number] == zone)
            / total
            for zone in self._zones
        }
