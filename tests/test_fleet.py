"""An instance in a restricted process: child programs, fork, sendfile, splice and Unix sockets are refused.

The shim below refuses these calls from inside Python at the start of the process.  It prints each refusal to
stderr, so that a test can tell that the call was attempted and not merely skipped.
"""

from __future__ import annotations

import asyncio
import importlib.util
import os
import signal
import subprocess
import sys
import textwrap
import tomllib
from pathlib import Path

from tests.standins import ROOT, Cluster, ask, job
from tests.test_daily import with_console

SHIM = '''
import errno, os, socket, subprocess, sys

def _refused(what):
    def refuse(*args, **kwargs):
        print(f"shim: refused {what}", file=sys.stderr, flush=True)
        raise OSError(errno.ENOSYS, f"{what} refused")
    return refuse

class _Socket(socket.socket):
    def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
        if fileno is None and family == socket.AF_UNIX:
            _refused("a Unix socket")()
        super().__init__(family, type, proto, fileno)

socket.socket = _Socket
for name in ("fork", "forkpty", "posix_spawn", "posix_spawnp", "execv", "execve", "sendfile", "splice"):
    if hasattr(os, name):
        setattr(os, name, _refused(name))
subprocess.Popen._execute_child = _refused("a child program")
'''


def test_an_instance_serves_without_unix_sockets_and_fork(tmp_path: Path) -> None:
    """With a second address, an instance contacts its predecessor at a Unix socket.

    If that is refused, it logs one line, starts without the handover, and serves jobs as usual.
    """
    (tmp_path / "shim").mkdir()
    (tmp_path / "shim" / "sitecustomize.py").write_text(textwrap.dedent(SHIM))

    async def go() -> None:
        cluster = Cluster(tmp_path)
        cluster.environment.update(TMPDIR=str(tmp_path), PYTHONPATH=f"{tmp_path / 'shim'}:{ROOT}")
        with_console(cluster)
        async with cluster:
            limiter = cluster.limiters[0]
            status, _, body = await ask(limiter.port, job("a1", left=3.0))
            assert (status, body) == (200, b"done a1")
            process = limiter.process
            assert process is not None and process.stderr is not None
            process.send_signal(signal.SIGTERM)
            errors = (await asyncio.wait_for(process.stderr.read(), 20)).decode()
            assert await process.wait() == 0
        assert "shim: refused a Unix socket" in errors
        assert "no other process can take our place" in errors
        assert "Traceback" not in errors
    asyncio.run(go())


def test_a_start_sends_nothing_to_a_node_that_drains_since_the_configuration(tmp_path: Path) -> None:
    """At a restart the server list of the configuration may be some seconds old.

    The only node in it has begun to drain since, and discovery answers late; a job that arrives at once must
    not reach that node.
    """
    async def go() -> None:
        cluster = Cluster(tmp_path, nodes=1)
        cluster.discovery.publish(2, cluster.nodes[0].entry("draining"))
        cluster.discovery.response_delay_s = 0.4
        async with cluster:
            status, _, _ = await ask(cluster.limiters[0].port, job("first", left=3.0))
            assert cluster.nodes[0].attempts["first"] == 0
            assert status in (502, 503)
    asyncio.run(go())


def test_the_build_leaves_current_byte_code(tmp_path: Path) -> None:
    """The user of an instance cannot write byte code, so stale code would be recompiled at each start."""
    build = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["build"]
    (tmp_path / ".venv" / "bin").mkdir(parents=True)
    (tmp_path / ".venv" / "bin" / "python").symlink_to(sys.executable)
    for name in ("requirements.txt", ".venv/ready"):
        (tmp_path / name).write_text("the same\n")
    (tmp_path / "larklb").mkdir()
    source, compiled = tmp_path / "larklb" / "part.py", []
    for at, text in enumerate(("A = 1\n", "A = 23\n")):
        source.write_text(text)
        # Byte code is invalidated by the modification time in whole seconds.
        os.utime(source, (1e9 + at, 1e9 + at))
        subprocess.run(["sh", "-c", build], cwd=tmp_path, check=True, timeout=60)
        compiled.append(Path(importlib.util.cache_from_source(str(source))).read_bytes())
    assert compiled[0] != compiled[1]
