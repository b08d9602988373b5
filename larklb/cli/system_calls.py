"""Calls of the system's commands: to limiters as callers make them, and to the printer."""

from __future__ import annotations

import http.client
import json
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from urllib.parse import quote, urlsplit

from attrs import define, field

from larklb.schema import calls
from larklb.schema.document import parse
from larklb.schema.errors import InvalidError, SchemaError
from larklb.schema.fields import format_value

EXIT_OK, EXIT_FAILED, EXIT_UNUSABLE = 0, 1, 2          # exit statuses, see `larklb.cli.system`

RESPONSE_TIMEOUT_S = 1.0             # without an answer, until another limiter is asked ...
MIN_UPLOAD_BYTES_PER_S = 1 << 20      # ... and a second more for so many bytes that are sent
READ_TIMEOUT_S = 5.0             # for an answer that has begun: a large configuration takes its time
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0       # after all have been asked, twice as long each time
CALL_TIMEOUT_S = 8.0           # for all of it: some more than the core needs to settle anew
MAX_REDIRECTS = 2
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))   # of these nothing is changed by another try
MAX_OTHER_4XX = 3            # of any other 4xx
MAX_ANSWER_BYTES = 64 << 20
MAX_PAGES = 400           # of a status call
MAX_PARALLEL_CALLS = 16               # limiters that are asked at the same time

Document = dict[str, Any]
Row = dict[str, Any]


class UnusableError(Exception):
    """A file or an argument can't be used: file, field, value, what would do. Nothing was changed."""


class NoAnswerError(Exception):
    """Nobody gave a clear answer; the text says who was asked and what came of it."""


def parse_addresses(text: str) -> list[str]:
    """The control addresses in `text`: host:port, several with commas, each once. UnusableError."""
    found: dict[str, None] = {}
    for part in text.split(","):
        try:
            found[calls.parse_address(part.strip())] = None
        except ValueError as error:
            raise UnusableError(f"ADDRESS: {format_value(part)}: must be {error}, "
                                "or several with commas") from error
    return list(found)


@define
class Answer:
    """A clear answer: what came, and from which control address."""

    status: int
    body: bytes
    address: str

    def document(self) -> Document:
        """The JSON object in it; SilentError where it is none, as whoever answers is no limiter."""
        try:
            return parse(self.body)
        except SchemaError as error:
            raise NoAnswerError(f"{self.address}: its answer is {error}") from error

    def problems(self) -> list[str]:
        """Why it was refused, a line each."""
        try:
            told = json.loads(self.body)
        except ValueError:
            told = None
        if isinstance(told, dict) and isinstance(told.get("problems"), list):
            return [str(line) for line in told["problems"]]
        text = str(told["text"]) if isinstance(told, dict) and "text" in told else self.body.decode(
            "utf-8", "replace")
        return [line for line in text[:4000].split("; ") if line] or [f"status {self.status}"]


@define
class Caller:
    """Calls limiters at `addresses`, in their order, as any caller of a control address does."""

    addresses: list[str]
    timeout_s: float = CALL_TIMEOUT_S
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], object] = time.sleep
    outcomes: dict[str, str] = field(factory=dict)         # by address, what came of the last try there

    def call(self, method: str, path: str, body: bytes = b"",
             headers: Mapping[str, str] | None = None) -> Answer:
        """The first clear answer: a 2xx, or a 4xx that no other try would change. SilentError."""
        until, pause, others = self.clock() + self.timeout_s, INITIAL_BACKOFF_S, 0
        while True:
            for address in self.addresses:
                answer = self._try_address(address, method, path, body, dict(headers or {}))
                if answer is None:
                    continue
                if answer.status < 300 or answer.status in FINAL_STATUSES:
                    return answer
                others += answer.status < 500 and answer.status not in (408, 429)
                self.outcomes[address] = f"status {answer.status}"
                if others >= MAX_OTHER_4XX:
                    return answer
            if self.clock() + pause >= until:
                raise NoAnswerError("; ".join(f"{address}: {self.outcomes.get(address, 'nothing')}"
                                              for address in self.addresses))
            self.sleep(pause)
            pause = min(MAX_BACKOFF_S, 2.0 * pause)

    def _try_address(self, address: str, method: str, path: str, body: bytes,
                     headers: dict[str, str]) -> Answer | None:
        at, target = address, path
        for _ in range(MAX_REDIRECTS + 1):
            try:
                status, told, where = _exchange(at, method, target, body, headers)
            except (OSError, http.client.HTTPException) as error:
                self.outcomes[address] = f"{'' if at == address else at + ': '}{_failure_reason(error)}"
                return None
            if status != 307:
                return Answer(status, told, at)
            place = urlsplit(where)
            if place.scheme != "http" or not place.netloc:
                self.outcomes[address] = f"sent on to {where[:80]!r}"
                return None
            at, target = place.netloc, place.path + (f"?{place.query}" if place.query else "")
        self.outcomes[address] = f"sent on more than {MAX_REDIRECTS} times"
        return None


