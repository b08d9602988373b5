"""Exceptions of the gateway."""


class GatewayError(Exception):
    """Base class of the exceptions of this package."""


class SettingsError(GatewayError):
    """The settings file can't be used; the message names the file, the field, its value and what is
    allowed."""


class AddressError(GatewayError):
    """An address can't be listened on."""


class MessageError(GatewayError):
    """A message of another limiter can't be decoded.

    ``protocol`` is the protocol version of its ``sender``, if it could be read."""

    def __init__(self, sender: str, protocol: object, reason: str) -> None:
        super().__init__(reason)
        self.sender, self.protocol = sender, protocol
