"""roadlb: an HTTP load balancer.  Here its decisions, without I/O; `roadlb.app` has all of it."""

from .policy.logic import Balancer

__all__ = ["Balancer"]
