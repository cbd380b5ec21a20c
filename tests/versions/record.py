"""The earlier versions that may run beside this one, and recorded samples of what each writes.

Samples are recorded by running the version's own code from the repository's history. This records
those that are missing:

    python3 tests/versions/record.py

Scripts that run with the sources of an earlier version are in `legacy` and use that version's
names.
"""

import os
import subprocess
import sys
import tarfile
import tempfile
import tomllib
from io import BytesIO
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
SAMPLES = Path(__file__).parent
LEGACY = SAMPLES / "legacy"

# By short commit. Each is or was in production.
VERSIONS = {
    "0782287": "0782287362839c261443f6977479afb61969b597",  # before jobs could depend on others
    "852ab75": "852ab7514638f2ead938f98211431f15de9d0047",  # with job dependencies and subchunks
}


def production() -> str:
    """Return the commit that runs in production when this version is deployed."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


def unpack(commit: str, into: Path) -> bool:
    """Extract the sources and tests of a version; return False if the history lacks it."""
    command = ["git", "-C", str(ROOT), "archive", commit, "src", "tests"]
    try:
        archived = subprocess.run(command, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return False
    with tarfile.open(fileobj=BytesIO(archived.stdout)) as archive:
        archive.extractall(into, filter="data")
    return True


def run_as(tree: Path, script: str, *arguments: str, given: bytes = b"") -> bytes:
    """Run a script of `legacy` with the sources in `tree` and return what it prints.

    The hash seed is fixed because the order of the output may depend on it.
    """
    path = os.pathsep.join(map(str, (tree / "src", tree / "tests", DEPENDENCIES)))
    process = subprocess.run(
        [sys.executable, "-B", str(LEGACY / script), *arguments],
        input=given,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": path, "PYTHONHASHSEED": "0"},
    )
    assert process.returncode == 0, process.stderr.decode()
    return process.stdout


def samples_path(short: str) -> Path:
    return SAMPLES / f"{short}.json"


def record(commit: str) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        assert unpack(commit, Path(folder)), f"the history does not hold {commit}"
        return run_as(Path(folder), "old_recording.py", commit)


def record_missing() -> None:
    """Record the versions without samples; existing samples are never overwritten."""
    for short, commit in VERSIONS.items():
        if not samples_path(short).exists():
            samples_path(short).write_bytes(record(commit))


if __name__ == "__main__":
    record_missing()
