"""A leader's calls under way when its leadership ends: what they bring must not reach the next.

A node may lead, lose the leadership and be elected again within a second; the controller of the new
leadership has read the records anew and knows nothing of the old one's calls."""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast
from unittest.mock import Mock

import pytest

from eldercart.cluster.direct_kills import DirectKill
from eldercart.election.state_machine import Election
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
from test_limits import leading_node
from world import submission

NOW = MonotonicTime(5.0)
REPORT = (
    b'{"wagon":"n-1","address":"a:1","breed":"b","yard":"z","loaners":false,"stint":1,"tally":2,'
    b'"whip":7,"parcels":[]}'
)


class Place:
    """A node without sockets that keeps the callbacks of what is asked."""

    def __init__(self) -> None:
        self.answers: list[Callable[..., Any]] = []
        tokens = SimpleNamespace(
            available=lambda now, reserve=0.0: 10.0,
            try_take=lambda now: True,
            force_take=lambda now, number=1: None,
        )
        keep = self.answers.append
        self.store = SimpleNamespace(
            requests=tokens,
            writes=tokens,
            unavailable_at=MonotonicTime(0.0),
            get=lambda key, done: keep(done),
            range=lambda prefix, done: keep(done),
            commit=lambda txn, done: keep(done),
            watch=lambda key, after, wait_s, done: keep(done),
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
        requests._client = cast(Any, Mock(request=lambda *args: self.answers.append(args[-1])))
        return requests

    def worker_requests(self) -> WorkerRequests:
        requests = WorkerRequests(cast(Any, self.leader_service), 100, lambda: NOW)
        requests._client = cast(Any, Mock(request=lambda *args: self.answers.append(args[-1])))
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
        """One that asks for nothing yet."""
        controller = Mock(
            keys_to_refresh=set(), refreshes_in_flight=set(), token=FencingToken(7), jobs={}
        )
        controller.take_due_end_lookups.return_value = []
        controller.next_transaction.return_value = (
            controller.next_learned_state_transaction.return_value
        ) = None
        controller.next_cloud_request.return_value = None
        controller.take_probes.return_value = controller.take_direct_kills.return_value = []
        controller.on_transaction_result.return_value = False
        return controller


def reread(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.keys_to_refresh.add("place/1-1")
    place.store_requests().process_events(controller, NOW)
    return controller.on_key_refreshed, (True, None)


def end(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.take_due_end_lookups.return_value = [JobId("wk-1")]
    place.store_requests().process_events(controller, NOW)
    return controller.on_end_lookup_result, (True, None)


def write(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.next_transaction.return_value = SimpleNamespace(transaction=Transaction({}))
    place.store_requests().process_events(controller, NOW)
    return controller.on_transaction_result, (200, Revision(3), ())


def cloud_call(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.next_cloud_request.side_effect = [GetCatalog(), None]
    place.cloud_requests().process_events(controller, NOW)
    return controller.on_cloud_response, (200, b"{}")


def probe(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.take_probes.return_value = [(MachineId("n-1"), "a:1")]
    place.worker_requests().process_events(controller, NOW)
    return controller.record_probe_success, (200, REPORT)


def order(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    controller.take_direct_kills.return_value = [
        DirectKill(MachineId("n-1"), "a:1", AgentEpoch(1), ())
    ]
    place.worker_requests().process_events(controller, NOW)
    return controller.on_direct_kill_response, (200, REPORT)


def watch(place: Place, controller: Any) -> tuple[Any, tuple[Any, ...]]:
    place.job_record_watch().watch(controller, Revision(4))
    item = Item(JOB_PREFIX + "wk-1", {"s": []}, Revision(5))
    learners = Mock()
    controller.load_job_record = learners
    if place.leader_service.scheduler is not None:
        place.leader_service.scheduler.load_job_record = learners
    return learners, (200, Revision(5), [item])


CALLS = [reread, end, write, cloud_call, probe, order, watch]


@pytest.mark.parametrize("start", CALLS, ids=lambda start: start.__name__)
@pytest.mark.parametrize("later", ["it leads on", "it leads anew", "it leads no more"])
def test_answers_reach_only_the_controller_that_asked(start: Any, later: str) -> None:
    place = Place()
    asked = place.leader_service.scheduler = place.scheduler()
    taken, answer = start(place, asked)
    assert len(place.answers) == 1
    if later != "it leads on":
        place.leader_service.scheduler = place.scheduler() if later == "it leads anew" else None
    if place.leader_service.scheduler is not None:
        place.leader_service.scheduler.load_job_record = asked.load_job_record
    place.answers.pop()(*answer)
    assert taken.called is (later == "it leads on")
    if later != "it leads on":
        assert not place.answers, "nothing more is asked in its name"
        assert (
            not place.leader_service.process_events.called
            and not place.leader_service.process_events_soon.called
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
def test_what_a_status_says_of_a_write(status: int | None, outcome: TransactionOutcome) -> None:
    """Taken for refused, a write that may have been applied would be repeated under its old
    versions; taken for unknown, a refused one would be looked for."""
    place = Place()
    controller = place.leader_service.scheduler = place.scheduler()
    write(place, controller)
    place.answers.pop()(status, Revision(3), ())
    assert controller.on_transaction_result.call_args.args[1] is outcome


@pytest.mark.parametrize("leads", [True, False])
def test_refused_catalogue_concerns_only_its_own_leadership(leads: bool) -> None:
    place = Place()
    kind = SimpleNamespace(
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
    controller = place.scheduler()
    controller.cluster_state.types = {"b": kind}
    place.leader_service.scheduler = controller
    record = place.catalog_record()
    record.sync(controller)
    if not leads:
        place.leader_service.scheduler = place.scheduler()
    place.answers.pop()(503, Revision(0), ())
    assert controller.cloud_requests.catalog_changed is leads
    assert record.is_stored is not leads
    assert place.machine_types.by_name, "this node's own submissions go on being judged"


# -- the take-over


class Reading:
    """A take-over whose reads are answered by hand."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.asked: list[tuple[str, Callable[..., Any]]] = []
        self.later: list[Callable[[], Any]] = []
        self.done: list[StoredRecords] = []
        reactor = SimpleNamespace(callLater=lambda _, call: self.later.append(call))
        monkeypatch.setattr(failover, "reactor", reactor)
        store = SimpleNamespace(range=lambda prefix, got: self.asked.append((prefix, got)))
        self.takeover = Failover(cast(Any, store), self.done.append)
        self.takeover.read_next()

    def answer(self, items: list[Item] | None, revision: int = 1) -> str:
        prefix, got = self.asked.pop()
        got(items, Revision(revision))
        return prefix


def job_item() -> Item:
    return Item(JOB_PREFIX + "wk-1", {}, Revision(3))


@pytest.mark.parametrize("listed", [False, True])
def test_take_over_reads_all_records_once(listed: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """The watch goes on from the revision at which the jobs were read: from a later one a job
    that was accepted between two reads would never be heard of."""
    monkeypatch.setattr(failover, "has_dependency_list", lambda item: listed)
    reading = Reading(monkeypatch)
    wanted = [CATALOG_KEY, JOB_PREFIX, PLACEMENT_PREFIX, CLEANUP_PREFIX, LEARNED_STATE_PREFIX] + (
        [DEPENDENCY_LIST_PREFIX] if listed else []
    )
    for number, prefix in enumerate(wanted):
        assert not reading.done
        items = [job_item()] if prefix == JOB_PREFIX else []
        assert reading.answer(None) == prefix, "not read"
        reading.later.pop()()
        assert reading.answer(items, 10 + number) == prefix
    (records,) = reading.done
    assert records.jobs == [job_item()] and records.jobs_revision == 11
    assert not reading.asked and not reading.later


@pytest.mark.parametrize("answered", [0, 1, 4])
@pytest.mark.parametrize("last", ["read", "not read", "to be read again"])
def test_abandoned_take_over_is_never_finished(
    answered: int, last: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its records may be older than what another leader has written since."""
    reading = Reading(monkeypatch)
    for _ in range(answered):
        reading.answer([])
    if last == "to be read again":
        reading.answer(None)
        reading.takeover.cancel()
        reading.later.pop()()
    else:
        reading.takeover.cancel()
        reading.answer([] if last == "read" else None)
    assert not reading.done and not reading.asked and not reading.later


def test_lists_are_read_only_for_the_leadership_that_began_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A job learned by an old leadership's read would be learned without the new one's own."""
    monkeypatch.setattr(job_record_watch, "has_dependency_list", lambda item: True)
    reference = users.DependencyListReference("abc", 2)
    monkeypatch.setattr(
        job_record_watch, "decode_dependency_list_reference", lambda value: reference
    )
    monkeypatch.setattr(job_record_watch, "resolve_dependency_list", lambda job, item, lists: item)
    place = Place()
    records = place.job_record_watch()
    old = place.leader_service.scheduler = place.scheduler()
    records.add_record(job_item())
    new = place.leader_service.scheduler = place.scheduler()
    place.answers.pop()([], Revision(4))
    assert not old.load_job_record.called and not new.load_job_record.called
    records.reset()
    records.add_record(job_item())
    place.answers.pop()([], Revision(5))
    assert new.load_job_record.called and not old.load_job_record.called


# -- what it tells users

RUNNING = JobStatus(users.RUNNING, 3, 1)


@pytest.mark.parametrize(
    ("name", "after", "renewed", "leads", "final", "status", "verdict"),
    [
        ("within its lease", 2.9, False, True, None, RUNNING, users.RUNNING),
        ("does not know it", 2.9, False, True, None, LookupFailure.UNKNOWN_JOB, peers.UNKNOWN),
        ("can't tell", 2.9, False, True, None, LookupFailure.UNDECIDED, peers.UNDECIDED),
        ("its lease has ended", 2.95, False, True, None, RUNNING, peers.NOT_LEADER),
        (
            "ended, and it knows no such job",
            2.95,
            False,
            True,
            None,
            LookupFailure.UNKNOWN_JOB,
            peers.NOT_LEADER,
        ),
        ("its lease is renewed", 2.95, True, True, None, RUNNING, users.RUNNING),
        ("the renewed one has ended", 5.5, True, True, None, RUNNING, peers.NOT_LEADER),
        ("does not lead", 1.0, False, False, None, RUNNING, peers.NOT_LEADER),
        ("an end does not change any more", 9.0, False, True, users.DONE, RUNNING, users.DONE),
        ("nor where nobody leads", 9.0, False, False, users.CANCELLED, RUNNING, users.CANCELLED),
    ],
)
def test_a_leader_tells_what_may_change_only_within_its_lease(
    name: str,
    after: float,
    renewed: bool,
    leads: bool,
    final: str | None,
    status: JobStatus | LookupFailure,
    verdict: str,
) -> None:
    """Another node may lead afterwards and have told of an end: `running` would go back on that.
    The lease is one of 3 s, less the drift of 2 %, and counts from when it was asked for."""
    election = Election(NodeId("n"), 3.0, 0.02)
    election.on_leader_key_read(None, NOW)
    election.next_action(NOW)
    election.on_lease_granted(LeaseId(4), NOW)
    election.next_action(NOW)
    election.on_campaign_result(Revision(9), MonotonicTime(NOW + 0.2))
    if renewed:
        election.next_action(MonotonicTime(NOW + 2.0))
        election.on_keep_alive(True, MonotonicTime(NOW + 2.3))
    controller = SimpleNamespace(job_status=lambda job: status) if leads else None
    user_answers = UserAnswers(
        cast(Any, SimpleNamespace(scheduler=controller)),
        election,
        cast(Any, SimpleNamespace(outcome_of=lambda job: final)),
        lambda: MonotonicTime(NOW + after),
    )
    told = user_answers.job_reply(7, JobId("wk-1"))
    assert (told.request_id, told.state) == (7, verdict), name
    assert (told.done_count, told.running_count) == (
        (3, 1) if verdict == users.RUNNING else (0, 0)
    ), name


def test_a_marker_stays_while_the_list_of_its_job_is_not_read() -> None:
    """Without the marker of an ended job the leader takes it for open when it has its list."""
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


def test_a_job_whose_list_is_read_late_has_ended_as_its_marker_says() -> None:
    """Its record alone would make it an open job, and its tasks would run once it is ready."""
    node, clock, _ = leading_node(None, cloud.parse_catalog(CATALOG))
    spec = users.parse_submission(submission("wk-000001", awaits=["wk-000000"]))
    reference = users.DependencyListReference("abc", 1)
    job = Item("job/wk-000001", encode_job_record(spec, 50, clock.now, reference), Revision(3))
    marker = Item("gone/wk-000001", {"e": users.CANCELLED, "t": clock.now}, Revision(4))
    node.leader_service._complete_failover(
        FencingToken(6), StoredRecords([], [job], [], [marker], [], [], Revision(5))
    )
    controller = node.leader_service.scheduler
    assert controller is not None and JobId("wk-000001") not in controller.jobs
    controller.load_job_record(
        Item(job.key, encode_job_record(spec, 50, clock.now), Revision(3)), clock.now
    )
    assert controller.job_status(JobId("wk-000001")) == JobStatus(users.CANCELLED, 0, 0)
