"""The versions that nodes of this one may meet, and samples of what each writes, recorded by
running its own code from the repository's history. To record those that are missing:

    python3 tests/versions/record.py

What runs inside an earlier tree stands in `legacy`, in that tree's names.
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

# By short commit. Each was in production, or is.
VERSIONS = {
    "0782287": "0782287362839c261443f6977479afb61969b597",  # before jobs could await others
    "852ab75": "852ab7514638f2ead938f98211431f15de9d0047",  # jobs await others, finer parts
}


def production() -> str:
    """The commit that runs when this version comes."""
    return str(tomllib.loads((ROOT / "deploy" / "service.toml").read_text())["production"])


def unpack(commit: str, into: Path) -> bool:
    """The sources and tests of a version; False: no history is at hand."""
    command = ["git", "-C", str(ROOT), "archive", commit, "src", "tests"]
    try:
        found = subprocess.run(command, capture_output=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return False
    with tarfile.open(fileobj=BytesIO(found.stdout)) as archive:
        archive.extractall(into, filter="data")
    return True


def run_as(tree: Path, script: str, *arguments: str, given: bytes = b"") -> bytes:
    """A script of `legacy` with the sources of that tree. Hashes are fixed, as the order of what
    is written may hang on them."""
    path = os.pathsep.join(map(str, (tree / "src", tree / "tests", DEPENDENCIES)))
    done = subprocess.run(
        [sys.executable, "-B", str(LEGACY / script), *arguments],
        input=given,
        capture_output=True,
        env={**os.environ, "PYTHONPATH": path, "PYTHONHASHSEED": "0"},
    )
    assert done.returncode == 0, done.stderr.decode()
    return done.stdout


def samples_path(short: str) -> Path:
    return SAMPLES / f"{short}.json"


def record(commit: str) -> bytes:
    with tempfile.TemporaryDirectory() as folder:
        assert unpack(commit, Path(folder)), f"the history does not hold {commit}"
        return run_as(Path(folder), "old_recording.py", commit)


def record_missing() -> None:
    """What is recorded stays as it is."""
    for short, commit in VERSIONS.items():
        if not samples_path(short).exists():
            samples_path(short).write_bytes(record(commit))


if __name__ == "__main__":
    record_missing()
