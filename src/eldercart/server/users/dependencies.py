"""Caches and looks up the acceptance, dependencies and ancestors of jobs.

The state service is queried for two purposes: to check whether all jobs of a list were accepted
(`acceptance_check`), and whether an ancestor of a job was cancelled (`ancestor_search`). Each query
uses few requests, since a job may name thousands of dependencies and chains of jobs may be long.
Results that never change are cached, so that a retry continues where the previous attempt ran out
of rate-limit tokens or time.
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
    decode_dependency_list_reference,
    decode_end_record,
    dependency_list_prefix,
    job_id_of,
    resolve_dependency_list,
    split_dependency_list,
)
from eldercart.wire.users import DependencyListReference, JobSpec

MAX_PARTIAL_LISTS = 64  # partly written lists kept for retried submissions


class DependencyResolver:
    """Caches and looks up which jobs were accepted and what they depend on."""

    def __init__(
        self, context: LookupContext, outcomes: JobOutcomeCache, max_cache_weight: int
    ) -> None:
        """Use `outcomes`, the node's cache, and add to it the outcomes that are read here.

        `max_cache_weight` bounds the cache of accepted jobs and that of dependencies separately.
        """
        self.outcomes = outcomes
        self._context = context
        self._accepted_jobs: RecentCache[bool] = RecentCache(max_cache_weight)
        self._dependencies_by_job: RecentCache[tuple[JobId, ...]] = RecentCache(max_cache_weight)
        self._partial_lists: OrderedDict[JobId, DependencyListWriter] = OrderedDict()

    # -- acceptance

    def record_accepted(self, job: JobId) -> None:
        """Cache that this or another node accepted the job."""
        self._accepted_jobs.put(job, True)

    def is_accepted(self, job: JobId) -> bool:
        """Return whether the job is known to be accepted; an acceptance is never revoked."""
        if self.outcomes.get(job) is not None or self._accepted_jobs.get(job):
            return True
        scheduler = self._context.leader.scheduler
        return scheduler is not None and job in scheduler.jobs

    def check_accepted(
        self, jobs: Iterable[JobId], on_result: Callable[[AcceptanceResult], None]
    ) -> None:
        """Check whether all the jobs were accepted."""
        AcceptanceCheck(self._context, self, jobs, on_result).begin()

    # -- dependency lists that are too long for the job's record

    def fits_in_record(self, spec: JobSpec) -> bool:
        """Return whether the job's record can hold its list of dependencies."""
        return not self._split_list(spec)

    def write_list(
        self,
        spec: JobSpec,
        deadline_at: MonotonicTime,
        on_result: Callable[[DependencyListReference | None], None],
    ) -> None:
        """Write the job's dependency list under separate keys.

        `on_result` gets the reference to the list once it is durable, or None if it can't be
        written now. A partly written list is kept for a retried submission.
        """
        writer = self._partial_lists.pop(spec.id, None)
        if writer is None or writer.dependencies != spec.dependencies or writer.is_in_flight:
            writer = DependencyListWriter(self._context, spec, self._split_list(spec))
        self._partial_lists[spec.id] = writer
        while len(self._partial_lists) > MAX_PARTIAL_LISTS:
            self._partial_lists.popitem(last=False)
        writer.write(deadline_at, on_result)

    def discard_partial_list(self, job: JobId) -> None:
        """Stop keeping the job's list for retries, now that the job's record is durable.

        While the result of writing the record is unknown, a retry may use the same list. The job
        still gets only one record: its write requires that the job has neither a record nor an
        outcome.
        """
        self._partial_lists.pop(job, None)

    def _split_list(self, spec: JobSpec) -> list[list[JobId]]:
        return split_dependency_list(spec.dependencies, self._context.settings.value_bytes)

    # -- outcomes of many jobs

    def read_outcomes(
        self, jobs: Iterable[JobId], on_result: Callable[[dict[JobId, str] | None], None]
    ) -> None:
        """Read the outcomes of those jobs that have ended, and add them to the cache.

        `on_result` gets outcomes of other jobs as well, or None if the read failed. The read takes
        one request per thousand outcomes under the common key prefix of the jobs. Transactions that
        check conditions would take one request for every few jobs.
        """

        def on_range(items: list[Item] | None, _: Revision) -> None:
            if items is None:
                on_result(None)
                return
            outcomes = {job_id_of(item): decode_end_record(item.value) for item in items}
            for job, outcome in outcomes.items():
                self.outcomes.put(job, outcome)
            on_result(outcomes)

        self._context.store.range(common_key_prefix(END_PREFIX, jobs), on_range)

    # -- dependencies

    def dependencies_of(self, job: JobId) -> tuple[JobId, ...] | None:
        """Return the dependencies of the accepted job; None if they are not cached."""
        return self._dependencies_by_job.get(job)

    def record_dependencies(self, job: JobId, dependencies: tuple[JobId, ...]) -> None:
        """Cache the dependencies of an accepted job, which never change."""
        self._dependencies_by_job.put(job, dependencies, 1 + len(dependencies))

    def record_dependencies_from(self, job: JobId, item: Item) -> tuple[JobId, ...] | None:
        """Cache and return the dependencies from a job's record that holds the whole list.

        Returns None if the record is malformed.
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
        """Read the dependencies of the job with this record; None if that fails."""
        job = job_id_of(item)
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
        """Search the jobs and their ancestors for one with a durable cancellation."""
        AncestorSearch(self._context, self, jobs, on_result).run_round()
