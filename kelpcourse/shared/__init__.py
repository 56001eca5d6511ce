"""Shared control of one fleet by several controllers: Raft, leases on proxy groups, peer connections and storage."""
