"""Durable state: append-only logs of checksummed records, in folders that one process at a time locks.

This package handles bytes and files; the owners of the logs define what the records mean.
"""
