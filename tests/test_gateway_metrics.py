"""The metrics endpoint of a limiter: its port, its path and the samples of a scrape."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import Any

import pytest
from prometheus_client.parser import text_string_to_metric_families

from larklb.gateway import settings as settings_module
from larklb.gateway.main import Limiter
from larklb.gateway.options import Options, parse
from larklb.lab.system_network import Net, settings
from tests.standins import free_port

HOST = "127.1.9.1"


async def scrape(port: int, path: str) -> tuple[int, str]:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode())
    head, _, body = (await reader.read()).decode().partition("\r\n\r\n")
    writer.close()
    return int(head.split()[1]), body


def limiter_with(tmp_path: Path, port: int) -> Limiter:
    file = tmp_path / "s.toml"
    file.write_text(settings(Net("127.1.9", 18000), 0, tmp_path, True))
    limiter = Limiter(settings_module.read(str(file)), Options(metrics_port=port))
    assert limiter.settings.ip == HOST
    return limiter


def test_a_scrape_returns_the_counters_of_the_process(tmp_path: Path) -> None:
    async def scenario() -> None:
        port = free_port()
        limiter = limiter_with(tmp_path, port)
        limiter.count["ended.client_gone.waiting.safe.break_off"] += 3
        limiter.next_tick_at = limiter.wheel.now() - 200.0
        await limiter._start_metrics()
        limiter._tick()
        status, text = await scrape(port, "/metrics")
        samples: dict[str, Any] = {
            sample.labels.get("event", sample.name): sample.value
            for family in text_string_to_metric_families(text) for sample in family.samples}
        assert status == 200 and samples["ended.client_gone.waiting.safe.break_off"] == 3
        assert samples["turn.late.100ms"] == 1 and "turn.late.500ms" not in samples
        assert samples["larklb_configuration_version"] == 0
        assert (await scrape(port, "/"))[0] == 404
        await limiter.metrics.close()
    asyncio.run(scenario())


def test_a_limiter_starts_without_metrics_if_the_port_is_in_use(
        tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    async def scenario() -> None:
        with socket.socket() as occupied:
            occupied.bind((HOST, 0))
            occupied.listen()
            await limiter_with(tmp_path, occupied.getsockname()[1])._start_metrics()
    asyncio.run(scenario())
    assert "gateway: no metrics: " in caplog.text


def test_options(capsys: pytest.CaptureFixture[str]) -> None:
    assert parse([]) == Options() and parse(["--affinity", "none"]) == Options()
    assert parse(["--affinity", "caller", "--metrics-port", "9464"]) == Options(True, 9464)
    for invalid in (["--affinity", "some"], ["--metrics-port", "70000"], ["--metrics-port", "x"], ["more"]):
        with pytest.raises(SystemExit) as exit_info:
            parse(invalid)
        assert exit_info.value.code == 2
    assert "usage: python3 -m larklb.gateway" in capsys.readouterr().err
