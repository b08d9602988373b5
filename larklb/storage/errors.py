"""The errors of the durable storage."""

from __future__ import annotations


class StorageError(Exception):
    """The disk couldn't be read or written; what a failed save was to change is as it was before."""
