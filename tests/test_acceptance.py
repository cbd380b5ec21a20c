"""Submissions that await others: what is accepted, what is stored, what is told."""

import dataclasses
from collections import Counter, deque
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any, cast

import orjson
import pytest

from eldercart.cli.client import _waiting_reason, _with_awaits
from eldercart.election.state_machine import Election
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
from test_end_to_end import Region, Service, call, service, until
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
def test_what_a_submission_awaits_is_read_or_refused(
    awaits: Any, names: tuple[str, ...] | None
) -> None:
    body = {**submission("wk-9"), "awaits": awaits}
    if names is None:
        with pytest.raises(MalformedMessageError, match="awaits"):
            users.parse_submission(body)
    else:
        assert users.parse_submission(body).dependencies == names


def spec_with(names: list[str], job: str = "wk-9") -> users.JobSpec:
    return users.parse_submission({**submission(job), "awaits": names})


def test_a_job_that_awaits_none_is_stored_as_the_earlier_version_reads_it() -> None:
    spec = users.parse_submission(submission("wk-9"))
    record = users.spec_to_record(spec)
    assert len(record) == 18
    assert users.spec_from_record(spec.id, record) == spec
    assert encode_job_record(spec, 10, 1.0) == {"s": record, "n": 10, "t": 1.0}


def test_a_short_list_is_in_the_record() -> None:
    spec = spec_with(["wk-1", "wk-2"])
    assert split_dependency_list(spec.dependencies, 2048) == []
    value = encode_job_record(spec, 10, 1.0)
    assert len(value["s"]) == 19
    assert decode_dependency_list_reference(value) is None
    assert decode_job_record(spec.id, value) == (spec, 10, 1.0)


@pytest.mark.parametrize("value_bytes", [1024, 2048, 8192, 32768])
def test_a_long_list_is_cut_to_fit_and_comes_back_whole(value_bytes: int) -> None:
    names = [f"wk-{i:06d}" for i in range(4000)]
    spec = spec_with(names)
    parts = split_dependency_list(spec.dependencies, value_bytes)
    assert all(0 < len(orjson.dumps(part)) <= value_bytes for part in parts)
    reference = users.DependencyListReference("abc", len(parts))
    value = encode_job_record(spec, 10, 1.0, reference)
    assert decode_dependency_list_reference(value) == reference
    with pytest.raises(MalformedMessageError):
        decode_job_record(spec.id, value)  # not read is not none
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
def test_a_record_whose_last_field_is_odd_is_unreadable(last: Any) -> None:
    value = encode_job_record(users.parse_submission(submission("wk-9")), 10, 1.0)
    value["s"].append(last)
    with pytest.raises(MalformedMessageError):
        decode_job_record(JobId("wk-9"), value)


class StoreCalls:
    """`net.store.Store` over the simulator. Answers come in turn, when the test lets them."""

    def __init__(self, tokens: int) -> None:
        self.sim = StoreSim()
        self.requests = TokenBucket(0.0, tokens, MonotonicTime(0))
        self.writes = TokenBucket(0.0, tokens, MonotonicTime(0))
        self.answers: deque[Callable[[], Any]] = deque()
        self.asked: list[str] = []
        self.broken: set[str] = set()  # kinds of calls that get no answer
        self.most_under_way = 0

    def _answer(self, what: str, answer: Callable[[], Any]) -> None:
        self.asked.append(what)
        self.answers.append(answer)
        self.most_under_way = max(self.most_under_way, len(self.answers))

    def _item(self, obj: dict[str, Any]) -> Item:
        return Item(obj["path"], obj["v"], Revision(obj["stamp"]))

    def get(self, key: str, done: Callable[[bool, Item | None], None]) -> None:
        self.requests.force_take(MonotonicTime(0))

        def answer() -> None:
            obj = self.sim.item(key)
            if "get" in self.broken:
                done(False, None)
            else:
                done(True, None if obj is None else self._item(obj))

        self._answer("get", answer)

    def range(self, prefix: str, done: Callable[[list[Item] | None, Revision], None]) -> None:
        self.requests.force_take(MonotonicTime(0))

        def answer() -> None:
            items = [self._item(obj) for obj in self.sim.range(prefix)]
            done(None if "range" in self.broken else items, Revision(self.sim.revision))

        self._answer("range", answer)

    def commit(
        self,
        transaction: Transaction,
        done: Callable[[int | None, Revision, tuple[str, ...]], None],
    ) -> None:
        def answer() -> None:
            if "txn" in self.broken:
                done(None, Revision(0), ())
                return
            status, obj = self.sim.txn(transaction.body())
            if "lost" in self.broken:
                done(None, Revision(0), ())
                return
            done(status, Revision(obj["ledgerRev"]), tuple(obj.get("failed", ())))

        assert len(transaction.conditions) <= 4 * 6
        assert len(transaction.operations) <= 6
        assert len(transaction.body()) <= 64 * 1024
        for write in transaction.operations:
            assert isinstance(write, DeleteKey) or len(orjson.dumps(write.value)) <= 2048
        self._answer("txn" if transaction.operations else "compare", answer)

    def put(self, *writes: Put) -> None:
        assert self.sim.txn(Transaction({}, list(writes)).body())[0] == 200


