"""Probes of the parts that a data path could be made of; each is a program of its own."""
