"""Exceptions of the assignment package."""


class AssignmentError(Exception):
    """Base class of all exceptions of this package."""


class WeightError(AssignmentError, ValueError):
    """A weight is negative, infinite or not a number."""
