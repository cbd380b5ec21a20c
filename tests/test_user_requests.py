"""Tests of users' requests, mostly for jobs with dependencies: submission, storage and polls."""

import dataclasses
from collections import Counter, deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import orjson
import pytest

from eldercart.cli.client import _waiting_reason, _with_awaits
from eldercart.election.state_machine import Election
from eldercart.jobs.job_records import JobRecordSource
from eldercart.server.leadership import job_record_watch
from eldercart.server.leadership.leader_service import LeaderService
from eldercart.server.machine_types import KnownMachineTypes
from eldercart.server.metrics import Metrics
from eldercart.server.node_context import NodeContext
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.server.users.user_service import UserService
from eldercart.settings import load_tuning
from eldercart.settings.platform import parse_platform
from eldercart.units import IncarnationId, JobId, MonotonicTime, NodeId, Revision
from eldercart.wire import MalformedMessageError, cloud, peers, users
from eldercart.wire.state import DeleteKey, Item, Put, Transaction
from eldercart.wire.stored_jobs import (
    DEPENDENCY_LIST_PREFIX,
    END_PREFIX,
    JOB_PREFIX,
    decode_dependency_list_reference,
    decode_job_record,
    dependency_list_prefix,
    encode_job_record,
    resolve_dependency_list,
    split_dependency_list,
)
from simulators import CATALOG, StoreSim
from test_end_to_end import NodeProcess, Region, call, service, wait_until
from world import PLATFORM, submission

__all__ = ["service"]  # a fixture

AWAITS: list[tuple[Any, tuple[str, ...] | None]] = [
    (None, ()),
    ([], ()),
    (["wk-1"], ("wk-1",)),
    (["wk-2", "wk-1", "wk-2"], ("wk-2", "wk-1")),
    ("wk-1", None),
    ({"wk-1": 1}, None),
    (7, None),
    (False, None),
    ([["wk-1"]], None),
    ([None], None),
    ([1], None),
    (["wk-1", ""], None),
    (["job-1"], None),
    (["wk-1/0"], None),
    (["wk-1\n"], None),
    (["wk-" + "x" * 81], None),
]


@pytest.mark.parametrize(("awaits", "names"), AWAITS)
def test_dependencies_of_a_submission_are_parsed_or_rejected(
    awaits: Any, names: tuple[str, ...] | None
) -> None:
    body = {**submission("wk-9"), "awaits": awaits}
    if names is None:
        with pytest.raises(MalformedMessageError, match="awaits"):
            users.parse_submission(body)
    else:
        assert users.parse_submission(body).dependencies == names


def spec_depending_on(names: list[str], job: str = "wk-9") -> users.JobSpec:
    return users.parse_submission({**submission(job), "awaits": names})


def test_job_without_dependencies_is_stored_in_the_format_of_the_earlier_version() -> None:
    spec = users.parse_submission(submission("wk-9"))
    record = users.spec_to_record(spec)
    assert len(record) == 18
    assert users.spec_from_record(spec.id, record) == spec
    assert encode_job_record(spec, 10, 1.0) == {"s": record, "n": 10, "t": 1.0}


def test_short_dependency_list_is_stored_in_the_job_record() -> None:
    spec = spec_depending_on(["wk-1", "wk-2"])
    assert split_dependency_list(spec.dependencies, 2048) == []
    value = encode_job_record(spec, 10, 1.0)
    assert len(value["s"]) == 19
    assert decode_dependency_list_reference(value) is None
    assert decode_job_record(spec.id, value) == (spec, 10, 1.0)


