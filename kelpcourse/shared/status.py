"""Output of `kelpcourse shared status` as JSON and as text. Operators' tools depend on the names in the JSON."""

from __future__ import annotations

from typing import Any

from kelpcourse.shared.controller import Controller
from kelpcourse.shared.replicated_state import Lease


def controller_status(controller: Controller, now_us: int) -> dict[str, object]:
    """Returns a controller's view of the cluster, as JSON values."""
    raft = controller.raft
    state = controller.state
    last_index = raft.log.last_index
    return {
        "member": controller.member_id,
        "role": raft.role.value,
        "leader": raft.leader_id,
        "term": raft.term,
        "committed": raft.commit_index,
        "voters": sorted(raft.config.voters),
        "learners": sorted(raft.config.learners),
        "lags": {
            member: last_index - progress.match_index
            for member, progress in sorted(raft.progress.items())
        },
        "groups": [
            _group_status(controller, group, lease, now_us)
            for group, lease in sorted(state.leases.items())
        ],
        "withdrawn": sorted(state.drains),
        "drained": sorted(state.drained_members),
    }


def _group_status(
    controller: Controller, group: int, lease: Lease, now_us: int
) -> dict[str, object]:
    remaining_ms = None
    if lease.holder == controller.member_id:
        remaining_ms = controller.lease_holder.remaining_us(group, now_us) // 1000
    return {
        "group": group,
        "holder": lease.holder,
        "epoch": lease.epoch,
        "left_ms": remaining_ms,
    }


def status_lines(status: dict[str, Any]) -> list[str]:
    """Returns the lines that the command prints for a status."""
    if "role" not in status:
        return [f"{status['member']} is not active: {status['halted'] or 'starting'}"]
    lines = [
        f"{status['member']} {status['role']} of term {status['term']},"
        f" leader {status['leader'] or 'unknown'}, committed {status['committed']}"
    ]
    lines += [_member_line(status, member) for member in status["voters"] + status["learners"]]
    lines += [_group_line(group) for group in status["groups"]]
    lines += [f"drained {member}" for member in status["drained"]]
    lines += [f"withdrawn {endpoint}" for endpoint in status["withdrawn"]]
    return lines


def _member_line(status: dict[str, Any], member: str) -> str:
    kind = "voter" if member in status["voters"] else "learner"
    lag = status["lags"].get(member)
    lag_text = "" if lag is None else f" lag {lag}"
    return f"{kind:<8}{member}{lag_text}"


def _group_line(group: dict[str, Any]) -> str:
    lease_text = "" if group["left_ms"] is None else f" lease expires in {group['left_ms']} ms"
    return (
        f"group {group['group']:>4} epoch {group['epoch']:>4} {group['holder'] or '-'}{lease_text}"
    )
