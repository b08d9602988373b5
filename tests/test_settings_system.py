"""The settings file of a limiter: the values that are read, the defaults, and the errors of an invalid
file."""

from __future__ import annotations

from pathlib import Path

import pytest

from larklb.gateway.errors import GatewayError, SettingsError
from larklb.gateway.settings import read

SETTINGS = """
[self]
node = "n1"
ip = "127.0.0.5"
zone = "near"
dataDir = "/var/data"
bootstrap = true
limits = { memoryMb = 200, descriptors = 3000, cpuShare = 0.5, cores = 2 }

[network]
portRange = [7000, 7009]
seeds = ["127.0.0.6:8080", "127.0.0.7:8080"]
zones = { near = "here", far = "there" }

[network.bindings]
edge = "127.0.0.5:8000"
control = "127.0.0.5:8080"

[substrate]
reportPeriodMs = 1000

[terms.tolerance]
machines = 2

[terms.bounds]
drainMs = 1500
graceS = 4
retryWindowS = 5
"""


def _file(tmp_path: Path, text: str) -> str:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return str(path)


def test_values_and_defaults(tmp_path: Path) -> None:
    result = read(_file(tmp_path, SETTINGS))
    assert (result.node, result.ip, result.zone, result.region) == ("n1", "127.0.0.5", "near", "here")
    assert (result.bootstrap, result.data_dir, result.cores, result.descriptors) == (
        True, "/var/data", 1.0, 3000)
    assert (result.edge, result.readiness, result.port) == (("127.0.0.5", 8000), None, 7000)
    assert result.seeds == (("127.0.0.6", 8080), ("127.0.0.7", 8080))
    assert (result.heartbeat_period_ms, result.tolerance, result.bounds.drain_ms) == (1000.0, 2, 1500.0)
    assert (result.bounds.grace_ms, result.bounds.retry_window_ms) == (4000.0, 5000.0)  # given in seconds
    assert (result.bounds.contact_ms, result.bounds.retry_slack) == (3000.0, 64.0)  # defaults


@pytest.mark.parametrize(("old", "new", "field"), [
    ('node = "n1"', "", "self.node"),
    ('node = "n1"', "node = 7", "self.node"),
    ("bootstrap = true", "bootstrap = 1", "self.bootstrap"),
    ("memoryMb = 200", "memoryMb = true", "self.limits.memoryMb"),
    ("descriptors = 3000", "descriptors = -1", "self.limits.descriptors"),
    ("reportPeriodMs = 1000", 'reportPeriodMs = "fast"', "substrate.reportPeriodMs"),
    ("graceS = 4", "graceS = nan", "terms.bounds.graceS"),
    ("[7000, 7009]", "[7009, 7000]", "network.portRange"),
    ("[7000, 7009]", "[7000, 70000]", "network.portRange"),
    ("[7000, 7009]", "[7000]", "network.portRange"),
    ('"127.0.0.6:8080"', '"127.0.0.6"', "network.seeds"),
    ('edge = "127.0.0.5:8000"', 'edge = "127.0.0.5:0"', "network.bindings.edge"),
    ('control = "127.0.0.5:8080"', "control = 8080", "network.bindings.control"),
    ("[network.bindings]", "[network.bound]", "network.bindings"),
    ("[self]", "[me]", "self"),
    ("[self]", "[self", "no TOML"),
])
def test_errors_name_the_file_and_the_field(tmp_path: Path, old: str, new: str, field: str) -> None:
    assert old in SETTINGS
    path = _file(tmp_path, SETTINGS.replace(old, new))
    with pytest.raises(SettingsError) as error:
        read(path)
    assert path in str(error.value) and field in str(error.value)


def test_file_that_cannot_be_read(tmp_path: Path) -> None:
    with pytest.raises(GatewayError, match="none.toml"):
        read(str(tmp_path / "none.toml"))
    path = tmp_path / "raw.toml"
    path.write_bytes(b"\xff\xfe")
    with pytest.raises(SettingsError, match="no TOML"):
        read(str(path))
