"""Identity of members on their connections: names, and the TLS contexts that prove them."""

from __future__ import annotations

import ssl
from dataclasses import dataclass

from kelpcourse.shared.raft.messages import MemberId

MEMBER_TOKEN_SEPARATOR = "@"


@dataclass(frozen=True)
class TlsContexts:
    """TLS contexts for incoming and outgoing connections, replaced when certificates are renewed."""

    server: ssl.SSLContext
    client: ssl.SSLContext


def member_name(member: MemberId) -> str:
    """Returns a member's name without the token of its state folder."""
    return member.partition(MEMBER_TOKEN_SEPARATOR)[0]
