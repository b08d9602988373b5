"""Tests of streamed bodies and answers (over 64 KiB), slow peers and the forms of HTTP/1.1, over sockets."""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from larklb import interface as io
from tests.conftest import Bed
from tests.standins import Cluster, ExecuteNode, ask, http, job, read_answer
from tests.test_daily import figures, with_console

MB = 1024 * 1024


def order(body: bytes, *, chunked: int = 0, name: str = "", more: str = "") -> bytes:
    """Returns a place-order request; ``chunked`` is the chunk size in bytes, 0 for a Content-Length."""
    head, _, _ = job(name, "place-order").partition("\r\n\r\n")
    if not chunked:
        return head.replace("Content-Length: 0", f"Content-Length: {len(body)}{more}").encode() \
            + b"\r\n\r\n" + body
    parts = [body[i:i + chunked] for i in range(0, len(body), chunked)]
    return (head.replace("Content-Length: 0", f"Transfer-Encoding: chunked{more}").encode() + b"\r\n\r\n"
            + b"".join(b"%x;name=value\r\n%s\r\n" % (len(p), p) for p in parts)
            + b"0\r\nX-Trailer: t\r\n\r\n")


class BulkNode(ExecuteNode):
    """Answers with the digest of the received body, or with what ``answer`` writes."""

    cut_after = 0              # body bytes after which the request is refused
    hold = 0.0                 # seconds before a body is read

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines[1:] if x)}
                self.attempts["begun"] += 1
                await asyncio.sleep(self.hold)
                digest, size = hashlib.sha256(), 0
                async for part in body_of(reader, headers):
                    digest.update(part)
                    size += len(part)
                    if self.cut_after and size > self.cut_after:
                        writer.write(http(503, b"", "X-Unprocessed: 1", "Connection: close"))
                        await writer.drain()
                        return
                self.attempts[headers["x-correlation-id"]] += 1
                await self.answer(writer, f"{size} {digest.hexdigest()}".encode())
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def answer(self, writer: asyncio.StreamWriter, digest_line: bytes) -> None:
        writer.write(http(200, digest_line))
        await writer.drain()


