"""The command line: parses, calls, prints; decides nothing, and imports late what a command needs."""

from larklb.cli import instances as instances
from larklb.cli.common import app as app
