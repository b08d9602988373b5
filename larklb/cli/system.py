"""Entry point of ``larklb system ...``, the operators' commands; also ``python -m larklb.cli.system``.

Exit statuses: 0 success; 1 something differs, was refused or did not answer; 2 a file or an argument can't be
used, nothing was changed.  The serving process does not import this module.
"""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import Any

import defopt  # type: ignore[import-untyped]

from larklb.cli import system_config, system_disk, system_live
from larklb.cli.system_calls import EXIT_FAILED, EXIT_UNUSABLE, NoAnswerError, UnusableError, print_error


def trial(*, seconds: float = 12.0, json: bool = False) -> int:
    """Demonstrate the gateway on loopback, without preparation: limiters, servers, configuration, faults.

    0: no request was lost, no unsafe one ran twice, and the newest configuration is everywhere; 1: otherwise.

    :param seconds: How long requests are sent; the whole run takes about 8 s longer.
    :param json: Print the figures as one JSON line at the end.
    """
    from larklb.lab import system
    if not seconds >= system.MIN_DURATION_S:
        raise UnusableError(f"--seconds: {seconds}: must be {system.MIN_DURATION_S:g} or more")
    return system.run(seconds, json)


COMMANDS: dict[str, Any] = {
    "check-settings": system_config.check_settings,
    "check-config": system_config.check_config,
    "diff-config": system_config.diff_config,
    "replace": system_config.replace,
    "amend": system_config.amend,
    "read": system_config.read,
    "members": system_live.members,
    "servers": system_live.servers,
    "versions": system_live.versions,
    "quota": system_live.quota,
    "core": system_live.core,
    "counts": system_live.counts,
    "metrics": system_live.metrics,
    "disk": {"check": system_disk.check, "dump": system_disk.dump, "restore": system_disk.restore},
    "try": trial,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run one command and return its exit status.

    Raises SystemExit if the arguments are invalid or help was requested."""
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        return int(defopt.run(COMMANDS, argv=arguments or ["--help"], short={}, no_negated_flags=True,
                              version=False, argparse_kwargs={"prog": "larklb system"}))
    except UnusableError as error:
        print_error(str(error))
        return EXIT_UNUSABLE
    except NoAnswerError as error:
        print_error(f"no clear answer: {error}")
        return EXIT_FAILED
    except BrokenPipeError:
        return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
