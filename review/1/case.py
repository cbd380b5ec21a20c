"""A cancelled job is started again by the next leader when its user repeats the submission."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import rig

JOB = "wk-000412"
SLOW_S = 0.6  # PROTOCOL: "usually ... less than 10 ms, and now and then a few hundred"


async def play(folder, trouble):
    async with rig.Rig(folder, nodes=3, machines=["clarke-annex", "oconee-room"]) as r:
        cancel_s = r.settings["workers"]["cancel_s"]
        first = await r.ready()
        r.rec.add("leader", node=r.labels[first])
        body = r.job(JOB, run_s=90.0)
        other = next(i for i in range(3) if i != first)
        status, _ = await r.submit(other, body)
        await r.wait_for(lambda: r.tasks_on(JOB), 30, "the job did not start")
        await asyncio.sleep(4.0)
        status, answer = await r.cancel(first, JOB)
        told_at = r.rec.now()
        assert (status, answer["standing"]) == (200, "aborted"), (status, answer)
        if trouble:
            r.kill(first)  # one controller crashes; it is back 3 s later
            asyncio.get_running_loop().call_later(3.0, r.start, first)
            await r.wait_for(lambda: r.leader() not in (None, first), 20, "no other leader")
        await r.wait_for(lambda: not r.tasks_on(JOB), 40, "the task was not stopped")
        leader = r.leader()
        r.rec.add("leader", node=r.labels[leader])
        slowed = []

        async def answer_slowly(node, method, path, request, answer):
            """One answer of the state service takes a few hundred milliseconds."""
            if trouble and method == "GET" and path == f"/keys/job/{JOB}" and node == leader and not slowed:
                slowed.append(path)
                end = time.monotonic() + SLOW_S
                while f"job/{JOB}" in r.store.keys and time.monotonic() < end - 0.05:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                r.rec.add(
                    "slow answer",
                    request=f"GET {path}",
                    status=answer[0],
                    record_deleted=f"job/{JOB}" not in r.store.keys,
                )

        r.store.after = answer_slowly
        await asyncio.sleep(0.1)
        await r.submit(leader, body)  # the user repeats the submission of its cancelled job
        while r.rec.now() < told_at + cancel_s + 6.0:
            await asyncio.sleep(0.5)
            if r.rec.now() > told_at + cancel_s + 1.0 and r.tasks_on(JOB):
                r.rec.add("ran_cancelled", tasks=r.tasks_on(JOB), after_s=round(r.rec.now() - told_at, 1))
                break
        await r.ask(leader, "GET", f"/work/{JOB}", timeout=2.0)
        return not any(e["kind"] == "ran_cancelled" for e in r.rec.events)


rig.main(play)
