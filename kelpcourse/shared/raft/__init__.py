"""Raft consensus as a step function, without input or output of its own.

Sources: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (the paper), and Ongaro,
"Consensus: Bridging Theory and Practice" (the thesis).

The step function takes the time, messages, and the numbers of writes that are durable; it returns messages, writes
and committed entries. `node.Raft` is the entry point; `base` holds the state that all roles share, `election`,
`follower` and `leader` one role each.

Implemented: elections with pre-vote (thesis 9.6) and check-quorum (thesis 6.2), log replication, commitment in the
leader's own term only (paper 5.4.2), snapshots in chunks, membership changes by one voter at a time with learners
that catch up (thesis 4.1, 4.2), leadership transfer (thesis 3.10). Not implemented: joint consensus, and reads by
index (what needs agreement goes through the log).
"""
