"""Rolling upgrades and rollbacks of a busy service in the simulated world.

The service starts with an earlier version. Its nodes are replaced a few at a time while faults are
injected. The world checks the rules `ran_twice`, `too_early`, `quota`, `wrong_place`,
`ran_cancelled` and `forgotten` at every step, and `went_back` and `orphaned` at every poll. At the
end every job is done, except those that were cancelled and those that depend on them: no job is
lost.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
import pytest

from eldercart.settings.platform import parse_platform
from eldercart.wire import users
from test_store_limits import ANNOUNCED_LIMITS, platform, reduce_store_limits
from versions import history, record
from versions.adapters import EarlierLeader, EarlierRelay
from versions.mixed import MixedWorld

FAULT_RATES = {
    "txn_lost": 0.1,
    "txn_twice": 0.1,
    "report_twice": 0.1,
    "answer_lost": 0.05,
    "mesh_lost": 0.05,
}
FIRST, LAST, ANY = "first", "last", "any"
BEFORE, AFTER_LAST_NODE, DURING_FAILOVER = "before", "after the last", "while a leader takes over"


@dataclass(frozen=True)
class Case:
    """The course of one upgrade or rollback."""

    name: str
    batch_size: int = 1  # nodes that are replaced together
    leader_turn: str = ANY  # FIRST, LAST or ANY
    crashes: bool = False  # nodes crash before their turn and restart with their version
    store_outage: bool = False  # the state service is down during the second batch
    reduction: str | None = None  # when the state service reduces its limits, if it does
    cancels: bool = False  # users cancel jobs meanwhile
    faults: dict[str, float] = field(default_factory=dict)  # probabilities


CASES = [
    Case("one by one"),
    Case("two at once", batch_size=2),
    Case("three at once under faults", batch_size=3, faults=FAULT_RATES),
    Case("leader first", leader_turn=FIRST),
    Case("leader last", leader_turn=LAST),
    Case("leader first under faults", leader_turn=FIRST, faults=FAULT_RATES),
    Case("leader last, cancelled", leader_turn=LAST, cancels=True),
    Case("dies before its turn", crashes=True),
    Case("dies before its turn, leader last", crashes=True, leader_turn=LAST, faults=FAULT_RATES),
    Case("outage in the middle", batch_size=2, store_outage=True),
    Case(
        "outage in the middle, cancelled, under faults",
        store_outage=True,
        cancels=True,
        faults=FAULT_RATES,
    ),
    Case("limits fall after the last", reduction=AFTER_LAST_NODE),
    Case("limits fall after the last, leader last", reduction=AFTER_LAST_NODE, leader_turn=LAST),
    Case("limits fall while a leader takes over", reduction=DURING_FAILOVER, batch_size=2),
    Case(
        "limits fall under faults",
        reduction=DURING_FAILOVER,
        leader_turn=LAST,
        faults=FAULT_RATES,
        cancels=True,
    ),
    Case(
        "all together",
        batch_size=2,
        crashes=True,
        store_outage=True,
        reduction=AFTER_LAST_NODE,
        cancels=True,
        faults=FAULT_RATES,
    ),
]


class Upgrade:
    """One rolling upgrade of a service of five nodes."""

    def __init__(self, short_commit: str, case: Case, seed: int) -> None:
        self.case = case
        self.rng = random.Random(seed)
        version = history.earlier(short_commit)
        # Without it, jobs with dependencies may be submitted only after the upgrade.
        self.supports_chains = version.old_chains
        self.world = world = MixedWorld(
            seed, version, 5, platform=platform(ANNOUNCED_LIMITS), **case.faults
        )
        world.store.value_bytes, world.store.txn_ops = 32 * 1024, 20
        self.submission_count = 0
        # Without faults and cancellations no task may run a second time, which `check_end` asserts.
        # Those cases have no urgent jobs and no deadlines, as preemption also restarts tasks.
        self.expects_no_rerun = not case.faults and not case.cancels

    # -- users' requests

    def submit(self, name: str, **changes: Any) -> str:
        self.world.submit(name, memGb=1.0, **changes)
        return name

    def submit_long(self) -> None:
        """Submit a job that runs during the whole test.

        Version 0782287 ignores `state.next`, so it cuts jobs into chunks by the current limits."""
        settings = self.world.settings
        if not self.supports_chains:
            self.world.settings = parse_platform(platform())
        self.submit("wk-long", parcels=400, cpus=0.2, run_s=15.0)
        self.world.settings = settings

    def submit_some(self) -> None:
        """Submit a job of a team with a quota, and a pipeline if all nodes support pipelines."""
        n = self.submission_count
        self.submission_count += 1
        urgency = "standard" if self.expects_no_rerun else "urgent"
        self.submit(f"wk-{n}plain", crew="t1", parcels=24, cpus=1.0, run_s=5.0, urgency=urgency)
        if self.supports_chains or self.world.all_replaced:
            self.submit_chain(str(n))

    def submit_chain(self, name: str) -> None:
        a = self.submit(f"wk-{name}a", parcels=6, cpus=1.0, run_s=4.0)
        b = self.submit(f"wk-{name}b", parcels=4, cpus=1.0, run_s=6.0)
        c = self.submit(f"wk-{name}c", parcels=5, cpus=1.0, run_s=3.0, awaits=[a, b])
        due = None if self.expects_no_rerun else 90.0
        self.submit(f"wk-{name}d", parcels=2, cpus=1.0, run_s=3.0, awaits=[c], dueS=due)

    def cancel_some(self) -> None:
        """Cancel one of the two first jobs of the latest pipeline, and the latest plain job."""
        n = self.submission_count - 1
        if self.supports_chains or self.world.all_replaced:
            self.world.cancel(f"wk-{n}b")
        self.world.cancel(f"wk-{n}plain")

    # -- the upgrade

    def run(self) -> None:
        world, case = self.world, self.case
        self.submit_long()
        self.submit_some()
        world.watch(12)
        for turn, batch in enumerate(self.batches()):
            if case.store_outage and turn == 1:
                self.store_outage(batch)
            for i in batch:
                world.replace(i)
            if not world.all_replaced:
                world.watch(self.rng.uniform(0.5, 4))
                self.crash_pending_node(turn)
                self.submit_some()
                world.watch(self.rng.uniform(0.5, 3))
                if case.cancels:
                    self.cancel_some()
        self.use_new_version()
        self.check_end()

    def pending_nodes(self) -> list[int]:
        """Return the nodes that still run the earlier version."""
        return [i for i in range(self.world.nodes) if i not in self.world.replaced]

    def batches(self) -> Iterator[list[int]]:
        """Yield the nodes to replace next; the leader's turn depends on who leads at that time."""
        while pending_nodes := self.pending_nodes():
            self.rng.shuffle(pending_nodes)
            leader_index = self.world.leader
            if leader_index in pending_nodes and self.case.leader_turn != ANY:
                pending_nodes.remove(leader_index)
                pending_nodes.insert(
                    0 if self.case.leader_turn == FIRST else len(pending_nodes), leader_index
                )
            yield pending_nodes[: self.case.batch_size]

    def crash_pending_node(self, turn: int) -> None:
        """Crash a node that is not replaced yet; it restarts with the earlier version."""
        if self.case.crashes and turn % 2 == 0:
            i = self.rng.choice(self.pending_nodes())
            self.world.crash(i)
            assert isinstance(self.world.relays[i], EarlierRelay)

    def store_outage(self, batch: list[int]) -> None:
        """Make the state service unavailable for more than two leases.

        No leader can be elected meanwhile, so the leader is replaced only after the outage."""
        world = self.world
        world.outage_until = world.now + 2.2 * world.settings.lease_s
        world.watch(3)
        for i in batch:
            if i != world.leader:
                world.replace(i)
        while world.now < world.outage_until:
            world.watch(1)

    def use_new_version(self) -> None:
        """Exercise the new version right after the last node was replaced."""
        world = self.world
        assert world.all_replaced
        if self.case.reduction == AFTER_LAST_NODE:
            reduce_store_limits(world)
        self.submit_chain("new")
        if self.case.reduction == DURING_FAILOVER:
            world.watch(1)
            world.crash(world.leader)
            reduce_store_limits(world)
        self.submit_some()
        world.watch(2)
        world.crash(self.rng.randrange(world.nodes))
        if self.case.cancels:
            self.cancel_some()
        world.watch(2)

    # -- checks

    def check_end(self) -> None:
        world = self.world
        end = world.now + 400
        while not world.all_ended() and world.now < end:
            world.watch(1)
            self.check_placements_are_stored()
        world.watch(3)
        cancelled = {
            job
            for job in world.jobs
            if {job, *world.upstream_jobs(job)} & world.cancelled_at.keys()
        }
        for job in world.jobs:
            expected = users.CANCELLED if job in cancelled else users.DONE
            assert world.end_in_store(job) == expected, f"lost: {job}"
        assert bool(cancelled) is self.case.cancels
        self.check_leader_versions()
        if self.case.reduction is not None:
            self.check_reduced_limits()
        if self.expects_no_rerun:
            restarted_tasks = {task: n for task, n in world.start_counts.items() if n > 1}
            assert not restarted_tasks, "an upgrade alone must not run a task again"

    def check_placements_are_stored(self) -> None:
        self.world.check_placements_are_stored()

    def check_leader_versions(self) -> None:
        assert (
            self.world.leader_ran_this_version[0] is False
            and self.world.leader_ran_this_version[-1] is True
        )

    def check_reduced_limits(self) -> None:
        """No transaction was rejected for its size, and no placement record exceeds the limit."""
        world = self.world
        assert not world.too_large_count
        placement_records = [orjson.dumps(i["v"]) for i in world.store.range("place/")]
        assert all(len(placement_record) <= 2048 for placement_record in placement_records)


