"""Build step: imports every module of a node, so that the interpreter writes their bytecode.

Run it with `-X pycache_prefix=DIRECTORY`, where DIRECTORY is the one that `run.py` sets.

A node writes no files and reads bytecode only from that directory: the interpreter ignores the
standard library's own cache once `sys.pycache_prefix` is set. A module without bytecode is compiled
again at each start, which would take most of the processor time of the start.
"""

import sys
from importlib import import_module
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
MODULES = (
    "eldercart.cli",
    "eldercart.cli.serve",
    "eldercart.cli.client",
    "eldercart.cli.duties",
    "eldercart.server.singleton.lease_service",
    "eldercart.settings.features",
)

if __name__ == "__main__":
    sys.path[:0] = [str(ROOT / "src"), str(ROOT / "target" / "deps")]
    for module in MODULES:
        import_module(module)
