"""HTTP calls to limiters' control addresses, and the input and output helpers of the system commands."""

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

EXIT_OK, EXIT_FAILED, EXIT_UNUSABLE = 0, 1, 2    # described in `larklb.cli.system`

# The next address is tried when no response begins within this time. A request body extends it by a second
# for every MIN_UPLOAD_BYTES_PER_S bytes.
RESPONSE_TIMEOUT_S = 1.0
MIN_UPLOAD_BYTES_PER_S = 1 << 20
# Applies once the response has begun: a large configuration takes longer to read.
READ_TIMEOUT_S = 5.0
# Pause after all addresses were tried; doubled after each round.
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0
# Bounds the whole call, somewhat longer than the core needs to elect a leader and settle.
CALL_TIMEOUT_S = 8.0
MAX_REDIRECTS = 2
# A retry can't change the outcome of these.
FINAL_STATUSES = frozenset((400, 409, 412, 413, 422))
# Any other 4xx is returned after this many of them.
MAX_OTHER_4XX = 3
MAX_ANSWER_BYTES = 64 << 20
MAX_PAGES = 400
MAX_PARALLEL_CALLS = 16

Document = dict[str, Any]
Row = dict[str, Any]


class UnusableError(Exception):
    """A file or an argument can't be used; the message names the file, field, value and what is expected.

    Nothing was changed."""


class NoAnswerError(Exception):
    """No limiter gave a conclusive answer; the message lists each address and the outcome there."""


def parse_addresses(text: str) -> list[str]:
    """Parse comma-separated host:port control addresses, dropping duplicates.

    Raises UnusableError."""
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
    """A conclusive HTTP response and the control address that gave it."""

    status: int
    body: bytes
    address: str

    def document(self) -> Document:
        """The JSON object in the body.

        Raises NoAnswerError if the body is no JSON object: the responder is no limiter then."""
        try:
            return parse(self.body)
        except SchemaError as error:
            raise NoAnswerError(f"{self.address}: its answer is {error}") from error

    def problems(self) -> list[str]:
        """The reasons for a refusal, one line each."""
        try:
            document = json.loads(self.body)
        except ValueError:
            document = None
        if isinstance(document, dict) and isinstance(document.get("problems"), list):
            return [str(line) for line in document["problems"]]
        text = (str(document["text"]) if isinstance(document, dict) and "text" in document
                else self.body.decode("utf-8", "replace"))
        return [line for line in text[:4000].split("; ") if line] or [f"status {self.status}"]


@define
class Caller:
    """Calls the limiters at `addresses` in order, retrying with backoff until `timeout_s` has passed."""

    addresses: list[str]
    timeout_s: float = CALL_TIMEOUT_S
    clock: Callable[[], float] = time.monotonic
    sleep: Callable[[float], object] = time.sleep
    # Outcome of the last attempt, by address.
    outcomes: dict[str, str] = field(factory=dict)

    def call(self, method: str, path: str, body: bytes = b"",
             headers: Mapping[str, str] | None = None) -> Answer:
        """Return the first conclusive answer: a 2xx, or a 4xx that a retry would not change.

        Raises NoAnswerError if there is none within `timeout_s`."""
        deadline, pause, other_4xx = self.clock() + self.timeout_s, INITIAL_BACKOFF_S, 0
        while True:
            for address in self.addresses:
                answer = self._try_address(address, method, path, body, dict(headers or {}))
                if answer is None:
                    continue
                if answer.status < 300 or answer.status in FINAL_STATUSES:
                    return answer
                other_4xx += answer.status < 500 and answer.status not in (408, 429)
                self.outcomes[address] = f"status {answer.status}"
                if other_4xx >= MAX_OTHER_4XX:
                    return answer
            if self.clock() + pause >= deadline:
                raise NoAnswerError("; ".join(f"{address}: {self.outcomes.get(address, 'nothing')}"
                                              for address in self.addresses))
            self.sleep(pause)
            pause = min(MAX_BACKOFF_S, 2.0 * pause)

    def _try_address(self, address: str, method: str, path: str, body: bytes,
                     headers: dict[str, str]) -> Answer | None:
        """One attempt at an address, redirects included; None if it was inconclusive, see `outcomes`."""
        current, target = address, path
        for _ in range(MAX_REDIRECTS + 1):
            try:
                status, content, location = _exchange(current, method, target, body, headers)
            except (OSError, http.client.HTTPException) as error:
                self.outcomes[address] = (f"{'' if current == address else current + ': '}"
                                          f"{_failure_reason(error)}")
                return None
            if status != 307:
                return Answer(status, content, current)
            url = urlsplit(location)
            if url.scheme != "http" or not url.netloc:
                self.outcomes[address] = f"sent on to {location[:80]!r}"
                return None
            current, target = url.netloc, url.path + (f"?{url.query}" if url.query else "")
        self.outcomes[address] = f"sent on more than {MAX_REDIRECTS} times"
        return None


