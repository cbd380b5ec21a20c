"""What this node knows of the jobs that other jobs depend on.

Two questions are put to the state service, each of them in few requests, since a job may name
thousands of dependencies and chains of jobs may be long: were all of these jobs accepted
(`acceptance_check`), and was an ancestor of this job cancelled (`ancestor_search`)? Answers that
can't change are cached here, so that a repeat starts where the last try ran out of tokens or time.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from eldercart.server.store.key_ranges import common_key_prefix
from eldercart.server.users.acceptance_check import AcceptanceCheck, AcceptanceResult
from eldercart.server.users.ancestor_search import AncestorSearch, AncestorSearchResult
from eldercart.server.users.dependency_list import DependencyListWriter
from eldercart.server.users.lookup_context import LookupContext
from eldercart.server.users.recent_cache import JobOutcomeCache, RecentCache
from eldercart.units import JobId, MonotonicTime, Revision
from eldercart.wire import MalformedMessageError, users
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

MAX_PARTIAL_LISTS = 64  # partly written lists that are kept for the next tries of their users


class DependencyResolver:
    """Caches and looks up which jobs were accepted and what they depend on."""

    def __init__(
        self, context: LookupContext, outcomes: JobOutcomeCache, max_cache_weight: int
    ) -> None:
        """`outcomes` is the node's cache, to which outcomes that are read here are added.

        `max_cache_weight` bounds each of the two caches, of accepted jobs and of dependencies.
        """
        self.outcomes = outcomes
        self._context = context
        self._accepted_jobs: RecentCache[bool] = RecentCache(max_cache_weight)
        self._dependencies_by_job: RecentCache[tuple[JobId, ...]] = RecentCache(max_cache_weight)
        self._partial_lists: OrderedDict[JobId, DependencyListWriter] = OrderedDict()

    # -- acceptance

    def record_accepted(self, job: JobId) -> None:
        """Remember that the job was accepted, by any node."""
        self._accepted_jobs.put(job, True)

    def is_accepted(self, job: JobId) -> bool:
        """Return whether the job is known here as accepted; an acceptance is never revoked."""
        if self.outcomes.get(job) is not None or self._accepted_jobs.get(job):
            return True
        scheduler = self._context.leader.scheduler
        return scheduler is not None and job in scheduler.jobs

    def check_accepted(
        self, jobs: Iterable[JobId], on_result: Callable[[AcceptanceResult], None]
    ) -> None:
        """Find out whether all the jobs were accepted."""
        AcceptanceCheck(self._context, self, jobs, on_result).begin()

    # -- lists too long for their job's record

    def fits_in_record(self, spec: JobSpec) -> bool:
        """Return whether the job's record can hold its list of dependencies."""
        return not self._split_list(spec)

    def write_list(
        self,
        spec: JobSpec,
        deadline_at: MonotonicTime,
        on_result: Callable[[DependencyListReference | None], None],
    ) -> None:
        """Write the job's list of dependencies under keys of its own.

        `on_result` gets the reference to the list once it is durable; None if it can't be written
        now. A list that is partly written is kept for the job's next try.
        """
        writer = self._partial_lists.pop(spec.id, None)
        if writer is None or writer.dependencies != spec.dependencies or writer.is_in_flight:
            writer = DependencyListWriter(self._context, spec, self._split_list(spec))
        self._partial_lists[spec.id] = writer
        while len(self._partial_lists) > MAX_PARTIAL_LISTS:
            self._partial_lists.popitem(last=False)
        writer.write(deadline_at, on_result)

    def forget_list(self, job: JobId) -> None:
        """Forget the job's list, now that the job's record is durable.

        As long as that is not sure, the next try may use the same list: the conditions of
        whichever record comes first keep the others out, and so does the job's outcome.
        """
        self._partial_lists.pop(job, None)

    def _split_list(self, spec: JobSpec) -> list[list[JobId]]:
        return split_dependency_list(spec.dependencies, self._context.settings.value_bytes)

    # -- outcomes of many jobs

    def read_outcomes(
        self, jobs: Iterable[JobId], on_result: Callable[[dict[JobId, str] | None], None]
    ) -> None:
        """Read the outcomes of those of the jobs that have ended, and add them to the cache.

        `on_result` gets outcomes of other jobs as well, or None if the read failed. The read takes
        one request for each thousand outcomes under the common key prefix of the jobs, where
        transactions of conditions would take one for each few jobs.
        """

        def on_range(items: list[Item] | None, _: Revision) -> None:
            if items is None:
                on_result(None)
                return
            outcomes = {
                JobId(item.key[len(END_PREFIX) :]): decode_end_record(item.value) for item in items
            }
            for job, outcome in outcomes.items():
                self.outcomes.put(job, outcome)
            on_result(outcomes)

        self._context.store.range(common_key_prefix(END_PREFIX, jobs), on_range)

    # -- dependencies

    def dependencies_of(self, job: JobId) -> tuple[JobId, ...] | None:
        """Return what the accepted job depends on; None if that is not cached here."""
        return self._dependencies_by_job.get(job)

    def record_dependencies(self, job: JobId, dependencies: tuple[JobId, ...]) -> None:
        """Remember what an accepted job depends on; that never changes."""
        self._dependencies_by_job.put(job, dependencies, 1 + len(dependencies))

    def record_dependencies_from(self, job: JobId, item: Item) -> tuple[JobId, ...] | None:
        """Remember and return the dependencies in a job's record that holds its whole list.

        Returns None for a record that can't be read: its dependencies are not known.
        """
        try:
            record = item.value.get("s") if isinstance(item.value, dict) else None
            dependencies = users.dependencies_from_record(record)
        except MalformedMessageError:
            return None
        self.record_dependencies(job, dependencies)
        return dependencies

    def read_dependencies(
        self, item: Item, on_result: Callable[[tuple[JobId, ...] | None], None]
    ) -> None:
        """Find out the dependencies of the job with this record; None if that fails now."""
        job = JobId(item.key[len(JOB_PREFIX) :])
        cached = self.dependencies_of(job)
        if cached is not None:
            on_result(cached)
            return

        def on_list_parts(parts: list[Item] | None, _: Revision) -> None:
            resolved = None if parts is None else resolve_dependency_list(job, item, parts)
            on_result(None if resolved is None else self.record_dependencies_from(job, resolved))

        try:
            reference = decode_dependency_list_reference(item.value)
        except MalformedMessageError:
            on_result(None)
            return
        if reference is None:
            on_result(self.record_dependencies_from(job, item))
        else:
            self._context.store.range(dependency_list_prefix(job, reference), on_list_parts)

    def search_ancestors(
        self, jobs: tuple[JobId, ...], on_result: Callable[[AncestorSearchResult], None]
    ) -> None:
        """Find out whether one of the jobs or of their ancestors has a durable cancellation."""
        AncestorSearch(self._context, self, jobs, on_result).run_round()
