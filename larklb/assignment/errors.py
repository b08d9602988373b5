"""What may go wrong in assigning callers."""


class AssignmentError(Exception):
    """Base of this package's errors."""


class WeightError(AssignmentError, ValueError):
    """A weight that is no finite number of 0 or more."""
