"""One picture of nodes for all: clusters, localities, endpoints as immutable data, with checks.  No I/O."""
