"""Rehearsals in simulated time whose balancers follow versions of a control service, which may go away."""
