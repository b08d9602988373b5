"""Exceptions of the schema package."""

from collections.abc import Iterable

# Messages about thousands of invalid routes would make an answer of megabytes; twenty are enough to correct a
# document step by step.
MAX_PROBLEMS = 20


class SchemaError(Exception):
    """Base class of all exceptions of this package."""


class UnreadableError(SchemaError):
    """The bytes are not a complete, valid JSON object."""


class InvalidError(SchemaError):
    """The JSON object contains invalid values.

    `problems` lists the first MAX_PROBLEMS of them as 'field: value: expectation'.
    """

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems: list[str] = list(problems)[:MAX_PROBLEMS]
        super().__init__("; ".join(self.problems))
