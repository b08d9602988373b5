"""Commands on a core machine's disk: check its files, dump them, restore an earlier generation of the log."""

from __future__ import annotations

import contextlib
import fcntl
import os
from collections.abc import Iterator
from pathlib import Path

from larklb.cli.system_calls import (
    EXIT_FAILED,
    EXIT_OK,
    Document,
    Row,
    UnusableError,
    print_error,
    print_json,
    print_table,
)
from larklb.consensus.errors import ConsensusError
from larklb.consensus.founding import HardState
from larklb.consensus.interface import Call
from larklb.consensus.log import Log, decode
from larklb.consensus.replica import Replica
from larklb.gateway.core import DEPARTURES
from larklb.registry.departures import Departures
from larklb.storage.errors import StorageError
from larklb.storage.store import IDENTITY_KEY, Store

LOG, BALLOT = "log", "ballot"
RUNNING = "a limiter runs on it: stop that process first"


def check(folder: Path, *, json: bool = False) -> int:
    """Check a core machine's folder: intact generations, and the state a limiter would start with; read-only.

    0: usable; 1: usable, but a file is torn or the folder is empty; 2: a limiter could not start with it.

    :param folder: The core machine's dataDir.
    :param json: Print one JSON line for programs.
    """
    with _probe_running(folder) as running:
        rows, state = _generation_rows(folder), _folder_state(folder)
    torn = [f"{row['key']}-{row['number']}" for row in rows if not row["whole"]]
    if json:
        print_json({"folder": str(folder), "running": running, "torn": torn, **state})
    elif state["dropped"]:
        print(f"{folder}: a limiter would start without the log{_running_note(running)}")
    elif state["blank"]:
        print(f"{folder}: blank: a limiter would join with it as a newcomer{_running_note(running)}")
    else:
        print(f"{folder}: usable, disk {state['disk']}, version {state['version']}, "
              f"{state['acknowledged']} known as acknowledged, term {state['term']}, "
              f"{'of a group' if state['founded'] else 'of no group yet'}, voters "
              f"{','.join(sorted(state['voters'].values()))}{_running_note(running)}")
    for name in torn:
        print_error(f"{folder}: {name} is torn and passed over; while a limiter runs it may be just being "
                    "written" if running else
                    f"{folder}: {name} is torn and passed over: its save never ended")
    if state["dropped"] or state["blank"] and torn and state["disk"]:
        print_error(f"{folder}: no log is left that goes with votes, but the disk's id is, which others may "
                    "count as a voter's: empty the folder, the id with it")
    return EXIT_FAILED if torn or state["blank"] or state["dropped"] else EXIT_OK


def dump(folder: Path, *, generation: int = 0, json: bool = False) -> int:
    """Show the files on a core machine's disk; read-only.

    0: printed; 1: the folder is empty, or the generation holds no configuration; 2: it can't be read.

    :param folder: The core machine's dataDir.
    :param generation: Print the configuration in this generation of the log as one JSON line, as it was sent,
        including tenants' keys; replace accepts it.
    :param json: Print a JSON line for each generation.
    """
    with _probe_running(folder):
        if generation:
            log = _load_log(folder, generation)
            document = _newest_document(log)
            if document is None:
                print_error(f"{folder}: log-{generation}: holds no configuration")
                return EXIT_FAILED
            print_json(document)
            if document is not log.state.document:
                print_error(f"version {document['version']} was not yet known here to be acknowledged")
            return EXIT_OK
        rows = _generation_rows(folder)
    if json:
        for row in rows:
            print_json(row)
    else:
        print_table(rows, ("key", "number", "bytes", "whole", "used", "what"))
    return EXIT_OK if rows else EXIT_FAILED


