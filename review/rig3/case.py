"""Runs a case: plays it, writes `record.txt` into its folder, and ends all that was started.

Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. With TROUBLE=0 in the
environment, the disruption is left out.
"""

import asyncio
import os
import shutil
import signal
import sys
import traceback
from pathlib import Path

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 112.0


class CouldNotRunError(Exception):
    """The case did not get to the point at which it checks the rule."""


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def need(condition, text):
    if not condition:
        raise CouldNotRunError(text)


def write_record(folder: Path, world, status: int, lines) -> None:
    with (folder / "record.txt").open("w") as file:
        print(f"trouble={has_trouble()} status={status}", file=file)
        for line in lines:
            print(line, file=file)
        for rule, text in world.broken:
            print(f"BROKEN {rule}: {text}", file=file)
        print("\ntime since the start, what was sent, answered or run:", file=file)
        for event in world.events:
            print(*event, file=file)
        print("\nchanges sent to the state service: time, node, status, keys", file=file)
        for at, caller, request, code in world.state.history:
            keys = [w.get("put") or "-" + w["delete"] for w in request.get("writes") or []]
            print(round(at - world.started_at, 3), caller, code, *keys, file=file)
        print("\nrequests sent to the cloud: time, node, path, body, status", file=file)
        for at, caller, path, body, code in world.cloud.requests:
            print(round(at - world.started_at, 3), caller, path, body, code, file=file)


async def run(folder, make_world, play):
    world = make_world()
    loop = asyncio.get_running_loop()
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)  # the nodes are ended then, too
    lines = []
    status = COULD_NOT_RUN
    try:
        await world.start()
        status = await asyncio.wait_for(play(world, lines.append), LIMIT_S)
    except (CouldNotRunError, TimeoutError, asyncio.CancelledError) as error:
        lines.append(f"could not run: {error!r}")
    except Exception:
        lines.append(traceback.format_exc())
    finally:
        world.close()
        write_record(folder, world, status, lines)
        for node in world.nodes:
            log = world.folder / f"{node.label}.log"
            if log.exists() and os.environ.get("KEEP_LOGS"):
                shutil.copy(log, folder / log.name)
        shutil.rmtree(world.folder, ignore_errors=True)
    print(*lines, sep="\n")
    print("broken" if status == BROKEN else "held" if status == HELD else "could not run")
    return status


def main(file, make_world, play) -> None:
    try:
        status = asyncio.run(run(Path(file).resolve().parent, make_world, play))
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    sys.stdout.flush()
    os._exit(status)  # connections that are still open need no orderly end
