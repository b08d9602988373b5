"""The command line: parses arguments, calls the library and prints results.

It contains no decision logic, and commands import what they need when they run."""

from larklb.cli import fleet as fleet
from larklb.cli import instances as instances
from larklb.cli import lab as lab
from larklb.cli import plans as plans
from larklb.cli import reserve as reserve
from larklb.cli import system_entry as system_entry
from larklb.cli import usage as usage
from larklb.cli import zones as zones
from larklb.cli.common import app as app
