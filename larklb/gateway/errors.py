"""Errors of the process."""


class GatewayError(Exception):
    """Of this layer."""


class SettingsError(GatewayError):
    """The settings file can't be used; the text says file, field, value and what would do."""


class AddressError(GatewayError):
    """An address can't be listened on."""
