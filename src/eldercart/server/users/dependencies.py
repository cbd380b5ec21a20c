"""What a node knows of the jobs that other jobs await.

Two questions are put to the state service, each of them in few requests, since a job may name
thousands and pipelines may be long: were all these jobs accepted (`acceptance_check`), and was one
of those before this job cancelled (`ancestor_search`)? Each answer that can't change is kept here,
so that a repeat starts where the last try ran out of tokens or of time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from eldercart.server.store.key_ranges import common_key_prefix
from eldercart.server.users.acceptance_check import AcceptanceCheck, AcceptanceResult
from eldercart.server.users.ancestor_search import AncestorSearch, AncestorSearchResult
from eldercart.server.users.dependency_list import DependencyListWriter
from eldercart.server.users.recent_cache import JobOutcomeCache, RecentCache
from eldercart.units import JobId, MonotonicTime, Revision
from eldercart.wire import MalformedMessage, users
from eldercart.wire.state import Item
from eldercart.wire.stored_jobs import (
    END_PREFIX,
    JOB_PREFIX,
    decode_dependency_list_reference,
    decode_end_record,
    dependency_list_prefix,
    resolve_dependency_list,
    split_dependency_list,
)
from eldercart.wire.users import DependencyListReference, JobSpec

if TYPE_CHECKING:
    from eldercart.server.controller_node import ControllerNode

MAX_PARTIAL_LISTS = 64  # lists partly written that are kept for their users' next tries


class DependencyResolver:
    """Owns what this node knows of jobs that others await."""

    def __init__(self, node: "ControllerNode", outcomes: JobOutcomeCache) -> None:
        """`finals` are the ends known at the node; what is read here is added to them."""
        self.node = node
        self.outcomes = outcomes
        most = node.tuning.final_cache
        self._accepted_jobs: RecentCache[bool] = RecentCache(most)
        self._dependencies_by_job: RecentCache[tuple[JobId, ...]] = RecentCache(most)
        self._partial_lists: OrderedDict[JobId, DependencyListWriter] = OrderedDict()

    # -- acceptance

    def record_accepted(self, job: JobId) -> None:
        """Remembers that the job was accepted, by any node."""
        self._accepted_jobs.put(job, True)

    def is_accepted(self, job: JobId) -> bool:
        """Whether it is known here; an acceptance is never taken back."""
        if self.outcomes.get(job) is not None or self._accepted_jobs.get(job):
            return True
        controller = self.node.leader_service.scheduler
        return controller is not None and job in controller.jobs

    def check_accepted(
        self, jobs: Iterable[JobId], on_result: Callable[[AcceptanceResult], None]
    ) -> None:
        """Finds out whether all the jobs were accepted."""
        AcceptanceCheck(self.node, self, jobs, on_result).begin()

    # -- lists too long for their job's record

    def fits_in_record(self, spec: JobSpec) -> bool:
        """Whether the job's record takes its list."""
        return not split_dependency_list(spec.dependencies, self.node.settings.value_bytes)

    def write_list(
        self,
        spec: JobSpec,
        deadline_at: MonotonicTime,
        on_result: Callable[[DependencyListReference | None], None],
    ) -> None:
        """`done(where)` once the list is durable; None if it can't be written now."""
        started = self._partial_lists.pop(spec.id, None)
        if started is None or started.dependencies != spec.dependencies or started.is_in_flight:
            parts = split_dependency_list(spec.dependencies, self.node.settings.value_bytes)
            started = DependencyListWriter(self.node, spec, parts)
        self._partial_lists[spec.id] = started
        while len(self._partial_lists) > MAX_PARTIAL_LISTS:
            self._partial_lists.popitem(last=False)
        started.write(deadline_at, on_result)

    def forget_list(self, job: JobId) -> None:
        """The job's record is there. As long as that is not sure the next try may use the same
        list: whichever of their records comes first, its guards keep the others out, and so does
        the job's end."""
        self._partial_lists.pop(job, None)

    # -- ends of many jobs

    def read_outcomes(
        self, jobs: Iterable[JobId], on_result: Callable[[dict[JobId, str] | None], None]
    ) -> None:
        """How those jobs ended that did, and more of them: what is read is kept as known. It is
        one request for each thousand ends that begin alike, where guards would take one for each
        few jobs."""

        def got(items: list[Item] | None, _: Revision) -> None:
            if items is None:
                on_result(None)
                return
            ends = {
                JobId(item.key[len(END_PREFIX) :]): decode_end_record(item.value) for item in items
            }
            for job, state in ends.items():
                self.outcomes.put(job, state)
            on_result(ends)

        self.node.store.range(common_key_prefix(END_PREFIX, jobs), got)

    # -- what jobs await

    def dependencies_of(self, job: JobId) -> tuple[JobId, ...] | None:
        """What the accepted job awaits; None if that is not known here."""
        return self._dependencies_by_job.get(job)

    def record_dependencies(self, job: JobId, dependencies: tuple[JobId, ...]) -> None:
        """Remembers what an accepted job awaits; it never changes."""
        self._dependencies_by_job.put(job, dependencies, 1 + len(dependencies))

    def record_dependencies_from(self, job: JobId, item: Item) -> tuple[JobId, ...] | None:
        """From a record that holds its list. One that can't be read awaits nobody knows whom."""
        try:
            record = item.value.get("s") if isinstance(item.value, dict) else None
            names = users.dependencies_from_record(record)
        except MalformedMessage:
            return None
        self.record_dependencies(job, names)
        return names

    def read_dependencies(
        self, item: Item, on_result: Callable[[tuple[JobId, ...] | None], None]
    ) -> None:
        """The dependencies of the job with this record; None if they can't be told now."""
        job = JobId(item.key[len(JOB_PREFIX) :])
        known = self.dependencies_of(job)
        if known is not None:
            on_result(known)
            return

        def got(lists: list[Item] | None, _: Revision) -> None:
            whole = None if lists is None else resolve_dependency_list(job, item, lists)
            on_result(None if whole is None else self.record_dependencies_from(job, whole))

        try:
            reference = decode_dependency_list_reference(item.value)
        except MalformedMessage:
            on_result(None)
            return
        if reference is None:
            on_result(self.record_dependencies_from(job, item))
        else:
            self.node.store.range(dependency_list_prefix(job, reference), got)

    def search_ancestors(
        self, jobs: tuple[JobId, ...], on_result: Callable[[AncestorSearchResult], None]
    ) -> None:
        """Finds out whether one of the jobs, or one before them, has a durable cancellation."""
        AncestorSearch(self.node, self, jobs, on_result).run_round()
