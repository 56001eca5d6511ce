"""Reading Settings: one reader for the simulator's pairs and for the nested JSON of a configuration."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.fields import Fields, WireError
from kelpcourse.policy.settings import (
    AdmissionMode,
    DeduplicationScope,
    Idempotency,
    RequestClass,
    RetryPolicy,
    Settings,
)

EFFECTS = {
    "read_like": Idempotency.IDEMPOTENT,
    "idempotency_key": Idempotency.WITH_KEY,
    "non_idempotent": Idempotency.NOT_IDEMPOTENT,
}
SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
ADMISSIONS = {
    "fraction": AdmissionMode.RATIO,
    "per_second": AdmissionMode.RATE,
    "off": AdmissionMode.NONE,
}
RETRIES = {str(way.value): way for way in RetryPolicy}


def _flag(fields: Fields, name: str) -> bool:
    """A key that the wire may leave out, where absent is false."""
    return fields.has(name) and fields.boolean(name)


def _flags(fields: Fields, name: str, size: int) -> tuple[bool, ...]:
    words = fields.words(name) or ("false",) * size
    if len(words) != size or any(word not in ("true", "false", "1", "0") for word in words):
        raise WireError(f"field 'family_info.{name}' is not one bool for each class")
    return tuple(word in ("true", "1") for word in words)


def _request_class(fields: Fields, bound: bool, writes: bool) -> RequestClass:
    return RequestClass(
        name=fields.text("name"),
        latency_objective_us=fields.count("aim_us"),
        deadline_us=fields.count("hard_limit_us"),
        priority_weight=fields.number("worth"),
        idempotency=fields.choice("effect", EFFECTS),
        deduplication_scope=fields.choice("group", SCOPES)
        if fields.has("group")
        else DeduplicationScope.CELL,
        deduplication_window_us=fields.count("window_us") if fields.has("window_us") else 0,
        allowed_zones=frozenset(fields.words("only_zones")),
        allowed_kinds=frozenset(fields.words("only_kinds")),
        same_zone_only=bound,
        is_write=writes,
    )


Figure = Callable[[Settings], float]
ABOVE_0: dict[str, Figure] = {  # without these nothing could ever be ordered
    "family_info.proxy_count": lambda s: s.proxy_count,
    "family_info.egress_per_s": lambda s: s.delivery_entries_per_s,
    "family_info.pending_max": lambda s: s.max_backlog_entries,
    "zones": lambda s: len(s.zones),
    "lanes.count": lambda s: len(s.classes),
}
FROM_0: dict[str, Figure] = {
    "family_info.head": lambda s: s.message_overhead_entries,
    "family_info.conns_least": lambda s: s.min_endpoint_connections,
    "invariants.warm_up_min_capacity": lambda s: s.warm_up_min_capacity,
}


def read_settings(fields: Fields) -> Settings:
    """Raises WireError for what can't be served, by the field's name."""
    settings = _read(fields)
    if not settings.slice_count:  # of a site with slices nothing is served here
        _check(settings)
    return settings


def _check(settings: Settings) -> None:
    for name, value in ABOVE_0.items():
        if not value(settings) > 0:
            raise WireError(f"field '{name}' is not above 0")
    for name, value in FROM_0.items():
        if value(settings) < 0:
            raise WireError(f"field '{name}' is below 0")
    if settings.warm_up_min_capacity > 1:
        raise WireError("field 'invariants.cold_from' is above 1")
    if settings.max_messages_per_proxy and not settings.message_window_us:
        raise WireError(
            "field 'family_info.messages_over_us' is not above 0 beside 'family_info.messages_most'"
        )
    for at, cls in enumerate(settings.classes):
        if cls.latency_objective_us == 0:
            raise WireError(f"field 'lanes.{at}.aim_us' is not above 0")
        if cls.priority_weight < 0:
            raise WireError(f"field 'lanes.{at}.worth' is below 0")
        if cls.name in [other.name for other in settings.classes[:at]]:
            raise WireError(f"field 'lanes.{at}.name' stands twice: '{cls.name}'")


def _read(fields: Fields) -> Settings:
    family = fields.under("family_info")
    bounds = fields.under("bounds")
    rules = fields.under("invariants")
    stats = fields.under("stats")
    size = fields.count("lanes.count")
    bound = _flags(family, "zone_bound", size)
    writes = _flags(family, "class_writes", size)
    must_ask = fields.text("discovery") == "on_request"
    how = fields.text("stats.how")
    return Settings(
        controller_index=fields.count("me"),
        controller_count=fields.count("siblings"),
        zone=fields.text("az"),
        zones=fields.words("zones"),
        classes=tuple(
            _request_class(fields.under(f"lanes.{k}"), bound[k], writes[k]) for k in range(size)
        ),
        discovery_is_polled=must_ask,
        discovery_poll_deadline_us=rules.count("ask_within_us")
        if rules.has("ask_within_us")
        else 0,
        load_reports_inline=how == "inline",
        load_reports_on_health_check=how in ("inline", "on_probe"),
        load_report_names=stats.words("names"),
        health_checks_allowed=_flag(bounds, "probing"),
        peer_messages_allowed=_flag(bounds, "peers"),
        admission_mode=family.choice("admission", ADMISSIONS),
        default_retry_policy=family.choice("usual_how", RETRIES),
        slice_count=family.count("partitions_n"),
        has_single_owner=_flag(family, "one_owner"),
        proxy_count=family.count("proxy_count"),
        report_period_us=family.count("period_us"),
        delivery_entries_per_s=family.number("egress_per_s"),
        max_backlog_entries=family.number("pending_max"),
        message_overhead_entries=family.number("head"),
        min_endpoint_connections=family.number("conns_least") if family.has("conns_least") else 0.0,
        max_messages_per_proxy=family.count("messages_most"),
        message_window_us=family.count("messages_over_us") if family.has("messages_over_us") else 0,
        mean_transit_us=family.count("propagation_us"),
        max_transit_us=family.count("transit_max_us"),
        queue_full_may_have_executed=_flag(rules, "full_may_have_run"),
        only_draining_binds=_flag(rules, "soft_removal"),
        max_unserved_us=family.count("blackhole_us"),
        drain_grace_us=rules.count("stop_sending_within_us"),
        warm_up_min_capacity=rules.number("cold_from"),
        warm_up_us=rules.count("cold_us"),
        overload_factor=rules.number("overload_factor"),
        overload_tolerance_us=rules.count("fall_us"),
    )
