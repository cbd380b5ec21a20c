"""The build step writes the bytecode that a node needs at its start."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]

IMPORT_A_NODE = """
import sys
sys.argv = ["run.py"]
import run
from eldercart.cli import main, serve
for module in list(sys.modules.values()):
    cached = getattr(module, "__cached__", None)
    if cached and cached.startswith(sys.pycache_prefix):
        print(cached)
"""


def test_every_module_of_a_node_has_its_bytecode() -> None:
    """A module without bytecode is compiled at each start. Compiling the whole standard
    library took 0.6 s of processor time, which is several seconds on a small share of a core."""
    python = [sys.executable, "-S", "-E"]
    prefix = ["-X", f"pycache_prefix={ROOT / 'target' / 'pycache'}"]
    script = str(ROOT / "deploy" / "compile_bytecode.py")
    subprocess.run([*python, *prefix, script], check=True, cwd=ROOT)
    found = subprocess.run(
        [*python, "-c", IMPORT_A_NODE], check=True, cwd=ROOT, capture_output=True, text=True
    ).stdout.splitlines()
    names = [Path(path).name.partition(".")[0] for path in found]
    assert {"argparse", "defer", "controller_node"} <= set(names), (
        "a module of the standard library, of the libraries and of the sources is missing"
    )
    assert [path for path in found if not Path(path).exists()] == []
