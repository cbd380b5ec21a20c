"""What a node knows of the jobs that other jobs await.

Two questions are put to the state service, each of them in few requests, since a job may name
thousands and pipelines may be long: were all these jobs accepted (`acceptance_check`), and was one
of those before this job cancelled (`ancestor_search`)? Each answer that can't change is kept here,
so that a repeat starts where the last try ran out of tokens or of time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from eldercart.jobs.registry import (
    END,
    JOB,
    dependency_list_parts,
    dependency_list_prefix,
    end_of,
    list_reference,
    resolve,
)
from eldercart.server.store.key_ranges import common_key
from eldercart.server.users.acceptance_check import AcceptanceCheck, Accepted
from eldercart.server.users.ancestor_search import Ancestors, AncestorSearch
from eldercart.server.users.dependency_list import DependencyList
from eldercart.server.users.recent_cache import FinalStates, RecentFacts
from eldercart.units import JobId, Revision, Steady
from eldercart.wire import Malformed, users
from eldercart.wire.state import Item
from eldercart.wire.users import JobSpec, ListReference

if TYPE_CHECKING:
    from eldercart.server.controller_node import Node

LISTS_KEPT = 64  # lists partly written that are kept for their users' next tries


class Dependencies:
    """Owns what this node knows of jobs that others await."""

    def __init__(self, node: "Node", finals: FinalStates) -> None:
        """`finals` are the ends known at the node; what is read here is added to them."""
        self.node = node
        self.finals = finals
        most = node.tuning.final_cache
        self._accepted: RecentFacts[bool] = RecentFacts(most)
        self._names: RecentFacts[tuple[JobId, ...]] = RecentFacts(most)
        self._lists: OrderedDict[JobId, DependencyList] = OrderedDict()

    # -- acceptance

    def accepted(self, job: JobId) -> None:
        """Remembers that the job was accepted, by any node."""
        self._accepted.keep(job, True)

    def was_accepted(self, job: JobId) -> bool:
        """Whether it is known here; an acceptance is never taken back."""
        if self.finals.get(job) is not None or self._accepted.get(job):
            return True
        controller = self.node.leader_service.controller
        return controller is not None and job in controller.jobs

    def check(self, jobs: Iterable[JobId], done: Callable[[Accepted], None]) -> None:
        """Finds out whether all the jobs were accepted."""
        AcceptanceCheck(self.node, self, jobs, done).begin()

    # -- lists too long for their job's record

    def fits(self, spec: JobSpec) -> bool:
        """Whether the job's record takes its list."""
        return not dependency_list_parts(spec.dependencies, self.node.settings.value_bytes)

    def write_list(
        self, spec: JobSpec, until: Steady, done: Callable[[ListReference | None], None]
    ) -> None:
        """`done(where)` once the list is durable; None if it can't be written now."""
        started = self._lists.pop(spec.id, None)
        if started is None or started.dependencies != spec.dependencies or started.under_way:
            parts = dependency_list_parts(spec.dependencies, self.node.settings.value_bytes)
            started = DependencyList(self.node, spec, parts)
        self._lists[spec.id] = started
        while len(self._lists) > LISTS_KEPT:
            self._lists.popitem(last=False)
        started.write(until, done)

    def forget_list(self, job: JobId) -> None:
        """The job's record is there. As long as that is not sure the next try may use the same
        list: whichever of their records comes first, its guards keep the others out, and so does
        the job's end."""
        self._lists.pop(job, None)

    # -- ends of many jobs

    def read_ends(
        self, jobs: Iterable[JobId], done: Callable[[dict[JobId, str] | None], None]
    ) -> None:
        """How those jobs ended that did, and more of them: what is read is kept as known. It is
        one request for each thousand ends that begin alike, where guards would take one for each
        few jobs."""

        def got(items: list[Item] | None, _: Revision) -> None:
            if items is None:
                done(None)
                return
            ends = {JobId(item.key[len(END) :]): end_of(item.value) for item in items}
            for job, state in ends.items():
                self.finals.keep(job, state)
            done(ends)

        self.node.store.range(common_key(END, jobs), got)

    # -- what jobs await

    def names_of(self, job: JobId) -> tuple[JobId, ...] | None:
        """What the accepted job awaits; None if that is not known here."""
        return self._names.get(job)

    def learn_names(self, job: JobId, names: tuple[JobId, ...]) -> None:
        """Remembers what an accepted job awaits; it never changes."""
        self._names.keep(job, names, 1 + len(names))

    def learn_record(self, job: JobId, item: Item) -> tuple[JobId, ...] | None:
        """From a record that holds its list. One that can't be read awaits nobody knows whom."""
        try:
            record = item.value.get("s") if isinstance(item.value, dict) else None
            names = users.dependencies_from_record(record)
        except Malformed:
            return None
        self.learn_names(job, names)
        return names

    def read_names(self, item: Item, done: Callable[[tuple[JobId, ...] | None], None]) -> None:
        """The dependencies of the job with this record; None if they can't be told now."""
        job = JobId(item.key[len(JOB) :])
        known = self.names_of(job)
        if known is not None:
            done(known)
            return

        def got(lists: list[Item] | None, _: Revision) -> None:
            whole = None if lists is None else resolve(job, item, lists)
            done(None if whole is None else self.learn_record(job, whole))

        try:
            reference = list_reference(item.value)
        except Malformed:
            done(None)
            return
        if reference is None:
            done(self.learn_record(job, item))
        else:
            self.node.store.range(dependency_list_prefix(job, reference), got)

    def search_ancestors(self, jobs: tuple[JobId, ...], done: Callable[[Ancestors], None]) -> None:
        """Finds out whether one of the jobs, or one before them, has a durable cancellation."""
        AncestorSearch(self.node, self, jobs, done).step()
