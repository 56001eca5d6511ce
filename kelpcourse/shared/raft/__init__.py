"""Raft consensus as a step function, without input or output of its own.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and Ongaro,
"Consensus: Bridging Theory and Practice" (the thesis).

The step function takes the time, incoming messages and the numbers of durable writes; it returns outgoing messages,
writes and committed entries. `node.Raft` is the entry point. `base` holds the state that all roles share; `election`,
`follower` and `leader` implement one role each.

Implemented: elections with pre-vote (thesis 9.6) and check-quorum (thesis 6.2), log replication, commitment in the
leader's own term only (paper 5.4.2), snapshots in chunks, membership changes by one voter at a time with learners
that catch up first (thesis 4.1, 4.2), leadership transfer (thesis 3.10). Not implemented: joint consensus, and
read-only queries that bypass the log (ReadIndex): every operation that needs consensus is a log entry.
"""