async def body_of(reader: asyncio.StreamReader, headers: dict[str, str]) -> AsyncIterator[bytes]:
    if "content-length" in headers:
        left = int(headers["content-length"])
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise asyncio.IncompleteReadError(b"", left)
            left -= len(part)
            yield part
    elif headers.get("transfer-encoding") == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            yield (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass


def bulk_cluster(tmp_path: Path, nodes: int = 1, kind: type[BulkNode] = BulkNode) -> Cluster:
    cluster = Cluster(tmp_path)
    cluster.nodes = [kind(f"s-{i}") for i in range(nodes)]
    return cluster


def digest_line(body: bytes) -> bytes:
    return f"{len(body)} {hashlib.sha256(body).hexdigest()}".encode()


BODY = bytes(range(256)) * 12288        # 3 MB


@pytest.mark.parametrize("chunked", [0, 1000, 200_000])
def test_a_long_body_reaches_its_node_unchanged(tmp_path: Path, chunked: int) -> None:
    async def go() -> None:
        cluster = bulk_cluster(tmp_path)
        async with cluster:
            port = cluster.limiters[0].port
            for body in (BODY, b"y" * 65536, b"z" * 65537, b"", b"short"):
                status, _, answer = await ask(port, order(body, chunked=chunked if body else 0))
                assert (status, answer) == (200, digest_line(body))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            text = order(BODY, chunked=chunked, more="\r\nExpect: 100-continue")
            head, end, body = text.partition(b"\r\n\r\n")
            writer.write(head + end)
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            writer.write(body)
            assert (await read_answer(reader))[2] == digest_line(BODY)
            writer.write(job().encode())                    # the connection stays usable
            assert (await read_answer(reader))[0] == 200
    asyncio.run(go())


def test_a_slow_body_is_accepted_and_one_below_the_minimum_rate_is_rejected(tmp_path: Path) -> None:
    """A body at 64 kB/s after 2 s for the head is accepted; one that stops in the middle gets 408."""
    async def go() -> None:
        cluster = bulk_cluster(tmp_path)
        async with cluster:
            port, body = cluster.limiters[0].port, BODY[:200_000]

            async def sent(text: bytes, upto: int) -> tuple[int, bytes, float]:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                began = time.monotonic()
                end = text.index(b"\r\n\r\n") + 4
                writer.write(text[:20])
                await asyncio.sleep(1.9)
                writer.write(text[20:end])
                for at in range(end, upto, 6400):
                    writer.write(text[at:min(upto, at + 6400)])
                    await asyncio.sleep(0.1)
                status, _, answer = await read_answer(reader)
                return status, answer, time.monotonic() - began

            text = order(body)
            complete, buffered, streamed = await asyncio.gather(
                sent(text, len(text)), sent(order(body), 60_000), sent(order(body), 90_000))
            assert complete[:2] == (200, digest_line(body))
            for stopped in (buffered, streamed):
                assert stopped[0] == 408 and stopped[2] < 9
            assert cluster.nodes[0].attempts["begun"] == 2, (
                "a body that still fits in the buffer is not forwarded before it is complete")
    asyncio.run(go())


def test_a_long_body_is_retried_only_while_it_is_buffered(tmp_path: Path) -> None:
    """An unreachable node is skipped; a node that refuses the body in the middle ends the job."""
    async def go() -> None:
        cluster = bulk_cluster(tmp_path, nodes=2)
        async with cluster:
            port = cluster.limiters[0].port
            first, second = cluster.nodes
            assert isinstance(first, BulkNode) and isinstance(second, BulkNode) and second.server is not None
            second.server.close()
            for _ in range(4):
                assert (await ask(port, order(BODY)))[2] == digest_line(BODY)
            first.cut_after = 1000_000
            begun = first.attempts["begun"]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(order(BODY))
            status, _, _ = await asyncio.wait_for(read_answer(reader), 5)
            assert status in (502, 503) and first.attempts["begun"] == begun + 1
            first.cut_after = 0
            writer.write(job().encode())
            assert (await asyncio.wait_for(read_answer(reader), 5))[0] == 200, (
                "the client's connection remains usable")
    asyncio.run(go())


@pytest.mark.parametrize("result", [io.Result.FULL, io.Result.CONNECT_FAILED, io.Result.ERROR])
def test_a_consumed_body_gets_no_further_attempt(result: io.Result) -> None:
    bed = Bed(servers=3)
    bed.ask(0, "r", "write", "free")
    bed.give(0, io.BodyConsumed("r"))
    bed.run(400)                   # no review moves the job either
    assert not bed.of(io.Cancel)
    bed.end(0, "r", result)
    assert len(bed.of(io.Send, "r")) == 1
    final = io.Fail if result is io.Result.ERROR else io.Refuse
    assert len(bed.of(final, "r")) == 1


def test_a_streamed_answer_frees_its_node_but_keeps_the_customers_slot() -> None:
    bed = Bed(servers=1)
    for n in range(2):
        bed.ask(0, f"a{n}", plan="open")
        bed.give(0, io.StreamStarted(f"a{n}", 0, "s0", 10.0))
    assert bed.gateways[0].servers["s0"].in_flight() == 0
    bed.ask(0, "b", plan="open")
    assert len(bed.of(io.Refuse, "b")) == 1, "two streamed answers still occupy the customer's slots"
    bed.end(0, "a0")
    bed.ask(0, "c", plan="open")
    assert len(bed.of(io.Send, "c")) == 1


def test_a_body_over_the_limit_is_answered_with_413(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = bulk_cluster(tmp_path)
        async with cluster:
            port = cluster.limiters[0].port
            text = order(b"").replace(b"Content-Length: 0", b"Content-Length: 60000000")
            assert (await ask(port, text))[0] == 413
            endless = order(b"", chunked=0).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(endless)
            answering = asyncio.ensure_future(read_answer(reader))
            for _ in range(40):
                if answering.done():
                    break
                writer.write(b"100000\r\n" + b"x" * MB + b"\r\n")
                await asyncio.wait((asyncio.ensure_future(writer.drain()), answering),
                                   return_when=asyncio.FIRST_COMPLETED)
            assert (await asyncio.wait_for(answering, 5))[0] == 413
            assert not any(len(name) == 16 for name in cluster.nodes[0].attempts), (
                "no node received a complete body")
    asyncio.run(go())


class LongAnswers(BulkNode):
    """Answers with 32 MB as fast as they are read, or in the form that ``how`` names."""

    how = "length"
    whole = bytes(65536) * 512

    async def answer(self, writer: asyncio.StreamWriter, digest_line: bytes) -> None:
        if self.how == "length":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.whole))
            for at in range(0, len(self.whole), 65536):
                writer.write(self.whole[at:at + 65536])
                await writer.drain()
        elif self.how in ("chunked", "broken off"):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            for _ in range(30):
                writer.write(b"1388;x=y\r\n" + b"c" * 5000 + b"\r\n")
                await writer.drain()
            if self.how == "broken off":
                writer.transport.abort()
            writer.write(b"0\r\nX-Sum: 1\r\n\r\n")
        elif self.how == "to the end":
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + b"e" * 200_000)
            await writer.drain()
            writer.close()
        elif self.how == "trickle":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + b"t" * 10)
            await asyncio.sleep(1.0)
            writer.write(b"t" * 99_990)
        elif self.how == "slowly":
            text = http(200, b"s" * 1000)
            for at in range(0, len(text), 100):
                writer.write(text[at:at + 100])
                await asyncio.sleep(0.2)


