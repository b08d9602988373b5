"""Assignment of callers to servers by consistent hashing with bounded loads; does no I/O."""
