"""Rehearsal: the whole program under simulated (or real) time and network, with grid, clients and judge."""
