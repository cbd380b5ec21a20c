"""Whole replacements in the simulated world: a service of an earlier version, at work, of which the
nodes are replaced a few at a time while troubles come.

The world checks at every step `ran_twice`, `too_early`, `quota`, `wrong_place`, `ran_cancelled` and
`forgotten`, and at every poll `went_back` and `orphaned`; at the end every job that was not
cancelled, or after one that was, is done: nothing is lost.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
import pytest

from eldercart.settings.platform import parse_platform
from eldercart.wire import users
from test_limits import NEXT, fall, platform
from versions import history, record
from versions.adapters import EarlierLeader, EarlierRelay
from versions.mixed import MixedWorld

FAULTY = {
    "txn_lost": 0.1,
    "txn_twice": 0.1,
    "report_twice": 0.1,
    "answer_lost": 0.05,
    "mesh_lost": 0.05,
}
FIRST, LAST, ANY = "first", "last", "any"
BEFORE, AFTER_LAST, TAKING_OVER = "before", "after the last", "while a leader takes over"


@dataclass(frozen=True)
class Case:
    """How a replacement goes."""

    name: str
    at_once: int = 1  # nodes killed together
    leader: str = ANY  # when its turn comes
    dies: bool = False  # one dies before its turn, and comes back old
    outage: bool = False  # of the state service, in the middle
    falls: str | None = None  # when the state service's limits do
    cancels: bool = False
    faults: dict[str, float] = field(default_factory=dict)


CASES = [
    Case("one by one"),
    Case("two at once", at_once=2),
    Case("three at once under faults", at_once=3, faults=FAULTY),
    Case("leader first", leader=FIRST),
    Case("leader last", leader=LAST),
    Case("leader first under faults", leader=FIRST, faults=FAULTY),
    Case("leader last, cancelled", leader=LAST, cancels=True),
    Case("dies before its turn", dies=True),
    Case("dies before its turn, leader last", dies=True, leader=LAST, faults=FAULTY),
    Case("outage in the middle", at_once=2, outage=True),
    Case("outage in the middle, cancelled, under faults", outage=True, cancels=True, faults=FAULTY),
    Case("limits fall after the last", falls=AFTER_LAST),
    Case("limits fall after the last, leader last", falls=AFTER_LAST, leader=LAST),
    Case("limits fall while a leader takes over", falls=TAKING_OVER, at_once=2),
    Case("limits fall under faults", falls=TAKING_OVER, leader=LAST, faults=FAULTY, cancels=True),
    Case(
        "all together",
        at_once=2,
        dies=True,
        outage=True,
        falls=AFTER_LAST,
        cancels=True,
        faults=FAULTY,
    ),
]


class Upgrade:
    """One replacement of a service of five nodes."""

    def __init__(self, short: str, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        version = history.earlier(short)
        self.chains = version.old_chains  # whether chains may be submitted before the end
        self.w = w = MixedWorld(seed, version, 5, platform=platform(NEXT), **case.faults)
        w.store.value_bytes, w.store.txn_ops = 32 * 1024, 20
        self.number = 0
        # Where nothing else makes tasks run again, no priority does either: see `check_end`.
        self.calm = not case.faults and not case.cancels

    # -- what users do

    def submit(self, name: str, **changes: Any) -> str:
        self.w.submit(name, memGb=1.0, **changes)
        return name

    def submit_long(self) -> None:
        """At work all the time. 0782287 knows no `state.next`: it cuts by the limits of today."""
        settings = self.w.settings
        if not self.chains:
            self.w.settings = parse_platform(platform())
        self.submit("wk-long", parcels=400, cpus=0.2, run_s=15.0)
        self.w.settings = settings

    def submit_some(self) -> None:
        """A plain job of a limited team, and a pipeline where they are served."""
        n = self.number
        self.number += 1
        urgency = "standard" if self.calm else "urgent"
        self.submit(f"wk-{n}plain", crew="t1", parcels=24, cpus=1.0, run_s=5.0, urgency=urgency)
        if self.chains or self.w.all_replaced:
            self.submit_chain(str(n))

    def submit_chain(self, name: str) -> None:
        a = self.submit(f"wk-{name}a", parcels=6, cpus=1.0, run_s=4.0)
        b = self.submit(f"wk-{name}b", parcels=4, cpus=1.0, run_s=6.0)
        c = self.submit(f"wk-{name}c", parcels=5, cpus=1.0, run_s=3.0, awaits=[a, b])
        due = None if self.calm else 90.0
        self.submit(f"wk-{name}d", parcels=2, cpus=1.0, run_s=3.0, awaits=[c], dueS=due)

    def cancel_some(self) -> None:
        """Of a pipeline the first job, and a job that runs alone."""
        n = self.number - 1
        if self.chains or self.w.all_replaced:
            self.w.cancel(f"wk-{n}b")
        self.w.cancel(f"wk-{n}plain")

    # -- the replacement

    def run(self) -> None:
        w, case = self.w, self.case
        self.submit_long()
        self.submit_some()
        w.watch(12)
        for turn, batch in enumerate(self.batches()):
            if case.outage and turn == 1:
                self.outage(batch)
            for i in batch:
                w.replace(i)
            if not w.all_replaced:
                w.watch(self.rng.uniform(0.5, 4))
                self.die(turn)
                self.submit_some()
                w.watch(self.rng.uniform(0.5, 3))
                if case.cancels:
                    self.cancel_some()
        self.all_new()
        self.check_end()

    def left(self) -> list[int]:
        """The nodes that are still to change their version."""
        return [i for i in range(self.w.nodes) if i not in self.w.replaced]

    def batches(self) -> Iterator[list[int]]:
        """Who changes next, as the leader stands then."""
        while left := self.left():
            self.rng.shuffle(left)
            leads = self.w.leader
            if leads in left and self.case.leader != ANY:
                left.remove(leads)
                left.insert(0 if self.case.leader == FIRST else len(left), leads)
            yield left[: self.case.at_once]

    def die(self, turn: int) -> None:
        """A node that is still to be replaced dies and comes back with what it had."""
        if self.case.dies and turn % 2 == 0:
            i = self.rng.choice(self.left())
            self.w.crash(i)
            assert isinstance(self.w.relays[i], EarlierRelay)

    def outage(self, batch: list[int]) -> None:
        """Longer than two leases. Nobody can be elected meanwhile; who does not lead is killed."""
        w = self.w
        w.outage_until = w.now + 2.2 * w.settings.lease_s
        w.watch(3)
        for i in batch:
            if i != w.leader:
                w.replace(i)
        while w.now < w.outage_until:
            w.watch(1)

    def all_new(self) -> None:
        """What comes at once when the last node is new."""
        w = self.w
        assert w.all_replaced
        if self.case.falls == AFTER_LAST:
            fall(w)
        self.submit_chain("new")
        if self.case.falls == TAKING_OVER:
            w.watch(1)
            w.crash(w.leader)
            fall(w)
        self.submit_some()
        w.watch(2)
        w.crash(self.rng.randrange(w.nodes))
        if self.case.cancels:
            self.cancel_some()
        w.watch(2)

    # -- what came of it

    def check_end(self) -> None:
        w = self.w
        end = w.now + 400
        while not w.all_ended() and w.now < end:
            w.watch(1)
            self.check_kept()
        w.watch(3)
        cancelled = {job for job in w.jobs if {job, *w.before(job)} & w.cancelled_at.keys()}
        for job in w.jobs:
            expected = users.CANCELLED if job in cancelled else users.DONE
            assert w.end_in_store(job) == expected, f"lost: {job}"
        assert bool(cancelled) is self.case.cancels
        self.check_led()
        if self.case.falls is not None:
            self.check_fallen()
        if self.calm:
            again = {task: n for task, n in w.starts.items() if n > 1}
            assert not again, "a replacement alone makes no task run again"

    def check_kept(self) -> None:
        self.w.check_kept()

    def check_led(self) -> None:
        assert self.w.led[0] is False and self.w.led[-1] is True

    def check_fallen(self) -> None:
        """Nothing was refused for its size, and nothing larger is written."""
        w = self.w
        assert not w.too_large
        placement_records = [orjson.dumps(i["v"]) for i in w.store.range("place/")]
        assert all(len(placement_record) <= 2048 for placement_record in placement_records)


@pytest.mark.parametrize("short", record.VERSIONS)
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_replacement(short: str, case: Case) -> None:
    Upgrade(short, case, seed=len(case.name)).run()


class WayBack(Upgrade):
    """All nodes have this version, with chains open, and get the earlier one again."""

    def __init__(self, short: str, case: Case, seed: int) -> None:
        super().__init__(short, case, seed)
        self.w.replaced = set(range(self.w.nodes))
        for i in range(self.w.nodes):
            self.w.crash(i)
        assert self.w.led[-1] is True and self.chains

    def left(self) -> list[int]:
        """The nodes that are still to be put back."""
        return sorted(self.w.replaced)

    def submit_chain(self, name: str) -> None:
        """With one more job, whose list of dependencies is beside its record."""
        super().submit_chain(name)
        awaits = [f"wk-{name}{i}" for i in "abcd"]
        self.submit(f"wk-{name}e", parcels=2, cpus=1.0, run_s=2.0, awaits=awaits)
        self.w.submit(
            f"wk-{name}f", parts=3, parcels=2, cpus=1.0, memGb=1.0, run_s=2.0, awaits=awaits
        )

    def run(self) -> None:
        w, case = self.w, self.case
        self.submit_long()
        self.submit_some()
        self.submit("wk-open", parcels=8, cpus=1.0, run_s=60.0)  # its chain is open to the end
        self.w.submit(
            "wk-listed",
            parts=2,
            parcels=2,
            cpus=1.0,
            memGb=1.0,
            run_s=2.0,
            awaits=["wk-open", "wk-long", "wk-0a"],
        )
        w.watch(12)
        if case.falls == BEFORE:
            fall(w)
            w.watch(6)
        for turn, batch in enumerate(self.batches()):
            if case.outage and turn == 1:
                w.outage_until = w.now + 2.2 * w.settings.lease_s
                w.watch(3)
                batch = [i for i in batch if i != w.leader]  # nobody could be elected
            for i in batch:
                w.put_back(i)
            while w.now < w.outage_until:
                w.watch(1)
            assert w.store.range("needs/wk-listed/"), "it is open"
            w.watch(self.rng.uniform(0.5, 4))
            if case.dies and w.replaced:
                w.crash(self.rng.choice(self.left()))  # it comes back new
            self.submit_some()
            w.watch(self.rng.uniform(0.5, 3))
            if case.cancels:
                self.cancel_some()
        assert w.end_in_store("wk-listed") is None and w.led[-1] is False
        self.submit_chain("old")
        w.watch(2)
        w.crash(self.rng.randrange(w.nodes))
        w.watch(2)
        self.check_end()

    def check_kept(self) -> None:
        """From the machines, as an earlier leader's memory is not looked into."""
        for machine in self.w.cloud.machines.values():
            for key, task in machine.on().items():
                job, index = key.split("/")
                if self.w.end_in_store(job) is None:
                    stored = [entry for part in self.w.parts(job) for entry in part["r"]]
                    kept = [int(index), task.attempt, machine.id] in stored
                    assert kept, f"not kept: {key}"

    def check_led(self) -> None:
        assert self.w.led[-1] is False and True in self.w.led


