import unittest

from eelgrassgate.limits import shards
from eelgrassgate.limits import timing
from eelgrassgate.limits import token_buckets

BUCKET = "desk"
SHARD = shards.find_shard(BUCKET)
RATE, BURST = 10.0, 20.0
FAR_FUTURE = 1000.0
FULL_AT = 100.0


def create_buckets(
    fraction: float = 1.0, expires_at: float = FAR_FUTURE
) -> token_buckets.TokenBuckets:
    buckets = token_buckets.TokenBuckets(0.0)
    buckets.set_rate(BUCKET, RATE, BURST, 0.0)
    buckets.activate_share(
        SHARD, "a", token_buckets.ActiveShare(fraction, expires_at), 0.0
    )
    return buckets


def drain(buckets: token_buckets.TokenBuckets, now: float) -> int:
    count = 0
    while buckets.take(BUCKET, 1.0, now):
        count += 1
    return count


class TokenBucketsTest(unittest.TestCase):
    def test_fraction_bounds_burst_and_rate(self) -> None:
        for fraction, burst, in_a_second in (
            (1.0, 20, 9),
            (0.5, 10, 4),
            (0.25, 5, 2),
        ):
            with self.subTest(fraction):
                buckets = create_buckets(fraction)
                self.assertEqual(drain(buckets, FULL_AT), burst)
                self.assertEqual(drain(buckets, FULL_AT + 1.0), in_a_second)

    def test_no_grant_outlasts_its_shares(self) -> None:
        for expires_at, tokens in (
            (FULL_AT + timing.GRANT_TTL_S / 2, 0.0),
            (FULL_AT + timing.GRANT_TTL_S, 0.0),
            (FULL_AT + 2 * timing.GRANT_TTL_S, 20.0),
        ):
            with self.subTest(expires_at):
                granted = create_buckets(expires_at=expires_at).grant(
                    BUCKET, 50.0, 0.0, FULL_AT
                )
                self.assertEqual(granted.tokens, tokens)

    def test_expiry_between_calls_cuts_the_level(self) -> None:
        buckets = create_buckets(expires_at=FULL_AT)
        buckets.activate_share(
            SHARD, "b", token_buckets.ActiveShare(0.25, FAR_FUTURE), 0.0
        )
        buckets.activate_share(
            SHARD,
            "a",
            token_buckets.ActiveShare(0.75, FULL_AT + 9.0),
            FULL_AT + 0.01,
        )
        self.assertEqual(drain(buckets, FULL_AT + 0.01), 5)

    def test_level_and_grants_together_stay_under_the_burst(self) -> None:
        buckets = create_buckets()
        granted = buckets.grant(BUCKET, 15.0, 0.0, FULL_AT)
        self.assertEqual(granted.tokens, 15.0)
        self.assertEqual(drain(buckets, FULL_AT + 1.0), 5)

    def test_repeated_return_adds_tokens_once(self) -> None:
        buckets = create_buckets()
        granted = buckets.grant(BUCKET, 15.0, 0.0, FULL_AT)
        for _ in range(2):
            buckets.return_grant(BUCKET, granted.grant, 10.0, FULL_AT)
        self.assertEqual(drain(buckets, FULL_AT), 15)

    def test_expired_grant_returns_no_tokens(self) -> None:
        buckets = create_buckets()
        granted = buckets.grant(BUCKET, 20.0, 0.0, FULL_AT)
        late = FULL_AT + timing.lengthen_for_drift(timing.GRANT_TTL_S)
        self.assertEqual(drain(buckets, late), 0)
        buckets.return_grant(BUCKET, granted.grant, 20.0, late)
        self.assertEqual(drain(buckets, late), 0)

    def test_removed_bucket_keeps_count_of_its_grants(self) -> None:
        buckets = create_buckets()
        buckets.grant(BUCKET, 20.0, 0.0, FULL_AT)
        buckets.remove(BUCKET, FULL_AT)
        buckets.set_rate(BUCKET, RATE, BURST, FULL_AT)
        self.assertEqual(drain(buckets, FULL_AT + 1.0), 0)

    def test_prefetch_requires_free_tokens(self) -> None:
        buckets = create_buckets()
        self.assertEqual(buckets.grant(BUCKET, 0.0, 4.0, FULL_AT).tokens, 4.0)
        drain(buckets, FULL_AT)
        self.assertEqual(
            buckets.grant(BUCKET, 0.0, 1.0, FULL_AT + 0.2).tokens, 0.0
        )
