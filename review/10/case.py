"""After some interruptions of the network, the leader accepts no connection of another node."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from case import BROKEN, HELD, has_trouble, main, need
from region import HOST, Client, World, now, submission
from users import Users

JOB = "wk-000398"
CUTS, CUT_S, PAUSE_S = 9, 3.0, 1.0
SETTLE_S = 5.0  # after the last interruption
RETRY_S = 60.0  # how long a user repeats a request


def make_world():
    world = World(node_count=5, capacity=4)
    world.run_s = lambda key: 600.0
    for zone in world.zones:
        world.cloud.create("scanbox16", zone, spot=False, boot_s=0.3)
    return world


async def cancel_on_one_connection(world, users, job, node):
    """Cancel as a user does, who keeps the connection; return the answers."""
    client = Client(HOST, node.front)
    answers = []
    end = now() + RETRY_S
    while now() < end:
        sent_at = now()
        status, answer, headers = await client.request("POST", f"/work/{job}/cancel", {}, 5.0)
        answers.append(status)
        users.note(users.told[job], "cancel", node, sent_at, status, answer)
        if status == 200:
            break
        await asyncio.sleep(max(1.0, float(headers.get("retry-after") or 0)))
    client.close()
    return answers


async def play(world, say):
    users = Users(world)
    need(await world.until(lambda: world.leader() is not None, 20), "no leader")
    need(await users.submit_until_accepted(submission(JOB, haulS=600.0)) in (200, 201), "no job")
    need(await world.until(lambda: world.on.get(f"{JOB}/3"), 20), "the job does not run")
    leader = world.leader()
    links = [link for (_, target), link in world.links.items() if target == leader.label]
    for _ in range(CUTS):
        for link in links:
            link.set_mode("lost" if has_trouble() else "open")
        await asyncio.sleep(CUT_S)
        for link in links:
            link.set_mode("open")
        await asyncio.sleep(PAUSE_S)
    await asyncio.sleep(SETTLE_S)
    need(world.leader() is leader, "another node leads")
    say(
        f"{CUTS if has_trouble() else 0} interruptions of {CUT_S} s between the leader "
        f"{leader.label} and the other nodes are over"
    )
    follower = next(n for n in world.nodes if n is not leader)
    answers = await cancel_on_one_connection(world, users, JOB, follower)
    say(f"a user cancels {JOB} at {follower.label}, for up to {RETRY_S:.0f} s: answers {answers}")
    if answers[-1] == 200:
        return HELD
    live = sorted(k for k, places in world.on.items() if places and k.startswith(JOB))
    world.breach("cancel", f"no answer 200 for {RETRY_S:.0f} s; still running: {live}")
    return BROKEN


if __name__ == "__main__":
    os.chdir(Path(__file__).resolve().parents[2])
    main(__file__, make_world, play)
