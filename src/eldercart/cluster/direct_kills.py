"""Kills of cancelled tasks that go straight to the worker, besides going into its next answer."""

from dataclasses import dataclass

from eldercart.cluster.inventory import Machine, MachineState
from eldercart.scheduling.cluster_state import SchedulerState
from eldercart.units import NEVER, MachineId, Session, Steady
from eldercart.wire import workers

ORDER_S = 2.0  # between two direct commands to a machine
ORDERS_RATE = 120.0  # a second on a whole core: a connection each, which costs a millisecond
CORE_SHARE_LEAST = 0.1  # of a core that is counted on
# A worker drops an answer 4 s after it sent the report: by then a launch sent before the stop has
# been carried out, or never will be.
LAUNCH_LATE_S = 4.5


@dataclass(frozen=True, slots=True)
class Order:
    """Kills that go straight to the worker."""

    machine: MachineId
    address: str
    session: Session
    commands: tuple[workers.Kill, ...]


class DirectOrders:
    """Hands direct commands out at a bounded rate and reads what the workers answer.

    A worker may report to a node that still acts for the leader before, and that can't be told so
    while the store is down: the order ends the task, and shows the worker the new epoch, after
    which it obeys nobody else. It also comes before a task that is fetching its image starts. Only
    kills go this way: a launch that the network holds back would run late."""

    def __init__(self, scheduler: SchedulerState) -> None:
        """Nothing was handed out yet."""
        self._scheduler = scheduler
        self._ordered = scheduler.began  # when direct commands were handed out last

    def take(self, now: Steady) -> list[Order]:
        """The orders that may be sent now."""
        orders: list[Order] = []
        waiting = self._scheduler.orders
        if not waiting:
            return orders
        allowed = self._allowed(now)
        for machine_id in list(waiting):
            if len(orders) >= allowed:
                break
            machine = self._scheduler.fleet.get(machine_id)
            if machine is None or machine.state not in (MachineState.UP, MachineState.LEAVING):
                del waiting[machine_id]
                continue
            if not machine.address or now - machine.ordered < ORDER_S:
                continue
            del waiting[machine_id]
            order = self._order(machine)
            if order is not None:
                machine.ordered = now
                orders.append(order)
        if orders:
            self._ordered = now
        return orders

    def _allowed(self, now: Steady) -> int:
        rate = ORDERS_RATE * max(CORE_SHARE_LEAST, self._scheduler.settings.core_share)
        return int(min(1.0, now - self._ordered) * rate)

    def _order(self, machine: Machine) -> Order | None:
        kills = tuple(
            workers.Kill(placement.key, placement.attempt, 0.0)
            for placement in machine.being_cancelled()
        )
        if not kills:
            return None
        session = max(machine.session, machine.order.session, Session(1))
        return Order(machine.id, machine.address, session, kills[: workers.MAX_COMMANDS])

    def answered(self, report: workers.Report, executed: bool, sent: Steady, now: Steady) -> None:
        """The worker's report after a direct command, or instead of it (another session)."""
        scheduler = self._scheduler
        machine = scheduler.fleet.get(report.machine)
        if machine is None:
            return
        machine.shown = now
        session_rose = report.order.session > max(
            machine.session, machine.order.session, Session(1)
        )
        machine.session = max(machine.session, report.order.session)
        if executed:
            self._void_absent(machine, report, sent, now)
        elif session_rose:
            # It was meant for an earlier session; once more for this one, at once.
            machine.ordered = NEVER
            scheduler.orders[machine.id] = None

    def _void_absent(
        self, machine: Machine, report: workers.Report, sent: Steady, now: Steady
    ) -> None:
        """It has obeyed under this epoch, so nothing that an earlier leader sent can start a task
        any more, and what this one sent has run or was dropped."""
        if report.epoch != self._scheduler.epoch or report.order <= machine.order:
            return
        there = {(t.key, t.attempt) for t in report.tasks if t.state != workers.TaskState.EXITED}
        for placement in machine.being_cancelled():
            launches_over = sent - placement.job.cancelled_at >= LAUNCH_LATE_S
            if launches_over and (placement.key, placement.attempt) not in there:
                self._scheduler.void(placement, now)
