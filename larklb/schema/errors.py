"""Errors of the schema."""

from collections.abc import Iterable

# A body of thousands of broken routes must not make an answer of megabytes; twenty are enough to mend by.
MAX_PROBLEMS = 20


class SchemaError(Exception):
    """Base of all errors of this package."""


class UnreadableError(SchemaError):
    """The bytes are no whole JSON object."""


class InvalidError(SchemaError):
    """The JSON object says something that can't be taken.

    `problems`: 'field: value: what would do', the first MAX_PROBLEMS of them.
    """

    def __init__(self, problems: Iterable[str]) -> None:
        self.problems: list[str] = list(problems)[:MAX_PROBLEMS]
        super().__init__("; ".join(self.problems))
