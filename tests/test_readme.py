"""The documented examples work as printed: the README's code, the files under deploy/ and ``larklb try``."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

from larklb.lab import example
from tests.standins import ROOT


def test_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    exec(text.split("```python\n")[1].split("```")[0], {})
    printed = capsys.readouterr().out
    assert printed.count("Send(") == 2 and printed.count("Refuse(") == 1


def test_the_files_under_deploy_equal_the_generated_example(tmp_path: Path) -> None:
    example.write(tmp_path)
    written = {path.name: path.read_text() for path in tmp_path.iterdir()}
    deployed = {path.name: path.read_text() for path in (ROOT / "deploy").iterdir() if path.is_file()}
    # These two are read by the platform and are not part of the example.
    del deployed["balancer.toml"], deployed["system.toml"]
    assert deployed == written and len(written) == 5


def test_try_passes_all_its_checks_and_stops_everything() -> None:
    done = subprocess.run([sys.executable, "-m", "larklb", "try", "--once"], cwd=ROOT, capture_output=True,
                          text=True, timeout=120)
    assert done.returncode == 0, done.stdout + done.stderr
    assert "NOT as" not in done.stdout and done.stdout.count("as it should be") == 5
    assert done.stdout.endswith("Ended: instances, stand-ins and files.\n")
