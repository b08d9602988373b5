"""What every message between limiters has in common."""

from __future__ import annotations

from typing import Any

import msgspec

Row = dict[str, Any]  # a member or a server as it travels: see ``Member.row`` and ``Server.row``
Rows = list[tuple[str, Row]]  # by node name or server id


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="k"):
    """One way, and it may be lost. ``sender`` is a node's name and ``address`` its IP address; the transport
    fills in both, and the version of the protocol, as it sends a message."""

    sender: str = msgspec.field(default="", name="s")
    address: str = msgspec.field(default="", name="f")
    protocol: int = msgspec.field(default=0, name="p")
