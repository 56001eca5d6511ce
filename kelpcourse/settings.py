"""Reading of `Settings`, both from the simulator's pairs and from the nested JSON of a configuration.

The names on the wire and in files are fixed; only this module maps them to those of `Settings`.

| on the wire | in `Settings` |
| --- | --- |
| `me`, `siblings` | `controller_index`, `controller_count` |
| `az`, `zones` | `zone`, `zones` |
| `lanes.N` | `classes` |
| `discovery` (`on_request`) | `discovery_is_polled` |
| `stats.how` (`inline`, `on_probe`) | `load_reports_inline`, `load_reports_on_health_check` |
| `stats.names` | `load_report_names` |
| `bounds.probing`, `bounds.peers` | `health_checks_allowed`, `peer_messages_allowed` |
| `family_info.admission` | `admission_mode` |
| `family_info.usual_how` | `default_retry_policy` |
| `family_info.partitions_n`, `family_info.one_owner` | `slice_count`, `has_single_owner` |
| `family_info.proxy_count`, `family_info.period_us` | `proxy_count`, `report_period_us` |
| `family_info.egress_per_s`, `family_info.pending_max` | `delivery_entries_per_s`, `max_backlog_entries` |
| `family_info.head` | `message_overhead_entries` |
| `family_info.conns_least` | `min_endpoint_connections` |
| `family_info.messages_most`, `family_info.messages_over_us` | `max_messages_per_proxy`, `message_window_us` |
| `family_info.propagation_us`, `family_info.transit_max_us` | `mean_transit_us`, `max_transit_us` |
| `family_info.blackhole_us` | `max_unserved_us` |
| `invariants.ask_within_us` | `discovery_poll_deadline_us` |
| `invariants.full_may_have_run` | `queue_full_may_have_executed` |
| `invariants.soft_removal` | `drain_rule_excludes_removed` |
| `invariants.stop_sending_within_us` | `drain_grace_us` |
| `invariants.cold_from`, `invariants.cold_us` | `warm_up_min_capacity`, `warm_up_us` |
| `invariants.overload_factor`, `invariants.fall_us` | `overload_factor`, `overload_tolerance_us` |

| of a class on the wire | in `RequestClass` |
| --- | --- |
| `lanes.N.aim_us`, `lanes.N.hard_limit_us` | `latency_objective_us`, `deadline_us` |
| `lanes.N.worth` | `priority_weight` |
| `lanes.N.effect` | `idempotency` |
| `lanes.N.group`, `lanes.N.window_us` | `deduplication_scope`, `deduplication_window_us` |
| `lanes.N.only_zones`, `lanes.N.only_kinds` | `allowed_zones`, `allowed_kinds` |
| `family_info.zone_bound`, `family_info.class_writes` | `same_zone_only`, `is_write` |
"""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.fields import FieldError, Fields
from kelpcourse.policy.settings import (
    AdmissionMode,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    RetryPolicy,
    Settings,
)

IDEMPOTENCY = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NOT_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
ADMISSION_MODES = {
    "fraction": AdmissionMode.RATIO,
    "per_second": AdmissionMode.RATE,
    "off": AdmissionMode.NONE,
}
RETRY_POLICIES = {str(policy.value): policy for policy in RetryPolicy}

SettingValue = Callable[[Settings], float]

# If one of these were 0, no order could ever be sent.
POSITIVE: dict[str, SettingValue] = {
    "family_info.proxy_count": lambda settings: settings.proxy_count,
    "family_info.egress_per_s": lambda settings: settings.delivery_entries_per_s,
    "family_info.pending_max": lambda settings: settings.max_backlog_entries,
    "zones": lambda settings: len(settings.zones),
    "lanes.count": lambda settings: len(settings.classes),
}
NOT_NEGATIVE: dict[str, SettingValue] = {
    "family_info.head": lambda settings: settings.message_overhead_entries,
    "family_info.conns_least": lambda settings: settings.min_endpoint_connections,
    "invariants.cold_from": lambda settings: settings.warm_up_min_capacity,
}


def read_settings(fields: Fields) -> Settings:
    """Reads and checks settings.

    Raises:
        FieldError: A field is missing, or a deployment with its value can't be served.
    """
    settings = _read(fields)
    # Deployments with slices are not served, so their values are not checked.
    if not settings.slice_count:
        _check(settings)
    return settings


def _check(settings: Settings) -> None:
    for name, value_of in POSITIVE.items():
        if not value_of(settings) > 0:
            raise FieldError(name, "is not above 0")
    for name, value_of in NOT_NEGATIVE.items():
        if value_of(settings) < 0:
            raise FieldError(name, "is below 0")
    if settings.warm_up_min_capacity > 1:
        raise FieldError("invariants.cold_from", "is above 1")
    if settings.max_messages_per_proxy and not settings.message_window_us:
        raise FieldError(
            "family_info.messages_over_us",
            "must be above 0 if 'family_info.messages_most' is",
        )
    _check_classes(settings.classes)


