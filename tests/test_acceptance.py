"""Submissions that await others: what is accepted, what is stored, what is told."""

from typing import Any

import orjson
import pytest

from eldercart.core.jobs import (
    JOB,
    NEEDS,
    job_record,
    list_reference,
    needs_parts,
    needs_prefix,
    parse_job_record,
    resolve,
)
from eldercart.units import JobId, Revision
from eldercart.wire import Malformed, users
from eldercart.wire.state import Item
from world import submission

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
        with pytest.raises(Malformed, match="awaits"):
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
    assert job_record(spec, 10, 1.0) == {"s": record, "n": 10, "t": 1.0}


def test_a_short_list_is_in_the_record() -> None:
    spec = spec_with(["wk-1", "wk-2"])
    assert needs_parts(spec.dependencies, 2048) == []
    value = job_record(spec, 10, 1.0)
    assert len(value["s"]) == 19
    assert list_reference(value) is None
    assert parse_job_record(spec.id, value) == (spec, 10, 1.0)


@pytest.mark.parametrize("value_bytes", [1024, 2048, 8192, 32768])
def test_a_long_list_is_cut_to_fit_and_comes_back_whole(value_bytes: int) -> None:
    names = [f"wk-{i:06d}" for i in range(4000)]
    spec = spec_with(names)
    parts = needs_parts(spec.dependencies, value_bytes)
    assert all(0 < len(orjson.dumps(part)) <= value_bytes for part in parts)
    reference = users.ListReference("abc", len(parts))
    value = job_record(spec, 10, 1.0, reference)
    assert list_reference(value) == reference
    with pytest.raises(Malformed):
        parse_job_record(spec.id, value)  # not read is not none
    item = Item(JOB + spec.id, value, Revision(5))
    prefix = needs_prefix(spec.id, reference)
    assert prefix.startswith(NEEDS)
    lists = [Item(f"{prefix}{i}", part, Revision(4)) for i, part in enumerate(parts)]
    whole = resolve(spec.id, item, reversed(lists))
    assert whole is not None
    assert whole.version == item.version
    assert parse_job_record(spec.id, whole.value) == (spec, 10, 1.0)
    for gap in (0, len(lists) // 2, len(lists) - 1):
        assert resolve(spec.id, item, lists[:gap] + lists[gap + 1 :]) is None


@pytest.mark.parametrize(
    "last", [[], None, 5, "wk-1", [1], ["no"], {}, {"set": "a"}, {"set": "a/b", "parts": 1}]
)
def test_a_record_whose_last_field_is_odd_is_unreadable(last: Any) -> None:
    value = job_record(users.parse_submission(submission("wk-9")), 10, 1.0)
    value["s"].append(last)
    with pytest.raises(Malformed):
        parse_job_record(JobId("wk-9"), value)
