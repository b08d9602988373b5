"""Property tests of the parsers with truncated, split and random input; the seeds are fixed.

They guard against a parser that accepts a partial message as complete or fails with an unexpected error.
"""

from __future__ import annotations

import asyncio
from typing import Any

import h11
import msgspec
import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from larklb import peerwire as pw
from larklb.fields import MalformedError, parse_account, parse_decimal, parse_quota_info
from larklb.net.http import Link, TooLongError, WatchedReader
from larklb.settings import ConfigError, MachineList, parse_address
from tests.conftest import settings as standard

REQUEST = b"POST /place-order HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nA: b\r\n\r\nhello"
RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
few = settings(max_examples=60, deadline=None, database=None)


class _Transport(asyncio.Transport):
    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def is_closing(self) -> bool:
        return True


async def read(parts: list[bytes], role: Any) -> Any:
    """Returns the message or error that a Link reads when each part arrives separately, followed by EOF."""
    loop = asyncio.get_running_loop()
    reader = WatchedReader()
    writer = asyncio.StreamWriter(_Transport(), asyncio.StreamReaderProtocol(reader, loop=loop), reader, loop)
    link = Link(reader, writer, role)
    if role is h11.CLIENT:
        link.http.send(h11.Request(method="GET", target="/", headers=[("Host", "x")]))
        link.http.send(h11.EndOfMessage())
    reading = asyncio.ensure_future(link.read())
    for part in parts:
        reader.feed_data(part)
        await asyncio.sleep(0)
        await asyncio.sleep(0)
    reader.feed_eof()
    try:
        return await reading
    except (h11.RemoteProtocolError, TooLongError) as error:
        return error


def cut(data: bytes, places: list[int]) -> list[bytes]:
    """Splits the data at the places, taken modulo its length."""
    offsets = sorted({place % len(data) for place in places} | {0, len(data)})
    return [data[start:end] for start, end in zip(offsets, offsets[1:], strict=False)]


@seed(1)
@few
@given(st.lists(st.integers(0, 999), max_size=8))
def test_messages_are_whole_however_they_are_cut(places: list[int]) -> None:
    _, body = asyncio.run(read(cut(REQUEST, places), h11.SERVER))
    assert body == b"hello"
    head, body = asyncio.run(read(cut(RESPONSE, places), h11.CLIENT))
    assert (head.status_code, body) == (200, b"hello")


@seed(2)
@few
@given(st.integers(1, len(RESPONSE) - 1), st.integers(1, len(REQUEST) - 1))
def test_a_message_that_ends_early_is_never_taken_for_whole(response: int, request: int) -> None:
    assert isinstance(asyncio.run(read([RESPONSE[:response]], h11.CLIENT)), h11.RemoteProtocolError)
    assert isinstance(asyncio.run(read([REQUEST[:request]], h11.SERVER)), h11.RemoteProtocolError)


@seed(3)
@few
@given(st.binary(min_size=1, max_size=200))
def test_garbage_is_no_message(data: bytes) -> None:
    for role in (h11.SERVER, h11.CLIENT):
        got = asyncio.run(read([data + b"\r\n\r\n"], role))
        assert got is None or isinstance(got, h11.RemoteProtocolError)


@seed(4)
@few
@given(st.integers(0, 400), st.binary(max_size=300))
def test_peer_messages_cut_or_random_unpack_to_whole_items_or_nothing(length: int, garbage: bytes) -> None:
    item = pw.Ask(7, 1 << 60, 2, 1.5, 4000.0)
    data = bytes([pw.VERSION]) + pw.pack_item(item) * 8
    assert pw.unpack(data[:length]) in ([], *([item] * n for n in range(1, 9)))
    for got in pw.unpack(bytes([pw.VERSION]) + garbage):
        assert isinstance(got, pw.Ask | pw.AskReply | pw.Release | pw.Loads | pw.HealthReport)


@seed(5)
@few
@given(st.text(max_size=40))
def test_random_fields_are_read_or_refused(text: str) -> None:
    for parse, bad in ((lambda t: parse_quota_info(t, standard()), MalformedError),
                       (parse_account, MalformedError), (parse_decimal, MalformedError),
                       (parse_address, ConfigError)):
        try:
            parse(text)
        except bad as error:
            assert str(error)


@seed(6)
@few
@given(st.integers(0, 200), st.binary(max_size=60))
def test_a_machine_list_is_whole_or_an_error(length: int, garbage: bytes) -> None:
    text = b'{"generation":4,"reset":true,"instances":[{"instanceId":"s","hostPort":"h:1","extra":[1]}]}'
    for data in (text[:min(length, len(text) - 1)], garbage):
        with pytest.raises(msgspec.DecodeError):
            msgspec.json.decode(data, type=MachineList)
    assert msgspec.json.decode(text, type=MachineList).instances[0].host_port == "h:1"
