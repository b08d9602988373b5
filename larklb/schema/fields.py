"""Fields of what operators write: strict readers, and the problem that is reported where one is wrong."""

import json
import math
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from mashumaro.config import BaseConfig
from mashumaro.exceptions import InvalidFieldValue, MissingField
from mashumaro.helper import field_options
from mashumaro.mixins.dict import DataClassDictMixin

# Characters of an offending value that are shown in a problem.
SHOWN = 60
# Values that are shown in no problem: a client's key lets anyone in who reads the log.
SECRET_FIELDS = frozenset({"keys"})


# --- readers: strict, since the library would take "7", 7.9 or True for the number 7


def text(value: Any) -> str:
    """A string that isn't empty. ValueError says what would do, as in the readers below."""
    if not isinstance(value, str) or not value:
        raise ValueError("a string that isn't empty")
    return value


def whole(value: Any) -> int:
    """A whole number; 2.0 is taken for 2."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError("a whole number")
    return value


def amount(value: Any) -> float:
    """A finite number of 0 or more."""
    if not isinstance(value, bool) and isinstance(value, int | float):
        try:
            number = float(value)
        except OverflowError:
            number = math.inf
        if 0 <= number < math.inf:
            return number
    raise ValueError("a number of 0 or more")


def flag(value: Any) -> bool:
    """True or False, and no number for them."""
    if not isinstance(value, bool):
        raise ValueError("true or false")
    return value


def choice(*names: str) -> Callable[[Any], str]:
    """A reader that takes one of `names`."""

    def read(value: Any) -> str:
        if not isinstance(value, str) or value not in names:
            raise ValueError(" or ".join(f"'{name}'" for name in names))
        return value

    return read


def at_least(low: int) -> Callable[[Any], int]:
    """A reader of whole numbers from `low` up."""

    def read(value: Any) -> int:
        try:
            number = whole(value)
        except ValueError:
            number = low - 1
        if number < low:
            raise ValueError(f"a whole number of {low} or more")
        return number

    return read


class Item(DataClassDictMixin):
    """Base of what is read from the wire: camelCase names, strict types, null as if not given."""

    __slots__ = ()

    class Config(BaseConfig):
        serialization_strategy = {
            str: {"deserialize": text},
            int: {"deserialize": whole},
            float: {"deserialize": amount},
            bool: {"deserialize": flag},
        }

    @classmethod
    def __pre_deserialize__(cls, d: dict[Any, Any]) -> dict[Any, Any]:
        if not isinstance(d, dict):
            raise ValueError("an object")
        return {key: value for key, value in d.items() if value is not None}


def wire(alias: str, read: Callable[[Any], Any] | None = None) -> dict[str, Any]:
    """Metadata of a field that is called `alias` on the wire and is read by `read`."""
    return field_options(alias=alias) if read is None else field_options(alias=alias, deserialize=read)


# --- problems


def format_value(value: Any) -> str:
    """A value for a problem, cut to SHOWN characters. Of an object or list only that: keys may be in it."""
    if isinstance(value, dict | list):
        return "(an object)" if isinstance(value, dict) else "(a list)"
    try:
        out = json.dumps(value)
    except (TypeError, ValueError):
        out = type(value).__name__
    return out if len(out) <= SHOWN else out[: SHOWN - 3] + "..."


def format_problem(where: str, value: Any, remedy: str) -> str:
    """'field: value: what would do'."""
    return f"{where}: {format_value(value)}: {remedy}"


def _camel(name: str) -> str:
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


def explain(error: BaseException, where: str, value: Any) -> str:
    """The problem behind an error of `from_dict(value)`; the innermost field's is the one that helps."""
    names, remedy, hidden, missing = [where] if where else [], "a value that can be read", False, False
    node: BaseException | None = error
    while node is not None:
        if isinstance(node, InvalidFieldValue):
            names.append(_camel(node.field_name))
            value, hidden = node.field_value, hidden or node.field_name in SECRET_FIELDS
        elif isinstance(node, MissingField):
            names.append(_camel(node.field_name))
            remedy, missing = "must be given", True
        elif isinstance(node, ValueError):
            remedy = str(node)
        node = node.__context__
    name = ".".join(names)
    if missing or hidden:
        return f"{name}: ({'missing' if missing else 'not shown'}): {remedy}"
    return format_problem(name, value, remedy)


ItemT = TypeVar("ItemT", bound=Item)


def read(kind: type[ItemT], value: Any, where: str, problems: list[str]) -> ItemT | None:
    """`value` as `kind`, or None and one more problem."""
    try:
        return kind.from_dict(value)
    except (ValueError, LookupError) as error:
        problems.append(explain(error, where, value))
        return None


def read_version(document: Mapping[str, Any], problems: list[str]) -> int:
    """The version that a document or a change gives itself; 0 and one more problem where it gives none."""
    version = document.get("version")
    if isinstance(version, bool) or not isinstance(version, int):
        problems.append(format_problem("version", version, "a whole number"))
        return 0
    return version