def restore(folder: Path, generation: int, *, yes: bool = False, json: bool = False) -> int:
    """Restore an earlier intact generation of the log; the limiter must not be running.

    The log is written again as the newest generation, so the current one remains on disk. The ballot (votes)
    is never rolled back: a disk that votes twice in a term could elect two leaders.

    0: done; 1: refused, or --yes is missing, nothing was changed; 2: the folder can't be used.

    :param folder: The core machine's dataDir.
    :param generation: Number of the generation of the log, as dump shows it.
    :param yes: Make the change. Otherwise only print what would be done.
    :param json: Print one JSON line for programs.
    """
    with _exclusive(folder):
        used = next((row for row in _generation_rows(folder) if row["key"] == LOG and row["used"]), None)
        if used is not None and used["number"] == generation:
            print_error(f"{folder}: log-{generation} is in force already")
            return EXIT_FAILED
        wanted, store = _load_log(folder, generation), Store(folder)
        try:
            before = store.load() or {}
            value = store.read_generation(LOG, generation)
            if value is None or not _has_votes(before):
                raise UnusableError(f"{folder}: no votes are left here: empty the folder, and the disk joins "
                                    "its group as a newcomer")
            if wanted.group_id != HardState.from_json(decode(before[BALLOT])).group_id:
                raise UnusableError(f"{folder}: log-{generation}: is of another group than the votes here")
            _load_replica(folder, {**before, LOG: value})
            old_version, new_version = _stored_version(before[LOG]), _version(_newest_document(wanted))
            outcome = {"folder": str(folder), "generation": generation, "from": old_version,
                       "to": new_version, "done": yes}
            if yes:
                store.save({LOG: value})
        except (StorageError, ConsensusError) as error:
            raise UnusableError(f"{folder}: {error}") from error
    if json:
        print_json(outcome)
    else:
        print(f"{folder}: log-{generation} {'is' if yes else 'would be'} in force: "
              f"{'what could not be read' if old_version is None else f'version {old_version}'} "
              f"{'gave' if yes else 'gives'} way to version {new_version}")
    if not yes:
        print_error("nothing was changed: what was acknowledged after that generation is lost, where no "
                    "majority of the other disks has it; --yes does it")
    return EXIT_OK if yes else EXIT_FAILED


def _running_note(running: bool) -> str:
    return ", while a limiter runs on it" if running else ""


@contextlib.contextmanager
def _lock_folder(folder: Path, operation: int) -> Iterator[bool]:
    """Try to lock a folder; yields whether that succeeded, that is, whether no limiter runs on it.

    With LOCK_EX no limiter can start on the folder while the context is active."""
    try:
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    except OSError as error:
        raise UnusableError(f"{folder}: {error.strerror}: must be a core machine's dataDir") from error
    try:
        try:
            fcntl.flock(descriptor, operation | fcntl.LOCK_NB)
        except BlockingIOError:
            yield False
        except OSError as error:
            raise UnusableError(f"{folder}: its file system can't tell whether a limiter runs on it: "
                                f"{error.strerror}") from error
        else:
            yield True
    finally:
        os.close(descriptor)


@contextlib.contextmanager
def _probe_running(folder: Path) -> Iterator[bool]:
    """Yield whether a limiter runs on a folder.

    The lock is released at once, since a read-only command must not prevent a limiter from starting."""
    with _lock_folder(folder, fcntl.LOCK_EX) as free:
        pass
    yield not free


@contextlib.contextmanager
def _exclusive(folder: Path) -> Iterator[None]:
    """Hold the folder's lock. Raises UnusableError while a limiter runs on it."""
    with _lock_folder(folder, fcntl.LOCK_EX) as free:
        if not free:
            raise UnusableError(f"{folder}: {RUNNING}")
        yield


def _generation_rows(folder: Path) -> list[Row]:
    """A row for each generation of each key; `used` marks the newest intact one of its key."""
    store, rows = Store(folder), []
    try:
        for generation in store.list_generations():
            value = (store.read_generation(generation.key, generation.number) if generation.intact
                     else None)
            rows.append({"key": generation.key, "number": generation.number,
                         "bytes": generation.size_bytes, "whole": generation.intact,
                         "used": False, "what": _describe(generation.key, value)})
    except StorageError as error:
        raise UnusableError(f"{folder}: {error}") from error
    newest = {row["key"]: row["number"] for row in rows if row["whole"]}       # ordered by number
    for row in rows:
        row["used"] = row["number"] == newest.get(row["key"])
    return rows


