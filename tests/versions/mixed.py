"""The simulated world with nodes of an earlier version and of this one."""

from collections.abc import Iterable
from typing import Any

import orjson

from eldercart.units import Attempt, FencingToken, MachineId, MonotonicTime, NodeId, TaskKey
from eldercart.wire import workers
from relay_world import LeaderReply, RelayWorld
from simulators import CATALOG
from versions.adapters import EarlierLeader, EarlierRelay
from versions.legacy.old_nodes import OldController, OldRelay, OldVersion
from world import PLATFORM


class MixedWorld(RelayWorld):
    """A world in which each node runs the earlier version until it is replaced.

    A node that crashes restarts with the version that it had. The invariants are checked at every
    step, as in `RelayWorld`.
    """

    def __init__(
        self,
        seed: int,
        earlier: OldVersion,
        nodes: int = 3,
        replaced: Iterable[int] = (),
        **faults: Any,
    ) -> None:
        self.earlier = earlier
        self.platform = faults.get("platform", PLATFORM)
        self.replaced = set(replaced)
        # Whether the next leader should run this version; None: either version will do.
        self.next_leader_runs_this_version: bool | None = None
        self.leader_ran_this_version: list[bool] = []  # one entry for each leader
        self.rented: list[bytes] = []  # bodies of rent requests by leaders of the earlier version
        super().__init__(seed, nodes, **faults)

    def choose(self, free: list[int]) -> int:
        eligible = [
            i
            for i in free
            if self.next_leader_runs_this_version is None
            or (i in self.replaced) is self.next_leader_runs_this_version
        ]
        return self.rng.choice(eligible or free)

    def new_scheduler(self, epoch: FencingToken) -> Any:
        is_replaced = self.leader in self.replaced
        self.leader_ran_this_version.append(is_replaced)
        if is_replaced:
            return super().new_scheduler(epoch)
        old = OldController(self.earlier, self.platform, CATALOG, epoch, self.now, self.incarnation)
        return EarlierLeader(old, epoch)

    def new_relay(self, i: int) -> Any:
        if i in self.replaced:
            return super().new_relay(i)
        label = NodeId(f"n{i}")
        return EarlierRelay(OldRelay(self.earlier, label, 0.4 * self.settings.lease_s, 0.02), label)

    def ask_leader(self, body: bytes, now: MonotonicTime, relay: NodeId) -> LeaderReply | None:
        if not isinstance(self.scheduler, EarlierLeader):
            return super().ask_leader(body, now, relay)
        reply = self.scheduler.old.old_report(orjson.loads(body), now, relay)
        if reply is None:
            return None
        launches = [workers.Launch(TaskKey(key), Attempt(number)) for key, number in reply[1]]
        return LeaderReply(reply[0], launches, reply[2])

    def serve_cloud(self, c: Any, now: MonotonicTime) -> None:
        """Serve one cloud request; an earlier leader encodes its requests itself."""
        if not isinstance(c, EarlierLeader):
            super().serve_cloud(c, now)
            return
        call = c.old.old_cloud_call(now)
        if call is None:
            return
        if self.now < self.cloud_down_until:
            c.old.old_cloud_done(503, b'{"error":"trouble"}', now)
            return
        kind, body = call
        status: int
        answer: dict[str, Any]
        match kind:
            case "rent":
                self.rented.append(body)
                status, answer = self.cloud.create_machines(body, self.now)
            case "delete":
                status, answer = self.cloud.delete(body)
            case "list":
                status, answer = 200, self.cloud.list(self.now)
            case _:
                status, answer = 200, CATALOG
        if self.chance("cloud_lost"):
            c.old.old_cloud_done(None, b"", now)
        else:
            c.old.old_cloud_done(status, orjson.dumps(answer), now)

    def deliver_direct_kills(self, c: Any, now: MonotonicTime) -> None:
        if not isinstance(c, EarlierLeader):
            super().deliver_direct_kills(c, now)
            return
        for machine, body in c.old.old_orders(now):
            w = self.cloud.machines.get(MachineId(machine))
            down = (
                w is None
                or self.now < max(w.boots_at, w.hangs_until)
                or w.id in self.machines_without_inbound_messages
            )
            if w is None or down or self.chance("direct_kill_lost"):
                continue
            status, report = w.execute_direct_commands(body)
            self.direct_kill_count += 1
            c.old.old_ordered(report, status == 200, now)

    def step(self, dt: float) -> None:
        # No leader writes subchunks before every node has announced that it reads them.
        self.subchunks_supported = self.earlier.old_chains or self.all_replaced
        super().step(dt)

    # -- replacing nodes

    def replace(self, i: int) -> None:
        self.replaced.add(i)
        self.crash(i)

    def roll_back(self, i: int) -> None:
        """Roll the node back to the earlier version."""
        self.replaced.remove(i)
        self.crash(i)

    @property
    def all_replaced(self) -> bool:
        return len(self.replaced) == self.nodes

    def hand_over(self, new: bool) -> None:
        """Crash the leader while tasks run; a node of the given version is elected."""
        assert any(m.running_tasks() for m in self.cloud.machines.values())
        self.next_leader_runs_this_version = new
        self.crash(self.leader)
        self.next_leader_runs_this_version = None
        assert self.leader_ran_this_version[-1] is new

    def watch(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            self.run(0.5)
            self.poll_all()
