"""Starts eldercart from a checkout: sets the import paths and runs the command line."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.pycache_prefix = str(ROOT / "target" / "pycache")
sys.dont_write_bytecode = True  # may write only to /tmp; the build step compiles
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]

if __name__ == "__main__":
    from eldercart.cli import main

    sys.exit(main())
