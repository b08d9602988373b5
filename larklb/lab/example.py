"""Generates the example under ``deploy/``: three instances, their plans and the operator's file.

All addresses are loopback ports.  A test checks that the files under ``deploy/`` equal those of ``write``.
"""

from __future__ import annotations

import json
from pathlib import Path

from larklb.lab.cluster import ExecuteNode, configuration, free_port

# First port of the example.  Offsets: instances from 0 on (HTTP), 10 (messages between them) and 20 (gRPC);
# discovery 30; execute nodes from 31 on.
FIRST_PORT = 18100
INSTANCES, NODES = 3, 3
PLANS = [{"name": "taller", "quota_rate": 1.4, "depth": 7.0, "pays": 1.1},
         {"name": "astillero", "quota_rate": 11.0, "depth": 24.0, "pays": 1.4}]

CATALOGUE = """\
# Plan versions: each says what changes from an instant on; what it does not name stays as it was.  Numbers go
# up, and a version that was once applied never changes its content: a correction is a new version.
# Check with `larklb plans check FILE OPERATOR`, put into service with `larklb plans apply FILE OPERATOR`.

[[version]]
number = 1
from = 2026-01-01T00:00:00Z
note = "figures of the new year"
plans.taller = { rate = 1.4, burst = 7.0 }
plans.astillero = { rate = 11.0, burst = 24.0 }
"""

OPERATOR = """\
# An operator's file: what `larklb agent`, `larklb status` and `larklb serve --operator` read, and the
# commands `plans`, `reserve` and `usage`.  Paths are taken from where this file lies.  The platform reads
# deploy/balancer.toml alone, where none of this is on.  `larklb try` starts a copy of this very example.

# An owner's buckets are written behind to this Redis and reloaded at a restart.  Leave it out to do without.
# [store]
# url = "redis://127.0.0.1:6379/0"
# prefix = "manta-yard"

# The catalogue of plan versions; without it the plans are those of the settings.
[plans]
file = "plans.toml"

# What outlives an instance: each has a folder of its own in it, which must survive on a disk.
[state]
folder = "var"
sync_ms = 500.0            # a power cut may cost what was counted since so long ago; a kill costs nothing

# What may be set aside ahead: a share of what the fleet can do (units a second; 0: no bound) for all
# customers together, and for one of them so many times its plan's rate.
[reservations]
fleet_rate = 92.0
fleet_share = 0.3
customer_share = 1.0

# Use is told apart by periods, and sealed into batches every so many seconds; so much may wait for a receiver
# that stays away.
[ledger]
period_s = 3600
seal_s = 60.0
most_mb = 64.0

# Where sealed use goes: `url` of a billing receiver (CloudEvents 1.0 in JSON batches), or a `folder`.
[export]
folder = "billed"

# One table for each instance.  `config` is its JSON configuration; `grpc` is where it speaks Envoy's rate
# limit service, `admin` the socket by which commands reach it.
"""


def write(folder: Path, first_port: int = FIRST_PORT) -> Path:
    """Writes all files of the example with ports from ``first_port`` on; returns the operator's file."""
    folder.mkdir(parents=True, exist_ok=True)
    nodes = [node.entry() for node in execute_nodes(first_port)]
    peers = [first_port + 10 + number for number in range(INSTANCES)]
    text = OPERATOR
    for number in range(INSTANCES):
        config = configuration(
            number, first_port + number, first_port + 30, peers, nodes, PLANS, seed=number + 1)
        (folder / f"n{number}.json").write_text(json.dumps(config, indent=1) + "\n")
        text += (f'[[instance]]\nname = "n{number}"\nconfig = "n{number}.json"\n'
                 f'grpc = "127.0.0.1:{first_port + 20 + number}"\n'
                 f'admin = "var/n{number}.sock"\n\n')
    (folder / "plans.toml").write_text(CATALOGUE)
    operator = folder / "operator.toml"
    operator.write_text(text.rstrip() + "\n")
    return operator


def execute_nodes(first_port: int) -> list[ExecuteNode]:
    """Returns the execute nodes of the example, which are not started."""
    return [ExecuteNode(f"s-{number}", cell=number % 2, port=first_port + 31 + number)
            for number in range(NODES)]


def free_first_port() -> int:
    """Returns the first port of the example, or of another range if one of its ports is in use."""
    import socket
    first_port = FIRST_PORT
    while True:
        try:
            for port in range(first_port, first_port + 40):
                for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, socket_type) as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind(("127.0.0.1", port))
            return first_port
        except OSError:
            first_port = free_port()
