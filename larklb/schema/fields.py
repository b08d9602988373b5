"""Strict parsing of the fields in operators' documents, and the messages that report invalid values."""

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField
from mashumaro.helper import field_options
from mashumaro.mixins.dict import DataClassDictMixin

# Longer values are truncated in messages.
MAX_SHOWN_CHARACTERS = 60
# Fields whose values never appear in messages: whoever reads a client's key in a log could use it.
SECRET_FIELDS = frozenset({"keys"})


# --- field parsers: strict, because mashumaro by itself converts "7", 7.9 and True to integers


def parse_text(value: Any) -> str:
    """Return a non-empty string.

    Like all parsers below, it raises ValueError with a description of the values it accepts.
    """
    if not isinstance(value, str) or not value:
        raise ValueError("a string that isn't empty")
    return value


def parse_integer(value: Any) -> int:
    """Return an integer. Integral floats such as 2.0 are accepted."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a whole number")
    return value


def parse_amount(value: Any) -> float:
    """Return a finite, non-negative number as a float."""
    if not isinstance(value, bool) and isinstance(value, int | float):
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        if 0 <= number < math.inf:
            return number
    raise ValueError("a number of 0 or more")


def parse_flag(value: Any) -> bool:
    """Return a boolean. Numbers are rejected."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def choice(*names: str) -> Callable[[Any], str]:
    """Return a parser that accepts one of `names`."""

    def parse(value: Any) -> str:
        if not isinstance(value, str) or value not in names:
            raise ValueError(" or ".join(f"'{name}'" for name in names))
        return value

    return parse


def at_least(minimum: int) -> Callable[[Any], int]:
    """Return a parser of integers greater than or equal to `minimum`."""

    def parse(value: Any) -> int:
        try:
            number = parse_integer(value)
        except ValueError:
            number = minimum - 1
        if number < minimum:
            raise ValueError(f"a whole number of {minimum} or more")
        return number

    return parse


class Item(DataClassDictMixin):
    """Base class of the typed parts of documents.

    Types are strict, null counts as absent, and `wire` gives a field its camelCase name in the document.
    """

    __slots__ = ()

    class Config(BaseConfig):
        serialization_strategy = {
            str: {"deserialize": parse_text},
            int: {"deserialize": parse_integer},
            float: {"deserialize": parse_amount},
            bool: {"deserialize": parse_flag},
        }

    @classmethod
    def __pre_deserialize__(cls, d: dict[Any, Any]) -> dict[Any, Any]:
        if not isinstance(d, dict):
            raise ValueError("an object")
        return {key: value for key, value in d.items() if value is not None}


def wire(alias: str, parser: Callable[[Any], Any] | None = None) -> dict[str, Any]:
    """Return the metadata of a field that is named `alias` in the document and parsed by `parser`."""
    return field_options(alias=alias) if parser is None else field_options(alias=alias, deserialize=parser)


# --- messages about invalid values


def format_value(value: Any) -> str:
    """Format a value for a message, truncated to MAX_SHOWN_CHARACTERS.

    The contents of objects and lists are omitted, because they may include secret keys.
    """
    if isinstance(value, dict | list):
        return "(an object)" if isinstance(value, dict) else "(a list)"
    try:
        text = json.dumps(value)
    except (TypeError, ValueError):
        text = type(value).__name__
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."


def format_problem(path: str, value: Any, expected: str) -> str:
    """Format the message about an invalid value as 'field: value: expectation'."""
    return f"{path}: {format_value(value)}: {expected}"


def _to_camel_case(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def explain(error: BaseException, path: str, value: Any) -> str:
    """Format the message about an error of `Item.from_dict(value)`, for the item at `path` in the document.

    Nested errors are followed to the innermost field, which is the one that is invalid.
    """
    names, expected, hidden, missing = [path] if path else [], "a value that can be read", False, False
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, InvalidFieldValue):
            names.append(_to_camel_case(cause.field_name))
            value, hidden = cause.field_value, hidden or cause.field_name in SECRET_FIELDS
        elif isinstance(cause, MissingField):
            names.append(_to_camel_case(cause.field_name))
            expected, missing = "must be given", True
        elif isinstance(cause, ValueError):
            expected = str(cause)
        cause = cause.__context__
    name = ".".join(names)
    if missing or hidden:
        return f"{name}: ({'missing' if missing else 'not shown'}): {expected}"
    return format_problem(name, value, expected)


ItemT = TypeVar("ItemT", bound=Item)


def read_item(item_type: type[ItemT], value: Any, path: str, problems: list[str]) -> ItemT | None:
    """Parse `value` as `item_type`. If it is invalid, add a message to `problems` and return None."""
    try:
        return item_type.from_dict(value)
    except (ValueError, LookupError) as error:
        problems.append(explain(error, path, value))
        return None


def read_version(document: Mapping[str, Any], problems: list[str]) -> int:
    """Return the version of a document or change. If invalid, add a message to `problems` and return 0."""
    version = document.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        problems.append(format_problem("version", version, "a whole number"))
        return 0
    return version