def _failure_reason(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "silent"
    return str(getattr(error, "strerror", None) or error or type(error).__name__)


def _exchange(address: str, method: str, target: str, body: bytes,
              headers: dict[str, str]) -> tuple[int, bytes, str]:
    host, _, port = address.rpartition(":")
    link = http.client.HTTPConnection(host.strip("[]"), int(port),
                                      timeout=RESPONSE_TIMEOUT_S + len(body) / MIN_UPLOAD_BYTES_PER_S)
    try:
        if body:
            headers["Content-Type"] = "application/json"
        link.request(method, target, body or None, headers)
        answer = link.getresponse()
        if link.sock is not None:
            link.sock.settimeout(READ_TIMEOUT_S)
        told = answer.read(MAX_ANSWER_BYTES + 1)
        if len(told) > MAX_ANSWER_BYTES:
            raise http.client.HTTPException(f"its answer has more than {MAX_ANSWER_BYTES} bytes")
        return answer.status, told, answer.headers.get("Location", "")
    finally:
        link.close()


def fetch(caller: Caller, path: str, key: str = "", by: str = "", **query: str) -> Document:
    """A status call's document, with all rows of `key`, which are asked for page by page by their field `by`.

    SilentError."""
    whole: Document = {}
    for _ in range(MAX_PAGES):
        text = "&".join(f"{name}={quote(value, safe='')}" for name, value in query.items())
        answer = caller.call("GET", path + (f"?{text}" if text else ""))
        if answer.status >= 300:
            raise NoAnswerError(f"{answer.address}: {answer.problems()[0]}")
        document = answer.document()
        if not whole:
            whole, caller = document, Caller([answer.address], caller.timeout_s, caller.clock, caller.sleep)
        else:
            whole[key] += document.get(key, [])
        rows = document.get(key) if key else None
        if not rows or not document.get("more"):
            break
        query["after"] = str(rows[-1][by])
    return whole


@define
class Fleet:
    """The limiters that one of them knows, and what each says."""

    first: Document
    members: list[Row]
    answers: dict[str, Document]       # by node
    silent: dict[str, str]             # by node: why


def fetch_all(caller: Caller, path: str, chosen: Callable[[Row], bool] = lambda row: True, key: str = "",
              by: str = "", **query: str) -> Fleet:
    """A status call to each limiter that is up and `chosen`, as the first one that answers knows them."""
    first = fetch(caller, calls.MEMBERS, "members", "node")
    members = [row for row in first["members"] if chosen(row)]

    def one(row: Row) -> Document | str:
        try:
            return fetch(Caller([row["control"]], 2.0 * RESPONSE_TIMEOUT_S), path, key, by, **query)
        except NoAnswerError as error:
            return str(error)

    up = [row for row in members if row["state"] != "down" and row["control"]]
    with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        told = dict(zip((row["node"] for row in up), pool.map(one, up), strict=True))
    return Fleet(first, members, {n: d for n, d in told.items() if isinstance(d, dict)},
                 {n: d for n, d in told.items() if isinstance(d, str)})


# Files and output


def read_document(file: Path) -> Document:
    """The JSON object in a file; UnusableError."""
    try:
        return parse(file.read_bytes())
    except OSError as error:
        raise UnusableError(f"{file}: {error.strerror}: must be a file with one JSON object") from error
    except SchemaError as error:
        raise UnusableError(f"{file}: {error}: must be one JSON object") from error


def config_error(file: Path, error: InvalidError) -> UnusableError:
    """A configuration's problems, each with its file."""
    return UnusableError("\n".join(f"{file}: {line}" for line in error.problems))


def print_error(text: str) -> None:
    """Lines for people, each with the program's name, beside the output."""
    for line in text.splitlines():
        print(f"larklb: {line}", file=sys.stderr)


def print_json(document: object) -> None:
    """One JSON line."""
    print(json.dumps(document, ensure_ascii=False))


def print_table(rows: Sequence[Row], columns: Sequence[str]) -> None:
    """A table for people."""
    cells = [list(columns), *([_cell(row.get(c, "")) for c in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for texts in cells:
        print("  ".join(text.ljust(w) for text, w in zip(texts, widths, strict=True)).rstrip())


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "-"
    return "-" if value in ("", None) else str(value)