WAYS_BACK = [
    Case("one by one"),
    Case("two at once, leader first", at_once=2, leader=FIRST),
    Case("leader last", leader=LAST),
    Case("all at once", at_once=5),
    Case("dies before its turn", dies=True, leader=LAST),
    Case("outage in the middle", at_once=2, outage=True),
    Case("cancelled under faults", cancels=True, faults=FAULTY),
    Case("limits have fallen", falls=BEFORE),
    Case("limits have fallen, leader last, under faults", falls=BEFORE, leader=LAST, faults=FAULTY),
    Case(
        "all together", at_once=2, dies=True, outage=True, falls=BEFORE, cancels=True, faults=FAULTY
    ),
]


@pytest.mark.parametrize("case", WAYS_BACK, ids=lambda case: case.name)
def test_way_back(case: Case) -> None:
    """To 852ab75, which reads chains and lists of dependencies; 0782287 does not, and there is no
    way back to it while one is open."""
    WayBack("852ab75", case, seed=len(case.name)).run()


def test_the_table_is_of_replacements() -> None:
    """The cases bring about what their names say."""
    upgrade = Upgrade("852ab75", Case("x", at_once=2, leader=LAST), 1)
    assert isinstance(upgrade.w.scheduler, EarlierLeader)
    leads = upgrade.w.leader
    turns = []
    for batch in upgrade.batches():
        turns.append(batch)
        for i in batch:
            upgrade.w.replace(i)
    assert [len(batch) for batch in turns] == [2, 2, 1]
    assert turns[-1] == [leads]
