"""``python -m larklb``."""

from larklb.cli import app

if __name__ == "__main__":
    app(prog_name="larklb")
