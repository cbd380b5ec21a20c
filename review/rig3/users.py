"""Users of a stand-in deployment, who remember every answer and check it against the rules."""

import asyncio
import random

from region import HOST, Client, now


class Told:
    """What users were told about one job."""

    def __init__(self, job):
        self.job = job
        self.accepted_at = None
        self.done_at = None
        self.aborted_at = None
        self.cancel_asked_at = None
        self.first_sent_at = now()
        self.last_answer_at = None
        self.failed_since = None
        self.answers = []


class Users:
    """Submits, polls and cancels at any node."""

    def __init__(self, world):
        self.world = world
        self.told = {}

    async def ask(self, node, method, path, value=None, timeout=5.0):
        client = Client(HOST, node.front)
        sent_at = now()
        status, answer, headers = await client.request(method, path, value, timeout)
        client.close()
        return sent_at, status, answer, headers

    def pick(self):
        up = [n for n in self.world.nodes if n.process and n.process.poll() is None]
        return random.choice(up or self.world.nodes)

    # -- single requests; each is checked against what was told before it was sent

    async def submit(self, body, node=None):
        job = body["nameId"]
        told = self.told.setdefault(job, Told(job))
        self.world.uploaded.setdefault(job, body)
        node = node or self.pick()
        sent_at, status, answer, _ = await self.ask(node, "POST", "/work", body)
        self.note(told, "submit", node, sent_at, status, answer)
        if status in (200, 201):
            self.check(told, sent_at, answer.get("standing"), "submit")
            told.accepted_at = told.accepted_at or now()
        elif status in (400, 404, 422) and told.accepted_at and told.accepted_at < sent_at:
            self.world.breach("forgotten", f"{job}: repeated submission got {status}")
        return status, answer

    async def poll(self, job, node=None):
        told = self.told.setdefault(job, Told(job))
        node = node or self.pick()
        sent_at, status, answer, _ = await self.ask(node, "GET", f"/work/{job}", None, 2.0)
        self.note(told, "poll", node, sent_at, status, answer)
        if status == 200:
            told.last_answer_at, told.failed_since = now(), None
            self.check(told, sent_at, answer.get("standing"), "poll")
            return answer.get("standing")
        if status == 404:
            if told.accepted_at and told.accepted_at < sent_at:
                self.world.breach("forgotten", f"{job}: poll got 404 at {node.label}")
        elif told.failed_since is None:
            told.failed_since = sent_at
        return status

    async def cancel(self, job, node=None):
        told = self.told.setdefault(job, Told(job))
        node = node or self.pick()
        told.cancel_asked_at = told.cancel_asked_at or now()
        sent_at, status, answer, _ = await self.ask(node, "POST", f"/work/{job}/cancel", {})
        self.note(told, "cancel", node, sent_at, status, answer)
        if status == 200:
            self.check(told, sent_at, answer.get("standing"), "cancel")
            return answer.get("standing")
        if status == 404 and told.accepted_at and told.accepted_at < sent_at:
            self.world.breach("forgotten", f"{job}: cancel got 404 at {node.label}")
        return status

    def note(self, told, kind, node, sent_at, status, answer):
        standing = answer.get("standing") if isinstance(answer, dict) else None
        told.answers.append((sent_at, now(), kind, node.label, status, standing))
        self.world.note(kind, told.job, node.label, status, standing, round(now() - sent_at, 2))

    def check(self, told, sent_at, standing, kind):
        world, job = self.world, told.job
        if told.done_at and told.done_at < sent_at and standing != "done":
            world.breach("went_back", f"{job}: was done, {kind} says {standing}")
        if told.aborted_at and told.aborted_at < sent_at and standing != "aborted":
            world.breach("went_back", f"{job}: was aborted, {kind} says {standing}")
        if standing == "done":
            body = world.uploaded[job]
            missing = [i for i in range(body["parcels"]) if f"{job}/{i}" not in world.done]
            if missing:
                world.breach("not_done", f"{job}: called done, {len(missing)} tasks are not")
            told.done_at = told.done_at or now()
        elif standing == "aborted":
            if not told.cancel_asked_at and not self.upstream_asked(job):
                world.breach("went_back", f"{job}: called aborted, nobody cancelled it")
            told.aborted_at = told.aborted_at or now()

    def upstream_asked(self, job):
        seen, to_visit = set(), list(self.world.uploaded[job].get("awaits") or [])
        while to_visit:
            name = to_visit.pop()
            if name in seen:
                continue
            seen.add(name)
            if name in self.told and self.told[name].cancel_asked_at:
                return True
            to_visit += self.world.uploaded.get(name, {}).get("awaits") or []
        return False

    # -- as users behave

    async def submit_until_accepted(self, body, limit_s=60.0, nodes=None):
        end = now() + limit_s
        while now() < end:
            node = random.choice(nodes) if nodes else None
            status, _ = await self.submit(body, node)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0

    async def cancel_until_told(self, job, limit_s=60.0, nodes=None):
        end = now() + limit_s
        while now() < end:
            node = random.choice(nodes) if nodes else None
            answer = await self.cancel(job, node)
            if answer in ("aborted", "done"):
                return answer
            await asyncio.sleep(1.0)
        return None

    async def follow(self, job, every_s=2.0, limit_s=600.0):
        end = now() + limit_s
        while now() < end:
            state = await self.poll(job)
            if state in ("done", "aborted"):
                return state
            await asyncio.sleep(every_s * random.uniform(0.7, 1.3))
        return None

    # -- rules that are checked over time

    def check_cancelled(self):
        """`ran_cancelled`: no task of a cancelled job is on a machine after `cancel_s`."""
        t = now()
        for told in self.told.values():
            if told.aborted_at is None or t - told.aborted_at <= self.world.cancel_s:
                continue
            for key, places in self.world.on.items():
                if places and key.rpartition("/")[0] == told.job:
                    self.world.breach(
                        "ran_cancelled",
                        f"{key} is on {sorted(places)} {t - told.aborted_at:.1f} s after it",
                    )
                    places.clear()