class Asking:
    """A user's request, and the answer it got."""

    def __init__(self, body: dict[str, Any]) -> None:
        self._body = orjson.dumps(body)
        self.status = 0
        self.path, self.method = b"/work", b"POST"
        self.over: list[Callable[[Any], Any]] = []
        self.answer: dict[str, Any] = {}
        self.retry: int | None = None

    def body(self) -> bytes:
        return self._body

    def reply(
        self, status: int, body: bytes, retry_after: int | None = None, close: bool = False
    ) -> None:
        assert self.status == 0, "answered twice"
        assert status != 503 or retry_after, "whoever is refused is told when to come back"
        self.status, self.answer, self.retry = status, orjson.loads(body), retry_after

    def notifyFinish(self) -> Any:
        return SimpleNamespace(addBoth=self.over.append)


class Place:
    """A front with what it needs of a node; another one leads, or nobody."""

    def __init__(self, tokens: int = 100_000) -> None:
        self.now = 0.0
        self.store = StoreCalls(tokens)
        self.told: dict[str, str] | None = None  # by the leader; None: there is none
        self.asked: list[str] = []
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
                scheduler=None, job_record_watch=SimpleNamespace(add_record=lambda _: None)
            ),
            relay_service=SimpleNamespace(
                leader_client=SimpleNamespace(poll=self._poll, cancel=lambda job, answer: False)
            ),
        )
        self.front = self.node.user_service = UserService(cast(Any, self.node))

    def _poll(self, job: JobId, answer: Callable[[peers.JobReply | None], None]) -> bool:
        if self.told is None:
            return False
        self.asked.append(job)
        told = peers.JobReply(1, self.told.get(job, peers.UNKNOWN), 0, 0)
        self.store.answers.append(lambda: answer(told))
        return True

    def settle(self) -> None:
        while self.store.answers:
            self.store.answers.popleft()()

    def submit(self, body: dict[str, Any]) -> Asking:
        asking = Asking(body)
        self.front._submit(cast(Any, asking))
        self.settle()
        return asking

    def poll(self, job: str) -> Asking:
        asking = Asking({})
        self.front._poll(cast(Any, asking), JobId(job))
        self.settle()
        return asking

    def lead(self, told: dict[str, str]) -> None:
        """This node leads now, and knows these."""
        self.node.leader_service.scheduler = SimpleNamespace(jobs=told)
        self.node.leader_service.user_answers = SimpleNamespace(
            job_reply=lambda number, job: peers.JobReply(number, told.get(job, peers.UNKNOWN), 0, 0)
        )

    def know(self, job: str, awaits: tuple[str, ...] = ()) -> None:
        value = encode_job_record(spec_with(list(awaits), job), 10, 1.0)
        self.store.put(Put(JOB_PREFIX + job, value))

    def ended(self, job: str, how: str) -> None:
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
@pytest.mark.parametrize("told", [None, {}, {"wk-open": "running"}], ids=["alone", "lags", "led"])
def test_each_submission_gets_its_status(
    body: dict[str, Any], status: int, told: dict[str, str] | None
) -> None:
    place = Place()
    place.told = told
    place.know("wk-open")
    place.ended("wk-done", users.DONE)
    place.ended("wk-gone", users.CANCELLED)
    asking = place.submit(body)
    assert asking.status == status, asking.answer
    assert (JOB_PREFIX + "wk-9" in place.store.sim.keys) == (status == 201)


