"""Recorded samples, sources and importable code of earlier versions.

Sources come from the repository's history. Each is loaded once per process.
"""

import atexit
import shutil
import tempfile
import warnings
from functools import cache
from pathlib import Path
from typing import Any

import orjson
import pytest

from versions import record
from versions.legacy.old_nodes import OldVersion

NOT_RUN = "the code of {} was NOT run: no history is at hand"


@cache
def samples(short: str) -> dict[str, Any]:
    recorded: dict[str, Any] = orjson.loads(record.samples_path(short).read_bytes())
    return recorded


@cache
def _tree(short: str) -> Path | None:
    folder = Path(tempfile.mkdtemp(prefix=f"eldercart-{short}-"))
    atexit.register(shutil.rmtree, folder, ignore_errors=True)
    return folder if record.unpack(record.VERSIONS[short], folder) else None


def tree(short: str) -> Path:
    """Return the folder with the sources of the version.

    Without the repository's history the calling test is skipped with a warning.
    """
    folder = _tree(short)
    if folder is None:
        warnings.warn(NOT_RUN.format(short), stacklevel=2)
        pytest.skip(NOT_RUN.format(short))
    return folder


@cache
def _version(short: str) -> OldVersion:
    return OldVersion(short, tree(short))


def earlier(short: str) -> OldVersion:
    """Return the code of the version, imported into this process under another package name."""
    tree(short)
    return _version(short)