@pytest.mark.parametrize("value_bytes", [1024, 2048, 8192, 32768])
def test_long_dependency_list_is_split_and_resolved_completely(value_bytes: int) -> None:
    names = [f"wk-{i:06d}" for i in range(4000)]
    spec = spec_depending_on(names)
    parts = split_dependency_list(spec.dependencies, value_bytes)
    assert all(0 < len(orjson.dumps(part)) <= value_bytes for part in parts)
    reference = users.DependencyListReference("abc", len(parts))
    value = encode_job_record(spec, 10, 1.0, reference)
    assert decode_dependency_list_reference(value) == reference
    with pytest.raises(MalformedMessageError):
        decode_job_record(spec.id, value)  # an unresolved list must not count as empty
    item = Item(JOB_PREFIX + spec.id, value, Revision(5))
    prefix = dependency_list_prefix(spec.id, reference)
    assert prefix.startswith(DEPENDENCY_LIST_PREFIX)
    lists = [Item(f"{prefix}{i}", part, Revision(4)) for i, part in enumerate(parts)]
    whole = resolve_dependency_list(spec.id, item, reversed(lists))
    assert whole is not None
    assert whole.version == item.version
    assert decode_job_record(spec.id, whole.value) == (spec, 10, 1.0)
    for gap in (0, len(lists) // 2, len(lists) - 1):
        assert resolve_dependency_list(spec.id, item, lists[:gap] + lists[gap + 1 :]) is None


@pytest.mark.parametrize(
    "last", [[], None, 5, "wk-1", [1], ["no"], {}, {"set": "a"}, {"set": "a/b", "parts": 1}]
)
def test_job_record_with_a_malformed_dependency_field_is_rejected(last: Any) -> None:
    value = encode_job_record(users.parse_submission(submission("wk-9")), 10, 1.0)
    value["s"].append(last)
    with pytest.raises(MalformedMessageError):
        decode_job_record(JobId("wk-9"), value)


class FakeStoreClient:
    """Replaces `StoreClient` by the simulator. The test delivers the responses, in order."""

    def __init__(self, tokens: int) -> None:
        self.sim = StoreSim()
        self.requests = TokenBucket(0.0, tokens, MonotonicTime(0))
        self.writes = TokenBucket(0.0, tokens, MonotonicTime(0))
        self.pending_responses: deque[Callable[[], Any]] = deque()
        self.request_kinds: list[str] = []
        # Kinds of requests that fail: "get", "range", "txn" (any transaction), and "lost" (any
        # transaction, which is executed but gets no response).
        self.failing_kinds: set[str] = set()
        self.max_in_flight = 0

    def _enqueue(self, what: str, answer: Callable[[], Any]) -> None:
        self.request_kinds.append(what)
        self.pending_responses.append(answer)
        self.max_in_flight = max(self.max_in_flight, len(self.pending_responses))

    def _item(self, obj: dict[str, Any]) -> Item:
        return Item(obj["path"], obj["v"], Revision(obj["stamp"]))

    def get(self, key: str, on_result: Callable[[bool, Item | None], None]) -> None:
        self.requests.force_take(MonotonicTime(0))

        def answer() -> None:
            obj = self.sim.item(key)
            if "get" in self.failing_kinds:
                on_result(False, None)
            else:
                on_result(True, None if obj is None else self._item(obj))

        self._enqueue("get", answer)

    def range(self, prefix: str, on_result: Callable[[list[Item] | None, Revision], None]) -> None:
        self.requests.force_take(MonotonicTime(0))

        def answer() -> None:
            items = [self._item(obj) for obj in self.sim.range(prefix)]
            on_result(None if "range" in self.failing_kinds else items, Revision(self.sim.revision))

        self._enqueue("range", answer)

    def commit(
        self,
        transaction: Transaction,
        on_result: Callable[[int | None, Revision, tuple[str, ...]], None],
    ) -> None:
        def answer() -> None:
            if "txn" in self.failing_kinds:
                on_result(None, Revision(0), ())
                return
            status, obj = self.sim.txn(transaction.body())
            if "lost" in self.failing_kinds:
                on_result(None, Revision(0), ())
                return
            on_result(status, Revision(obj["ledgerRev"]), tuple(obj.get("failed", ())))

        assert len(transaction.conditions) <= 4 * 6
        assert len(transaction.operations) <= 6
        assert len(transaction.body()) <= 64 * 1024
        for write in transaction.operations:
            assert isinstance(write, DeleteKey) or len(orjson.dumps(write.value)) <= 2048
        self._enqueue("txn" if transaction.operations else "compare", answer)

    def put(self, *writes: Put) -> None:
        assert self.sim.txn(Transaction({}, list(writes)).body())[0] == 200


class FakeRequest:
    """A fake `JsonRequest` of a user, which records the response."""

    def __init__(self, body: dict[str, Any]) -> None:
        self._body = orjson.dumps(body)
        self.status = 0
        self.path, self.method = b"/work", b"POST"
        self.finish_callbacks: list[Callable[[Any], Any]] = []
        self.answer: dict[str, Any] = {}
        self.retry_after_s: int | None = None

    def body(self) -> bytes:
        return self._body

    def reply(
        self, status: int, body: bytes, retry_after: int | None = None, close: bool = False
    ) -> None:
        assert self.status == 0, "request answered twice"
        assert status != 503 or retry_after, "503 without a Retry-After time"
        self.status, self.answer, self.retry_after_s = status, orjson.loads(body), retry_after

    def notifyFinish(self) -> Any:
        return SimpleNamespace(addBoth=self.finish_callbacks.append)


class UserServiceFixture:
    """A `UserService` with a fake node. Another node leads, or none does."""

    def __init__(self, tokens: int = 100_000) -> None:
        self.now = 0.0
        self.store = FakeStoreClient(tokens)
        # The job states that the leader reports; None if there is no leader.
        self.leader_states: dict[str, str] | None = None
        self.polled_jobs: list[str] = []
        settings = dataclasses.replace(parse_platform(PLATFORM), value_bytes=2048, txn_ops=6)
        self.node = SimpleNamespace(
            settings=settings,
            tuning=load_tuning(),
            clock=lambda: MonotonicTime(self.now),
            loop_lag_s=0.0,
            store=self.store,
            machine_types=cloud.parse_catalog(CATALOG),
            graceful_shutdown=SimpleNamespace(has_begun=False),
            leader_service=SimpleNamespace(
                scheduler=None, job_record_watch=SimpleNamespace(add_record=lambda *_: None)
            ),
            relay_service=SimpleNamespace(
                leader_client=SimpleNamespace(poll=self._poll, cancel=lambda job, answer: False)
            ),
        )
        self.user_service = self.node.user_service = UserService(cast(Any, self.node))

    def _poll(self, job: JobId, answer: Callable[[peers.JobReply | None], None]) -> bool:
        if self.leader_states is None:
            return False
        self.polled_jobs.append(job)
        reply = peers.JobReply(1, self.leader_states.get(job, peers.UNKNOWN), 0, 0)
        self.store.pending_responses.append(lambda: answer(reply))
        return True

    def settle(self) -> None:
        while self.store.pending_responses:
            self.store.pending_responses.popleft()()

    def submit(self, body: dict[str, Any]) -> FakeRequest:
        request = FakeRequest(body)
        self.user_service._submit(cast(Any, request))
        self.settle()
        return request

    def poll(self, job: str) -> FakeRequest:
        request = FakeRequest({})
        self.user_service._poll(cast(Any, request), JobId(job))
        self.settle()
        return request

    def start_leading(self, leader_states: dict[str, str]) -> None:
        """Make this node the leader, which knows the jobs in `leader_states`."""
        self.node.leader_service.scheduler = SimpleNamespace(jobs=leader_states)
        self.node.leader_service.user_answers = SimpleNamespace(
            job_reply=lambda number, job: peers.JobReply(
                number, leader_states.get(job, peers.UNKNOWN), 0, 0
            )
        )

    def add_job(self, job: str, awaits: tuple[str, ...] = ()) -> None:
        value = encode_job_record(spec_depending_on(list(awaits), job), 10, 1.0)
        self.store.put(Put(JOB_PREFIX + job, value))

    def add_outcome(self, job: str, how: str) -> None:
        self.store.put(Put(END_PREFIX + job, {"e": how, "n": 6}))
        if JOB_PREFIX + job in self.store.sim.keys:
            assert (
                self.store.sim.txn(Transaction({}, [DeleteKey(JOB_PREFIX + job)]).body())[0] == 200
            )


def without(field: str) -> dict[str, Any]:
    return {k: v for k, v in submission("wk-9").items() if k != field}


MAY_BE_ABSENT = ("breeds", "yard", "dueS")
SUBMISSIONS: list[tuple[str, dict[str, Any], int]] = [
    *((f"no {f}", without(f), 201 if f in MAY_BE_ABSENT else 400) for f in submission("wk-9")),
    ("unknown team", submission("wk-9", crew="nobody"), 422),
    ("fits no machine", submission("wk-9", cpus=4000.0), 422),
    ("unknown team and bad awaits", submission("wk-9", crew="nobody", awaits=[1]), 400),
    ("unknown team and unknown job", submission("wk-9", crew="nobody", awaits=["wk-x"]), 422),
    ("awaits a text", submission("wk-9", awaits="wk-open"), 400),
    ("awaits an object", submission("wk-9", awaits={}), 400),
    ("awaits false", submission("wk-9", awaits=False), 400),
    ("awaits a number", submission("wk-9", awaits=[7]), 400),
    ("awaits null in a list", submission("wk-9", awaits=["wk-open", None]), 400),
    ("awaits a bad name", submission("wk-9", awaits=["wk-open", "open"]), 400),
    ("awaits null", submission("wk-9", awaits=None), 201),
    ("awaits nobody", submission("wk-9", awaits=[]), 201),
    ("awaits itself", submission("wk-9", awaits=["wk-open", "wk-9"]), 422),
    ("awaits an unknown job", submission("wk-9", awaits=["wk-x"]), 422),
    ("awaits an unknown one among others", submission("wk-9", awaits=["wk-open", "wk-x"]), 422),
    ("awaits one of another team", submission("wk-9", crew="t1", awaits=["wk-open"]), 201),
    ("is a service", submission("wk-9", shape="service"), 400),
    ("awaits an open job", submission("wk-9", awaits=["wk-open"]), 201),
    ("awaits it twice", submission("wk-9", awaits=["wk-open", "wk-open"]), 201),
    ("awaits a done one", submission("wk-9", awaits=["wk-done", "wk-open"]), 201),
    ("awaits a cancelled one", submission("wk-9", awaits=["wk-gone"]), 201),
]


@pytest.mark.parametrize(
    ("body", "status"), [s[1:] for s in SUBMISSIONS], ids=[s[0] for s in SUBMISSIONS]
)
@pytest.mark.parametrize(
    "leader_states", [None, {}, {"wk-open": "running"}], ids=["alone", "lags", "led"]
)
def test_each_submission_gets_its_status(
    body: dict[str, Any], status: int, leader_states: dict[str, str] | None
) -> None:
    fixture = UserServiceFixture()
    fixture.leader_states = leader_states
    fixture.add_job("wk-open")
    fixture.add_outcome("wk-done", users.DONE)
    fixture.add_outcome("wk-gone", users.CANCELLED)
    request = fixture.submit(body)
    assert request.status == status, request.answer
    assert (JOB_PREFIX + "wk-9" in fixture.store.sim.keys) == (status == 201)


@pytest.mark.parametrize("body", [s[1] for s in SUBMISSIONS if s[0] != "no nameId"])
def test_repeated_submission_gets_the_job_state_whatever_it_contains(body: dict[str, Any]) -> None:
    fixture = UserServiceFixture()
    fixture.add_job("wk-open")
    fixture.add_outcome("wk-done", users.DONE)
    fixture.add_outcome("wk-gone", users.CANCELLED)
    fixture.add_job("wk-9", ("wk-open",))
    request = fixture.submit(body)
    assert (request.status, request.answer["standing"]) == (200, "pending")
    fixture.add_outcome("wk-9", users.DONE)
    request = fixture.submit(body)
    assert (request.status, request.answer["standing"]) == (200, "done")


REPEATS: list[tuple[str, dict[str, Any]]] = [
    ("as it was", submission("wk-9", awaits=["wk-middle"])),
    ("without what it awaits", submission("wk-9")),
    ("with another list", submission("wk-9", awaits=["wk-open"])),
    ("with a list that can't be read", submission("wk-9", awaits="wk-middle")),
    ("with a job that was never accepted", submission("wk-9", awaits=["wk-x"])),
    ("with itself", submission("wk-9", awaits=["wk-9"])),
    ("malformed", {"nameId": "wk-9"}),
    ("of another team", submission("wk-9", crew="nobody")),
    ("as one that can't run", submission("wk-9", cpus=4000.0)),
]


@pytest.mark.parametrize("types_known", [True, False], ids=["running", "just started"])
@pytest.mark.parametrize("body", [r[1] for r in REPEATS], ids=[r[0] for r in REPEATS])
def test_repeated_submission_at_another_node_reports_an_ancestors_cancellation(
    body: dict[str, Any], types_known: bool
) -> None:
    """Once an ancestor's cancellation is durable, users may have received `aborted` although the
    job has no outcome yet, so no node may answer `pending` afterwards. The content of the repeated
    submission does not matter, and a node that has just started needs no machine types for it."""
    fixture = UserServiceFixture()
    if not types_known:
        fixture.node.machine_types = {}
    fixture.add_job("wk-open")
    fixture.add_outcome("wk-root", users.CANCELLED)
    fixture.add_job("wk-middle", ("wk-root",))
    fixture.add_job("wk-9", ("wk-middle",))
    request = fixture.submit(body)
    assert (request.status, request.answer.get("standing")) == (200, "aborted")


def test_new_job_gets_503_while_machine_types_are_unknown() -> None:
    fixture = UserServiceFixture()
    fixture.node.machine_types = {}
    request = fixture.submit(submission("wk-9"))
    assert (request.status, request.retry_after_s) == (503, 2)
    assert not fixture.store.sim.keys


def test_accepted_job_whose_record_is_not_found_gets_503() -> None:
    """The job is known to be accepted, so a read that does not find its record returned an older
    revision. The answer must be a 503, never a 4xx."""
    fixture = UserServiceFixture()
    fixture.user_service.dependency_resolver.record_accepted(JobId("wk-9"))
    request = fixture.submit(submission("wk-9", awaits=["wk-open"]))
    assert (request.status, request.retry_after_s) == (503, 2)


def test_repeated_submission_at_the_accepting_node_takes_no_read() -> None:
    fixture = UserServiceFixture()
    assert fixture.submit(submission("wk-9")).status == 201
    before = len(fixture.store.request_kinds)
    assert fixture.submit(submission("wk-9")).status == 200
    assert fixture.store.request_kinds[before:] == ["txn"]


def lags(fixture: UserServiceFixture) -> None:
    fixture.node.loop_lag_s = 100.0


def has_no_tokens(fixture: UserServiceFixture) -> None:
    fixture.store.requests.empty(MonotonicTime(0))


def has_no_writes(fixture: UserServiceFixture) -> None:
    fixture.store.writes.empty(MonotonicTime(0))


def is_crowded(fixture: UserServiceFixture) -> None:
    """Fill the limit of requests in flight with requests that get no response."""
    fixture.node.tuning = load_tuning(values={"pending_requests": 3})
    for job in ("wk-1", "wk-2", "wk-3"):
        fixture.user_service.route(cast(Any, FakeRequest(submission(job))))


LONG = [f"wk-{i:06d}" for i in range(300)]
AT_ONCE: list[tuple[Callable[[UserServiceFixture], None], bytes, bytes, dict[str, Any]]] = [
    (lags, b"POST", b"/work", submission("wk-9")),
    (has_no_tokens, b"POST", b"/work", submission("wk-9")),
    (has_no_tokens, b"POST", b"/work", submission("wk-9", awaits=["wk-open"])),
    (has_no_tokens, b"POST", b"/work", submission("wk-9", awaits=LONG)),
    (has_no_tokens, b"POST", b"/work", {"nameId": "wk-9"}),
    (has_no_tokens, b"POST", b"/work", submission("wk-9", awaits=["wk-9"])),
    (has_no_tokens, b"POST", b"/work", submission("wk-9", crew="nobody")),
    (has_no_tokens, b"GET", b"/work/wk-9", {}),
    (has_no_writes, b"POST", b"/work", submission("wk-9")),
    (is_crowded, b"POST", b"/work", submission("wk-9")),
    (is_crowded, b"POST", b"/work", {"nameId": "wk-9"}),
    (is_crowded, b"GET", b"/work/wk-9", {}),
    (is_crowded, b"POST", b"/work/wk-9/cancel", {}),
    (lambda fixture: None, b"POST", b"/work/wk-9/cancel", {}),  # there is no leader
]


@pytest.mark.parametrize(("state", "method", "path", "body"), AT_ONCE)
def test_request_that_cannot_be_served_is_rejected_at_once(
    state: Callable[[UserServiceFixture], None], method: bytes, path: bytes, body: dict[str, Any]
) -> None:
    """The 503 must be sent before any request to the state service. A pending request keeps its
    user from trying other nodes, and many pending ones overload this node."""
    fixture = UserServiceFixture()
    state(fixture)
    before = len(fixture.store.request_kinds)
    request = FakeRequest(body)
    request.method, request.path = method, path
    fixture.user_service.route(cast(Any, request))
    assert request.status == 503 and request.retry_after_s
    assert len(fixture.store.request_kinds) == before


def test_finished_request_does_not_count_as_in_flight() -> None:
    fixture = UserServiceFixture()
    fixture.node.tuning = load_tuning(values={"pending_requests": 1})
    first = FakeRequest(submission("wk-1"))
    fixture.user_service.route(cast(Any, first))
    fixture.settle()
    for callback in first.finish_callbacks:
        callback(None)
    second = FakeRequest(submission("wk-2"))
    fixture.user_service.route(cast(Any, second))
    fixture.settle()
    assert (first.status, second.status) == (201, 201)


def test_submission_of_nearly_the_maximum_body_size_is_accepted() -> None:
    """A submission names 6400 dependencies. The leader knows them, or their outcomes are read by
    key prefix. With few tokens, writing the list takes several attempts."""
    for led in (True, False):
        fixture = UserServiceFixture(tokens=200)
        jobs = [f"wk-{i:x}" for i in range(4096, 4096 + 6400)]
        body = submission("wk-last", awaits=jobs)
        assert 60_000 < len(orjson.dumps(body)) <= 64 * 1024
        fixture.leader_states = {}
        for job in jobs:
            if led:
                fixture.leader_states[job] = "pending"
                fixture.add_job(job)
            else:
                fixture.add_outcome(job, users.DONE)
        tries = 1
        while (request := fixture.submit(body)).status == 503 and tries < 10:
            fixture.store.requests.add(MonotonicTime(0), 200)
            fixture.store.writes.add(MonotonicTime(0), 200)
            tries += 1
        assert request.status == 201
        assert len(fixture.store.request_kinds) < 60
        assert fixture.submit(body).status == 200


def job_names(number: int) -> list[str]:
    return [f"wk-{i:06d}" for i in range(number)]


def test_thousands_of_dependencies_take_few_requests_and_are_stored_completely() -> None:
    fixture = UserServiceFixture()
    fixture.leader_states = {}
    for name in job_names(3000):
        fixture.add_job(name)
        fixture.leader_states[name] = "pending"
    request = fixture.submit(submission("wk-last", awaits=job_names(3000)))
    assert request.status == 201
    assert "compare" not in fixture.store.request_kinds, "the leader knows all dependencies"
    value = fixture.store.sim.keys[JOB_PREFIX + "wk-last"][0]
    reference = decode_dependency_list_reference(value)
    assert reference is not None
    # Two reads for the job itself, the writes of its list, and the write of its record.
    assert len(fixture.store.request_kinds) == 2 + -(-reference.part_count // 6) + 1
    prefix = dependency_list_prefix(JobId("wk-last"), reference)
    lists = [Item(i["path"], i["v"], Revision(i["stamp"])) for i in fixture.store.sim.range(prefix)]
    whole = resolve_dependency_list(
        JobId("wk-last"), Item(JOB_PREFIX + "wk-last", value, Revision(1)), lists
    )
    assert whole is not None
    spec, _, _ = decode_job_record(JobId("wk-last"), whole.value)
    assert spec.dependencies == tuple(job_names(3000))


def test_submission_without_tokens_gets_503_and_its_retry_continues() -> None:
    """Each attempt is answered at once, and the next one continues where it stopped."""
    fixture = UserServiceFixture(tokens=10)
    for name in job_names(400):
        fixture.add_job(name)
    body = submission("wk-last", awaits=job_names(400))
    tries = 0
    while (request := fixture.submit(body)).status != 201:
        assert (request.status, request.retry_after_s) == (503, 2)
        assert fixture.store.requests.available(MonotonicTime(0)) >= 0
        assert fixture.store.writes.available(MonotonicTime(0)) >= 0
        fixture.store.requests.add(
            MonotonicTime(0), 10 - fixture.store.requests.available(MonotonicTime(0))
        )
        fixture.store.writes.add(
            MonotonicTime(0), 10 - fixture.store.writes.available(MonotonicTime(0))
        )
        tries += 1
        assert tries < 10
    assert tries >= 2
    assert fixture.store.max_in_flight <= 4


@pytest.mark.parametrize("kind", ["txn"])
@pytest.mark.parametrize("awaits", [["wk-x"], ["wk-open"], job_names(300)])
def test_submission_gets_503_if_its_dependencies_cannot_be_checked(
    kind: str, awaits: list[str]
) -> None:
    fixture = UserServiceFixture()
    fixture.add_job("wk-open")
    fixture.store.failing_kinds = {kind}
    request = fixture.submit(submission("wk-9", awaits=awaits))
    assert (request.status, request.retry_after_s) == (503, 2)
    assert JOB_PREFIX + "wk-9" not in fixture.store.sim.keys


def test_acceptance_check_stops_after_its_timeout() -> None:
    fixture = UserServiceFixture()
    for name in job_names(400):
        fixture.add_job(name)
    request = FakeRequest(submission("wk-9", awaits=job_names(400)))
    fixture.user_service._submit(cast(Any, request))
    while fixture.store.pending_responses:
        fixture.store.pending_responses.popleft()()
        fixture.now += 0.4
    assert (request.status, request.retry_after_s) == (503, 2)
    assert fixture.store.request_kinds.count("compare") <= 8, (
        "no more checks are sent after the timeout"
    )
    assert fixture.submit(submission("wk-9", awaits=job_names(400))).status in (201, 503)


def test_job_is_not_stored_if_its_dependency_check_ends_too_late() -> None:
    """By then the user may have retried already, and the write would take more time."""
    fixture = UserServiceFixture()
    fixture.add_job("wk-open")
    request = FakeRequest(submission("wk-9", awaits=["wk-open"]))
    fixture.user_service._submit(cast(Any, request))
    fixture.now = 3.0
    fixture.settle()
    assert (request.status, request.retry_after_s) == (503, 2)
    assert JOB_PREFIX + "wk-9" not in fixture.store.sim.keys


@pytest.mark.parametrize("answers_before", [0, 1])
def test_dependency_that_ends_during_the_check_counts_as_accepted(answers_before: int) -> None:
    """When a job ends, one transaction deletes its record and writes its outcome. Two separate
    reads could miss both, and the job would seem never to have been accepted."""
    fixture = UserServiceFixture()
    fixture.add_job("wk-open")
    request = FakeRequest(submission("wk-9", awaits=["wk-open"]))
    fixture.user_service._submit(cast(Any, request))
    for _ in range(answers_before):
        fixture.store.pending_responses.popleft()()
    fixture.add_outcome("wk-open", users.DONE)
    fixture.settle()
    assert request.status == 201
    assert fixture.store.request_kinds == ["compare", "txn"]


def test_dependency_accepted_during_the_check_is_not_rejected_for_an_older_read() -> None:
    """The outcomes are read as a range first. A job that is missing there may still be accepted,
    so it must not be rejected for that read."""
    fixture = UserServiceFixture()
    jobs = job_names(200)
    for name in jobs[:-1]:
        fixture.add_outcome(name, users.DONE)
    request = FakeRequest(submission("wk-9", awaits=jobs))
    fixture.user_service._submit(cast(Any, request))
    assert fixture.store.request_kinds == ["range"]
    fixture.store.pending_responses.popleft()()
    fixture.add_job(jobs[-1])
    fixture.settle()
    assert request.status == 201


def test_wide_fan_out_checks_its_root_only_once() -> None:
    fixture = UserServiceFixture()
    fixture.add_job("wk-root")
    for job in job_names(500):
        assert fixture.submit(submission(job, awaits=["wk-root"])).status == 201
    assert fixture.store.request_kinds.count("compare") == 1


def test_repeated_submission_writes_no_second_dependency_list() -> None:
    fixture = UserServiceFixture()
    for name in job_names(400):
        fixture.add_job(name)
    body = submission("wk-last", awaits=job_names(400))
    assert fixture.submit(body).status == 201
    keys = set(fixture.store.sim.keys)
    assert fixture.submit(body).status == 200
    elsewhere = UserServiceFixture()
    elsewhere.store.sim = fixture.store.sim
    assert elsewhere.submit(body).status == 200
    assert set(fixture.store.sim.keys) == keys


@pytest.mark.parametrize("executed", [False, True])
def test_dependency_list_is_reused_after_an_unanswered_record_write(executed: bool) -> None:
    fixture = UserServiceFixture()
    for name in job_names(400):
        fixture.add_job(name)
    request = FakeRequest(submission("wk-last", awaits=job_names(400)))
    fixture.user_service._submit(cast(Any, request))
    while fixture.store.request_kinds[-1] != "txn" or len(fixture.store.pending_responses) > 1:
        fixture.store.pending_responses.popleft()()
    while not any(k.endswith("/2") for k in fixture.store.sim.keys):
        fixture.store.pending_responses.popleft()()
    lists = {k for k in fixture.store.sim.keys if k.startswith(DEPENDENCY_LIST_PREFIX)}
    fixture.store.failing_kinds = {"lost", "get"} if executed else {"txn", "get"}
    fixture.settle()
    assert request.status == 503
    fixture.store.failing_kinds = set()
    again = fixture.submit(submission("wk-last", awaits=job_names(400)))
    assert again.status == (200 if executed else 201)
    assert {k for k in fixture.store.sim.keys if k.startswith(DEPENDENCY_LIST_PREFIX)} == lists


def test_repeated_submission_known_to_the_leader_takes_no_token() -> None:
    """A repeated submission that needs many reads may fail forever if there are few tokens."""
    for leads in (True, False):
        fixture = UserServiceFixture(tokens=1)
        for name in job_names(400):
            fixture.add_job(name)
        leader_states = {"wk-last": "aborted"}
        if leads:
            fixture.start_leading(leader_states)
        else:
            fixture.leader_states = leader_states
            fixture.user_service.dependency_resolver.record_accepted(JobId("wk-last"))
        request = fixture.submit(submission("wk-last", awaits=job_names(400)))
        assert (request.status, request.answer["standing"]) == (200, "aborted")
        assert not fixture.store.request_kinds


def chain(fixture: UserServiceFixture, length: int, dependencies_per_job: int = 1) -> str:
    """Add a chain of jobs that depend on the jobs just before them; return the last."""
    fixture.add_job("wk-root")
    before = ("wk-root",)
    for i in range(length):
        job = f"wk-{i:06d}"
        fixture.add_job(job, before)
        before = (
            (*before[-(dependencies_per_job - 1) :], job) if dependencies_per_job > 1 else (job,)
        )
    return before[-1]


@pytest.mark.parametrize(
    ("root", "state"), [(None, "pending"), (users.DONE, "pending"), (users.CANCELLED, "aborted")]
)
@pytest.mark.parametrize(
    ("length", "dependencies_per_job"), [(1, 1), (2, 1), (40, 1), (2000, 1), (300, 3)]
)
def test_poll_reports_a_job_with_a_cancelled_ancestor_as_cancelled(
    length: int, dependencies_per_job: int, root: str | None, state: str
) -> None:
    fixture = UserServiceFixture()
    last = chain(fixture, length, dependencies_per_job)
    if root is not None:
        fixture.add_outcome("wk-root", root)
    polled = fixture.poll(last)
    assert (polled.status, polled.answer["standing"]) == (200, state)
    assert len(fixture.store.request_kinds) < 150
    repeat = fixture.submit(submission(last, awaits=["wk-root"]))
    assert (repeat.status, repeat.answer["standing"]) == (200, state)


@pytest.mark.parametrize("root", [None, users.DONE, users.CANCELLED])
@pytest.mark.parametrize("levels", [1, 2, 3, 4])
def test_ancestor_on_many_paths_is_read_only_once(
    levels: int, root: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each level has two jobs, which both depend on both jobs of the previous level, so there are
    2**levels paths to the root. A search that does not record visited jobs follows each path."""
    fixture = UserServiceFixture()
    fixture.add_job("wk-root")
    before: tuple[str, ...] = ("wk-root",)
    for i in range(levels):
        for side in "ab":
            fixture.add_job(f"wk-{i}{side}", before)
        before = (f"wk-{i}a", f"wk-{i}b")
    fixture.add_job("wk-last", before)
    if root is not None:
        fixture.add_outcome("wk-root", root)
    ends: Counter[str] = Counter()
    records: Counter[str] = Counter()
    commit, get = fixture.store.commit, fixture.store.get

    def count_ends(sent: Transaction, on_result: Any) -> None:
        ends.update(key for key in sent.conditions if key.startswith(END_PREFIX))
        commit(sent, on_result)

    def count_records(key: str, on_result: Any) -> None:
        records[key] += 1
        get(key, on_result)

    monkeypatch.setattr(fixture.store, "commit", count_ends)
    monkeypatch.setattr(fixture.store, "get", count_records)
    request = FakeRequest({})
    fixture.user_service._poll(cast(Any, request), JobId("wk-last"))
    for _ in range(200):  # bounded, so that an endless search fails the test
        if fixture.store.pending_responses:
            fixture.store.pending_responses.popleft()()
    assert not fixture.store.pending_responses, "the search does not end"
    expected = "aborted" if root == users.CANCELLED else "pending"
    assert (request.status, request.answer["standing"]) == (200, expected)
    assert len(ends) == 2 * levels + 1 and set(ends.values()) == {1}
    assert set(records.values()) == {1}


def test_repeated_submission_at_a_node_with_empty_caches_reports_the_cancellation() -> None:
    """The job has a record and no outcome, but its user may already have received `aborted`."""
    fixture = UserServiceFixture()
    last = chain(fixture, 3)
    fixture.add_outcome("wk-root", users.CANCELLED)
    repeat = fixture.submit(submission(last, awaits=["wk-000001"]))
    assert (repeat.status, repeat.answer["standing"]) == (200, "aborted")


def test_job_with_many_dependencies_is_looked_up_in_few_requests() -> None:
    fixture = UserServiceFixture()
    for name in job_names(1000):
        fixture.add_job(name)
    value = encode_job_record(spec_depending_on(job_names(1000), "wk-last"), 10, 1.0)
    fixture.store.put(Put(JOB_PREFIX + "wk-last", value))
    for name in job_names(500)[:-1]:
        fixture.add_outcome(name, users.DONE)
    assert fixture.poll("wk-last").answer["standing"] == "pending"
    assert len(fixture.store.request_kinds) < 12
    fixture.add_outcome(job_names(1000)[-1], users.CANCELLED)
    before = len(fixture.store.request_kinds)
    assert fixture.poll("wk-last").answer["standing"] == "aborted"
    assert len(fixture.store.request_kinds) - before < 6


def test_cancelled_ancestor_whose_record_still_exists_counts_as_cancelled() -> None:
    """A cancelled job's record is deleted only after its tasks have ended. The cache of outcomes is
    smaller than the number of ancestors here."""
    fixture = UserServiceFixture()
    fixture.node.tuning = load_tuning(values={"final_cache": 100})
    fixture.user_service = fixture.node.user_service = UserService(cast(Any, fixture.node))
    for name in job_names(1000):
        fixture.add_job(name)
        fixture.store.put(Put(END_PREFIX + name, {"e": users.DONE, "n": 6}))
    fixture.store.put(Put(END_PREFIX + "wk-000003", {"e": users.CANCELLED, "n": 6}))
    fixture.add_job("wk-last", tuple(job_names(1000)))
    assert fixture.poll("wk-last").answer["standing"] == "aborted"


def test_poll_without_tokens_gets_503_and_its_retry_continues() -> None:
    fixture = UserServiceFixture(tokens=10)
    last = chain(fixture, 12)
    fixture.add_outcome("wk-root", users.CANCELLED)
    tries = 0
    while (request := fixture.poll(last)).status != 200:
        assert (request.status, request.retry_after_s) == (503, 2)
        assert fixture.store.requests.available(MonotonicTime(0)) >= 0
        fixture.store.requests.add(
            MonotonicTime(0), 10 - fixture.store.requests.available(MonotonicTime(0))
        )
        tries += 1
        assert tries < 20
    assert tries > 1
    assert request.answer["standing"] == "aborted"


@pytest.mark.parametrize("kind", ["get", "txn", "range"])
def test_poll_gets_503_if_the_ancestor_search_fails(kind: str) -> None:
    fixture = UserServiceFixture()
    for name in job_names(20):
        fixture.add_job(name, ("wk-root",))
    fixture.add_outcome("wk-root", users.CANCELLED)
    fixture.add_job("wk-last", tuple(job_names(20)))
    fixture.store.failing_kinds = {kind}
    assert fixture.poll("wk-last").status == 503


def test_poll_gets_503_if_the_dependency_list_is_missing() -> None:
    fixture = UserServiceFixture()
    value = encode_job_record(
        spec_depending_on(["wk-1"], "wk-9"), 10, 1.0, users.DependencyListReference("abc", 1)
    )
    fixture.store.put(Put(JOB_PREFIX + "wk-9", value))
    assert fixture.poll("wk-9").status == 503


def test_poll_of_a_job_without_dependencies_takes_two_reads() -> None:
    fixture = UserServiceFixture()
    fixture.add_job("wk-9")
    assert fixture.poll("wk-9").status == 200
    assert fixture.store.request_kinds == ["get", "get"]


def test_poll_response_lists_some_unmet_dependencies() -> None:
    with_dependencies = peers.JobReply(3, "pending", 0, 0, ("wk-1", "wk-2"))
    plain = peers.JobReply(4, "pending", 0, 0)
    frame = peers.parse_frame(
        peers.encode_job_replies(peers.JOB_STATES, [with_dependencies, plain])
    )
    assert peers.parse_job_replies(frame) == [with_dependencies, plain]
    assert set(frame["i"][1]) == {"n", "v", "d", "r"}, "the fields that the earlier version writes"
    body = orjson.loads(users.job_state_body(JobId("wk-9"), "pending", 0, 0, tuple(job_names(30))))
    assert body["awaits"] == job_names(20)
    assert "awaits" not in orjson.loads(users.job_state_body(JobId("wk-9"), "pending", 0, 0))


@pytest.mark.parametrize(
    ("answer", "text"),
    [
        ({}, ""),
        ({"awaits": []}, ""),
        ({"awaits": ["wk-1", "wk-2"]}, ", waits for wk-1 wk-2"),
        ({"waiting": ["wk-1"]}, ", waits for wk-1"),
        ({"waiting": "no room"}, ", waits: no room"),
    ],
)
def test_the_command_line_shows_why_a_job_waits(answer: dict[str, Any], text: str) -> None:
    assert _waiting_reason(answer) == text


@pytest.mark.parametrize(
    ("named", "added", "result"),
    [
        (None, ["wk-1"], ("wk-1",)),
        (["wk-2"], ["wk-1", "wk-2"], ("wk-2", "wk-1")),
        ("no", ["wk-1"], None),
    ],
)
def test_the_command_line_adds_dependencies_to_a_submission(
    named: Any, added: list[str], result: tuple[str, ...] | None
) -> None:
    raw = orjson.dumps(submission("wk-9", awaits=named))
    if result is None:
        with pytest.raises(MalformedMessageError):
            _with_awaits(raw, added)
    else:
        assert users.parse_submission(orjson.loads(_with_awaits(raw, added))).dependencies == result


class LeaderServiceFixture:
    """A leading node's `LeaderService`, with a scheduler that records the jobs added to it."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.user_fixture = UserServiceFixture()
        self.delayed_calls: list[Callable[[], Any]] = []
        self.added_jobs: dict[JobId, users.JobSpec] = {}
        reactor = SimpleNamespace(
            callLater=lambda _, call, *args: self.delayed_calls.append(lambda: call(*args))
        )
        monkeypatch.setattr(job_record_watch, "reactor", reactor)
        node = self.user_fixture.node
        self.leader_service = node.leader_service = LeaderService(
            NodeContext(node.settings, node.tuning, IncarnationId("x"), node.clock, Metrics()),
            cast(Any, node.store),
            Election(NodeId("n"), 3.0, 0.02),
            self.user_fixture.user_service,
            KnownMachineTypes(),
        )
        self.leader_service.process_events_soon = cast(Any, lambda: None)
        self.leader_service.scheduler = cast(
            Any,
            SimpleNamespace(
                jobs=self.added_jobs,
                load_job_record=self._load_job_record,
                defer_job_record=self._defer_job_record,
            ),
        )

    def _load_job_record(self, item: Item, source: JobRecordSource, now: MonotonicTime) -> None:
        spec, _, _ = decode_job_record(JobId(item.key[len(JOB_PREFIX) :]), item.value)
        assert spec.id not in self.added_jobs, "job added twice"
        self.added_jobs[spec.id] = spec

    def _defer_job_record(self, item: Item) -> bool:
        return JobId(item.key[len(JOB_PREFIX) :]) not in self.added_jobs

    def run_delayed_calls(self) -> None:
        """Run the delayed calls that are due, then deliver all responses."""
        calls, self.delayed_calls = self.delayed_calls, []
        for then in calls:
            then()
        self.user_fixture.settle()


def record_with_list(number: int) -> tuple[Item, list[Put]]:
    spec = spec_depending_on(job_names(number), "wk-last")
    parts = split_dependency_list(spec.dependencies, 2048)
    reference = users.DependencyListReference("abc", len(parts))
    prefix = dependency_list_prefix(spec.id, reference)
    record = Item(JOB_PREFIX + spec.id, encode_job_record(spec, 10, 1.0, reference), Revision(9))
    return record, [Put(f"{prefix}{i}", part) for i, part in enumerate(parts)]


def test_dependency_lists_and_outcomes_survive_a_restart(
    service: tuple[Region, NodeProcess],
) -> None:
    region, node = service

    def ask(method: str, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Send the request, and retry after each 503, as users do."""
        answers: list[tuple[int, bytes]] = []

        def final() -> bool:
            answers.append(call(node.front, method, path, orjson.dumps(body)))
            return answers[-1][0] not in (0, 503)

        wait_until(final)
        return answers[-1][0], orjson.loads(answers[-1][1])

    def submit(job: str, awaits: list[str]) -> int:
        body = submission(job, awaits=awaits)
        with region.lock:
            region.jobs[job] = body | {"runS": 3600.0}
        return ask("POST", "/work", body)[0]

    with region.lock:
        writes = [{"put": END_PREFIX + job, "v": {"e": "done", "n": 6}} for job in job_names(1000)]
        assert region.store.txn(orjson.dumps({"guards": [], "writes": writes}))[0] == 200
    assert submit("wk-first", []) == 201
    assert submit("wk-long", [*job_names(1000), "wk-first"]) == 201
    assert submit("wk-short", ["wk-first", "wk-long"]) == 201
    assert submit("wk-none", [*job_names(1000), "wk-unknown"]) == 422
    assert submit("wk-self", ["wk-self"]) == 422
    assert submit("wk-none", ["unknown"]) == 400
    with region.lock:
        assert region.store.range(DEPENDENCY_LIST_PREFIX + "wk-long/")
        assert not region.store.range(DEPENDENCY_LIST_PREFIX + "wk-none/")
    for _ in range(2):
        for job in ("wk-first", "wk-long", "wk-short"):
            assert ask("GET", f"/work/{job}", {})[0] == 200
        for job in ("wk-none", "wk-self"):
            assert ask("GET", f"/work/{job}", {})[0] == 404
        assert submit("wk-long", [*job_names(1000), "wk-first"]) == 200
        wait_until(lambda: orjson.loads(call(node.front, "GET", "/status")[1]).get("jobs") == 3)
        node.restart()


def test_leader_adds_a_job_only_with_its_complete_dependency_list(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = LeaderServiceFixture(monkeypatch)
    record, parts = record_with_list(500)
    leader.user_fixture.store.put(*parts[:1])
    for _ in range(3):
        # Each poll calls this too.
        leader.leader_service.job_record_watch.add_record(record, JobRecordSource.READ)
        leader.user_fixture.settle()
        assert not leader.added_jobs
    assert len(leader.delayed_calls) == 1, "one read serves all three calls"
    leader.user_fixture.store.failing_kinds = {"range"}
    leader.run_delayed_calls()
    assert not leader.added_jobs and len(leader.delayed_calls) == 1
    leader.user_fixture.store.failing_kinds = set()
    leader.user_fixture.store.put(*parts[1:])
    leader.run_delayed_calls()
    assert leader.added_jobs[JobId("wk-last")].dependencies == tuple(job_names(500))
    leader.leader_service.job_record_watch.add_record(record, JobRecordSource.WATCH)
    leader.user_fixture.settle()
    assert not leader.delayed_calls


def test_leader_does_not_add_a_job_that_ended_while_its_list_was_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    leader = LeaderServiceFixture(monkeypatch)
    record, _ = record_with_list(500)
    leader.leader_service.job_record_watch.add_record(record, JobRecordSource.WATCH)
    leader.user_fixture.settle()
    leader.user_fixture.user_service.record_outcome(JobId("wk-last"), users.CANCELLED)
    leader.run_delayed_calls()
    assert not leader.added_jobs and not leader.delayed_calls


def test_dependency_lists_read_at_failover_are_resolved_into_their_records() -> None:
    record, parts = record_with_list(500)
    plain = Item(
        JOB_PREFIX + "wk-1", encode_job_record(spec_depending_on([], "wk-1"), 10, 1.0), Revision(3)
    )
    odd = Item(JOB_PREFIX + "wk-2", {"s": [1], "n": 10, "t": 1.0}, Revision(3))
    lists = [Item(put.key, put.value, Revision(2)) for put in parts]
    whole, missing = job_record_watch.resolve_dependency_lists([plain, record, odd], lists)
    assert [item.key for item in whole] == [plain.key, record.key, odd.key] and not missing
    assert decode_job_record(JobId("wk-last"), whole[1].value)[0].dependencies == tuple(
        job_names(500)
    )
    whole, missing = job_record_watch.resolve_dependency_lists([plain, record, odd], lists[1:])
    assert whole == [plain, odd] and missing == [record]
