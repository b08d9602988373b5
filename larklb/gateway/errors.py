"""Errors of the process."""


class GatewayError(Exception):
    """Of this layer."""


class SettingsError(GatewayError):
    """The settings file can't be used; the text says file, field, value and what would do."""


class AddressError(GatewayError):
    """An address can't be listened on."""


class MessageError(GatewayError):
    """A message of another limiter can't be read. ``protocol``: that of its ``sender``, as far as known."""

    def __init__(self, sender: str, protocol: object, why: str) -> None:
        super().__init__(why)
        self.sender, self.protocol = sender, protocol
