"""Durable storage of opaque values in generations of dbm.dumb files, with control over syncing."""
