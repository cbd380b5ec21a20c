"""Calls to the state service, within this node's share of its limits."""

import logging
from collections.abc import Callable
from typing import Any

from eldercart.server.http.client import HttpClient, ResponseCallback
from eldercart.server.store.rate_limit_backoff import RateLimitBackoff
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.settings import NodeSettings
from eldercart.units import DISTANT_PAST, LeaseId, MonotonicTime, Revision
from eldercart.wire import MalformedMessage
from eldercart.wire import state as wire
from eldercart.wire.state import Item, Transaction

log = logging.getLogger("eldercart.node")

# Reserves by urgency, as shares of the burst: renewals take tokens whatever there is; a user waits
# for an acceptance, and an end can wait for the next token.
RESERVE_ADMISSION, RESERVE_JOB_OUTCOMES, RESERVE_PLACEMENTS, RESERVE_POLLS = 0.0, 0.1, 0.3, 0.3
RESERVE_LEARNED_STATE = 0.6
REQUEST_TIMEOUT_S = 2.0
MIN_ADMISSIONS = 5  # submissions that a node should be able to take at once


class StoreClient:
    """The state service as this node may use it. Tokens of transactions are their callers'
    concern, since these can wait; all other calls take theirs here."""

    def __init__(self, settings: NodeSettings, clock: Callable[[], MonotonicTime]) -> None:
        """Starts with a follower's share of the present limits."""
        self._http = HttpClient(settings.state, 1.0, 8)
        self._clock = clock
        self._settings = settings
        now = clock()
        self.requests = TokenBucket(1, settings.state_rps, now)
        self.writes = TokenBucket(1, settings.state_write_rps, now)
        self.last_success_at = now
        self.failing_since: MonotonicTime | None = None
        self.unavailable_at = DISTANT_PAST  # when it last answered that it can't
        s = settings
        self.rate_limit_backoff = RateLimitBackoff(
            s.state_rps_next < s.state_rps or s.state_write_rps_next < s.state_write_rps
        )
        self._uses_reduced_rates = False
        self._is_leader = False
        self._allocate_rates(now)

    def set_leader(self, leader: bool) -> None:
        """The shares of a leader and of the others differ."""
        self._is_leader = leader
        self._allocate_rates(self._clock())

    def update_rates(self, now: MonotonicTime) -> None:
        """The rates that hold now: they change by a refusal, by a peer's word and by time."""
        lowered = self.rate_limit_backoff.is_active(now)
        if lowered != self._uses_reduced_rates:
            self._uses_reduced_rates = lowered
            self._allocate_rates(now)
            log.info("rates of the state service lowered=%s", lowered)

    def _allocate_rates(self, now: MonotonicTime) -> None:
        """The leader writes most; the others need enough to accept and to answer."""
        nodes, leader, s = self._settings.nodes, self._is_leader, self._settings
        rps, write_rps = s.state_rps, s.state_write_rps
        if self._uses_reduced_rates:
            rps, write_rps = s.state_rps_next, s.state_write_rps_next
        # Below the limit, and half of its burst: two clocks never agree on where a second ends.
        for bucket, rate, most in (
            (self.requests, rps, 0.6),
            (self.writes, write_rps, 0.7),
        ):
            share = 1.0 if nodes == 1 else (most if leader else (1.0 - most) / (nodes - 1))
            bucket.set_rate(0.92 * rate * share, max(MIN_ADMISSIONS + 1.0, 0.8 * rate * share), now)

    def missing_tokens(self, now: MonotonicTime) -> int:
        """How many tokens this node lacks to take a few submissions at once."""
        return max(
            0, MIN_ADMISSIONS - min(self.requests.available(now), self.writes.available(now))
        )

    def lend_tokens(self, number: int, now: MonotonicTime) -> int:
        """Takes up to so many of this node's tokens for another one, if it can well spare them."""
        number = min(
            number,
            self.requests.available(now, RESERVE_PLACEMENTS),
            self.writes.available(now, RESERVE_PLACEMENTS),
        )
        if number <= 0:
            return 0
        self.requests.force_take(now, number)
        self.writes.force_take(now, number)
        return number

    def receive_tokens(self, number: int, now: MonotonicTime) -> None:
        """Adds tokens that the leader has taken from its own share for this node."""
        self.requests.add(now, number)
        self.writes.add(now, number)

    def _request(
        self, method: bytes, path: str, body: bytes | None, timeout: float, answer: ResponseCallback
    ) -> None:
        within = self._is_within_share()

        def got(status: int | None, data: bytes) -> None:
            now = self._clock()
            if status is None or status in (429, 503):
                if self.failing_since is None:
                    self.failing_since = now
                if status == 503:
                    self.unavailable_at = now
                if status == 429:
                    self._on_rate_limited(now, within)
            else:
                self.last_success_at = now
                self.failing_since = None
            answer(status, data)

        self._http.request(method, path, body, timeout, got)

    def _is_within_share(self) -> bool:
        """Whether this node has kept within its share, the request now sent included."""
        return not (self.requests.is_overdrawn or self.writes.is_overdrawn)

    def _on_rate_limited(self, now: MonotonicTime, within: bool) -> None:
        """The limit is reached, whatever the buckets say."""
        self.requests.empty(now)
        self.writes.empty(now)
        self.rate_limit_backoff.record_rate_limited(now, within)
        self.update_rates(now)

    def get(self, key: str, done: Callable[[bool, Item | None], None]) -> None:
        """`done(True, item)`, `done(True, None)` for a 404, `done(False, None)` for no answer."""

        def got(status: int | None, data: bytes) -> None:
            try:
                if status == 200:
                    done(True, wire.parse_item(data))
                    return
            except MalformedMessage:
                status = None
            done(status == 404, None)

        self.requests.force_take(self._clock())
        self._request(b"GET", wire.key_path(key), None, REQUEST_TIMEOUT_S, got)

    def range(self, prefix: str, done: Callable[[list[Item] | None, Revision], None]) -> None:
        """All items with the prefix, or None."""
        items: list[Item] = []
        first: list[Revision] = []

        def page(after: str | None) -> None:
            self.requests.force_take(self._clock())
            self._request(b"GET", wire.range_path(prefix, after), None, 5.0, got)

        def got(status: int | None, data: bytes) -> None:
            try:
                if status != 200:
                    raise MalformedMessage("status")
                found, more, revision = wire.parse_range(data)
            except MalformedMessage:
                done(None, Revision(0))
                return
            items.extend(found)
            first.append(revision)
            if more and found:
                page(found[-1].key)
            else:
                # Changes after the first page may be missing from it: watch from there.
                done(items, first[0])

        page(None)

    def commit(
        self, txn: Transaction, done: Callable[[int | None, Revision, tuple[str, ...]], None]
    ) -> None:
        """`done(status, revision, failed keys)`; tokens are the caller's concern."""

        def got(status: int | None, data: bytes) -> None:
            try:
                if status == 200:
                    done(200, wire.parse_revision(data), ())
                    return
                if status == 409:
                    done(409, Revision(0), wire.parse_failed_conditions(data))
                    return
            except MalformedMessage:
                status = None
            done(status, Revision(0), ())

        self._request(b"POST", "/txn", txn.body(), REQUEST_TIMEOUT_S, got)

    def grant_lease(self, ttl_ms: int, done: Callable[[LeaseId | None], None]) -> None:
        """A new lease; `done(None)` if none was given."""

        def got(status: int | None, data: bytes) -> None:
            try:
                done(wire.parse_lease(data) if status == 200 else None)
            except MalformedMessage:
                done(None)

        self.requests.force_take(self._clock())
        self._request(b"POST", "/holds", b'{"lifeMs":%d}' % ttl_ms, 1.0, got)

    def keep_lease_alive(self, lease: LeaseId, done: Callable[[bool | None], None]) -> None:
        """True: alive; False: ended; None: nobody knows."""

        def got(status: int | None, _: bytes) -> None:
            done(True if status == 200 else False if status == 404 else None)

        self.requests.force_take(self._clock())
        self._request(b"POST", f"/holds/{lease}/touch", b"{}", 1.0, got)

    def revoke_lease(self, lease: LeaseId, done: Callable[[bool], None]) -> None:
        """Ends a lease; `done(True)` once it surely has ended."""
        self.requests.force_take(self._clock())
        self._request(
            b"DELETE", f"/holds/{lease}", None, 1.0, lambda s, _: done(s in (200, 204, 404))
        )

    def watch(
        self,
        prefix: str,
        after: Revision,
        wait_s: float,
        done: Callable[[int | None, Revision, list[Any]], None],
    ) -> None:
        """Waits for changes under the prefix: `done(200, revision to go on from, events)`, or
        `done(status, after, [])` if it failed."""

        def got(status: int | None, data: bytes) -> None:
            if status == 429:
                self._on_rate_limited(self._clock(), within)
            try:
                if status == 200:
                    revision, events = wire.parse_watch(data)
                    done(200, revision, events)
                    return
            except MalformedMessage:
                status = None
            done(status, after, [])

        self.requests.force_take(self._clock())
        within = self._is_within_share()
        path = wire.watch_path(prefix, after, int(wait_s * 1000))
        self._http.request(b"GET", path, None, wait_s + 3.0, got)


__all__ = [
    "RESERVE_ADMISSION",
    "RESERVE_JOB_OUTCOMES",
    "RESERVE_LEARNED_STATE",
    "RESERVE_PLACEMENTS",
    "RESERVE_POLLS",
    "StoreClient",
]
