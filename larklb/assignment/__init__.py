"""Assignment of callers to servers, by consistent hashing with bounded loads; never does I/O."""
