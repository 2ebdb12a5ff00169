"""Rate limits for the whole fleet, as distributed token buckets.

Each member has an equal share of every bucket's rate and burst. Buckets are
hashed to shards. Each shard has a home instance, which borrows the shares of
the other members and grants tokens to them on request.
"""