@pytest.mark.parametrize("body", [s[1] for s in SUBMISSIONS if s[0] != "no nameId"])
def test_a_repeat_gets_its_state_whatever_it_says_and_awaits(body: dict[str, Any]) -> None:
    place = Place()
    place.know("wk-open")
    place.ended("wk-done", users.DONE)
    place.ended("wk-gone", users.CANCELLED)
    place.know("wk-9", ("wk-open",))
    asking = place.submit(body)
    assert (asking.status, asking.answer["standing"]) == (200, "pending")
    place.ended("wk-9", users.DONE)
    asking = place.submit(body)
    assert (asking.status, asking.answer["standing"]) == (200, "done")


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
def test_a_repeat_at_another_node_tells_the_cancellation_before_it(
    body: dict[str, Any], types_known: bool
) -> None:
    """Its user was told `aborted` when the job before it was cancelled, though it has no end of
    its own yet: `pending` would go back. What was accepted counts, not what the repeat says; and
    a node that has just started needs no machine types to know a job that another one accepted."""
    place = Place()
    if not types_known:
        place.node.machine_types = {}
    place.know("wk-open")
    place.ended("wk-root", users.CANCELLED)
    place.know("wk-middle", ("wk-root",))
    place.know("wk-9", ("wk-middle",))
    asking = place.submit(body)
    assert (asking.status, asking.answer.get("standing")) == (200, "aborted")


def test_without_machine_types_a_new_job_is_told_to_come_back() -> None:
    place = Place()
    place.node.machine_types = {}
    asking = place.submit(submission("wk-9"))
    assert (asking.status, asking.retry) == (503, 2)
    assert not place.store.sim.keys


def test_a_known_job_whose_record_is_not_found_is_told_to_come_back() -> None:
    """It was accepted, so a read without it is older than what is known: never a 4xx."""
    place = Place()
    place.front.dependency_resolver.record_accepted(JobId("wk-9"))
    asking = place.submit(submission("wk-9", awaits=["wk-open"]))
    assert (asking.status, asking.retry) == (503, 2)


def test_a_repeat_where_it_was_accepted_takes_no_read() -> None:
    place = Place()
    assert place.submit(submission("wk-9")).status == 201
    before = len(place.store.asked)
    assert place.submit(submission("wk-9")).status == 200
    assert place.store.asked[before:] == ["txn"]


def lags(place: Place) -> None:
    place.node.loop_lag_s = 100.0


def has_no_tokens(place: Place) -> None:
    place.store.requests.empty(MonotonicTime(0))


def has_no_writes(place: Place) -> None:
    place.store.writes.empty(MonotonicTime(0))


def is_crowded(place: Place) -> None:
    """As many requests are under way as it takes; they wait for answers that don't come."""
    place.node.tuning = load_tuning(values={"pending_requests": 3})
    for job in ("wk-1", "wk-2", "wk-3"):
        place.front.route(cast(Any, Asking(submission(job))))


LONG = [f"wk-{i:06d}" for i in range(300)]
AT_ONCE: list[tuple[Callable[[Place], None], bytes, bytes, dict[str, Any]]] = [
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
    (lambda place: None, b"POST", b"/work/wk-9/cancel", {}),  # nobody leads
]


@pytest.mark.parametrize(("state", "method", "path", "body"), AT_ONCE)
def test_what_cannot_be_taken_is_said_at_once(
    state: Callable[[Place], None], method: bytes, path: bytes, body: dict[str, Any]
) -> None:
    """Before anything else is asked or awaited: a request that is held keeps its user from other
    nodes, and many of them keep this node from its work."""
    place = Place()
    state(place)
    before = len(place.store.asked)
    asking = Asking(body)
    asking.method, asking.path = method, path
    place.front.route(cast(Any, asking))
    assert asking.status == 503 and asking.retry
    assert len(place.store.asked) == before


def test_a_request_that_is_over_makes_room_for_the_next() -> None:
    place = Place()
    place.node.tuning = load_tuning(values={"pending_requests": 1})
    first = Asking(submission("wk-1"))
    place.front.route(cast(Any, first))
    place.settle()
    for over in first.over:
        over(None)
    second = Asking(submission("wk-2"))
    place.front.route(cast(Any, second))
    place.settle()
    assert (first.status, second.status) == (201, 201)


