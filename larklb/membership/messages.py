"""The base of all messages between limiters, and the rows that they carry."""

from __future__ import annotations

from typing import Any

import msgspec

# A member or a server in a message: see ``Member.to_row`` and ``Server.to_row``.
Row = dict[str, Any]
# Rows with their keys: node names or server ids.
Rows = list[tuple[str, Row]]


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="k"):
    """A one-way message, which may be lost.

    ``sender`` is the name of the sending node, ``address`` its IP address and ``protocol`` the version of the
    protocol.  The transport fills in all three when it sends a message."""

    sender: str = msgspec.field(default="", name="s")
    address: str = msgspec.field(default="", name="f")
    protocol: int = msgspec.field(default=0, name="p")
