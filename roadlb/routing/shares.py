"""One balancer's shares of what all may do together, divided evenly or as they tell each other.  No I/O."""

from __future__ import annotations

from collections.abc import Mapping

MIN_SHARE = 1e-9  # a smaller share counts as this, so that its inverse is finite
BURST_S = 1.0  # tokens of a rate are saved for this long, but at least one
MAX_ZONES = 256


class TokenBucket:
    """The tokens of a rate that a balancer's share has made and that it has not used."""

    __slots__ = ("tokens", "updated_at")

    def __init__(self, updated_at: int) -> None:
        self.updated_at, self.tokens = updated_at, 1.0


class BudgetShares:
    """One balancer's shares of the common budgets and rates.

    Within any time all balancers together use of a rate at most what it makes in that time, what it makes in
    BURST_S, and one for each process that ran meanwhile: a balancer whose share shrinks keeps what that share
    may have saved, or one.
    """

    __slots__ = (
        "_configured_count",
        "_dial_buckets",
        "_dial_shares",
        "_fallback_share",
        "_fleet_shortage",
        "_fleet_shortage_until",
        "_fleet_shortage_weight",
        "_lease_end_us",
        "_processes_per_balancer",
        "_quota_factors",
        "_quota_shares",
        "_reported_count",
        "_retry_bucket",
        "_retry_share",
        "_slow_start_shares",
        "balancer_count",
        "dials_per_s",
        "is_limited",
        "max_unlisted_share",
        "process_count",
        "rejected_dials",
        "rejected_retries",
        "retries_per_s",
    )

    def __init__(self, configured_count: int) -> None:
        self._configured_count, self._processes_per_balancer, self._reported_count = configured_count, 1, 0
        # Processes that the budgets are divided among; balancers that each see an equal part of the load.
        self.process_count, self.balancer_count = configured_count, configured_count
        self._slow_start_shares: Mapping[bytes, float] = {}
        self._quota_shares: Mapping[int, float] = {}
        self._quota_factors: Mapping[int, float] = {}
        self._lease_end_us, self._fallback_share = 0, 1.0  # from then on, no more than this share of any
        self.max_unlisted_share = 1.0  # no more than this of a server in slow start that no report names
        self._fleet_shortage: float | None = None  # the shortage that all balancers see, if known
        # Its weight, the rest being that of the local shortage; the time at which it expires, 0: never.
        self._fleet_shortage_weight, self._fleet_shortage_until = 1.0, 0

        self.retries_per_s, self.dials_per_s = 0.0, 0.0  # of all balancers together; 0: no limit
        self.is_limited = False  # by either of them
        self._retry_share: float | None = None
        self._dial_shares: Mapping[int, float] = {}
        self._retry_bucket, self._dial_buckets = TokenBucket(0), dict[int, TokenBucket]()
        self.rejected_retries, self.rejected_dials = 0, dict[int, int]()  # how often no token was left

    def set_process_count(self, now: int, count: int) -> None:
        """This many processes make up this one balancer now."""
        self._refill_all(now)
        self._processes_per_balancer = max(1, count)
        self.process_count = self._reported_count or self._configured_count * self._processes_per_balancer

    def update(
        self,
        now: int,
        process_count: int,
        slow_start_shares: Mapping[bytes, float],
        quota_shares: Mapping[int, float],
        fleet_shortage: float | None,
        lease_end_us: int,
        fallback_share: float,
        quota_factors: Mapping[int, float],
        fleet_shortage_weight: float = 1.0,
        fleet_shortage_until: int = 0,
    ) -> None:
        """Take the figures of `roadlb.policy.interface.SharedStateUpdate`, which says what each means."""
        self._refill_all(now)
        self._reported_count, self.balancer_count = process_count, process_count or self._configured_count
        self.process_count = process_count or self._configured_count * self._processes_per_balancer
        self._slow_start_shares, self._quota_shares = slow_start_shares, quota_shares
        self._fleet_shortage, self._fleet_shortage_weight, self._fleet_shortage_until = (
            fleet_shortage,
            min(1.0, max(0.0, fleet_shortage_weight)),
            fleet_shortage_until,
        )
        self._lease_end_us, self._fallback_share, self._quota_factors = (
            lease_end_us,
            fallback_share,
            quota_factors,
        )

    def slow_start_divisor(self, now: int, server: bytes) -> float:
        """Return 1 / (this process's share of what all may send to a server in slow start).

        A server that no report names is divided evenly, with a share of at most `max_unlisted_share`.
        """
        if server not in self._slow_start_shares:
            return max(self.process_count, 1 / self.max_unlisted_share)
        return self._divisor(now, self._slow_start_shares.get(server))

    def quota_divisor(self, now: int, tenant: int) -> float:
        """Return 1 / (this process's share of a tenant's quota, as the settings have that)."""
        divisor, factor = (
            self._divisor(now, self._quota_shares.get(tenant)),
            self._quota_factors.get(tenant),
        )
        return divisor if factor is None else divisor / max(factor, MIN_SHARE)

    def _divisor(self, now: int, share: float | None) -> float:
        if share is None:
            return self.process_count
        if self._lease_end_us and now >= self._lease_end_us:
            share = min(share, self._fallback_share)
        return 1 / max(share, MIN_SHARE)

    def shortage(self, now: int, local_shortage: float) -> float:
        """Return the share of the demand that there is no capacity for, where this balancer sees
        `local_shortage`."""
        if self._fleet_shortage is None or self._fleet_shortage_until and now >= self._fleet_shortage_until:
            return local_shortage
        return local_shortage + self._fleet_shortage_weight * (self._fleet_shortage - local_shortage)

    # Rates

    def set_rate_limits(
        self,
        now: int,
        max_unlisted_share: float,
        retries_per_s: float,
        retry_share: float | None,
        dials_per_s: float,
        dial_shares: Mapping[int, float],
    ) -> None:
        """Take the other figures of the same event; to be called after `update`."""
        if not self.retries_per_s:
            self._retry_bucket = TokenBucket(now)
        self.max_unlisted_share, self.is_limited = max_unlisted_share, retries_per_s > 0 or dials_per_s > 0
        self.retries_per_s, self._retry_share = retries_per_s, retry_share
        self.dials_per_s, self._dial_shares = dials_per_s, dial_shares
        self._refill_all(now)  # a share that shrank has fewer tokens saved

    def may_retry(self, now: int) -> bool:
        """Return whether one more attempt may be made for a request that has had one."""
        if not self.retries_per_s:
            return True
        self._refill(now, self._retry_bucket, self.retries_per_s, self._retry_share)
        if self._retry_bucket.tokens >= 1.0:
            return True
        self.rejected_retries += 1
        return False

    def may_dial(self, now: int, zone: int) -> bool:
        """Return whether a request may go to a zone, by its number, that is lost or returning."""
        if not self.dials_per_s:
            return True
        bucket = self._dial_buckets.get(zone)
        if bucket is None:
            if len(self._dial_buckets) >= MAX_ZONES:
                return False
            bucket = self._dial_buckets[zone] = TokenBucket(now)
        self._refill(now, bucket, self.dials_per_s, self._dial_shares.get(zone))
        if bucket.tokens >= 1.0:
            return True
        self.rejected_dials[zone] = self.rejected_dials.get(zone, 0) + 1
        return False

    def record_attempt(self, now: int, zone: int, is_away: bool, is_retry: bool) -> None:
        """An attempt has begun; `is_away`: its zone is lost or returning; `is_retry`: not its request's
        first."""
        if is_retry and self.retries_per_s:
            self._refill(now, self._retry_bucket, self.retries_per_s, self._retry_share)
            self._retry_bucket.tokens -= 1.0
        if is_away and zone in self._dial_buckets:
            self._dial_buckets[zone].tokens -= 1.0

    def _refill_all(self, now: int) -> None:
        """Add what was made until now, by the shares that hold now."""
        if self.retries_per_s:
            self._refill(now, self._retry_bucket, self.retries_per_s, self._retry_share)
        for zone, bucket in self._dial_buckets.items():
            self._refill(now, bucket, self.dials_per_s, self._dial_shares.get(zone))

    def _refill(self, now: int, bucket: TokenBucket, rate_per_s: float, share: float | None) -> None:
        leased_share, lease_end_us = 1.0 / self.process_count, now
        if share is not None:
            leased_share, lease_end_us = share, self._lease_end_us or now
        final_share = 1.0 / self._divisor(now, share)
        share_time_us = leased_share * max(0, min(now, lease_end_us) - bucket.updated_at) + final_share * max(
            0, now - max(bucket.updated_at, lease_end_us)
        )
        bucket.tokens = min(
            max(1.0, rate_per_s * final_share * BURST_S),
            bucket.tokens + rate_per_s * share_time_us / 1e6,
        )
        bucket.updated_at = max(bucket.updated_at, now)