@pytest.mark.parametrize("short_commit", record.VERSIONS)
@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_rolling_upgrade_loses_no_job(short_commit: str, case: Case) -> None:
    Upgrade(short_commit, case, seed=len(case.name)).run()


class Rollback(Upgrade):
    """A rollback: all nodes run this version and get the earlier one, while jobs with dependencies
    are unfinished."""

    def __init__(self, short_commit: str, case: Case, seed: int) -> None:
        super().__init__(short_commit, case, seed)
        self.world.replaced = set(range(self.world.nodes))
        for i in range(self.world.nodes):
            self.world.crash(i)
        assert self.world.leader_ran_this_version[-1] is True and self.supports_chains

    def pending_nodes(self) -> list[int]:
        """Return the nodes that still run this version."""
        return sorted(self.world.replaced)

    def submit_chain(self, name: str) -> None:
        """Submit the chain and two more jobs. The dependency list of the last one is stored outside
        its job record."""
        super().submit_chain(name)
        awaits = [f"wk-{name}{i}" for i in "abcd"]
        self.submit(f"wk-{name}e", parcels=2, cpus=1.0, run_s=2.0, awaits=awaits)
        self.world.submit(
            f"wk-{name}f",
            dependency_list_parts=3,
            parcels=2,
            cpus=1.0,
            memGb=1.0,
            run_s=2.0,
            awaits=awaits,
        )

    def run(self) -> None:
        world, case = self.world, self.case
        self.submit_long()
        self.submit_some()
        # "wk-listed" depends on this job, which runs until the rollback is over.
        self.submit("wk-open", parcels=8, cpus=1.0, run_s=60.0)
        self.world.submit(
            "wk-listed",
            dependency_list_parts=2,
            parcels=2,
            cpus=1.0,
            memGb=1.0,
            run_s=2.0,
            awaits=["wk-open", "wk-long", "wk-0a"],
        )
        world.watch(12)
        if case.reduction == BEFORE:
            reduce_store_limits(world)
            world.watch(6)
        for turn, batch in enumerate(self.batches()):
            if case.store_outage and turn == 1:
                world.outage_until = world.now + 2.2 * world.settings.lease_s
                world.watch(3)
                batch = [i for i in batch if i != world.leader]  # no new leader could be elected
            for i in batch:
                world.roll_back(i)
            while world.now < world.outage_until:
                world.watch(1)
            assert world.store.range("needs/wk-listed/"), (
                "the dependency list of an unfinished job must be kept"
            )
            world.watch(self.rng.uniform(0.5, 4))
            if case.crashes and world.replaced:
                world.crash(self.rng.choice(self.pending_nodes()))  # it restarts with this version
            self.submit_some()
            world.watch(self.rng.uniform(0.5, 3))
            if case.cancels:
                self.cancel_some()
        assert (
            world.end_in_store("wk-listed") is None and world.leader_ran_this_version[-1] is False
        )
        self.submit_chain("old")
        world.watch(2)
        world.crash(self.rng.randrange(world.nodes))
        world.watch(2)
        self.check_end()

    def check_placements_are_stored(self) -> None:
        """Compare the store with the machines, as the state of an earlier leader can't be read."""
        for machine in self.world.cloud.machines.values():
            for key, task in machine.running_tasks().items():
                job, index = key.split("/")
                if self.world.end_in_store(job) is None:
                    stored = [
                        entry for chunk in self.world.stored_chunks(job) for entry in chunk["r"]
                    ]
                    kept = [int(index), task.attempt, machine.id] in stored
                    assert kept, f"not stored: {key}"

    def check_leader_versions(self) -> None:
        assert (
            self.world.leader_ran_this_version[-1] is False
            and True in self.world.leader_ran_this_version
        )


