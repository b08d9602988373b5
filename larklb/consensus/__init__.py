"""Owns the agreement on the operator's configuration (Raft: terms, votes, log, voters); never does I/O."""
