"""Tracks the state of each site and how a balancer reacts to losing one; no I/O, times in microseconds."""