def _describe(key: str, value: bytes | None) -> str:
    """A one-line summary of a stored value."""
    if value is None:
        return "torn"
    try:
        if key == IDENTITY_KEY:
            return f"disk {value.decode()}"
        if key == DEPARTURES:
            return f"{len(Departures().load(value))} servers that drain or have left"
        if key == BALLOT:
            ballot = decode(value)
            return f"term {ballot.get('term')}, vote for {ballot.get('vote') or 'nobody'}"
        if key == LOG:
            log = Log.from_bytes(value)
            acknowledged = _version(log.state.document)
            return (f"version {_version(_newest_document(log))}, {acknowledged} known as acknowledged, "
                    f"entries to {log.last_index}, voters {','.join(sorted(log.voters.values()))}")
    except (ConsensusError, UnicodeDecodeError) as error:
        return f"can't be understood: {error}"
    return "unknown"


def _newest_document(log: Log) -> Document | None:
    """The newest configuration in a log.

    It may be committed without this log recording that yet: a leader appends an entry before it learns that
    the other disks have stored it."""
    documents = [entry.document for entry in log.entries if entry.document is not None]
    return documents[-1] if documents else log.state.document


def _stored_version(value: bytes) -> int | None:
    """The version in a stored log, or None if the log can't be decoded, which is one reason to restore."""
    try:
        return _version(_newest_document(Log.from_bytes(value)))
    except ConsensusError:
        return None


def _version(document: Document | None) -> int:
    return int(document["version"]) if document is not None else 0


def _load_log(folder: Path, number: int) -> Log:
    """Load a generation of the log. Raises UnusableError if it is missing, torn or undecodable."""
    try:
        value = Store(folder).read_generation(LOG, number)
        if value is not None:
            return Log.from_bytes(value)
    except (StorageError, ConsensusError) as error:
        raise UnusableError(f"{folder}: log-{number}: {error}") from error
    available = [str(row["number"]) for row in _generation_rows(folder)
                 if row["key"] == LOG and row["whole"]]
    raise UnusableError(f"{folder}: log-{number}: no whole generation: must be one of "
                        f"{', '.join(available) or 'none, as there is none'}")


def _has_votes(stored: dict[str, bytes]) -> bool:
    """Return whether a disk has accepted or voted anything; a blank one has an empty hard state."""
    return BALLOT in stored and bool(HardState.from_json(decode(stored[BALLOT])).group_id)


def _folder_state(folder: Path) -> Document:
    """The state that a limiter would start with. Raises UnusableError if it could not start."""
    store = Store(folder)
    try:
        stored = store.load()
        identity = next((row for row in _generation_rows(folder)
                         if row["key"] == IDENTITY_KEY and row["used"]), None)
    except StorageError as error:
        raise UnusableError(f"{folder}: {error}") from error
    replica = _load_replica(folder, stored or {})
    log = Log.from_bytes(stored[LOG]) if stored and LOG in stored else Log()
    # The replica discards a log without a ballot, or with the ballot of another group.
    dropped = replica.last_index < log.last_index
    return {"blank": not _has_votes(stored or {}),
            "disk": identity["what"].removeprefix("disk ") if identity else "", "dropped": dropped,
            "version": 0 if dropped else _version(_newest_document(log)),
            "acknowledged": replica.version, "term": replica.term, "founded": replica.founded,
            "voters": replica.voters}


def _load_replica(folder: Path, stored: dict[str, bytes]) -> Replica:
    """The replica that a limiter would start with. Raises UnusableError if it could not start."""

    def apply(document: Document | None, call: Call) -> Document:
        raise AssertionError("this replica takes no calls")

    try:
        return Replica("", "", stored or None, 0.0, 0, tolerance=1, apply=apply)
    except ConsensusError as error:
        raise UnusableError(f"{folder}: a limiter could not start with it: {error}") from error

