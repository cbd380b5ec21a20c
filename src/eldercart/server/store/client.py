"""The client of the state service, which keeps to this node's share of the rate limits."""

import logging
from collections.abc import Callable

from eldercart.server.http.client import HttpClient, ResponseCallback
from eldercart.server.store.rate_limit_backoff import RateLimitBackoff
from eldercart.server.store.token_bucket import TokenBucket
from eldercart.settings import NodeSettings
from eldercart.units import DISTANT_PAST, LeaseId, MonotonicTime, Revision
from eldercart.wire import MalformedMessageError
from eldercart.wire import state as wire
from eldercart.wire.state import Item, KeyChange, Transaction

log = logging.getLogger("eldercart.node")

# Reserves by urgency, as fractions of the burst. Lease renewals need none, since they take their
# tokens unconditionally. A user waits for an admission; a job's outcome can wait for a new token.
RESERVE_ADMISSION, RESERVE_JOB_OUTCOMES, RESERVE_PLACEMENTS, RESERVE_POLLS = 0.0, 0.1, 0.3, 0.3
RESERVE_LEARNED_STATE = 0.6
CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 8
REQUEST_TIMEOUT_S = 2.0
RANGE_TIMEOUT_S = 5.0  # limit for the read of one page
LEASE_TIMEOUT_S = 1.0  # short: a lease request is of no use once the lease has expired
WATCH_TIMEOUT_MARGIN_S = 3.0  # added to the time for which the state service may hold a watch
MIN_ADMISSIONS = 5  # submissions that a node should be able to admit in one burst
# The leader's shares of the rate limits; the followers share the rest.
LEADER_REQUEST_SHARE, LEADER_WRITE_SHARE = 0.6, 0.7
# Fractions of the limit's rate and burst that the nodes use. Both are below 1 because two clocks
# never agree on where a second ends.
RATE_USAGE_RATIO, BURST_USAGE_RATIO = 0.92, 0.8

CommitCallback = Callable[[int | None, Revision, tuple[str, ...]], None]
WatchCallback = Callable[[int | None, Revision, list[KeyChange]], None]


