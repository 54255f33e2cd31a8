"""What balancers hold in common, without I/O: budgets in shares, counts of late, judgements of servers."""
