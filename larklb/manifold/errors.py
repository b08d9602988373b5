"""What may go wrong in assigning callers."""


class ManifoldError(Exception):
    """Base of this package's errors."""


class WeightError(ManifoldError, ValueError):
    """A weight that is no finite number of 0 or more."""
