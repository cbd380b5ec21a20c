"""Leadership: requests in flight when it ends, failover reads, and replies to users' polls.

A node may lose the leadership and be elected again within a second. The scheduler of the new
leadership has read the records again and has no state for the requests of the previous one, so
their responses must not reach it."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest

from eldercart.cluster.direct_kills import DirectKill
from eldercart.election.state_machine import Election
from eldercart.jobs.job_records import JobRecordSource
from eldercart.scheduling.scheduler import GetCatalog, JobStatus, LookupFailure, TransactionOutcome
from eldercart.server.leadership import failover, job_record_watch
from eldercart.server.leadership.catalog_record import CATALOG_KEY, CatalogRecord
from eldercart.server.leadership.cloud_requests import CloudRequests
from eldercart.server.leadership.failover import Failover, StoredRecords
from eldercart.server.leadership.job_record_watch import JobRecordWatch
from eldercart.server.leadership.state_store_requests import StateStoreRequests
from eldercart.server.leadership.user_answers import UserAnswers
from eldercart.server.leadership.worker_requests import WorkerRequests
from eldercart.server.machine_types import KnownMachineTypes
from eldercart.units import (
    AgentEpoch,
    FencingToken,
    JobId,
    LeaseId,
    MachineId,
    MonotonicTime,
    NodeId,
    Revision,
)
from eldercart.wire import cloud, peers, users
from eldercart.wire.state import Item, Transaction
from eldercart.wire.stored_jobs import (
    CLEANUP_PREFIX,
    DEPENDENCY_LIST_PREFIX,
    JOB_PREFIX,
    encode_job_record,
)
from eldercart.wire.stored_learned_state import LEARNED_STATE_PREFIX
from eldercart.wire.stored_placements import PLACEMENT_PREFIX
from simulators import CATALOG
from test_store_limits import leading_node
from world import submission

NOW = MonotonicTime(5.0)
HEARTBEAT = (
    b'{"wagon":"n-1","address":"a:1","breed":"b","yard":"z","loaners":false,"stint":1,"tally":2,'
    b'"whip":7,"parcels":[]}'
)


class FakeNode:
    """A node without sockets that keeps the callback of each request."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[..., Any]] = []
        tokens = SimpleNamespace(
            available=lambda now, reserve=0.0: 10.0,
            try_take=lambda now: True,
            force_take=lambda now, number=1: None,
        )
        keep_callback = self.callbacks.append
        self.store = SimpleNamespace(
            requests=tokens,
            writes=tokens,
            unavailable_at=MonotonicTime(0.0),
            get=lambda key, done: keep_callback(done),
            range=lambda prefix, done: keep_callback(done),
            commit=lambda txn, done: keep_callback(done),
            watch=lambda key, after, wait_s, done: keep_callback(done),
        )
        self.leader_service = SimpleNamespace(
            scheduler=None,
            process_events=Mock(),
            process_events_soon=Mock(),
            step_down=Mock(),
            observe_token=Mock(),
        )
        self.outcomes = SimpleNamespace(outcome_of=lambda job: None)
        self.machine_types = KnownMachineTypes()

    def store_requests(self) -> StateStoreRequests:
        return StateStoreRequests(
            cast(Any, self.leader_service),
            cast(Any, self.store),
            cast(Any, self.outcomes),
            Mock(),
            lambda: NOW,
        )

    def cloud_requests(self) -> CloudRequests:
        requests = CloudRequests(
            cast(Any, self.leader_service),
            cast(Any, SimpleNamespace(may_call_cloud=lambda now, refused_at: True)),
            cast(Any, self.store),
            cast(Any, SimpleNamespace(cloud=Mock(), cloud_rps=5.0)),
            lambda: NOW,
        )
        requests._client = cast(Any, Mock(request=lambda *args: self.callbacks.append(args[-1])))
        return requests

    def worker_requests(self) -> WorkerRequests:
        requests = WorkerRequests(cast(Any, self.leader_service), 100, lambda: NOW)
        requests._client = cast(Any, Mock(request=lambda *args: self.callbacks.append(args[-1])))
        return requests

    def job_record_watch(self) -> JobRecordWatch:
        return JobRecordWatch(
            cast(Any, self.leader_service),
            cast(Any, self.store),
            cast(Any, self.outcomes),
            lambda: NOW,
        )

    def catalog_record(self) -> CatalogRecord:
        return CatalogRecord(
            cast(Any, self.leader_service),
            cast(Any, self.store),
            self.machine_types,
            lambda: NOW,
            4096,
        )

    def scheduler(self) -> Any:
        """Return a mock scheduler that requests nothing yet."""
        scheduler = Mock(
            keys_to_refresh=set(), refreshes_in_flight=set(), token=FencingToken(7), jobs={}
        )
        scheduler.take_due_end_lookups.return_value = []
        scheduler.next_transaction.return_value = (
            scheduler.next_learned_state_transaction.return_value
        ) = None
        scheduler.next_cloud_request.return_value = None
        scheduler.take_probes.return_value = scheduler.take_direct_kills.return_value = []
        scheduler.on_transaction_result.return_value = False
        return scheduler


