"""Adapter between the simulator's line protocol and the decision module; it makes no decisions.

Each line of input is a JSON object with the time and a list of messages; the reply is a line with the
actions.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import Any, TextIO

from larklb import interface as io
from larklb.decide import Gateway
from larklb.settings_mapping import settings_from_wire


class WireError(Exception):
    """The input violates the simulator's protocol."""


_SERVER_STATES = {"up": io.ServerState.UP, "draining": io.ServerState.DRAINING,
                  "removed": io.ServerState.GONE}
_LIST_KINDS = {"incr": io.ListKind.CHANGES, "total": io.ListKind.FULL,
               "warm_copy": io.ListKind.CACHED, "lost": io.ListKind.LOST}


def _result(text: str) -> io.Result:
    return io.Result(text)


def _entry(row: list[Any]) -> io.Entry:
    weight = row[5] if row[5] is not None else 1.0
    return io.Entry(server=row[0], zone=row[1], cell=row[3], state=_SERVER_STATES[row[4]],
                    weight=weight, started=row[6] or None)


# Decoders of the events by the name in the message, whose first items are the name and the instance.
_EVENTS: dict[str, Callable[[list[Any]], io.Event]] = {
    "request": lambda m: io.Request(
        request=m[2], spread=int(m[3] or 1), first=int(m[4] or 0), plan=m[5],
        customer=m[7], due=m[8],
        units=m[9] if m[9] is not None else 1.0, service=m[10]),
    "timeout_fired": lambda m: io.Timer(m[2]),
    "ledger_reply": lambda m: io.CounterResult(
        m[2], io.Result.OK if m[3] == "ok" else _result(m[3]), m[4] or 0.0, m[5] or 0.0),
    "verdict": lambda m: io.Outcome(
        request=m[2], attempt=m[3], server=m[4], result=_result(m[5]), took=m[6] or 0.0,
        complete=bool(m[7]), actual_units=m[9] or None),
    "vanished": lambda m: io.ClientGone(m[2]),
    "probed": lambda m: io.ProbeResult(m[2], _result(m[3]), m[4] or 0.0),
    "note_from": lambda m: io.PeerMessage(m[2], bytes.fromhex(m[3])),
    "established": lambda m: io.StreamStarted(m[2], m[5], m[3], m[4] or 0.0),
}


def _encode_action(instance: int, action: io.Action) -> list[Any]:
    match action:
        case io.Send():
            return ["hand_off", instance, action.request, action.server, action.timeout]
        case io.Refuse():
            return ["push_back", instance, action.request, action.retry_after]
        case io.Fail():
            return ["drop_request", instance, action.request]
        case io.Cancel():
            return ["abandon", instance, action.request, action.attempt]
        case io.SendToPeer():
            return ["tell", instance, action.peer, action.data.hex()]
        case io.SetTimer():
            return ["timer", instance, action.after, action.timer_id]
        case io.Subscribe():
            return ["keep_informed", instance, action.on]
        case io.Log():
            return ["print", instance, action.text]
        case io.Grant() | io.RecordDraw():
            raise WireError("the simulator's protocol has no action for a grant or a draw")


class SimulatorLink:
    """Holds all simulated instances of the process, each with a Gateway of its own."""

    def __init__(self) -> None:
        self.gateways: dict[int, Gateway] = {}
        self.server_lists: dict[int, tuple[io.Entry, ...]] = {}

    def _handle_message(self, now: float, message: list[Any]) -> list[list[Any]]:
        name = message[0]
        if name == "sheet":
            self.server_lists[message[1]] = tuple(_entry(row) for row in message[2])
            return []
        instance = message[1]
        if name == "begin":
            self.gateways[instance] = Gateway(settings_from_wire(message[3]), message[2], now)
            return [_encode_action(instance, action) for action in self.gateways[instance].start(now)]
        if name == "crash_now":
            self.gateways.pop(instance, None)
            return []
        if name != "topology" and name not in _EVENTS:
            raise WireError(f"unknown event {name!r}")
        gateway = self.gateways.get(instance)
        if gateway is None:
            raise WireError(f"event {name!r} for instance {instance!r}, which was never begun")
        event: io.Event
        if name == "topology":
            kind = _LIST_KINDS[message[4]]
            entries = () if kind is io.ListKind.LOST else self.server_lists[message[3]]
            event = io.ServerList(kind, message[2] or 0, entries)
        else:
            event = _EVENTS[name](message)
        return [_encode_action(instance, action) for action in gateway.handle(now, event)]

    def handle_batch(self, line: str) -> str:
        """Returns the reply to one line of input.  Raises WireError if the line is malformed."""
        try:
            raw = json.loads(line)
        except ValueError as error:
            raise WireError(f"line is no JSON: {error}") from error
        if not isinstance(raw, dict) or not isinstance(raw.get("msgs"), list):
            raise WireError("batch without 'msgs'")
        now = raw.get("clock")
        if isinstance(now, bool) or not isinstance(now, (int, float)):
            raise WireError("batch without 'clock'")
        actions: list[list[Any]] = []
        for message in raw["msgs"]:
            if not isinstance(message, list) or not message:
                raise WireError(f"message is no array: {message!r}")
            try:
                actions.extend(self._handle_message(now, message))
            except (KeyError, IndexError, TypeError, ValueError, AttributeError) as error:
                raise WireError(f"event {message[0]!r}: {type(error).__name__}: {error}") from error
        return json.dumps({"out": actions}, separators=(",", ":"))


def main(source: TextIO = sys.stdin, sink: TextIO = sys.stdout) -> int:
    """Answers each line of input until its end and returns the exit code: 2 after a malformed line."""
    link = SimulatorLink()
    for line in source:
        if not line.strip():
            continue
        try:
            reply = link.handle_batch(line)
        except WireError as error:
            print(f"larklb: {error}", file=sys.stderr)
            return 2
        sink.write(reply + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(main())
