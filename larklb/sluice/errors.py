"""Errors of the process."""


class SluiceError(Exception):
    """Of this layer."""


class SettingsError(SluiceError):
    """The settings file can't be used; the text says file, field, value and what would do."""


class AddressError(SluiceError):
    """An address can't be listened on."""