def refresh_key(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.keys_to_refresh.add("place/1-1")
    node.store_requests().process_events(scheduler, NOW)
    return scheduler.on_key_refreshed, (True, None)


def read_outcome(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.take_due_end_lookups.return_value = [JobId("wk-1")]
    node.store_requests().process_events(scheduler, NOW)
    return scheduler.on_end_lookup_result, (True, None)


def commit(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.next_transaction.return_value = SimpleNamespace(transaction=Transaction({}))
    node.store_requests().process_events(scheduler, NOW)
    return scheduler.on_transaction_result, (200, Revision(3), ())


def send_cloud_request(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.next_cloud_request.side_effect = [GetCatalog(), None]
    node.cloud_requests().process_events(scheduler, NOW)
    return scheduler.on_cloud_response, (200, b"{}")


def probe(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.take_probes.return_value = [(MachineId("n-1"), "a:1")]
    node.worker_requests().process_events(scheduler, NOW)
    return scheduler.record_probe_success, (200, HEARTBEAT)


def send_direct_kill(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    scheduler.take_direct_kills.return_value = [
        DirectKill(MachineId("n-1"), "a:1", AgentEpoch(1), ())
    ]
    node.worker_requests().process_events(scheduler, NOW)
    return scheduler.on_direct_kill_response, (200, HEARTBEAT)


def watch_job_records(node: FakeNode, scheduler: Any) -> tuple[Any, tuple[Any, ...]]:
    node.job_record_watch().watch(scheduler, Revision(4))
    item = Item(JOB_PREFIX + "wk-1", {"s": []}, Revision(5))
    load_job_record = Mock()
    scheduler.load_job_record = load_job_record
    if node.leader_service.scheduler is not None:
        node.leader_service.scheduler.load_job_record = load_job_record
    return load_job_record, (200, Revision(5), [item])


REQUESTS = [
    refresh_key,
    read_outcome,
    commit,
    send_cloud_request,
    probe,
    send_direct_kill,
    watch_job_records,
]


@pytest.mark.parametrize("start", REQUESTS, ids=lambda start: start.__name__)
@pytest.mark.parametrize("later", ["same leadership", "new leadership", "no leadership"])
def test_responses_reach_only_the_scheduler_that_sent_the_request(start: Any, later: str) -> None:
    node = FakeNode()
    requester = node.leader_service.scheduler = node.scheduler()
    handler, response = start(node, requester)
    assert len(node.callbacks) == 1
    if later != "same leadership":
        node.leader_service.scheduler = node.scheduler() if later == "new leadership" else None
    if node.leader_service.scheduler is not None:
        node.leader_service.scheduler.load_job_record = requester.load_job_record
    node.callbacks.pop()(*response)
    assert handler.called is (later == "same leadership")
    if later != "same leadership":
        assert not node.callbacks, "the response caused another request"
        assert (
            not node.leader_service.process_events.called
            and not node.leader_service.process_events_soon.called
        )


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (None, TransactionOutcome.INDETERMINATE),
        (200, TransactionOutcome.COMMITTED),
        (400, TransactionOutcome.INVALID),
        (409, TransactionOutcome.CONFLICT),
        (413, TransactionOutcome.INVALID),
        (429, TransactionOutcome.REJECTED),
        (500, TransactionOutcome.INDETERMINATE),
        (503, TransactionOutcome.REJECTED),
    ],
)
def test_response_status_determines_the_transaction_outcome(
    status: int | None, outcome: TransactionOutcome
) -> None:
    """A write that may have been committed must not count as rejected: it would be repeated under
    its old versions. A rejected write must not count as indeterminate: the leader would check
    whether it was committed."""
    node = FakeNode()
    scheduler = node.leader_service.scheduler = node.scheduler()
    commit(node, scheduler)
    node.callbacks.pop()(status, Revision(3), ())
    assert scheduler.on_transaction_result.call_args.args[1] is outcome


@pytest.mark.parametrize("leads", [True, False])
def test_rejected_catalog_write_is_retried_only_by_its_own_leadership(leads: bool) -> None:
    node = FakeNode()
    machine_type = SimpleNamespace(
        name="b",
        cpus=1.0,
        gpus=0.0,
        memory_gb=1.0,
        cache_gb=1.0,
        fetch_gb_per_s=1.0,
        price=1.0,
        spot_price=0.0,
        boot_s=1.0,
        zones=("z",),
    )
    scheduler = node.scheduler()
    scheduler.cluster_state.types = {"b": machine_type}
    node.leader_service.scheduler = scheduler
    record = node.catalog_record()
    record.sync(scheduler)
    if not leads:
        node.leader_service.scheduler = node.scheduler()
    node.callbacks.pop()(503, Revision(0), ())
    assert scheduler.cloud_requests.catalog_changed is leads
    assert record.is_stored is not leads
    assert node.machine_types.by_name, "this node can still validate submissions"


# -- failover


class FailoverReads:
    """A failover whose reads are answered by the test."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.pending: list[tuple[str, Callable[..., Any]]] = []
        self.retries: list[Callable[[], Any]] = []
        self.done: list[StoredRecords] = []
        reactor = SimpleNamespace(callLater=lambda _, call: self.retries.append(call))
        monkeypatch.setattr(failover, "reactor", reactor)
        store = SimpleNamespace(range=lambda prefix, got: self.pending.append((prefix, got)))
        self.failover = Failover(cast(Any, store), self.done.append)
        self.failover.read_next()

    def answer(self, items: list[Item] | None, revision: int = 1) -> str:
        prefix, got = self.pending.pop()
        got(items, Revision(revision))
        return prefix


def job_item() -> Item:
    return Item(JOB_PREFIX + "wk-1", {}, Revision(3))


@pytest.mark.parametrize("has_list", [False, True])
def test_failover_reads_all_records_once(has_list: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch on job records starts at the revision of their read. If it started at a later one,
    it would miss a job that was accepted between two reads."""
    monkeypatch.setattr(failover, "has_dependency_list", lambda item: has_list)
    reads = FailoverReads(monkeypatch)
    expected_prefixes = [
        CATALOG_KEY,
        JOB_PREFIX,
        PLACEMENT_PREFIX,
        CLEANUP_PREFIX,
        LEARNED_STATE_PREFIX,
    ] + ([DEPENDENCY_LIST_PREFIX] if has_list else [])
    for number, prefix in enumerate(expected_prefixes):
        assert not reads.done
        items = [job_item()] if prefix == JOB_PREFIX else []
        assert reads.answer(None) == prefix, "the read that fails"
        reads.retries.pop()()
        assert reads.answer(items, 10 + number) == prefix
    (records,) = reads.done
    assert records.jobs == [job_item()] and records.jobs_revision == 11
    assert not reads.pending and not reads.retries


@pytest.mark.parametrize("answered", [0, 1, 4])
@pytest.mark.parametrize("last", ["read", "read failed", "retry pending"])
def test_cancelled_failover_never_completes(
    answered: int, last: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The records that it read may be older than what another leader has written since."""
    reads = FailoverReads(monkeypatch)
    for _ in range(answered):
        reads.answer([])
    if last == "retry pending":
        reads.answer(None)
        reads.failover.cancel()
        reads.retries.pop()()
    else:
        reads.failover.cancel()
        reads.answer([] if last == "read" else None)
    assert not reads.done and not reads.pending and not reads.retries


def test_dependency_lists_are_added_only_by_the_leadership_that_read_them(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A response to a read of the previous leadership must add the job to neither scheduler; the
    new leadership reads the list itself."""
    monkeypatch.setattr(job_record_watch, "has_dependency_list", lambda item: True)
    reference = users.DependencyListReference("abc", 2)
    monkeypatch.setattr(
        job_record_watch, "decode_dependency_list_reference", lambda value: reference
    )
    monkeypatch.setattr(job_record_watch, "resolve_dependency_list", lambda job, item, lists: item)
    node = FakeNode()
    records = node.job_record_watch()
    old = node.leader_service.scheduler = node.scheduler()
    records.add_record(job_item(), JobRecordSource.WATCH)
    new = node.leader_service.scheduler = node.scheduler()
    node.callbacks.pop()([], Revision(4))
    assert not old.load_job_record.called and not new.load_job_record.called
    records.reset()
    records.add_record(job_item(), JobRecordSource.WATCH)
    node.callbacks.pop()([], Revision(5))
    assert new.load_job_record.called and not old.load_job_record.called


# -- replies to users

RUNNING = JobStatus(users.RUNNING, 3, 1)


@pytest.mark.parametrize(
    ("name", "after", "renewed", "leads", "outcome", "status", "expected_state"),
    [
        ("within the lease", 2.9, False, True, None, RUNNING, users.RUNNING),
        ("unknown job", 2.9, False, True, None, LookupFailure.STATE_UNKNOWN, peers.UNKNOWN),
        ("undecided", 2.9, False, True, None, LookupFailure.UNDECIDED, peers.UNDECIDED),
        ("lease expired", 2.95, False, True, None, RUNNING, peers.NOT_LEADER),
        (
            "lease expired and unknown job",
            2.95,
            False,
            True,
            None,
            LookupFailure.STATE_UNKNOWN,
            peers.NOT_LEADER,
        ),
        ("lease renewed", 2.95, True, True, None, RUNNING, users.RUNNING),
        ("renewed lease expired", 5.5, True, True, None, RUNNING, peers.NOT_LEADER),
        ("not leading", 1.0, False, False, None, RUNNING, peers.NOT_LEADER),
        ("durable outcome after lease expiry", 9.0, False, True, users.DONE, RUNNING, users.DONE),
        (
            "durable outcome without leadership",
            9.0,
            False,
            False,
            users.CANCELLED,
            RUNNING,
            users.CANCELLED,
        ),
    ],
)
def test_leader_reports_unfinished_states_only_within_its_lease(
    name: str,
    after: float,
    renewed: bool,
    leads: bool,
    outcome: str | None,
    status: JobStatus | LookupFailure,
    expected_state: str,
) -> None:
    """After the lease has expired, another node may lead and have reported the job's end, which a
    reply of `running` would contradict. The lease lasts 3 s, less 2 % for clock drift, and starts
    when it is requested."""
    election = Election(NodeId("n"), 3.0, 0.02)
    election.on_leader_key_read(None, NOW)
    election.next_action(NOW)
    election.on_lease_granted(LeaseId(4), NOW)
    election.next_action(NOW)
    election.on_campaign_result(Revision(9), MonotonicTime(NOW + 0.2))
    if renewed:
        election.next_action(MonotonicTime(NOW + 2.0))
        election.on_keep_alive(True, MonotonicTime(NOW + 2.3))
    scheduler = SimpleNamespace(job_status=lambda job: status) if leads else None
    user_answers = UserAnswers(
        cast(Any, SimpleNamespace(scheduler=scheduler)),
        election,
        cast(Any, SimpleNamespace(outcome_of=lambda job: outcome)),
        lambda: MonotonicTime(NOW + after),
    )
    reply = user_answers.job_reply(7, JobId("wk-1"))
    assert (reply.request_id, reply.state) == (7, expected_state), name
    assert (reply.done_count, reply.running_count) == (
        (3, 1) if expected_state == users.RUNNING else (0, 0)
    ), name


def test_cleanup_marker_is_kept_while_the_dependency_list_is_unread() -> None:
    """The leader would treat an ended job without its cleanup marker as open once it has read the
    job's dependency list."""
    node, clock, sent = leading_node(None, cloud.parse_catalog(CATALOG))
    spec = users.parse_submission(submission("wk-000001", awaits=["wk-000000"]))
    record = encode_job_record(spec, 50, clock.now, users.DependencyListReference("abc", 1))
    marker = Item("gone/wk-000001", {"e": users.CANCELLED, "t": clock.now}, Revision(4))
    job = Item("job/wk-000001", record, Revision(3))
    node.leader_service._complete_failover(
        FencingToken(6), StoredRecords([], [job], [], [marker], [], [], Revision(5))
    )
    for _ in range(50):
        clock.now += 0.1
        node.leader_service.process_events()
    node.leader_service.end_leadership("the test is over")
    deleted = [write["delete"] for writes in sent for write in writes if "delete" in write]
    assert "gone/wk-000001" not in deleted


def test_job_with_a_late_dependency_list_ends_as_its_cleanup_marker_says() -> None:
    """From its record alone the job would count as open, and its tasks would run once it is
    ready."""
    node, clock, _ = leading_node(None, cloud.parse_catalog(CATALOG))
    spec = users.parse_submission(submission("wk-000001", awaits=["wk-000000"]))
    reference = users.DependencyListReference("abc", 1)
    job = Item("job/wk-000001", encode_job_record(spec, 50, clock.now, reference), Revision(3))
    marker = Item("gone/wk-000001", {"e": users.CANCELLED, "t": clock.now}, Revision(4))
    node.leader_service._complete_failover(
        FencingToken(6), StoredRecords([], [job], [], [marker], [], [], Revision(5))
    )
    scheduler = node.leader_service.scheduler
    assert scheduler is not None and JobId("wk-000001") not in scheduler.jobs
    scheduler.load_job_record(
        Item(job.key, encode_job_record(spec, 50, clock.now), Revision(3)),
        JobRecordSource.FAILOVER,
        clock.now,
    )
    assert scheduler.job_status(JobId("wk-000001")) == JobStatus(users.CANCELLED, 0, 0)
