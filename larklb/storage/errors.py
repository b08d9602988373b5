"""Exceptions of the durable storage."""

from __future__ import annotations


class StorageError(Exception):
    """Reading or writing the disk failed. After a failed save the previous values still hold."""
