"""A task that runs longer than the others of its array is stopped again and again."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from case import BROKEN, HELD, has_trouble, main, need
from region import World, now, submission
from users import Users

JOB, OTHER = "wk-000398", "wk-000397"
ESTIMATE_S = 12.0
SHORT_S = 6.0  # wrong by half
LONG_S = 30.0  # wrong by more
LIMIT_S = 100.0  # to be done; the task alone needs 30 s
STOPS = 3  # commands that stopped the task before it could complete


def run_s(key):
    if key.startswith(OTHER):
        return 600.0
    if key == f"{JOB}/5":
        return LONG_S if has_trouble() else ESTIMATE_S
    return SHORT_S


def make_world():
    world = World(capacity=4)
    world.run_s = run_s
    for zone in world.zones:
        world.cloud.create("scanbox16", zone, spot=False, boot_s=0.3)
    return world


async def play(world, say):
    users = Users(world)
    need(await world.until(lambda: world.leader() is not None, 20), "no leader")
    # Other work of the same priority keeps the machines rented; it leaves 6 CPUs free on each.
    other = submission(OTHER, parcels=3, cpus=10.0, haulS=600.0, loaners=False)
    need(await users.submit_until_accepted(other) in (200, 201), "not accepted")
    need(await world.until(lambda: f"{OTHER}/2" in world.on, 20), "other work did not start")
    job = submission(JOB, parcels=6, cpus=4.0, haulS=ESTIMATE_S, loaners=False)
    need(await users.submit_until_accepted(job) in (200, 201), "not accepted")
    accepted_at = now()
    standing = None
    while now() - accepted_at < LIMIT_S and standing != "done":
        standing = await users.poll(JOB)
        await asyncio.sleep(1.0)
    stops = [e for e in world.events if e[1] == "exit" and e[2] == f"{JOB}/5" and e[5] == "stopped"]
    say(f"{now() - accepted_at:.0f} s after its acceptance the job is called {standing!r}")
    say(f"commands stopped {JOB}/5 {len(stops)} times; it needs {run_s(f'{JOB}/5'):.0f} s:")
    for stop in stops:
        start = [e for e in world.events if e[1] == "start" and e[2:5] == stop[2:5]][-1]
        say(f"  try {stop[3]} on {stop[4]}: started at {start[0]}, stopped after {stop[0] - start[0]:.1f} s")
    if standing == "done":
        return HELD
    need(len(stops) >= STOPS, "the job is not done, for another reason")
    world.breach("accepted job must run", f"{JOB} is not done, its last task never completes")
    return BROKEN


if __name__ == "__main__":
    os.chdir(Path(__file__).resolve().parents[2])
    main(__file__, make_world, play)
