"""After a crash of the leader, tasks of a job that must stay in one zone start in a second one."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig3"))

from case import BROKEN, HELD, has_trouble, main, need
from region import World, now, submission
from users import Users

JOB, OTHER = "wk-000398", "wk-000397"
ZONE_1, ZONE_2 = "library-closet", "town-hall-basement"
TASKS, CPUS, PER_MACHINE = 140, 0.25, 64
FIRST_S, LATER_S = 6.0, 90.0  # run times of the first 64 tasks and of the others
OTHER_MACHINES = 5  # machines in the first zone that run another job
BACK_S = 6.0  # as the brief says: "back about 6 s after an end"
WATCH_S = 25.0


def make_world():
    # The limits of the state service are those of the page on job chains.
    world = World(capacity=OTHER_MACHINES + 1, state_next={"value_kb": 2.0, "txn_ops": 13, "write_rps": 35.0})
    world.other_ends_at = None

    def run_s(key):
        """The tasks of the other job end one second after the leader, while no node leads."""
        job, _, number = key.rpartition("/")
        if job == OTHER:
            is_over = world.other_ends_at is not None and now() > world.other_ends_at
            return 0.0 if is_over else 600.0
        return FIRST_S if int(number) < PER_MACHINE else LATER_S

    world.run_s = run_s

    def check_zones(worker, task):
        """`wrong_place`: a task starts in a zone that its job's other tasks rule out."""
        zones = {}
        for key, places in world.on.items():
            if key.rpartition("/")[0] == JOB:
                for name, _ in places:
                    zone = world.cloud.listed[name][0].yard
                    zones[zone] = zones.get(zone, 0) + 1
        if len(zones) > 1:
            world.breach(
                "wrong_place", f"{task.key} try {task.attempt} starts on {worker.name}; tasks of {JOB} by zone: {zones}"
            )

    world.start_checks = (check_zones,)
    return world


def machine(world, zone):
    return world.cloud.machines[world.cloud.create("scanbox16", zone, spot=False, boot_s=0.3)]


async def play(world, say):
    users = Users(world)
    for _ in range(OTHER_MACHINES + 1):
        machine(world, ZONE_1)
    need(await world.until(lambda: world.leader() is not None, 20), "no leader")
    other = submission(OTHER, parcels=OTHER_MACHINES, cpus=16.0, haulS=10.0, loaners=False)
    need(await users.submit_until_accepted(other) in (200, 201), "not accepted")

    def running(job):
        return sum(1 for k, places in world.on.items() if places and k.startswith(job + "/"))

    need(await world.until(lambda: running(OTHER) == OTHER_MACHINES, 20), "other job not started")
    job = submission(
        JOB, lot="thumb-refresh", parcels=TASKS, cpus=CPUS, memGb=1.5, together=True, haulS=10.0, loaners=False
    )
    need(await users.submit_until_accepted(job) in (200, 201), "not accepted")
    need(await world.until(lambda: running(JOB) == PER_MACHINE, 20), "tasks did not start")
    machine_2 = machine(world, ZONE_2)
    last = f"{JOB}/{2 * PER_MACHINE - 1}"
    need(await world.until(lambda: world.on.get(last), 30), "the second wave did not start")
    need({n for n, _ in world.on[last]} == {machine_2.name}, "the second wave is elsewhere")
    say(
        f"the first {PER_MACHINE} tasks ran in {ZONE_1} and are done: {len(world.done)}; the next "
        f"{PER_MACHINE} run in {ZONE_2}, {TASKS - 2 * PER_MACHINE} wait"
    )
    leader = world.leader()
    if has_trouble():
        leader.kill()
        say(f"the leader {leader.label} crashes")
    world.other_ends_at = now() + 1.0
    say(f"a second later the other job ends, so that machines in {ZONE_1} have room")
    await asyncio.sleep(BACK_S)
    if has_trouble():
        leader.start()
    await asyncio.sleep(WATCH_S - BACK_S)
    say(f"tasks of {JOB} that started where its other tasks rule it out: {len(world.broken)}")
    return BROKEN if world.broken else HELD


if __name__ == "__main__":
    os.chdir(Path(__file__).resolve().parents[2])
    main(__file__, make_world, play)
