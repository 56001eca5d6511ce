"""Input lines of the simulator for tests of the adapter, and a harness that records the decoded events."""

from __future__ import annotations

import io
from collections.abc import Sequence

from kelpcourse.policy.actions import (
    Action,
)
from kelpcourse.policy.events import (
    Event,
)
from kelpcourse.policy.settings import Settings
from kelpcourse.simhost.server import Adapter

CONFIG = (
    "az=room-a bounds.connect_timeout_us=250000 bounds.cpu_us_per_s=400000 bounds.peers=true"
    " bounds.probing=true discovery=on_request family=control family_info.admission=fraction"
    " family_info.blackhole_us=7200000 family_info.by_zone=false family_info.class_writes=false,true"
    " family_info.egress_per_s=3000.0 family_info.head=6.0 family_info.messages_most=12"
    " family_info.messages_over_us=10000000 family_info.one_owner=false family_info.partitions_n=0"
    " family_info.pending_max=3000.0 family_info.period_us=2000000 family_info.propagation_us=356000"
    " family_info.proxy_count=4 family_info.transit_max_us=890000 family_info.usual_how=1"
    " family_info.zone_bound=false,false invariants.ask_within_us=10000000 invariants.cold_from=0.17"
    " invariants.cold_us=14000000 invariants.fall_us=2000000 invariants.full_may_have_run=true"
    " invariants.overload_factor=3.0 invariants.stop_sending_within_us=3400000 lanes.count=2"
    " lanes.0.aim_us=750000 lanes.0.effect=read_like lanes.0.group=all lanes.0.hard_limit_us=2000000"
    " lanes.0.late_worth=0.2 lanes.0.name=board-read lanes.0.window_us=5000000 lanes.0.worth=1.0"
    " lanes.1.aim_us=800000 lanes.1.effect=non_idempotent lanes.1.group=all"
    " lanes.1.hard_limit_us=2000000 lanes.1.name=move-submit lanes.1.only_zones=room-a"
    " lanes.1.window_us=5000000 lanes.1.worth=3.0 me=0 siblings=2 stats.how=on_probe"
    " stats.names=inflight tick_us=2000 weights=off zones=room-a,room-b something.new=x"
)
OPEN = f"open_instance director_id=3 nonce64=1167071214265485 {CONFIG}"
LIST = [
    "sheet roster_id=0 members=2",
    "item heft=1 unit_group=0 sku=large mode=SERVING az=room-a host=51530247",
    "item heft=1.5 unit_group=0 started_at_us=6100000 sku=large mode=SERVING az=room-b host=747639282",
]
START = [OPEN, *LIST, "members director_id=3 scope=restored number=41 roster_id=0"]


def batch(now_us: int, *lines: str) -> str:
    """Returns a batch of event lines at a given time."""
    return "\n".join([f"mark t_us={now_us}", *lines, "your_turn"]) + "\n"


class RecordingPolicy:
    """A policy that records its events and returns no actions."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.steps: list[tuple[int, list[Event]]] = []

    def step(self, now_us: int, events: Sequence[Event]) -> list[Action]:
        """Records the events of a step."""
        self.steps.append((now_us, list(events)))
        return []


class AdapterHarness:
    """Runs adapters on given input and records the policies that they create."""

    def __init__(self) -> None:
        self.policies: list[RecordingPolicy] = []

    def create_policy(self, settings: Settings) -> RecordingPolicy:
        """Creates and records a policy, as the adapter's policy factory."""
        policy = RecordingPolicy(settings)
        self.policies.append(policy)
        return policy

    def adapter(self, text: str) -> Adapter:
        """Returns an adapter that reads the given input."""
        return Adapter(io.StringIO(text), self.create_policy)

    def run_batches(self, *batches: str) -> list[str]:
        """Returns the replies to the given batches."""
        return list(self.adapter("".join(batches)).replies())

    def events_of(self, *lines: str) -> list[Event]:
        """Returns the events that are decoded from lines sent in the batch after the start."""
        self.run_batches(batch(1, *START), batch(2, *lines))
        return self.policies[0].steps[1][1]
