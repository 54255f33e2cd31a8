"""The policy of the load balancer: its decisions, their interface and their records.  No I/O."""