def test_a_submission_as_long_as_a_body_may_be() -> None:
    """Thousands of names. They are told by the leader, or found by the prefix of their
    ends; the list takes a few tries where tokens are few."""
    for led in (True, False):
        place = Place(tokens=200)
        jobs = [f"wk-{i:x}" for i in range(4096, 4096 + 6400)]
        body = submission("wk-last", awaits=jobs)
        assert 60_000 < len(orjson.dumps(body)) <= 64 * 1024
        place.told = {}
        for job in jobs:
            if led:
                place.told[job] = "pending"
                place.know(job)
            else:
                place.ended(job, users.DONE)
        tries = 1
        while (asking := place.submit(body)).status == 503 and tries < 10:
            place.store.requests.add(MonotonicTime(0), 200)
            place.store.writes.add(MonotonicTime(0), 200)
            tries += 1
        assert asking.status == 201
        assert len(place.store.asked) < 60
        assert place.submit(body).status == 200


def names(number: int) -> list[str]:
    return [f"wk-{i:06d}" for i in range(number)]


def test_thousands_of_names_take_few_requests_and_come_back_whole() -> None:
    place = Place()
    place.told = {}
    for name in names(3000):
        place.know(name)
        place.told[name] = "pending"
    asking = place.submit(submission("wk-last", awaits=names(3000)))
    assert asking.status == 201
    assert "compare" not in place.store.asked, "the leader told of all of them"
    value = place.store.sim.keys[JOB_PREFIX + "wk-last"][0]
    reference = decode_dependency_list_reference(value)
    assert reference is not None
    # The job itself is looked up, its list is written, and then its record.
    assert len(place.store.asked) == 2 + -(-reference.part_count // 6) + 1
    prefix = dependency_list_prefix(JobId("wk-last"), reference)
    lists = [Item(i["path"], i["v"], Revision(i["stamp"])) for i in place.store.sim.range(prefix)]
    whole = resolve_dependency_list(
        JobId("wk-last"), Item(JOB_PREFIX + "wk-last", value, Revision(1)), lists
    )
    assert whole is not None
    spec, _, _ = decode_job_record(JobId("wk-last"), whole.value)
    assert spec.dependencies == tuple(names(3000))


def test_what_tokens_do_not_allow_is_refused_and_gone_on_with() -> None:
    """Each try is answered at once, and the next starts where it ended."""
    place = Place(tokens=10)
    for name in names(400):
        place.know(name)
    body = submission("wk-last", awaits=names(400))
    tries = 0
    while (asking := place.submit(body)).status != 201:
        assert (asking.status, asking.retry) == (503, 2)
        assert place.store.requests.available(MonotonicTime(0)) >= 0
        assert place.store.writes.available(MonotonicTime(0)) >= 0
        place.store.requests.add(
            MonotonicTime(0), 10 - place.store.requests.available(MonotonicTime(0))
        )
        place.store.writes.add(
            MonotonicTime(0), 10 - place.store.writes.available(MonotonicTime(0))
        )
        tries += 1
        assert tries < 10
    assert tries >= 2
    assert place.store.most_under_way <= 4


@pytest.mark.parametrize("kind", ["txn"])
@pytest.mark.parametrize("awaits", [["wk-x"], ["wk-open"], names(300)])
def test_without_an_answer_nothing_is_said_of_what_it_awaits(kind: str, awaits: list[str]) -> None:
    place = Place()
    place.know("wk-open")
    place.store.broken = {kind}
    asking = place.submit(submission("wk-9", awaits=awaits))
    assert (asking.status, asking.retry) == (503, 2)
    assert JOB_PREFIX + "wk-9" not in place.store.sim.keys


def test_a_check_that_takes_too_long_is_given_up() -> None:
    place = Place()
    for name in names(400):
        place.know(name)
    asking = Asking(submission("wk-9", awaits=names(400)))
    place.front._submit(cast(Any, asking))
    while place.store.answers:
        place.store.answers.popleft()()
        place.now += 0.4
    assert (asking.status, asking.retry) == (503, 2)
    assert place.store.asked.count("compare") <= 8, "no more is asked once the time is over"
    assert place.submit(submission("wk-9", awaits=names(400))).status in (201, 503)


def test_an_answer_that_comes_too_late_accepts_nothing() -> None:
    """Its user has gone on to the next try, and the write would still take its time."""
    place = Place()
    place.know("wk-open")
    asking = Asking(submission("wk-9", awaits=["wk-open"]))
    place.front._submit(cast(Any, asking))
    place.now = 3.0
    place.settle()
    assert (asking.status, asking.retry) == (503, 2)
    assert JOB_PREFIX + "wk-9" not in place.store.sim.keys


@pytest.mark.parametrize("answers_before", [0, 1])
def test_a_job_that_ends_during_the_check_counts_as_accepted(answers_before: int) -> None:
    """Its record goes as its end comes. Two reads, one of each, could miss both: then a job that
    was accepted long ago would be taken for one that never was."""
    place = Place()
    place.know("wk-open")
    asking = Asking(submission("wk-9", awaits=["wk-open"]))
    place.front._submit(cast(Any, asking))
    for _ in range(answers_before):
        place.store.answers.popleft()()
    place.ended("wk-open", users.DONE)
    place.settle()
    assert asking.status == 201
    assert place.store.asked == ["compare", "txn"]


def test_a_job_that_is_accepted_during_the_check_is_not_refused_for_an_older_read() -> None:
    """The ends are read in a range first; that a name is not among them says nothing."""
    place = Place()
    jobs = names(200)
    for name in jobs[:-1]:
        place.ended(name, users.DONE)
    asking = Asking(submission("wk-9", awaits=jobs))
    place.front._submit(cast(Any, asking))
    assert place.store.asked == ["range"]
    place.store.answers.popleft()()
    place.know(jobs[-1])
    place.settle()
    assert asking.status == 201


def test_a_wide_fan_out_is_accepted_without_reading_its_root_again() -> None:
    place = Place()
    place.know("wk-root")
    for job in names(500):
        assert place.submit(submission(job, awaits=["wk-root"])).status == 201
    assert place.store.asked.count("compare") == 1


def test_a_repeat_writes_no_list_again() -> None:
    place = Place()
    for name in names(400):
        place.know(name)
    body = submission("wk-last", awaits=names(400))
    assert place.submit(body).status == 201
    keys = set(place.store.sim.keys)
    assert place.submit(body).status == 200
    elsewhere = Place()
    elsewhere.store.sim = place.store.sim
    assert elsewhere.submit(body).status == 200
    assert set(place.store.sim.keys) == keys


@pytest.mark.parametrize("executed", [False, True])
def test_a_list_is_used_again_when_its_record_was_not_answered(executed: bool) -> None:
    place = Place()
    for name in names(400):
        place.know(name)
    asking = Asking(submission("wk-last", awaits=names(400)))
    place.front._submit(cast(Any, asking))
    while place.store.asked[-1] != "txn" or len(place.store.answers) > 1:
        place.store.answers.popleft()()
    while not any(k.endswith("/2") for k in place.store.sim.keys):
        place.store.answers.popleft()()
    lists = {k for k in place.store.sim.keys if k.startswith(DEPENDENCY_LIST_PREFIX)}
    place.store.broken = {"lost", "get"} if executed else {"txn", "get"}
    place.settle()
    assert asking.status == 503
    place.store.broken = set()
    again = place.submit(submission("wk-last", awaits=names(400)))
    assert again.status == (200 if executed else 201)
    assert {k for k in place.store.sim.keys if k.startswith(DEPENDENCY_LIST_PREFIX)} == lists


def test_a_repeat_that_the_leader_knows_takes_no_token() -> None:
    """A repeat that needs many reads may fail for ever where tokens are few."""
    for leads in (True, False):
        place = Place(tokens=1)
        for name in names(400):
            place.know(name)
        told = {"wk-last": "aborted"}
        if leads:
            place.lead(told)
        else:
            place.told = told
            place.front.dependency_resolver.record_accepted(JobId("wk-last"))
        asking = place.submit(submission("wk-last", awaits=names(400)))
        assert (asking.status, asking.answer["standing"]) == (200, "aborted")
        assert not place.store.asked


def chain(place: Place, length: int, per: int = 1) -> str:
    """Jobs in a row; returns the last."""
    place.know("wk-root")
    before = ("wk-root",)
    for i in range(length):
        job = f"wk-{i:06d}"
        place.know(job, before)
        before = (*before[-(per - 1) :], job) if per > 1 else (job,)
    return before[-1]


@pytest.mark.parametrize(
    ("root", "state"), [(None, "pending"), (users.DONE, "pending"), (users.CANCELLED, "aborted")]
)
@pytest.mark.parametrize(("length", "per"), [(1, 1), (2, 1), (40, 1), (2000, 1), (300, 3)])
def test_a_look_up_tells_what_follows_from_a_cancelled_ancestor(
    length: int, per: int, root: str | None, state: str
) -> None:
    place = Place()
    last = chain(place, length, per)
    if root is not None:
        place.ended("wk-root", root)
    polled = place.poll(last)
    assert (polled.status, polled.answer["standing"]) == (200, state)
    assert len(place.store.asked) < 150
    repeat = place.submit(submission(last, awaits=["wk-root"]))
    assert (repeat.status, repeat.answer["standing"]) == (200, state)


@pytest.mark.parametrize("root", [None, users.DONE, users.CANCELLED])
@pytest.mark.parametrize("levels", [1, 2, 3, 4])
def test_where_many_ways_meet_each_ancestor_is_asked_for_once(
    levels: int, root: str | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Two jobs a level, and each awaits both before it: 2 to the `levels` ways lead up. Without
    the memory of whom it has seen, the search goes each of them."""
    place = Place()
    place.know("wk-root")
    before: tuple[str, ...] = ("wk-root",)
    for i in range(levels):
        for side in "ab":
            place.know(f"wk-{i}{side}", before)
        before = (f"wk-{i}a", f"wk-{i}b")
    place.know("wk-last", before)
    if root is not None:
        place.ended("wk-root", root)
    ends: Counter[str] = Counter()
    records: Counter[str] = Counter()
    commit, get = place.store.commit, place.store.get

    def count_ends(sent: Transaction, done: Any) -> None:
        ends.update(key for key in sent.conditions if key.startswith(END_PREFIX))
        commit(sent, done)

    def count_records(key: str, done: Any) -> None:
        records[key] += 1
        get(key, done)

    monkeypatch.setattr(place.store, "commit", count_ends)
    monkeypatch.setattr(place.store, "get", count_records)
    asking = Asking({})
    place.front._poll(cast(Any, asking), JobId("wk-last"))
    for _ in range(200):  # not more: a search that never ends is a failure, not a test that hangs
        if place.store.answers:
            place.store.answers.popleft()()
    assert not place.store.answers, "it goes on and on"
    expected = "aborted" if root == users.CANCELLED else "pending"
    assert (asking.status, asking.answer["standing"]) == (200, expected)
    assert len(ends) == 2 * levels + 1 and set(ends.values()) == {1}
    assert set(records.values()) == {1}


def test_a_repeat_at_a_node_that_knows_nothing_tells_the_cancellation() -> None:
    """The job's record is there without an end, and its user may have been told all the same."""
    place = Place()
    last = chain(place, 3)
    place.ended("wk-root", users.CANCELLED)
    repeat = place.submit(submission(last, awaits=["wk-000001"]))
    assert (repeat.status, repeat.answer["standing"]) == (200, "aborted")


def test_a_wide_job_is_looked_up_in_few_requests() -> None:
    place = Place()
    for name in names(1000):
        place.know(name)
    value = encode_job_record(spec_with(names(1000), "wk-last"), 10, 1.0)
    place.store.put(Put(JOB_PREFIX + "wk-last", value))
    for name in names(500)[:-1]:
        place.ended(name, users.DONE)
    assert place.poll("wk-last").answer["standing"] == "pending"
    assert len(place.store.asked) < 12
    place.ended(names(1000)[-1], users.CANCELLED)
    before = len(place.store.asked)
    assert place.poll("wk-last").answer["standing"] == "aborted"
    assert len(place.store.asked) - before < 6


def test_a_cancelled_job_whose_record_is_still_there_counts_as_cancelled() -> None:
    """Its record goes only once its tasks have ended; and the ends known here are bounded."""
    place = Place()
    place.node.tuning = load_tuning(values={"final_cache": 100})
    place.front = place.node.user_service = UserService(cast(Any, place.node))
    for name in names(1000):
        place.know(name)
        place.store.put(Put(END_PREFIX + name, {"e": users.DONE, "n": 6}))
    place.store.put(Put(END_PREFIX + "wk-000003", {"e": users.CANCELLED, "n": 6}))
    place.know("wk-last", tuple(names(1000)))
    assert place.poll("wk-last").answer["standing"] == "aborted"


def test_a_look_up_without_tokens_says_so_and_the_next_goes_on() -> None:
    place = Place(tokens=10)
    last = chain(place, 12)
    place.ended("wk-root", users.CANCELLED)
    tries = 0
    while (asking := place.poll(last)).status != 200:
        assert (asking.status, asking.retry) == (503, 2)
        assert place.store.requests.available(MonotonicTime(0)) >= 0
        place.store.requests.add(
            MonotonicTime(0), 10 - place.store.requests.available(MonotonicTime(0))
        )
        tries += 1
        assert tries < 20
    assert tries > 1
    assert asking.answer["standing"] == "aborted"


@pytest.mark.parametrize("kind", ["get", "txn", "range"])
def test_a_walk_without_an_answer_is_not_a_state(kind: str) -> None:
    place = Place()
    for name in names(20):
        place.know(name, ("wk-root",))
    place.ended("wk-root", users.CANCELLED)
    place.know("wk-last", tuple(names(20)))
    place.store.broken = {kind}
    assert place.poll("wk-last").status == 503


def test_a_list_that_is_not_there_is_not_none() -> None:
    place = Place()
    value = encode_job_record(
        spec_with(["wk-1"], "wk-9"), 10, 1.0, users.DependencyListReference("abc", 1)
    )
    place.store.put(Put(JOB_PREFIX + "wk-9", value))
    assert place.poll("wk-9").status == 503


def test_a_job_that_awaits_none_costs_two_reads() -> None:
    place = Place()
    place.know("wk-9")
    assert place.poll("wk-9").status == 200
    assert place.store.asked == ["get", "get"]


def test_the_answer_tells_some_that_it_waits_for() -> None:
    told = peers.JobReply(3, "pending", 0, 0, ("wk-1", "wk-2"))
    plain = peers.JobReply(4, "pending", 0, 0)
    frame = peers.parse_frame(peers.encode_job_replies(peers.JOB_STATES, [told, plain]))
    assert peers.parse_job_replies(frame) == [told, plain]
    assert set(frame["i"][1]) == {"n", "v", "d", "r"}, "as the earlier version writes it"
    body = orjson.loads(users.job_state_body(JobId("wk-9"), "pending", 0, 0, tuple(names(30))))
    assert body["awaits"] == names(20)
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
def test_the_command_line_adds_what_a_job_awaits(
    named: Any, added: list[str], result: tuple[str, ...] | None
) -> None:
    raw = orjson.dumps(submission("wk-9", awaits=named))
    if result is None:
        with pytest.raises(MalformedMessageError):
            _with_awaits(raw, added)
    else:
        assert users.parse_submission(orjson.loads(_with_awaits(raw, added))).dependencies == result


class Leader:
    """A leader's node: its job records, and a core that notes what it learns."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.place = Place()
        self.later: list[Callable[[], Any]] = []
        self.learned: dict[JobId, users.JobSpec] = {}
        reactor = SimpleNamespace(
            callLater=lambda _, call, *args: self.later.append(lambda: call(*args))
        )
        monkeypatch.setattr(job_record_watch, "reactor", reactor)
        node = self.place.node
        self.leader_service = node.leader_service = LeaderService(
            NodeContext(node.settings, node.tuning, IncarnationId("x"), node.clock, Metrics()),
            cast(Any, node.store),
            Election(NodeId("n"), 3.0, 0.02),
            self.place.front,
            KnownMachineTypes(),
        )
        self.leader_service.process_events_soon = cast(Any, lambda: None)
        self.leader_service.scheduler = cast(
            Any, SimpleNamespace(jobs=self.learned, load_job_record=self._learn)
        )

    def _learn(self, item: Item, now: MonotonicTime) -> None:
        spec, _, _ = decode_job_record(JobId(item.key[len(JOB_PREFIX) :]), item.value)
        assert spec.id not in self.learned, "learned twice"
        self.learned[spec.id] = spec

    def again(self) -> None:
        """Pauses are over."""
        calls, self.later = self.later, []
        for then in calls:
            then()
        self.place.settle()


def listed(number: int) -> tuple[Item, list[Put]]:
    spec = spec_with(names(number), "wk-last")
    parts = split_dependency_list(spec.dependencies, 2048)
    reference = users.DependencyListReference("abc", len(parts))
    prefix = dependency_list_prefix(spec.id, reference)
    record = Item(JOB_PREFIX + spec.id, encode_job_record(spec, 10, 1.0, reference), Revision(9))
    return record, [Put(f"{prefix}{i}", part) for i, part in enumerate(parts)]


def test_lists_and_ends_outlive_the_process(service: tuple[Region, Service]) -> None:
    region, node = service

    def ask(method: str, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Repeats while the answer is to come back later, as users do."""
        answers: list[tuple[int, bytes]] = []

        def final() -> bool:
            answers.append(call(node.front, method, path, orjson.dumps(body)))
            return answers[-1][0] not in (0, 503)

        until(final)
        return answers[-1][0], orjson.loads(answers[-1][1])

    def submit(job: str, awaits: list[str]) -> int:
        body = submission(job, awaits=awaits)
        with region.lock:
            region.jobs[job] = body | {"runS": 3600.0}
        return ask("POST", "/work", body)[0]

    with region.lock:
        writes = [{"put": END_PREFIX + job, "v": {"e": "done", "n": 6}} for job in names(1000)]
        assert region.store.txn(orjson.dumps({"guards": [], "writes": writes}))[0] == 200
    assert submit("wk-first", []) == 201
    assert submit("wk-long", [*names(1000), "wk-first"]) == 201
    assert submit("wk-short", ["wk-first", "wk-long"]) == 201
    assert submit("wk-none", [*names(1000), "wk-unknown"]) == 422
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
        assert submit("wk-long", [*names(1000), "wk-first"]) == 200
        until(lambda: orjson.loads(call(node.front, "GET", "/status")[1]).get("jobs") == 3)
        node.restart()


def test_a_leader_learns_a_job_only_with_its_list(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = Leader(monkeypatch)
    record, parts = listed(500)
    leader.place.store.put(*parts[:1])
    for _ in range(3):
        leader.leader_service.job_record_watch.add_record(record)  # each poll's look-up hands it in
        leader.place.settle()
        assert not leader.learned
    assert len(leader.later) == 1, "one reads for all"
    leader.place.store.broken = {"range"}
    leader.again()
    assert not leader.learned and len(leader.later) == 1
    leader.place.store.broken = set()
    leader.place.store.put(*parts[1:])
    leader.again()
    assert leader.learned[JobId("wk-last")].dependencies == tuple(names(500))
    leader.leader_service.job_record_watch.add_record(record)
    leader.place.settle()
    assert not leader.later


def test_a_job_that_ended_meanwhile_is_not_learned(monkeypatch: pytest.MonkeyPatch) -> None:
    leader = Leader(monkeypatch)
    record, _ = listed(500)
    leader.leader_service.job_record_watch.add_record(record)
    leader.place.settle()
    leader.place.front.record_outcome(JobId("wk-last"), users.CANCELLED)
    leader.again()
    assert not leader.learned and not leader.later


def test_lists_read_at_take_over_are_put_into_their_records() -> None:
    record, parts = listed(500)
    plain = Item(
        JOB_PREFIX + "wk-1", encode_job_record(spec_with([], "wk-1"), 10, 1.0), Revision(3)
    )
    odd = Item(JOB_PREFIX + "wk-2", {"s": [1], "n": 10, "t": 1.0}, Revision(3))
    lists = [Item(put.key, put.value, Revision(2)) for put in parts]
    whole, missing = job_record_watch.resolve_dependency_lists([plain, record, odd], lists)
    assert [item.key for item in whole] == [plain.key, record.key, odd.key] and not missing
    assert decode_job_record(JobId("wk-last"), whole[1].value)[0].dependencies == tuple(names(500))
    whole, missing = job_record_watch.resolve_dependency_lists([plain, record, odd], lists[1:])
    assert whole == [plain, odd] and missing == [record]