class StoreClient:
    """Sends requests to the state service within this node's share of its rate limits.

    Callers of `commit` take the tokens for their transactions themselves, since transactions can
    wait for tokens. All other methods take their tokens here.
    """

    def __init__(self, settings: NodeSettings, clock: Callable[[], MonotonicTime]) -> None:
        """Start with a follower's share of the current limits."""
        self._http = HttpClient(settings.state, CONNECT_TIMEOUT_S, MAX_IDLE_CONNECTIONS)
        self._clock = clock
        self._settings = settings
        now = clock()
        self.requests = TokenBucket(1, settings.state_rps, now)
        self.writes = TokenBucket(1, settings.state_write_rps, now)
        self.last_success_at = now
        self.failing_since: MonotonicTime | None = None
        self.unavailable_at = DISTANT_PAST  # time of the last 503 response
        self.rate_limit_backoff = RateLimitBackoff(
            settings.state_rps_next < settings.state_rps
            or settings.state_write_rps_next < settings.state_write_rps
        )
        self._uses_reduced_rates = False
        self._is_leader = False
        self._allocate_rates(now)

    def set_leader(self, is_leader: bool) -> None:
        """Use the leader's share of the rate limits, or a follower's."""
        self._is_leader = is_leader
        self._allocate_rates(self._clock())

    def update_rates(self, now: MonotonicTime) -> None:
        """Switch between full and reduced rates as `rate_limit_backoff` requires.

        429 responses, announcements of peers and the passing of time change its state.
        """
        is_reduced = self.rate_limit_backoff.is_active(now)
        if is_reduced != self._uses_reduced_rates:
            self._uses_reduced_rates = is_reduced
            self._allocate_rates(now)
            log.info("store rate limits reduced=%s", is_reduced)

    def _allocate_rates(self, now: MonotonicTime) -> None:
        """Set the rates of this node's share.

        The leader writes most; followers admit jobs and answer polls.
        """
        settings = self._settings
        request_rate, write_rate = settings.state_rps, settings.state_write_rps
        if self._uses_reduced_rates:
            request_rate, write_rate = settings.state_rps_next, settings.state_write_rps_next
        self._set_rate(self.requests, request_rate, LEADER_REQUEST_SHARE, now)
        self._set_rate(self.writes, write_rate, LEADER_WRITE_SHARE, now)

    def _set_rate(
        self, bucket: TokenBucket, limit: float, leader_share: float, now: MonotonicTime
    ) -> None:
        node_count = self._settings.node_count
        if node_count == 1:
            share = 1.0
        elif self._is_leader:
            share = leader_share
        else:
            share = (1.0 - leader_share) / (node_count - 1)
        burst = max(MIN_ADMISSIONS + 1.0, BURST_USAGE_RATIO * limit * share)
        bucket.set_rate(RATE_USAGE_RATIO * limit * share, burst, now)

    def missing_tokens(self, now: MonotonicTime) -> int:
        """Return how many more tokens this node needs to admit `MIN_ADMISSIONS` jobs at once."""
        return max(
            0, MIN_ADMISSIONS - min(self.requests.available(now), self.writes.available(now))
        )

    def lend_tokens(self, requested: int, now: MonotonicTime) -> int:
        """Take up to `requested` tokens for another node, above the reserve for placements.

        Returns the number taken, which is the same for requests and for writes.
        """
        count = min(
            requested,
            self.requests.available(now, RESERVE_PLACEMENTS),
            self.writes.available(now, RESERVE_PLACEMENTS),
        )
        if count <= 0:
            return 0
        self.requests.force_take(now, count)
        self.writes.force_take(now, count)
        return count

    def receive_tokens(self, count: int, now: MonotonicTime) -> None:
        """Add tokens that the leader took from its own share for this node."""
        self.requests.add(now, count)
        self.writes.add(now, count)

    def _request(
        self,
        method: bytes,
        path: str,
        body: bytes | None,
        timeout_s: float,
        on_response: ResponseCallback,
    ) -> None:
        within_share = self._is_within_share()

        def handle_response(status: int | None, data: bytes) -> None:
            now = self._clock()
            if status is None or status in (429, 503):
                if self.failing_since is None:
                    self.failing_since = now
                if status == 503:
                    self.unavailable_at = now
                if status == 429:
                    self._on_rate_limited(now, within_share)
            else:
                self.last_success_at = now
                self.failing_since = None
            on_response(status, data)

        self._http.request(method, path, body, timeout_s, handle_response)

    def _is_within_share(self) -> bool:
        """Return whether this node has kept to its share, including the request being sent."""
        return not (self.requests.is_overdrawn or self.writes.is_overdrawn)

    def _on_rate_limited(self, now: MonotonicTime, within_share: bool) -> None:
        """Empty the token buckets after a 429 and let the backoff decide on reduced rates."""
        self.requests.empty(now)
        self.writes.empty(now)
        self.rate_limit_backoff.record_rate_limited(now, within_share)
        self.update_rates(now)

    def get(self, key: str, done: Callable[[bool, Item | None], None]) -> None:
        """Read one key.

        Calls `done(True, item)`, or `done(True, None)` if the key does not exist (404), or
        `done(False, None)` if it could not be read.
        """

        def handle_response(status: int | None, data: bytes) -> None:
            try:
                if status == 200:
                    done(True, wire.parse_item(data))
                    return
            except MalformedMessageError:
                status = None
            done(status == 404, None)

        self.requests.force_take(self._clock())
        self._request(b"GET", wire.key_path(key), None, REQUEST_TIMEOUT_S, handle_response)

    def range(self, prefix: str, done: Callable[[list[Item] | None, Revision], None]) -> None:
        """Read all keys with the prefix, page by page.

        Calls `done(items, revision)` with the revision of the first page, or `done(None, 0)` if a
        page could not be read.
        """
        items: list[Item] = []
        page_revisions: list[Revision] = []

        def request_page(after: str | None) -> None:
            self.requests.force_take(self._clock())
            self._request(
                b"GET", wire.range_path(prefix, after), None, RANGE_TIMEOUT_S, handle_response
            )

        def handle_response(status: int | None, data: bytes) -> None:
            try:
                if status != 200:
                    raise MalformedMessageError(f"range read: status is {status}, expected 200")
                response = wire.parse_range(data)
            except MalformedMessageError:
                done(None, Revision(0))
                return
            items.extend(response.items)
            page_revisions.append(response.revision)
            if response.has_more and response.items:
                request_page(response.items[-1].key)
            else:
                # A change after the first page may be missing from the items, so a watch has to
                # start at the revision of that page.
                done(items, page_revisions[0])

        request_page(None)

    def commit(self, transaction: Transaction, done: CommitCallback) -> None:
        """Commit the transaction; the caller has taken its tokens.

        Calls `done(status, revision, keys of failed conditions)`. Status None means that the
        outcome is unknown.
        """

        def handle_response(status: int | None, data: bytes) -> None:
            try:
                if status == 200:
                    done(200, wire.parse_revision(data), ())
                    return
                if status == 409:
                    done(409, Revision(0), wire.parse_failed_conditions(data))
                    return
            except MalformedMessageError:
                status = None
            done(status, Revision(0), ())

        self._request(b"POST", "/txn", transaction.body(), REQUEST_TIMEOUT_S, handle_response)

    def grant_lease(self, ttl_ms: int, done: Callable[[LeaseId | None], None]) -> None:
        """Request a new lease and call `done(lease)`, or `done(None)` if none was granted."""

        def handle_response(status: int | None, data: bytes) -> None:
            try:
                done(wire.parse_lease(data) if status == 200 else None)
            except MalformedMessageError:
                done(None)

        self.requests.force_take(self._clock())
        self._request(
            b"POST", "/holds", b'{"lifeMs":%d}' % ttl_ms, LEASE_TIMEOUT_S, handle_response
        )

    def keep_lease_alive(self, lease: LeaseId, done: Callable[[bool | None], None]) -> None:
        """Renew the lease; `done` gets True (alive), False (it has ended) or None (unknown)."""

        def handle_response(status: int | None, _: bytes) -> None:
            done(True if status == 200 else False if status == 404 else None)

        self.requests.force_take(self._clock())
        self._request(b"POST", f"/holds/{lease}/touch", b"{}", LEASE_TIMEOUT_S, handle_response)

    def revoke_lease(self, lease: LeaseId, done: Callable[[bool], None]) -> None:
        """Revoke the lease; calls `done(True)` only if it has certainly ended."""
        self.requests.force_take(self._clock())
        self._request(
            b"DELETE",
            f"/holds/{lease}",
            None,
            LEASE_TIMEOUT_S,
            lambda status, _: done(status in (200, 204, 404)),
        )

    def watch(
        self,
        prefix: str,
        after: Revision,
        wait_s: float,
        done: WatchCallback,
    ) -> None:
        """Wait up to `wait_s` for changes under the prefix after a revision.

        Calls `done(200, revision for the next watch, events)` with the newest change of each key,
        the oldest of them first, or `done(status, after, [])` on failure. Status 410 means that the
        state service no longer keeps the changes after `after`.
        """

        def handle_response(status: int | None, data: bytes) -> None:
            if status == 429:
                self._on_rate_limited(self._clock(), within_share)
            if status != 200:
                done(status, after, [])
                return
            try:
                response = wire.parse_watch(data)
            except MalformedMessageError as err:
                log.error("watch response malformed prefix=%s error=%s", prefix, err)
                done(None, after, [])
                return
            done(200, response.revision, response.events)

        self.requests.force_take(self._clock())
        within_share = self._is_within_share()
        path = wire.watch_path(prefix, after, int(wait_s * 1000))
        self._http.request(b"GET", path, None, wait_s + WATCH_TIMEOUT_MARGIN_S, handle_response)


__all__ = [
    "RESERVE_ADMISSION",
    "RESERVE_JOB_OUTCOMES",
    "RESERVE_LEARNED_STATE",
    "RESERVE_PLACEMENTS",
    "RESERVE_POLLS",
    "StoreClient",
]
