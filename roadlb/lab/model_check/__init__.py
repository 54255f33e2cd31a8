"""An explicit-state model of the agreement: the real deciders in every order of messages, faults, ticks."""