def _check_classes(classes: tuple[RequestClass, ...]) -> None:
    names: set[str] = set()
    for index, request_class in enumerate(classes):
        if request_class.latency_objective_us == 0:
            raise FieldError(f"lanes.{index}.aim_us", "is not above 0")
        if request_class.priority_weight < 0:
            raise FieldError(f"lanes.{index}.worth", "is below 0")
        if request_class.name in names:
            raise FieldError(f"lanes.{index}.name", f"appears twice: '{request_class.name}'")
        names.add(request_class.name)


def _read(fields: Fields) -> Settings:
    family = fields.under("family_info")
    bounds = fields.under("bounds")
    rules = fields.under("invariants")
    class_count = fields.count("lanes.count")
    same_zone_only = _flags(family, "zone_bound", class_count)
    is_write = _flags(family, "class_writes", class_count)
    discovery = fields.text("discovery")
    load_reports = fields.text("stats.how")
    return Settings(
        controller_index=fields.count("me"),
        controller_count=fields.count("siblings"),
        zone=fields.text("az"),
        zones=fields.text_list("zones"),
        classes=tuple(
            _request_class(fields.under(f"lanes.{index}"), same_zone_only[index], is_write[index])
            for index in range(class_count)
        ),
        discovery_is_polled=discovery == "on_request",
        discovery_poll_deadline_us=_optional_count(rules, "ask_within_us"),
        load_reports_inline=load_reports == "inline",
        load_reports_on_health_check=load_reports in ("inline", "on_probe"),
        load_report_names=fields.text_list("stats.names"),
        health_checks_allowed=_optional_flag(bounds, "probing"),
        peer_messages_allowed=_optional_flag(bounds, "peers"),
        admission_mode=family.choice("admission", ADMISSION_MODES),
        default_retry_policy=family.choice("usual_how", RETRY_POLICIES),
        slice_count=family.count("partitions_n"),
        has_single_owner=_optional_flag(family, "one_owner"),
        proxy_count=family.count("proxy_count"),
        report_period_us=family.count("period_us"),
        delivery_entries_per_s=family.number("egress_per_s"),
        max_backlog_entries=family.number("pending_max"),
        message_overhead_entries=family.number("head"),
        min_endpoint_connections=family.number("conns_least") if family.has("conns_least") else 0.0,
        max_messages_per_proxy=family.count("messages_most"),
        message_window_us=_optional_count(family, "messages_over_us"),
        mean_transit_us=family.count("propagation_us"),
        max_transit_us=family.count("transit_max_us"),
        queue_full_may_have_executed=_optional_flag(rules, "full_may_have_run"),
        drain_rule_excludes_removed=_optional_flag(rules, "soft_removal"),
        max_unserved_us=family.count("blackhole_us"),
        drain_grace_us=rules.count("stop_sending_within_us"),
        warm_up_min_capacity=rules.number("cold_from"),
        warm_up_us=rules.count("cold_us"),
        overload_factor=rules.number("overload_factor"),
        overload_tolerance_us=rules.count("fall_us"),
    )


def _request_class(fields: Fields, same_zone_only: bool, is_write: bool) -> RequestClass:
    return RequestClass(
        name=fields.text("name"),
        latency_objective_us=fields.count("aim_us"),
        deadline_us=fields.count("hard_limit_us"),
        priority_weight=fields.number("worth"),
        idempotency=fields.choice("effect", IDEMPOTENCY),
        deduplication_scope=_deduplication_scope(fields),
        deduplication_window_us=_optional_count(fields, "window_us"),
        allowed_zones=frozenset(fields.text_list("only_zones")),
        allowed_kinds=frozenset(fields.text_list("only_kinds")),
        same_zone_only=same_zone_only,
        is_write=is_write,
    )


def _deduplication_scope(fields: Fields) -> DeduplicationScope:
    if not fields.has("group"):
        return DeduplicationScope.CELL
    return fields.choice("group", DEDUPLICATION_SCOPES)


def _optional_count(fields: Fields, name: str) -> int:
    """Returns a count from an optional field, which is 0 if it is absent."""
    return fields.count(name) if fields.has(name) else 0


def _optional_flag(fields: Fields, name: str) -> bool:
    """Returns a flag from an optional field, which is false if it is absent."""
    return fields.has(name) and fields.boolean(name)


def _flags(fields: Fields, name: str, size: int) -> tuple[bool, ...]:
    """Returns one flag for each class; all are false if the field is absent."""
    values = fields.text_list(name) or ("false",) * size
    if len(values) != size or any(value not in ("true", "false", "1", "0") for value in values):
        raise FieldError(f"family_info.{name}", "does not have one boolean for each class")
    return tuple(value in ("true", "1") for value in values)
