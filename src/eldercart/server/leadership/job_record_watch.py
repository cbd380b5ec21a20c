"""The job records that other nodes create: the leader's watch on them, and the lists of
dependencies that some of them refer to."""

import logging
from typing import TYPE_CHECKING, Any, NamedTuple

from twisted.internet import reactor as _reactor

from eldercart.jobs.registry import (
    DEPENDENCY_LISTS,
    JOB,
    dependency_list_prefix,
    list_reference,
    resolve,
)
from eldercart.scheduling.scheduler import Controller
from eldercart.server.leadership.current_leadership import serves
from eldercart.units import JobId, Revision
from eldercart.wire import Malformed
from eldercart.wire.state import Item

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

reactor: Any = _reactor
log = logging.getLogger("eldercart.node")

WATCH_LONGEST_S = 10.0  # for which one request of the watch stays open
WATCH_AGAIN_S = 0.5  # before a watch that failed is tried again
LIST_AGAIN_S, LIST_LONGEST_S = 0.5, 10.0  # pauses before a list is read again


class JobRecords:
    """Teaches the controller the jobs that any node accepts, while this node leads.

    Each call under way belongs to the controller it was made for and is dropped once another one,
    or none, is in its place."""

    def __init__(self, node: "Node") -> None:
        """Teaches whatever controller the node's `leader_service` has."""
        self._node = node
        self._resolving: set[JobId] = set()  # jobs whose list of dependencies is being read

    def reset(self) -> None:
        """A new leadership begins: reads of the one before don't count any more."""
        self._resolving.clear()

    # -- the watch

    def watch(self, controller: Controller, after: Revision) -> None:
        """Learns each record that is created after that revision."""
        if not serves(self._node, controller):
            return

        def got(status: int | None, revision: Revision, events: list[Any]) -> None:
            if not serves(self._node, controller):
                return
            if status == 200:
                self._take_events(events)
                self.watch(controller, revision)
            elif status == 410:
                self._reread(controller)
            else:
                reactor.callLater(WATCH_AGAIN_S, self.watch, controller, after)

        self._node.store.watch(JOB, after, WATCH_LONGEST_S, got)

    def _take_events(self, events: list[Any]) -> None:
        for event in events:
            if isinstance(event, Item):
                self.learn(event)
        if events:
            self._node.leader_service.process_events_soon()

    def _reread(self, controller: Controller) -> None:
        """More has changed than the state service keeps: reads all records and watches on."""
        if not serves(self._node, controller):
            return

        def got(items: list[Item] | None, revision: Revision) -> None:
            if not serves(self._node, controller):
                return
            if items is None:
                reactor.callLater(WATCH_AGAIN_S, self._reread, controller)
                return
            for item in items:
                self.learn(item)
            self.watch(controller, revision)

        self._node.store.range(JOB, got)

    # -- single records

    def learn(self, item: Item) -> None:
        """A record that refers to a list is learned with it. As long as the list can't be read the
        job stays unknown here: polls look it up, and nothing of it may start."""
        controller = self._node.leader_service.controller
        job = JobId(item.key[len(JOB) :])
        if controller is None or self._node.user_service.final_of(job) is not None:
            return
        if not refers_to_list(item):
            controller.learn_job(item, self._node.clock())
        elif job not in controller.jobs and job not in self._resolving:
            self._resolving.add(job)
            self._resolve(controller, job, item, LIST_AGAIN_S)

    def _resolve(self, controller: Controller, job: JobId, item: Item, pause: float) -> None:
        """Reads the list that the record refers to, until it is there."""
        if not serves(self._node, controller):
            return
        reference = list_reference(item.value)
        known = job in controller.jobs or self._node.user_service.final_of(job) is not None
        if reference is None or known:
            self._resolving.discard(job)
            return

        def got(lists: list[Item] | None, revision: Revision) -> None:
            if not serves(self._node, controller):
                return
            whole = None if lists is None else resolve(job, item, lists)
            if whole is None:
                log.info("list of dependencies not read job=%s", job)
                longer = min(LIST_LONGEST_S, 2 * pause)
                reactor.callLater(pause, self._resolve, controller, job, item, longer)
            else:
                self._learn_resolved(controller, job, whole)

        self._node.store.range(dependency_list_prefix(job, reference), got)

    def _learn_resolved(self, controller: Controller, job: JobId, whole: Item) -> None:
        self._resolving.discard(job)
        if self._node.user_service.final_of(job) is None:
            controller.learn_job(whole, self._node.clock())
            self._node.leader_service.process_events_soon()


def refers_to_list(item: Item) -> bool:
    """Whether the job's dependencies stand in records of their own."""
    try:
        return list_reference(item.value) is not None
    except Malformed:
        return False  # unreadable in any case; whoever reads it says so


class ResolvedRecords(NamedTuple):
    """Job records by whether their lists of dependencies were found."""

    whole: list[Item]  # with their lists in them
    missing: list[Item]  # as they are; their lists are not all there


def resolve_all(records: list[Item], lists: list[Item]) -> ResolvedRecords:
    """Puts the lists of dependencies into the job records that refer to them."""
    of_job: dict[str, list[Item]] = {}
    for item in lists:
        of_job.setdefault(item.key[len(DEPENDENCY_LISTS) :].partition("/")[0], []).append(item)
    whole: list[Item] = []
    missing: list[Item] = []
    for item in records:
        job = JobId(item.key[len(JOB) :])
        found = resolve(job, item, of_job.get(job, ())) if refers_to_list(item) else item
        if found is None:
            missing.append(item)
        else:
            whole.append(found)
    return ResolvedRecords(whole, missing)