ROLLBACK_CASES = [
    Case("one by one"),
    Case("two at once, leader first", batch_size=2, leader_turn=FIRST),
    Case("leader last", leader_turn=LAST),
    Case("all at once", batch_size=5),
    Case("dies before its turn", crashes=True, leader_turn=LAST),
    Case("outage in the middle", batch_size=2, store_outage=True),
    Case("cancelled under faults", cancels=True, faults=FAULT_RATES),
    Case("limits have fallen", reduction=BEFORE),
    Case(
        "limits have fallen, leader last, under faults",
        reduction=BEFORE,
        leader_turn=LAST,
        faults=FAULT_RATES,
    ),
    Case(
        "all together",
        batch_size=2,
        crashes=True,
        store_outage=True,
        reduction=BEFORE,
        cancels=True,
        faults=FAULT_RATES,
    ),
]


@pytest.mark.parametrize("case", ROLLBACK_CASES, ids=lambda case: case.name)
def test_rollback_loses_no_job(case: Case) -> None:
    """The rollback goes to 852ab75, which reads dependent jobs and dependency lists. 0782287 does
    not, so a rollback to it is impossible while a job with dependencies is unfinished."""
    Rollback("852ab75", case, seed=len(case.name)).run()


def test_upgrade_replaces_the_nodes_in_the_batches_of_its_case() -> None:
    """The batches have the size and order that their case asks for."""
    upgrade = Upgrade("852ab75", Case("x", batch_size=2, leader_turn=LAST), 1)
    assert isinstance(upgrade.world.scheduler, EarlierLeader)
    leader_index = upgrade.world.leader
    turns = []
    for batch in upgrade.batches():
        turns.append(batch)
        for i in batch:
            upgrade.world.replace(i)
    assert [len(batch) for batch in turns] == [2, 2, 1]
    assert turns[-1] == [leader_index]
