"""Whether this process takes clients: starting, serving, draining, leaving.  The decider has no I/O."""
