"""A balancer that follows versions: guard, store, follower and stream wired together, off by default."""