def _failure_reason(error: Exception) -> str:
    if isinstance(error, TimeoutError):
        return "silent"
    return str(getattr(error, "strerror", None) or error or type(error).__name__)


def _exchange(address: str, method: str, target: str, body: bytes,
              headers: dict[str, str]) -> tuple[int, bytes, str]:
    """One HTTP exchange: status, body and Location."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port),
                                            timeout=RESPONSE_TIMEOUT_S + len(body) / MIN_UPLOAD_BYTES_PER_S)
    try:
        if body:
            headers["Content-Type"] = "application/json"
        connection.request(method, target, body or None, headers)
        response = connection.getresponse()
        if connection.sock is not None:
            connection.sock.settimeout(READ_TIMEOUT_S)
        content = response.read(MAX_ANSWER_BYTES + 1)
        if len(content) > MAX_ANSWER_BYTES:
            raise http.client.HTTPException(f"its answer has more than {MAX_ANSWER_BYTES} bytes")
        return response.status, content, response.headers.get("Location", "")
    finally:
        connection.close()


def fetch(caller: Caller, path: str, key: str = "", by: str = "", **query: str) -> Document:
    """Return a status call's document, with the rows under `key` gathered from all pages.

    The field `by` of a page's last row is the cursor to the next page. All pages come from the limiter that
    answered the first. Raises NoAnswerError."""
    combined: Document = {}
    for _ in range(MAX_PAGES):
        text = "&".join(f"{name}={quote(value, safe='')}" for name, value in query.items())
        answer = caller.call("GET", path + (f"?{text}" if text else ""))
        if answer.status >= 300:
            raise NoAnswerError(f"{answer.address}: {answer.problems()[0]}")
        document = answer.document()
        if not combined:
            combined, caller = document, Caller([answer.address], caller.timeout_s, caller.clock,
                                                caller.sleep)
        else:
            combined[key] += document.get(key, [])
        rows = document.get(key) if key else None
        if not rows or not document.get("more"):
            break
        query["after"] = str(rows[-1][by])
    return combined


@define
class Fleet:
    """The member list of one limiter, and the answers of the listed limiters.

    `answers` holds the documents by node; `silent` holds by node why there is none."""

    first: Document
    members: list[Row]
    answers: dict[str, Document]
    silent: dict[str, str]


def fetch_all(caller: Caller, path: str, chosen: Callable[[Row], bool] = lambda row: True, key: str = "",
              by: str = "", **query: str) -> Fleet:
    """Make a status call to every limiter that is not down and passes `chosen`, in parallel.

    The member list is that of the first limiter that answers. Raises NoAnswerError if none does."""
    first = fetch(caller, calls.MEMBERS, "members", "node")
    members = [row for row in first["members"] if chosen(row)]

    def fetch_one(row: Row) -> Document | str:
        try:
            return fetch(Caller([row["control"]], 2.0 * RESPONSE_TIMEOUT_S), path, key, by, **query)
        except NoAnswerError as error:
            return str(error)

    reachable = [row for row in members if row["state"] != "down" and row["control"]]
    with ThreadPoolExecutor(MAX_PARALLEL_CALLS) as pool:
        results = dict(zip((row["node"] for row in reachable), pool.map(fetch_one, reachable), strict=True))
    return Fleet(first, members,
                 {node: result for node, result in results.items() if isinstance(result, dict)},
                 {node: result for node, result in results.items() if isinstance(result, str)})


# Files and output


def read_document(file: Path) -> Document:
    """Return the JSON object in a file. Raises UnusableError."""
    try:
        return parse(file.read_bytes())
    except OSError as error:
        raise UnusableError(f"{file}: {error.strerror}: must be a file with one JSON object") from error
    except SchemaError as error:
        raise UnusableError(f"{file}: {error}: must be one JSON object") from error


def config_error(file: Path, error: InvalidError) -> UnusableError:
    """Build an error that lists a configuration's problems, one line each, prefixed with the file."""
    return UnusableError("\n".join(f"{file}: {line}" for line in error.problems))


def print_error(text: str) -> None:
    """Print lines to standard error, each prefixed with the program's name."""
    for line in text.splitlines():
        print(f"larklb: {line}", file=sys.stderr)


def print_json(document: object) -> None:
    """Print a document as one line of JSON."""
    print(json.dumps(document, ensure_ascii=False))


def print_table(rows: Sequence[Row], columns: Sequence[str]) -> None:
    """Print rows as an aligned text table."""
    cells = [list(columns), *([_cell(row.get(column, "")) for column in columns] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    for texts in cells:
        print("  ".join(text.ljust(width) for text, width in zip(texts, widths, strict=True)).rstrip())


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "-"
    return "-" if value in ("", None) else str(value)
