"""Reading Settings: one reader for the simulator's pairs and for the nested JSON of a configuration."""

from __future__ import annotations

from collections.abc import Callable

from kelpcourse.interface import Admission, Effect, RequestClass, Retry, Scope, Settings
from kelpcourse.fields import Fields, InputError

EFFECTS = {
    "read_like": Effect.SAFE,
    "idempotency_key": Effect.KEYED,
    "non_idempotent": Effect.UNSAFE,
}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
ADMISSIONS = {"fraction": Admission.SHARE, "per_second": Admission.RATE, "off": Admission.NONE}
RETRIES = {str(way.value): way for way in Retry}


def _flag(fields: Fields, name: str) -> bool:
    """A key that the wire may leave out, where absent is false."""
    return fields.has(name) and fields.boolean(name)


def _flags(fields: Fields, name: str, size: int) -> tuple[bool, ...]:
    words = fields.words(name) or ("false",) * size
    if len(words) != size or any(word not in ("true", "false", "1", "0") for word in words):
        raise InputError(f"field 'family_info.{name}' is not one bool for each class")
    return tuple(word in ("true", "1") for word in words)


def _request_class(fields: Fields, bound: bool, writes: bool) -> RequestClass:
    return RequestClass(
        name=fields.text("name"),
        aim_us=fields.count("aim_us"),
        deadline_us=fields.count("hard_limit_us"),
        worth=fields.number("worth"),
        effect=fields.choice("effect", EFFECTS),
        repeat_scope=fields.choice("group", SCOPES) if fields.has("group") else Scope.CELL,
        repeat_window_us=fields.count("window_us") if fields.has("window_us") else 0,
        only_zones=frozenset(fields.words("only_zones")),
        only_kinds=frozenset(fields.words("only_kinds")),
        zone_bound=bound,
        writes=writes,
    )


Figure = Callable[[Settings], float]
ABOVE_0: dict[str, Figure] = {  # without these nothing could ever be ordered
    "family_info.proxy_count": lambda s: s.proxies,
    "family_info.egress_per_s": lambda s: s.channel_lines_per_s,
    "family_info.pending_max": lambda s: s.channel_backlog,
    "zones": lambda s: len(s.zones),
    "lanes.count": lambda s: len(s.classes),
}
FROM_0: dict[str, Figure] = {
    "family_info.head": lambda s: s.message_head,
    "family_info.conns_least": lambda s: s.connections_least,
    "invariants.cold_from": lambda s: s.cold_from,
}


def read_settings(fields: Fields) -> Settings:
    """Raises InputError for what can't be served, by the field's name."""
    settings = _read(fields)
    if not settings.slices:  # of a site with slices nothing is served here
        _check(settings)
    return settings


def _check(settings: Settings) -> None:
    for name, value in ABOVE_0.items():
        if not value(settings) > 0:
            raise InputError(f"field '{name}' is not above 0")
    for name, value in FROM_0.items():
        if value(settings) < 0:
            raise InputError(f"field '{name}' is below 0")
    if settings.cold_from > 1:
        raise InputError("field 'invariants.cold_from' is above 1")
    if settings.messages_most and not settings.messages_over_us:
        raise InputError(
            "field 'family_info.messages_over_us' is not above 0 beside 'family_info.messages_most'"
        )
    for at, cls in enumerate(settings.classes):
        if cls.aim_us == 0:
            raise InputError(f"field 'lanes.{at}.aim_us' is not above 0")
        if cls.worth < 0:
            raise InputError(f"field 'lanes.{at}.worth' is below 0")
        if cls.name in [other.name for other in settings.classes[:at]]:
            raise InputError(f"field 'lanes.{at}.name' stands twice: '{cls.name}'")


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
        director=fields.count("me"),
        directors=fields.count("siblings"),
        zone=fields.text("az"),
        zones=fields.words("zones"),
        classes=tuple(
            _request_class(fields.under(f"lanes.{k}"), bound[k], writes[k]) for k in range(size)
        ),
        must_ask=must_ask,
        ask_within_us=rules.count("ask_within_us") if rules.has("ask_within_us") else 0,
        load_inline=how == "inline",
        load_on_probe=how in ("inline", "on_probe"),
        load_names=stats.words("names"),
        probing=_flag(bounds, "probing"),
        peers=_flag(bounds, "peers"),
        admission=family.choice("admission", ADMISSIONS),
        usual_retry=family.choice("usual_how", RETRIES),
        slices=family.count("partitions_n"),
        single_owner=_flag(family, "one_owner"),
        proxies=family.count("proxy_count"),
        report_period_us=family.count("period_us"),
        channel_lines_per_s=family.number("egress_per_s"),
        channel_backlog=family.number("pending_max"),
        message_head=family.number("head"),
        connections_least=family.number("conns_least") if family.has("conns_least") else 0.0,
        messages_most=family.count("messages_most"),
        messages_over_us=family.count("messages_over_us") if family.has("messages_over_us") else 0,
        transit_mean_us=family.count("propagation_us"),
        transit_longest_us=family.count("transit_max_us"),
        full_may_have_run=_flag(rules, "full_may_have_run"),
        only_draining_binds=_flag(rules, "soft_removal"),
        bare_limit_us=family.count("blackhole_us"),
        drain_grace_us=rules.count("stop_sending_within_us"),
        cold_from=rules.number("cold_from"),
        cold_us=rules.count("cold_us"),
        fall_multiple=rules.number("overload_factor"),
        fall_us=rules.count("fall_us"),
    )
