"""After a hand-over, the leader believes that a pause is in force which its operator has ended."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from case import BROKEN, HELD, has_trouble, main, need
from region import World, now, submission
from users import Users

JOB = "wk-000398"
PAUSED_S = 3.0
HAND_OVER_S = 15.0  # hand_over_s (10 s) and some
WAIT_S = 60.0  # a machine boots in 1.5 s at most


def make_world():
    world = World(capacity=4)
    follow = world.state.follow

    async def follow_newest_first(caller, query):
        """Answer the changes in the order of the example in PROTOCOL."""
        status, answer = await follow(caller, query)
        answer["log"].reverse()
        if len(answer["log"]) > 1:
            world.note("changes in one answer", caller, answer["log"])
        return status, answer

    world.state.follow = follow_newest_first
    return world


async def duties(world, node, *words):
    """Run the project's command line; return its output."""
    process = await asyncio.create_subprocess_exec(
        *("python3", "run.py", "duties", *words, "--server", f"127.0.0.1:{node.front}"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    text = output.decode().strip()
    world.note("command", node.label, *words, process.returncode, text)
    need(process.returncode == 0, f"duties {words}: {text}")
    return text


async def play(world, say):
    users = Users(world)
    need(await world.until(lambda: world.leader() is not None, 20), "no leader")
    leader = world.leader()
    output = ""
    for _ in range(10):  # until all controllers have announced themselves, so that the lease is in force
        await asyncio.sleep(1.0)
        output = await duties(world, leader, "show", "rental")
        if "token=" in output:
            break
    need("token=" in output, f"the lease is not held: {output}")
    other = next(n for n in world.nodes if n is not leader)
    if has_trouble():
        world.state.mode[other.label] = "503"
        say(f"the state service refuses {other.label}, alone")
    await asyncio.sleep(1.0)
    say(await duties(world, leader, "pause", "rental", "--reason", "stock-taking"))
    await asyncio.sleep(PAUSED_S)
    say(await duties(world, leader, "resume", "rental"))
    await asyncio.sleep(3.0)
    world.state.mode.pop(other.label, None)
    say(f"the state service serves {other.label} again")
    await asyncio.sleep(6.0)
    say(await duties(world, leader, "hand-over", "rental", "--to", other.label))
    await asyncio.sleep(HAND_OVER_S)
    need(world.leader() is other, "the leadership was not handed over")
    need(await users.submit_until_accepted(submission(JOB)) in (200, 201), "no job")
    accepted_at = now()
    has_run = await world.until(lambda: world.done or any(world.on.values()), WAIT_S)
    say(f"{now() - accepted_at:.1f} s after the job was accepted, a task has started: {bool(has_run)}")
    for node in world.nodes:
        text = await duties(world, node, "show", "rental")
        say(f"{node.label}: {text}")
        need("stock-taking" not in text, "a pause is in force")
    if has_run:
        return HELD
    world.breach("nothing_ran", f"no task was started within {WAIT_S:.0f} s, and no pause is in force")
    return BROKEN


if __name__ == "__main__":
    os.chdir(Path(__file__).resolve().parents[2])
    main(__file__, make_world, play)
