"""The watch on the leader key after a cut in which more has changed than the store keeps."""

from types import SimpleNamespace
from typing import Any, cast

from eldercart.election.actions import ReadLeaderKey
from eldercart.election.state_machine import Election
from eldercart.server.leadership import election_service
from eldercart.server.leadership.election_service import ElectionService
from eldercart.units import IncarnationId, MonotonicTime, NodeId, Revision


def test_watch_goes_on_from_what_a_list_tells(monkeypatch: Any) -> None:
    """The leader key's own version may be too old as well: to watch from there is refused at once,
    again and again, and a change of leader would be seen late."""
    asked: list[tuple[Revision, Any]] = []
    store = SimpleNamespace(
        watch=lambda key, after, wait_s, done: asked.append((after, done)),
        range=lambda key, done: done([], Revision(50_000)),
    )
    election = Election(NodeId("n0"), 2.0, 0.02, IncarnationId("x"))
    monkeypatch.setattr(
        election_service, "reactor", SimpleNamespace(callLater=lambda _, what, *args: what(*args))
    )
    leadership = SimpleNamespace()  # neither begins nor ends here
    e = ElectionService(
        election, cast(Any, store), cast(Any, leadership), lambda: MonotonicTime(7.0)
    )
    e._watch()
    after, done = asked[-1]
    assert after == 0
    done(410, Revision(0), [])
    e._watch()
    assert [after for after, _ in asked] == [0, 50_000]
    assert isinstance(election.next_action(MonotonicTime(7.0)), ReadLeaderKey), (
        "it asks who leads now"
    )
