"""Imports every module of a node, so that the interpreter writes their bytecode, as a build step.

To be run with `-X pycache_prefix=` the folder that `run.py` sets.

A node writes no files, and looks for bytecode only there: the standard library's own cache is not
read once `sys.pycache_prefix` is set. A module without bytecode is compiled anew at each start,
which is most of the processor time that a start takes.
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
