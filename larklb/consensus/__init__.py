"""Raft replication of the operator's configuration: terms, votes, log and voters. Performs no I/O."""
