"""Which balancers are there: a decider in the manner of SWIM, without I/O."""