async def whole_answer(reader: asyncio.StreamReader) -> bytes:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    assert lines[0].split()[1] == "200"
    headers = {n.lower(): v.strip() for n, _, v in (x.partition(":") for x in lines[1:] if x)}
    return b"".join([part async for part in body_of(reader, headers)])


def test_long_answers_in_every_form_and_incomplete_ones_are_detected(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = bulk_cluster(tmp_path, kind=LongAnswers)
        console = with_console(cluster)
        async with cluster:
            node = cluster.nodes[0]
            assert isinstance(node, LongAnswers)
            reader, writer = await asyncio.open_connection("127.0.0.1", cluster.limiters[0].port)
            for how, answer in (("chunked", b"c" * 150_000), ("to the end", b"e" * 200_000),
                                ("slowly", b"s" * 1000), ("trickle", b"t" * 100_000)):
                node.how = how
                writer.write(job().encode())
                if how == "trickle":          # the first bytes arrive at once
                    await asyncio.wait_for(reader.readuntil(b"t" * 10), 0.8)
                    assert await asyncio.wait_for(reader.readexactly(99_990), 5) == b"t" * 99_990
                else:
                    assert await asyncio.wait_for(whole_answer(reader), 5) == answer, how
            node.how = "broken off"
            writer.write(job().encode())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await whole_answer(reader)
            statistics = (await figures(console))["responses"]["stock-check"]
            assert (statistics["ok"], statistics["errors"]) == (4, 1)
            node.how = "chunked"             # HTTP/1.0 has no chunks: the close ends the answer
            text = job().replace("HTTP/1.1", "HTTP/1.0").encode()
            reader, writer = await asyncio.open_connection("127.0.0.1", cluster.limiters[0].port)
            writer.write(text)
            head, _, body = (await asyncio.wait_for(reader.read(-1), 5)).partition(b"\r\n\r\n")
            assert body == b"c" * 150_000 and b"chunked" not in head.lower()
    asyncio.run(go())


def test_many_long_answers_to_slow_readers_stay_within_memory(tmp_path: Path) -> None:
    """24 answers of 32 MB are not read for a while; a limiter that buffered them would need 768 MB.

    It may use 46 MB, of which 5 are for streamed transfers, so that some of the 24 wait."""
    async def go() -> None:
        cluster = bulk_cluster(tmp_path, nodes=2, kind=LongAnswers)
        cluster.memory_mb = 46
        async with cluster:
            process = cluster.limiters[0].process
            assert process is not None

            def max_mb() -> float:
                text = Path(f"/proc/{process.pid}/status").read_text()
                return int(text.split("VmHWM:")[1].split()[0]) / 1024

            before = max_mb()

            async def slow() -> int:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", cluster.limiters[0].port, limit=4096)
                writer.write(job(left=4.0).encode())
                await reader.readuntil(b"\r\n\r\n")
                await asyncio.sleep(2.0)
                got = 0
                while got < 32 * MB:
                    part = await reader.read(MB)
                    assert part
                    got += len(part)
                writer.close()
                return got

            assert await asyncio.gather(*(slow() for _ in range(24))) == [32 * MB] * 24
            assert max_mb() - before < 10
    asyncio.run(go())


def test_concurrent_streams_are_bounded_by_memory_and_the_rest_wait(tmp_path: Path) -> None:
    """30 MB leave four streaming slots, held by unread answers; a small answer needs none."""
    async def go() -> None:
        cluster = bulk_cluster(tmp_path, nodes=2, kind=LongAnswers)
        cluster.memory_mb = 30
        async with cluster:
            port = cluster.limiters[0].port
            streams = [await asyncio.open_connection("127.0.0.1", port, limit=4096) for _ in range(6)]
            for _, writer in streams:
                writer.write(job(left=4.0).encode())
            await asyncio.sleep(1.0)
            begun = [reader for reader, _ in streams if reader._buffer]        # type: ignore[attr-defined]
            assert len(begun) == 4
            for node in cluster.nodes:
                assert isinstance(node, LongAnswers)
                node.how = "slowly"
            assert (await ask(port, job()))[2] == b"s" * 1000

            async def read(reader: asyncio.StreamReader) -> int:
                await reader.readuntil(b"\r\n\r\n")
                return len(await reader.readexactly(32 * MB))

            assert await asyncio.gather(*(read(reader) for reader, _ in streams)) == [32 * MB] * 6
    asyncio.run(go())


def test_pipelined_requests_are_answered_in_order_and_too_many_are_rejected(tmp_path: Path) -> None:
    async def go() -> None:
        async with Cluster(tmp_path) as cluster:
            port = cluster.limiters[0].port
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            names = [f"{n:016x}" for n in range(1, 6)]
            writer.write("".join(job(name) for name in names).encode())
            for name in names:
                assert (await read_answer(reader))[2] == b"done " + name.encode()
            writer.write("".join(job() for _ in range(100)).encode())
            assert (await read_answer(reader))[0] == 400
            assert cluster.attempts().total() == 5
            absolute = job("00000000000000ff").replace("GET /", "GET http://any:80/")
            assert (await ask(port, absolute))[0] == 200
    asyncio.run(go())


def test_a_client_that_disconnects_during_its_body_leaves_no_state(tmp_path: Path) -> None:
    async def go() -> None:
        cluster = bulk_cluster(tmp_path)
        cluster.memory_mb = 30                # four streaming slots, free again afterwards
        console = with_console(cluster)
        async with cluster:
            for _ in range(9):
                _, writer = await asyncio.open_connection("127.0.0.1", cluster.limiters[0].port)
                writer.write(order(BODY)[:500_000])
                await asyncio.sleep(0.1)
                writer.transport.abort()
            await asyncio.sleep(0.5)
            statistics = await figures(console)
            assert (statistics["active"], statistics["tries"]) == (0, 0)
            assert (await ask(cluster.limiters[0].port, order(BODY)))[0] == 200
    asyncio.run(go())

