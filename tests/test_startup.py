"""The start of a node whose ports can't be opened."""

import json
import socket
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest
from twisted.internet.error import CannotListenError
from twisted.internet.task import Clock

from eldercart.cli.serve import START_FAILED
from eldercart.server import startup
from eldercart.server.startup import LISTEN_RETRY_S, LISTEN_TIMEOUT_S, PortOpener
from loopback_region import ROOT, call, free_ports, wait_until
from world import PLATFORM


class Ports:
    """Two ports, of which some are taken; records what was opened and reported."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        self.taken: set[str] = set()
        self.events: list[str] = []
        monkeypatch.setattr(startup, "reactor", self.clock)
        self.opener = PortOpener(
            [self._listen("front"), self._listen("mesh")],
            lambda: self.events.append("open"),
            lambda: self.events.append("failed"),
        )

    def _listen(self, name: str) -> Callable[[], None]:
        def listen() -> None:
            if name in self.taken:
                raise CannotListenError("127.0.0.1", 8080, OSError("in use"))
            self.events.append(name)

        return listen

    def advance(self, seconds: float) -> None:
        self.clock.pump([LISTEN_RETRY_S / 2] * int(2 * seconds / LISTEN_RETRY_S))


@pytest.mark.parametrize("taken", ["front", "mesh"])
def test_start_waits_for_a_port_that_becomes_free(
    taken: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a node that, started while its predecessor still ends, never listens."""
    ports = Ports(monkeypatch)
    ports.taken = {taken}
    ports.opener.open()
    ports.advance(LISTEN_TIMEOUT_S - 1.0)
    assert "open" not in ports.events and "failed" not in ports.events
    ports.taken.clear()
    ports.advance(1.0)
    assert ports.events == ["front", "mesh", "open"], "each port is opened once"


def test_start_fails_if_a_port_stays_taken(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a node that neither listens nor ends, so that nothing restarts it."""
    ports = Ports(monkeypatch)
    ports.taken = {"mesh"}
    ports.opener.open()
    ports.advance(3 * LISTEN_TIMEOUT_S)
    assert ports.events == ["front", "failed"]


@pytest.fixture
def taken_port() -> Iterator[socket.socket]:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        yield taken


def start_node(folder: Path, front: int, mesh: int) -> subprocess.Popen[str]:
    settings: dict[str, Any] = PLATFORM | {
        "front": f"127.0.0.1:{front}",
        "mesh_addr": f"127.0.0.1:{mesh}",
    }
    file = folder / "node.json"
    file.write_text(json.dumps(settings))
    command = [sys.executable, str(ROOT / "run.py"), "serve", "--config", str(file)]
    return subprocess.Popen(command, stderr=subprocess.PIPE, text=True)


@pytest.mark.parametrize("name", ["front", "mesh"])
def test_process_ends_if_its_port_stays_taken(
    name: str, taken_port: socket.socket, tmp_path: Path
) -> None:
    (free,) = free_ports(1)
    taken = taken_port.getsockname()[1]
    front, mesh = (taken, free) if name == "front" else (free, taken)
    node = start_node(tmp_path, front, mesh)
    _, log = node.communicate(timeout=LISTEN_TIMEOUT_S + 30.0)
    assert node.returncode == START_FAILED
    assert f"start failed reason=port_unavailable address=127.0.0.1:{taken}" in log
    assert "Traceback" not in log


def test_process_listens_once_its_port_is_free(taken_port: socket.socket, tmp_path: Path) -> None:
    (free,) = free_ports(1)
    front = taken_port.getsockname()[1]
    node = start_node(tmp_path, front, free)
    try:
        assert node.stderr is not None
        assert any("port unavailable" in line for line in iter(node.stderr.readline, ""))
        taken_port.close()
        wait_until(lambda: call(f"127.0.0.1:{front}", "GET", "/status")[0] == 200)
    finally:
        node.kill()
        node.communicate()
